package exchange

import (
	"cmp"
	"slices"

	"turmericyoke/internal/gateway/choose"
	"turmericyoke/internal/gateway/pipe"
)

// waitingSlotDivisor limits the forwarded requests that may wait at a peer at a time to the peer's slots
// divided by it, but at least 1. More would only move the queue from one gateway to another.
const waitingSlotDivisor = 4

// candidates returns the peers with a recent report for which fits is true, except those that are leaving.
// They are sorted by name so that choices are reproducible.
func (p *Peers) candidates(fits func(*peerState) bool) []*peerState {
	var fitting []*peerState
	for _, peer := range p.peers {
		if p.hasRecentReport(peer) && !peer.report.GetDraining() && fits(peer) {
			fitting = append(fitting, peer)
		}
	}
	slices.SortFunc(fitting, func(a, b *peerState) int { return cmp.Compare(a.gateway.Name, b.gateway.Name) })
	return fitting
}

// betterOfTwo chooses two peers at random and returns the one with the higher capacity, or nil if there
// are no peers. If all gateways chose the best of all peers, they would overload it between two reports.
func (p *Peers) betterOfTwo(peers []*peerState, capacity func(*peerState) int) *peerState {
	if len(peers) == 0 {
		return nil
	}
	first := peers[p.random.IntN(len(peers))]
	second := peers[p.random.IntN(len(peers))]
	if capacity(second) > capacity(first) {
		return second
	}
	return first
}

// otherTeamHasPriority reports whether a peer has waiting requests of another team of the pool that would
// still be further below its share with one more slot. The free slots of peers are then left to that team.
func (p *Peers) otherTeamHasPriority(key poolTeam) bool {
	usage, share := p.usage(key), p.share(key.team)
	for _, peer := range p.peers {
		if !p.hasRecentReport(peer) {
			continue
		}
		for _, load := range peer.report.GetTeams() {
			other := poolTeam{load.GetPool(), load.GetTeam()}
			if load.GetQueued() == 0 || other.pool != key.pool || other.team == key.team {
				continue
			}
			if (p.usage(other)+1)*share < usage*p.share(other.team) {
				return true
			}
		}
	}
	return false
}

// forwardTarget returns the peer as the target of a forwarded request.
func (peer *peerState) forwardTarget() *pipe.Peer {
	return &pipe.Peer{Name: peer.gateway.Name, Address: peer.gateway.Address}
}

// PickWithFreeSlot implements choose.Peers.
func (p *Peers) PickWithFreeSlot(pool, team string) *pipe.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.otherTeamHasPriority(poolTeam{pool, team}) {
		return nil
	}
	free := func(peer *peerState) int { return peer.freeSlots[pool] }
	best := p.betterOfTwo(p.candidates(func(peer *peerState) bool { return free(peer) > 0 }), free)
	if best == nil {
		return nil
	}
	best.freeSlots[pool]--
	return best.forwardTarget()
}

// PickWithRight implements choose.Peers.
func (p *Peers) PickWithRight(team, pool string) *pipe.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolTeam{pool, team}
	free := func(peer *peerState) int { return peer.freeRights[team] }
	best := p.betterOfTwo(p.candidates(func(peer *peerState) bool {
		return free(peer) > 0 && !peer.refusedTeams[key]
	}), free)
	if best == nil {
		best = p.rightsHolder(key)
	}
	if best == nil {
		return nil
	}
	best.freeRights[team]--
	return best.queueTarget(key)
}

// queueTarget returns the peer as the target of a request that may wait in its queue, and counts the request.
func (peer *peerState) queueTarget(key poolTeam) *pipe.Peer {
	peer.forwardedToQueue[key]++
	target := peer.forwardTarget()
	target.MayQueue = true
	return target
}

// ForwardEnded records that a forwarded request is no longer in progress.
func (p *Peers) ForwardEnded(target *pipe.Peer, pool, team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[target.Name]
	if !target.MayQueue || !ok {
		return
	}
	key := poolTeam{pool, team}
	if peer.forwardedToQueue[key]--; peer.forwardedToQueue[key] <= 0 {
		delete(peer.forwardedToQueue, key)
	}
}

// rightsHolder picks a peer that holds rights of the team. It returns nil if this gateway holds rights of the
// team itself. All of the rights may be in use; the request then waits at the peer, where the next one becomes
// free.
func (p *Peers) rightsHolder(key poolTeam) *peerState {
	for _, gateway := range p.snapshot.View.Gateways {
		if gateway.Name == p.self && gateway.Rights[key.team] > 0 {
			return nil
		}
	}
	rights := func(peer *peerState) int { return int(min(peer.gateway.Rights[key.team], maxReportedCount)) }
	return p.betterOfTwo(p.candidates(func(peer *peerState) bool {
		return rights(peer) > 0 && !peer.refusedTeams[key] && peer.mayQueue(key.pool)
	}), rights)
}

