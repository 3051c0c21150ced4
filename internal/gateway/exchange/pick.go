package exchange

import (
	"cmp"
	"slices"

	"turmericyoke/internal/gateway/choose"
	"turmericyoke/internal/gateway/pipe"
)

// sentShare is the part of a peer's slots, as a divisor, for which requests may be sent to wait
// there at a time. More would only move the queue from one gateway to another.
const sentShare = 4

// candidates returns the audible peers that fit, in order of name so that picks are reproducible.
func (p *Peers) candidates(fits func(*peer) bool) []*peer {
	var list []*peer
	for _, known := range p.peers {
		if p.audible(known) && !known.load.GetDraining() && fits(known) {
			list = append(list, known)
		}
	}
	slices.SortFunc(list, func(a, b *peer) int { return cmp.Compare(a.entry.Name, b.entry.Name) })
	return list
}

// betterOfTwo draws two candidates and returns the one with more room. All gateways that take the
// very best one would overload it between two reports.
func (p *Peers) betterOfTwo(list []*peer, room func(*peer) int) *peer {
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

// othersFirst reports whether another gateway has requests waiting of a team that is further below
// its share, so that free slots of peers are left to it.
func (p *Peers) othersFirst(subject poolTeam) bool {
	mine, share := p.usage(subject), p.share(subject.team)
	for _, known := range p.peers {
		if !p.audible(known) {
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

func (known *peer) target() *pipe.Peer {
	return &pipe.Peer{Name: known.entry.Name, Address: known.entry.Address}
}

// WithSlot implements choose.Peers.
func (p *Peers) WithSlot(pool, team string) *pipe.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.othersFirst(poolTeam{pool, team}) {
		return nil
	}
	room := func(known *peer) int { return known.slots[pool] }
	best := p.betterOfTwo(p.candidates(func(known *peer) bool { return room(known) > 0 }), room)
	if best == nil {
		return nil
	}
	best.slots[pool]--
	return best.target()
}

// WithRight implements choose.Peers.
func (p *Peers) WithRight(team, pool string) *pipe.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	subject := poolTeam{pool, team}
	room := func(known *peer) int { return known.rights[team] }
	best := p.betterOfTwo(p.candidates(func(known *peer) bool {
		return room(known) > 0 && !known.barred[subject]
	}), room)
	if best == nil {
		best = p.holder(subject)
	}
	if best == nil {
		return nil
	}
	best.rights[team]--
	return best.send(subject)
}

// send returns the peer as the target of a request that may wait there.
func (known *peer) send(subject poolTeam) *pipe.Peer {
	known.sent[subject]++
	target := known.target()
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
	if known.sent[subject]--; known.sent[subject] <= 0 {
		delete(known.sent, subject)
	}
}

// holder picks a peer that holds rights of a team of which this gateway holds none. All rights of
// the team may be in use; the request then waits where the next one becomes free.
func (p *Peers) holder(subject poolTeam) *peer {
	for _, entry := range p.snapshot.View.Gateways {
		if entry.Name == p.self && entry.Rights[subject.team] > 0 {
			return nil
		}
	}
	held := func(known *peer) int { return int(min(known.entry.Rights[subject.team], maxReported)) }
	return p.betterOfTwo(p.candidates(func(known *peer) bool {
		return held(known) > 0 && !known.barred[subject] && known.mayQueue(subject.pool)
	}), held)
}

// mayQueue reports whether one more request may be sent to wait at the peer.
func (known *peer) mayQueue(pool string) bool {
	sent := 0
	for subject, count := range known.sent {
		if subject.pool == pool {
			sent += count
		}
	}
	for _, load := range known.load.GetPools() {
		if load.GetPool() == pool {
			return sent < max(int(min(load.GetOwnedSlots(), maxReported))/sentShare, 1)
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
	excess := func(known *peer) int { return p.excess(known, subject) }
	best := p.betterOfTwo(p.candidates(func(known *peer) bool {
		return known.rights[team] > 0 && !known.barred[subject] && known.mayQueue(pool) && excess(known) > 0
	}), excess)
	if best == nil {
		return nil
	}
	best.rights[team]--
	return best.send(subject)
}

// excess counts the slots of the peer that run teams which stay at or above the usage of the
// subject's team when one slot changes over to it.
func (p *Peers) excess(known *peer, subject poolTeam) int {
	mine := p.usage(subject) + 1
	share := p.share(subject.team)
	count := 0
	for _, load := range known.load.GetTeams() {
		other := poolTeam{load.GetPool(), load.GetTeam()}
		if other.pool != subject.pool || other.team == subject.team || load.GetRunning() == 0 {
			continue
		}
		if (p.usage(other)-1)*share >= mine*p.share(other.team) {
			count += int(min(load.GetRunning(), maxReported))
		}
	}
	return count
}

// usage is what the team runs in the pool across the region; at least what one report says.
func (p *Peers) usage(subject poolTeam) float64 {
	return p.local[subject] + (*p.elsewhere.Load())[subject]
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
	for _, zone := range p.region {
		report, ok := p.zones[zone]
		if !ok || p.now().Sub(report.heardAt) >= zoneSilence || !report.quiet(pool) {
			continue
		}
		gateways := p.remote[zone]
		if len(gateways) == 0 {
			continue
		}
		report.slots[pool]--
		entry := gateways[p.random.IntN(len(gateways))]
		return &pipe.Peer{Name: entry.Name, Address: entry.Address, CrossesZone: true}
	}
	return nil
}

// quiet reports whether few enough slots of the zone are busy for work from other zones.
func (z *zoneReport) quiet(pool string) bool {
	for _, load := range z.load.GetPools() {
		if load.GetPool() != pool {
			continue
		}
		owned := int(min(load.GetOwnedSlots(), maxReported))
		busy := owned - z.slots[pool]
		return owned > 0 && busy*100 < owned*choose.SpillBusyPercent
	}
	return false
}

// Refused notes that a peer didn't run a request, so that it isn't asked again before its next report.
func (p *Peers) Refused(target *pipe.Peer, pool, team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if target.CrossesZone {
		p.closeZone(target.Name, pool)
		return
	}
	known, ok := p.peers[target.Name]
	if !ok || known.load == nil {
		return
	}
	if target.RightHeld {
		known.slots[pool] = 0
		return
	}
	known.barred[poolTeam{pool, team}] = true
}

// closeZone stops spill to the zone of the gateway until its next report.
func (p *Peers) closeZone(gateway, pool string) {
	for zone, report := range p.zones {
		for _, entry := range p.remote[zone] {
			if entry.Name == gateway {
				report.slots[pool] = 0
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
	known.slots[pool] = int(min(slots, maxReported))
	known.rights[team] = int(min(rights, maxReported))
	if slots > 0 && rights > 0 {
		delete(known.barred, poolTeam{pool, team})
	}
}
