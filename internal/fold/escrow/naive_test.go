package escrow

import (
	"maps"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// life identifies one process lifetime.
type life struct{ name, incarnation string }

// naive keeps everything it ever read and recomputes each verdict from it.
type naive struct {
	limits, jobs  map[string]uint64
	targets       map[string]uint64
	rights, wants map[life]map[string]uint64
	zone          map[life]string
	joined        map[life]bool
	known         map[life]bool
	suspected     map[life]bool
	ended         map[life]bool
	lastSeq       map[life]uint64
	seen          map[life]int64
	history       map[int64][]life
	read          int64
}

func newNaive() *naive {
	return &naive{
		limits: map[string]uint64{}, jobs: map[string]uint64{}, targets: map[string]uint64{},
		rights: map[life]map[string]uint64{}, wants: map[life]map[string]uint64{}, zone: map[life]string{}, joined: map[life]bool{}, known: map[life]bool{},
		suspected: map[life]bool{}, ended: map[life]bool{}, lastSeq: map[life]uint64{}, seen: map[life]int64{},
		history: map[int64][]life{},
	}
}

func (n *naive) used(team string) uint64 {
	sum := n.jobs[team]
	for _, rights := range n.rights {
		sum += rights[team]
	}
	return sum
}

func (n *naive) free(team string) uint64 {
	bound := n.limits[team]
	if target, ok := n.targets[team]; ok {
		bound = min(bound, target)
	}
	return bound - min(bound, n.used(team))
}

func (n *naive) apply(env structs.Envelope, payload any) bool {
	accepted := n.decide(env, payload)
	n.read = env.Offset
	for l := range n.joined {
		if n.joined[l] && !n.suspected[l] {
			n.history[env.Offset] = append(n.history[env.Offset], l)
		}
	}
	return accepted
}

func (n *naive) decide(env structs.Envelope, payload any) bool {
	self := life{env.Proposer, env.Incarnation}
	if join, ok := payload.(*v1.Join); ok {
		return n.join(self, env, join)
	}
	if !n.joined[self] || env.Seq <= n.lastSeq[self] {
		return false
	}
	n.lastSeq[self] = env.Seq
	if n.suspected[self] {
		return false
	}
	switch p := payload.(type) {
	case *v1.Heartbeat:
		n.seen[self] = max(n.seen[self], min(p.GetSeenOffset(), env.Offset))
	case *v1.Claim:
		return n.claim(self, p.GetUnits())
	case *v1.Return:
		return n.move(self, life{}, p.GetUnits())
	case *v1.Transfer:
		to := life{p.GetTo(), p.GetToIncarnation()}
		return n.joined[to] && !n.suspected[to] && to != self && n.move(self, to, p.GetUnits())
	case *v1.Leave:
		if n.any(self) {
			return false
		}
		n.joined[self], n.ended[self] = false, true
	case *v1.Surrender:
		delete(n.targets, p.GetTeam())
		if p.GetTarget() < n.limits[p.GetTeam()] {
			n.targets[p.GetTeam()] = p.GetTarget()
		}
	case *v1.Suspect:
		return n.suspect(life{p.GetHolder(), p.GetHolderIncarnation()}, p)
	case *v1.Reclaim:
		holder := life{p.GetHolder(), p.GetHolderIncarnation()}
		if !n.joined[holder] || !n.suspected[holder] {
			return false
		}
		n.joined[holder], n.rights[holder] = false, nil
	}
	return true
}

func (n *naive) any(holder life) bool {
	for _, units := range n.rights[holder] {
		if units > 0 {
			return true
		}
	}
	return false
}

func (n *naive) join(self life, env structs.Envelope, p *v1.Join) bool {
	if n.joined[self] {
		if env.Seq > n.lastSeq[self] {
			n.lastSeq[self] = env.Seq
		}
		return false
	}
	if n.known[self] {
		return false
	}
	for other := range n.known {
		if other.name == self.name && n.joined[other] {
			n.suspected[other], n.ended[other] = true, true
			n.joined[other] = n.any(other)
		}
	}
	n.joined[self], n.known[self], n.zone[self] = true, true, p.GetZone()
	n.lastSeq[self], n.seen[self], n.rights[self] = env.Seq, env.Offset, map[string]uint64{}
	n.wants[self] = map[string]uint64{}
	return true
}

func (n *naive) claim(self life, list []*v1.Units) bool {
	before := maps.Clone(n.wants[self])
	granted := uint64(0)
	changed := false
	for _, claim := range list {
		units := min(claim.GetUnits(), n.free(claim.GetTeam()))
		n.rights[self][claim.GetTeam()] += units
		granted += units
		n.wants[self][claim.GetTeam()] = min(claim.GetUnits()-units, n.limits[claim.GetTeam()])
		changed = changed || n.wants[self][claim.GetTeam()] != before[claim.GetTeam()]
		before = maps.Clone(n.wants[self])
	}
	return granted > 0 || changed
}

func (n *naive) move(from, to life, list []*v1.Units) bool {
	sums := map[string]uint64{}
	for _, units := range list {
		if units.GetUnits() == 0 {
			return false
		}
		sums[units.GetTeam()] += units.GetUnits()
	}
	for team, units := range sums {
		if units > n.rights[from][team] {
			return false
		}
	}
	for team, units := range sums {
		n.rights[from][team] -= units
		if to.name != "" {
			n.rights[to][team] += units
			n.wants[to][team] -= min(n.wants[to][team], units)
		}
	}
	return len(sums) > 0
}

// suspect tries the vows against the members at every single offset that the holder may use.
func (n *naive) suspect(holder life, p *v1.Suspect) bool {
	if !n.joined[holder] || n.suspected[holder] {
		return false
	}
	if p.GetConfirmedBy() != "" {
		n.suspected[holder], n.ended[holder] = true, true
		return true
	}
	vowed := map[life]bool{}
	for _, vow := range p.GetVows() {
		member := life{vow.GetMember(), vow.GetIncarnation()}
		if member.name != holder.name && n.joined[member] && !n.suspected[member] {
			vowed[member] = true
		}
	}
	for offset := n.seen[holder]; offset <= n.read; offset++ {
		var names []string
		silent := map[string]bool{}
		for _, member := range n.history[offset] {
			if n.zone[member] == n.zone[holder] {
				names = append(names, member.name)
				silent[member.name] = vowed[member] || n.ended[member]
			}
		}
		if !lease.IsQuorum(names, func(name string) bool { return silent[name] }) {
			return false
		}
	}
	n.suspected[holder] = true
	return true
}