// mayQueue reports whether one more request of the pool may be sent to wait at the peer.
func (peer *peerState) mayQueue(pool string) bool {
	waiting := 0
	for key, count := range peer.forwardedToQueue {
		if key.pool == pool {
			waiting += count
		}
	}
	for _, load := range peer.report.GetPools() {
		if load.GetPool() == pool {
			return waiting < max(int(min(load.GetOwnedSlots(), maxReportedCount))/waitingSlotDivisor, 1)
		}
	}
	return false
}

// PickAboveShare implements choose.Peers. It picks a peer with a free right of the team at which usage comes
// closer to the shares if this team gets a slot that another team uses.
func (p *Peers) PickAboveShare(pool, team string) *pipe.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := poolTeam{pool, team}
	slotsAbove := func(peer *peerState) int { return p.slotsAboveShare(peer, key) }
	best := p.betterOfTwo(p.candidates(func(peer *peerState) bool {
		return peer.freeRights[team] > 0 && !peer.refusedTeams[key] && peer.mayQueue(pool) && slotsAbove(peer) > 0
	}), slotsAbove)
	if best == nil {
		return nil
	}
	best.freeRights[team]--
	return best.queueTarget(key)
}

// slotsAboveShare counts the slots of the pool at the peer that run requests of teams which could give up
// a slot: with one slot less, the usage of such a team in proportion to its share is still at or above the
// usage of the key's team in proportion to its share with one slot more.
func (p *Peers) slotsAboveShare(peer *peerState, key poolTeam) int {
	usage := p.usage(key) + 1
	share := p.share(key.team)
	count := 0
	for _, load := range peer.report.GetTeams() {
		other := poolTeam{load.GetPool(), load.GetTeam()}
		if other.pool != key.pool || other.team == key.team || load.GetRunning() == 0 {
			continue
		}
		if (p.usage(other)-1)*share >= usage*p.share(other.team) {
			count += int(min(load.GetRunning(), maxReportedCount))
		}
	}
	return count
}

// usage returns the number of requests that the team runs in the pool across the region: those of this
// gateway and those reported by others, which are smoothed. It is at least the smoothed count of any single
// gateway or zone whose report has not timed out.
func (p *Peers) usage(key poolTeam) float64 {
	return p.localRunning[key] + (*p.runningElsewhere.Load())[key]
}

// share returns the share of the team, or 1 if none is configured.
func (p *Peers) share(team string) float64 {
	config, ok := p.snapshot.Team(team)
	if !ok || config.Share < 1 {
		return 1
	}
	return float64(config.Share)
}

// PickForSpill implements choose.Peers. It picks a random gateway of the first other zone that accepts requests.
func (p *Peers) PickForSpill(pool string) *pipe.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, zone := range p.otherZones {
		other, ok := p.zones[zone]
		if !ok || p.now().Sub(other.reportedAt) >= zoneReportTimeout || !other.acceptsSpill(pool) {
			continue
		}
		gateways := p.zoneGateways[zone]
		if len(gateways) == 0 {
			continue
		}
		other.freeSlots[pool]--
		gateway := gateways[p.random.IntN(len(gateways))]
		return &pipe.Peer{Name: gateway.Name, Address: gateway.Address, CrossesZone: true}
	}
	return nil
}

// acceptsSpill reports whether few enough slots of the zone are busy for it to take requests from other zones.
func (z *zoneState) acceptsSpill(pool string) bool {
	for _, load := range z.report.GetPools() {
		if load.GetPool() != pool {
			continue
		}
		owned := int(min(load.GetOwnedSlots(), maxReportedCount))
		busy := owned - z.freeSlots[pool]
		return owned > 0 && busy*100 < owned*choose.SpillMaxBusyPercent
	}
	return false
}

// ForwardRefused records that a peer didn't run a request, so that the peer isn't picked again for the same
// slots or rights until its next report or a call of UpdateFree with free ones.
func (p *Peers) ForwardRefused(target *pipe.Peer, pool, team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.CrossesZone {
		p.stopSpill(target.Name, pool)
		return
	}
	peer, ok := p.peers[target.Name]
	if !ok || peer.report == nil {
		return
	}
	if target.RightHeld {
		peer.freeSlots[pool] = 0
		return
	}
	peer.refusedTeams[poolTeam{pool, team}] = true
}

// stopSpill stops forwarding requests of the pool to the gateway's zone until the next report of that zone.
func (p *Peers) stopSpill(gatewayName, pool string) {
	for zone, state := range p.zones {
		for _, gateway := range p.zoneGateways[zone] {
			if gateway.Name == gatewayName {
				state.freeSlots[pool] = 0
			}
		}
	}
}

// UpdateFree sets the free slots and rights of a peer to those that it had when it ended a forwarded
// request. Requests are shorter than the interval between reports, so slots that become free at the peer
// would otherwise stay unused until its next report.
func (p *Peers) UpdateFree(target *pipe.Peer, pool, team string, slots, rights uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[target.Name]
	if !ok || peer.report == nil {
		return
	}
	peer.freeSlots[pool] = int(min(slots, maxReportedCount))
	peer.freeRights[team] = int(min(rights, maxReportedCount))
	if slots > 0 && rights > 0 {
		delete(peer.refusedTeams, poolTeam{pool, team})
	}
}
