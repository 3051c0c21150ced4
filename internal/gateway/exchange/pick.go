package exchange

import (
	"cmp"
	"slices"

	"turmericyoke/internal/gateway/choose"
	"turmericyoke/internal/gateway/pipe"
)

// waitingSlotDivisor is the part of a peer's slots, as a divisor, for which requests may be sent to wait
// there at a time. More would only move the queue from one gateway to another.
const waitingSlotDivisor = 4

// candidates returns the audible peers that fit, in order of name so that picks are reproducible.
func (p *Peers) candidates(fits func(*peerState) bool) []*peerState {
	var list []*peerState
	for _, known := range p.peers {
		if p.heardRecently(known) && !known.load.GetDraining() && fits(known) {
			list = append(list, known)
		}
	}
	slices.SortFunc(list, func(a, b *peerState) int { return cmp.Compare(a.entry.Name, b.entry.Name) })
	return list
}

// betterOfTwo draws two candidates and returns the one with more room. All gateways that take the
// very best one would overload it between two reports.
func (p *Peers) betterOfTwo(list []*peerState, room func(*peerState) int) *peerState {
	if len(list) == 0 {
		return nil
	}
	first := list[p.random.IntN(len(list))]
	second := list[p.random.IntN(len(list))]
	if room(second) > room(first) {
		return second
	}
	return first
}

// otherTeamHasPriority reports whether another gateway has requests waiting of a team that is further below
// its share, so that free slots of peers are left to it.
func (p *Peers) otherTeamHasPriority(subject poolTeam) bool {
	mine, share := p.usage(subject), p.share(subject.team)
	for _, known := range p.peers {
		if !p.heardRecently(known) {
			continue
		}
		for _, load := range known.load.GetTeams() {
			other := poolTeam{load.GetPool(), load.GetTeam()}
			if load.GetQueued() == 0 || other.pool != subject.pool || other.team == subject.team {
				continue
			}
			if (p.usage(other)+1)*share < mine*p.share(other.team) {
				return true
			}
		}
	}
	return false
}

func (known *peerState) forwardTarget() *pipe.Peer {
	return &pipe.Peer{Name: known.entry.Name, Address: known.entry.Address}
}

// WithSlot implements choose.Peers.
func (p *Peers) WithSlot(pool, team string) *pipe.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.otherTeamHasPriority(poolTeam{pool, team}) {
		return nil
	}
	room := func(known *peerState) int { return known.freeSlots[pool] }
	best := p.betterOfTwo(p.candidates(func(known *peerState) bool { return room(known) > 0 }), room)
	if best == nil {
		return nil
	}
	best.freeSlots[pool]--
	return best.forwardTarget()
}

// WithRight implements choose.Peers.
func (p *Peers) WithRight(team, pool string) *pipe.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	subject := poolTeam{pool, team}
	room := func(known *peerState) int { return known.freeRights[team] }
	best := p.betterOfTwo(p.candidates(func(known *peerState) bool {
		return room(known) > 0 && !known.refusedTeams[subject]
	}), room)
	if best == nil {
		best = p.rightsHolder(subject)
	}
	if best == nil {
		return nil
	}
	best.freeRights[team]--
	return best.waitingTarget(subject)
}

// waitingTarget returns the peer as the target of a request that may wait there.
func (known *peerState) waitingTarget(subject poolTeam) *pipe.Peer {
	known.sentToWait[subject]++
	target := known.forwardTarget()
	target.Waits = true
	return target
}

// Ended notes that a forwarded request is no longer in progress.
func (p *Peers) Ended(target *pipe.Peer, pool, team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[target.Name]
	if !target.Waits || !ok {
		return
	}
	subject := poolTeam{pool, team}
	if known.sentToWait[subject]--; known.sentToWait[subject] <= 0 {
		delete(known.sentToWait, subject)
	}
}

// rightsHolder picks a peer that holds rights of a team of which this gateway holds none. All rights of
// the team may be in use; the request then waits where the next one becomes free.
func (p *Peers) rightsHolder(subject poolTeam) *peerState {
	for _, entry := range p.snapshot.View.Gateways {
		if entry.Name == p.self && entry.Rights[subject.team] > 0 {
			return nil
		}
	}
	held := func(known *peerState) int { return int(min(known.entry.Rights[subject.team], maxReportedCount)) }
	return p.betterOfTwo(p.candidates(func(known *peerState) bool {
		return held(known) > 0 && !known.refusedTeams[subject] && known.mayQueue(subject.pool)
	}), held)
}

