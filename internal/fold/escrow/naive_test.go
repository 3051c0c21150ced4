package escrow

import (
	"maps"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// memberID identifies one process lifetime.
type memberID struct{ name, incarnation string }

// naiveModel keeps everything it ever read and recomputes each verdict from it.
type naiveModel struct {
	limits, jobUnits map[string]uint64
	surrenderTargets map[string]uint64
	rights, wants    map[memberID]map[string]uint64
	zones            map[memberID]string
	joined           map[memberID]bool
	everJoined       map[memberID]bool
	suspected        map[memberID]bool
	ended            map[memberID]bool
	lastSeq          map[memberID]uint64
	seenOffset       map[memberID]int64
	membersAt        map[int64][]memberID
	lastOffset       int64
}

func newNaiveModel() *naiveModel {
	return &naiveModel{
		limits: map[string]uint64{}, jobUnits: map[string]uint64{}, surrenderTargets: map[string]uint64{},
		rights: map[memberID]map[string]uint64{}, wants: map[memberID]map[string]uint64{}, zones: map[memberID]string{}, joined: map[memberID]bool{}, everJoined: map[memberID]bool{},
		suspected: map[memberID]bool{}, ended: map[memberID]bool{}, lastSeq: map[memberID]uint64{}, seenOffset: map[memberID]int64{},
		membersAt: map[int64][]memberID{},
	}
}

func (n *naiveModel) allotted(team string) uint64 {
	sum := n.jobUnits[team]
	for _, rights := range n.rights {
		sum += rights[team]
	}
	return sum
}

func (n *naiveModel) unallocated(team string) uint64 {
	bound := n.limits[team]
	if target, ok := n.surrenderTargets[team]; ok {
		bound = min(bound, target)
	}
	return bound - min(bound, n.allotted(team))
}

func (n *naiveModel) apply(env structs.Envelope, payload any) bool {
	accepted := n.decide(env, payload)
	n.lastOffset = env.Offset
	for l := range n.joined {
		if n.joined[l] && !n.suspected[l] {
			n.membersAt[env.Offset] = append(n.membersAt[env.Offset], l)
		}
	}
	return accepted
}

func (n *naiveModel) decide(env structs.Envelope, payload any) bool {
	self := memberID{env.Proposer, env.Incarnation}
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
		n.seenOffset[self] = max(n.seenOffset[self], min(p.GetSeenOffset(), env.Offset))
	case *v1.Claim:
		return n.claim(self, p.GetUnits())
	case *v1.Return:
		return n.moveRights(self, memberID{}, p.GetUnits())
	case *v1.Transfer:
		to := memberID{p.GetTo(), p.GetToIncarnation()}
		return n.joined[to] && !n.suspected[to] && to != self && n.moveRights(self, to, p.GetUnits())
	case *v1.Leave:
		if n.hasRights(self) {
			return false
		}
		n.joined[self], n.ended[self] = false, true
	case *v1.Surrender:
		delete(n.surrenderTargets, p.GetTeam())
		if p.GetTarget() < n.limits[p.GetTeam()] {
			n.surrenderTargets[p.GetTeam()] = p.GetTarget()
		}
	case *v1.Suspect:
		return n.suspect(memberID{p.GetHolder(), p.GetHolderIncarnation()}, p)
	case *v1.Reclaim:
		holder := memberID{p.GetHolder(), p.GetHolderIncarnation()}
		if !n.joined[holder] || !n.suspected[holder] {
			return false
		}
		n.joined[holder], n.rights[holder] = false, nil
	}
	return true
}

func (n *naiveModel) hasRights(holder memberID) bool {
	for _, units := range n.rights[holder] {
		if units > 0 {
			return true
		}
	}
	return false
}

func (n *naiveModel) join(self memberID, env structs.Envelope, p *v1.Join) bool {
	if n.joined[self] {
		if env.Seq > n.lastSeq[self] {
			n.lastSeq[self] = env.Seq
		}
		return false
	}
	if n.everJoined[self] {
		return false
	}
	for other := range n.everJoined {
		if other.name == self.name && n.joined[other] {
			n.suspected[other], n.ended[other] = true, true
			n.joined[other] = n.hasRights(other)
		}
	}
	n.joined[self], n.everJoined[self], n.zones[self] = true, true, p.GetZone()
	n.lastSeq[self], n.seenOffset[self], n.rights[self] = env.Seq, env.Offset, map[string]uint64{}
	n.wants[self] = map[string]uint64{}
	return true
}

func (n *naiveModel) claim(self memberID, list []*v1.Units) bool {
	before := maps.Clone(n.wants[self])
	granted := uint64(0)
	changed := false
	for _, claim := range list {
		units := min(claim.GetUnits(), n.unallocated(claim.GetTeam()))
		n.rights[self][claim.GetTeam()] += units
		granted += units
		n.wants[self][claim.GetTeam()] = min(claim.GetUnits()-units, n.limits[claim.GetTeam()])
		changed = changed || n.wants[self][claim.GetTeam()] != before[claim.GetTeam()]
		before = maps.Clone(n.wants[self])
	}
	return granted > 0 || changed
}

func (n *naiveModel) moveRights(from, to memberID, list []*v1.Units) bool {
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
func (n *naiveModel) suspect(holder memberID, p *v1.Suspect) bool {
	if !n.joined[holder] || n.suspected[holder] {
		return false
	}
	if p.GetConfirmedBy() != "" {
		n.suspected[holder], n.ended[holder] = true, true
		return true
	}
	vowed := map[memberID]bool{}
	for _, vow := range p.GetVows() {
		member := memberID{vow.GetMember(), vow.GetIncarnation()}
		if member.name != holder.name && n.joined[member] && !n.suspected[member] {
			vowed[member] = true
		}
	}
	for offset := n.seenOffset[holder]; offset <= n.lastOffset; offset++ {
		var names []string
		silent := map[string]bool{}
		for _, member := range n.membersAt[offset] {
			if n.zones[member] == n.zones[holder] {
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