// mayQueue reports whether one more request may be sent to wait at the peer.
func (known *peerState) mayQueue(pool string) bool {
	sent := 0
	for subject, count := range known.sentToWait {
		if subject.pool == pool {
			sent += count
		}
	}
	for _, load := range known.load.GetPools() {
		if load.GetPool() == pool {
			return sent < max(int(min(load.GetOwnedSlots(), maxReportedCount))/waitingSlotDivisor, 1)
		}
	}
	return false
}

// AboveShare implements choose.Peers. A peer fits if giving one of its slots to the team brings
// the usages closer to the shares. The peer needs a right of the team as well.
func (p *Peers) AboveShare(pool, team string) *pipe.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	subject := poolTeam{pool, team}
	excess := func(known *peerState) int { return p.slotsAboveShare(known, subject) }
	best := p.betterOfTwo(p.candidates(func(known *peerState) bool {
		return known.freeRights[team] > 0 && !known.refusedTeams[subject] && known.mayQueue(pool) && excess(known) > 0
	}), excess)
	if best == nil {
		return nil
	}
	best.freeRights[team]--
	return best.waitingTarget(subject)
}

// slotsAboveShare counts the slots of the peer that run teams which stay at or above the usage of the
// subject's team when one slot changes over to it.
func (p *Peers) slotsAboveShare(known *peerState, subject poolTeam) int {
	mine := p.usage(subject) + 1
	share := p.share(subject.team)
	count := 0
	for _, load := range known.load.GetTeams() {
		other := poolTeam{load.GetPool(), load.GetTeam()}
		if other.pool != subject.pool || other.team == subject.team || load.GetRunning() == 0 {
			continue
		}
		if (p.usage(other)-1)*share >= mine*p.share(other.team) {
			count += int(min(load.GetRunning(), maxReportedCount))
		}
	}
	return count
}

// usage is what the team runs in the pool across the region; at least what one report says.
func (p *Peers) usage(subject poolTeam) float64 {
	return p.localRunning[subject] + (*p.runningElsewhere.Load())[subject]
}

func (p *Peers) share(team string) float64 {
	declared, ok := p.snapshot.Team(team)
	if !ok || declared.Share < 1 {
		return 1
	}
	return float64(declared.Share)
}

// Spill implements choose.Peers.
func (p *Peers) Spill(pool string) *pipe.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, zone := range p.otherZones {
		report, ok := p.zoneReports[zone]
		if !ok || p.now().Sub(report.heardAt) >= zoneReportTimeout || !report.acceptsSpill(pool) {
			continue
		}
		gateways := p.zoneGateways[zone]
		if len(gateways) == 0 {
			continue
		}
		report.freeSlots[pool]--
		entry := gateways[p.random.IntN(len(gateways))]
		return &pipe.Peer{Name: entry.Name, Address: entry.Address, CrossesZone: true}
	}
	return nil
}

// acceptsSpill reports whether few enough slots of the zone are busy for work from other zones.
func (z *zoneReport) acceptsSpill(pool string) bool {
	for _, load := range z.load.GetPools() {
		if load.GetPool() != pool {
			continue
		}
		owned := int(min(load.GetOwnedSlots(), maxReportedCount))
		busy := owned - z.freeSlots[pool]
		return owned > 0 && busy*100 < owned*choose.SpillBusyPercent
	}
	return false
}

// Refused notes that a peer didn't run a request, so that it isn't asked again before its next report.
func (p *Peers) Refused(target *pipe.Peer, pool, team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.CrossesZone {
		p.stopSpill(target.Name, pool)
		return
	}
	known, ok := p.peers[target.Name]
	if !ok || known.load == nil {
		return
	}
	if target.RightHeld {
		known.freeSlots[pool] = 0
		return
	}
	known.refusedTeams[poolTeam{pool, team}] = true
}

// stopSpill stops spill to the zone of the gateway until its next report.
func (p *Peers) stopSpill(gateway, pool string) {
	for zone, report := range p.zoneReports {
		for _, entry := range p.zoneGateways[zone] {
			if entry.Name == gateway {
				report.freeSlots[pool] = 0
			}
		}
	}
}

// UpdateFree takes what a peer had free when it ended a forwarded request. Requests are shorter than the
// interval of the exchange, so without it slots that became free at the peer would stay idle until
// its next report.
func (p *Peers) UpdateFree(target *pipe.Peer, pool, team string, slots, rights uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[target.Name]
	if !ok || known.load == nil {
		return
	}
	known.freeSlots[pool] = int(min(slots, maxReportedCount))
	known.freeRights[team] = int(min(rights, maxReportedCount))
	if slots > 0 && rights > 0 {
		delete(known.refusedTeams, poolTeam{pool, team})
	}
}
