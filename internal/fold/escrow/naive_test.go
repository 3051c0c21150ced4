package escrow

import (
	"maps"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// memberID identifies one process lifetime.
type memberID struct{ name, incarnation string }

// referenceModel is a reference model of the section with unbounded memory: it keeps every incarnation and
// membership that it ever read, and computes each verdict from them.
type referenceModel struct {
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

func newReferenceModel() *referenceModel {
	return &referenceModel{
		limits: map[string]uint64{}, jobUnits: map[string]uint64{}, surrenderTargets: map[string]uint64{},
		rights: map[memberID]map[string]uint64{}, wants: map[memberID]map[string]uint64{}, zones: map[memberID]string{}, joined: map[memberID]bool{}, everJoined: map[memberID]bool{},
		suspected: map[memberID]bool{}, ended: map[memberID]bool{}, lastSeq: map[memberID]uint64{}, seenOffset: map[memberID]int64{},
		membersAt: map[int64][]memberID{},
	}
}

// allotted returns the units of the team that holders and running jobs have.
func (m *referenceModel) allotted(team string) uint64 {
	sum := m.jobUnits[team]
	for _, rights := range m.rights {
		sum += rights[team]
	}
	return sum
}

func (m *referenceModel) unallocated(team string) uint64 {
	bound := m.limits[team]
	if target, ok := m.surrenderTargets[team]; ok {
		bound = min(bound, target)
	}
	return bound - min(bound, m.allotted(team))
}

// apply applies a proposal and reports whether it is accepted.
func (m *referenceModel) apply(env structs.Envelope, payload any) bool {
	accepted := m.decide(env, payload)
	m.lastOffset = env.Offset
	for id := range m.joined {
		if m.joined[id] && !m.suspected[id] {
			m.membersAt[env.Offset] = append(m.membersAt[env.Offset], id)
		}
	}
	return accepted
}

func (m *referenceModel) decide(env structs.Envelope, payload any) bool {
	self := memberID{env.Proposer, env.Incarnation}
	if join, ok := payload.(*v1.Join); ok {
		return m.join(self, env, join)
	}
	if !m.joined[self] || env.Seq <= m.lastSeq[self] {
		return false
	}
	m.lastSeq[self] = env.Seq
	if m.suspected[self] {
		return false
	}
	switch p := payload.(type) {
	case *v1.Heartbeat:
		m.seenOffset[self] = max(m.seenOffset[self], min(p.GetSeenOffset(), env.Offset))
	case *v1.Claim:
		return m.claim(self, p.GetUnits())
	case *v1.Return:
		return m.moveRights(self, memberID{}, p.GetUnits())
	case *v1.Transfer:
		to := memberID{p.GetTo(), p.GetToIncarnation()}
		return m.joined[to] && !m.suspected[to] && to != self && m.moveRights(self, to, p.GetUnits())
	case *v1.Leave:
		if m.hasRights(self) {
			return false
		}
		m.joined[self], m.ended[self] = false, true
	case *v1.Surrender:
		delete(m.surrenderTargets, p.GetTeam())
		if p.GetTarget() < m.limits[p.GetTeam()] {
			m.surrenderTargets[p.GetTeam()] = p.GetTarget()
		}
	case *v1.Suspect:
		return m.suspect(memberID{p.GetHolder(), p.GetHolderIncarnation()}, p)
	case *v1.Reclaim:
		holder := memberID{p.GetHolder(), p.GetHolderIncarnation()}
		if !m.joined[holder] || !m.suspected[holder] {
			return false
		}
		m.joined[holder], m.rights[holder] = false, nil
	}
	return true
}

func (m *referenceModel) hasRights(holder memberID) bool {
	for _, units := range m.rights[holder] {
		if units > 0 {
			return true
		}
	}
	return false
}

func (m *referenceModel) join(self memberID, env structs.Envelope, p *v1.Join) bool {
	if m.joined[self] {
		if env.Seq > m.lastSeq[self] {
			m.lastSeq[self] = env.Seq
		}
		return false
	}
	if m.everJoined[self] {
		return false
	}
	for earlier := range m.everJoined {
		if earlier.name == self.name && m.joined[earlier] {
			m.suspected[earlier], m.ended[earlier] = true, true
			m.joined[earlier] = m.hasRights(earlier)
		}
	}
	m.joined[self], m.everJoined[self], m.zones[self] = true, true, p.GetZone()
	m.lastSeq[self], m.seenOffset[self], m.rights[self] = env.Seq, env.Offset, map[string]uint64{}
	m.wants[self] = map[string]uint64{}
	return true
}

func (m *referenceModel) claim(self memberID, list []*v1.Units) bool {
	before := maps.Clone(m.wants[self])
	totalGranted := uint64(0)
	changed := false
	for _, claim := range list {
		granted := min(claim.GetUnits(), m.unallocated(claim.GetTeam()))
		m.rights[self][claim.GetTeam()] += granted
		totalGranted += granted
		m.wants[self][claim.GetTeam()] = min(claim.GetUnits()-granted, m.limits[claim.GetTeam()])
		changed = changed || m.wants[self][claim.GetTeam()] != before[claim.GetTeam()]
		before = maps.Clone(m.wants[self])
	}
	return totalGranted > 0 || changed
}

// moveRights takes rights from a member and gives them to another, or to none if to is empty. It reports
// whether the member has them all.
func (m *referenceModel) moveRights(from, to memberID, list []*v1.Units) bool {
	totals := map[string]uint64{}
	for _, units := range list {
		if units.GetUnits() == 0 {
			return false
		}
		totals[units.GetTeam()] += units.GetUnits()
	}
	for team, units := range totals {
		if units > m.rights[from][team] {
			return false
		}
	}
	for team, units := range totals {
		m.rights[from][team] -= units
		if to.name != "" {
			m.rights[to][team] += units
			m.wants[to][team] -= min(m.wants[to][team], units)
		}
	}
	return len(totals) > 0
}

// suspect checks the vows against the members of the zone at every offset whose members the holder may
// still use.
func (m *referenceModel) suspect(holder memberID, p *v1.Suspect) bool {
	if !m.joined[holder] || m.suspected[holder] {
		return false
	}
	if p.GetConfirmedBy() != "" {
		m.suspected[holder], m.ended[holder] = true, true
		return true
	}
	vowed := map[memberID]bool{}
	for _, vow := range p.GetVows() {
		member := memberID{vow.GetMember(), vow.GetIncarnation()}
		if member.name != holder.name && m.joined[member] && !m.suspected[member] {
			vowed[member] = true
		}
	}
	for offset := m.seenOffset[holder]; offset <= m.lastOffset; offset++ {
		var names []string
		cannotRenew := map[string]bool{}
		for _, member := range m.membersAt[offset] {
			if m.zones[member] == m.zones[holder] {
				names = append(names, member.name)
				cannotRenew[member.name] = vowed[member] || m.ended[member]
			}
		}
		if !lease.IsQuorum(names, func(name string) bool { return cannotRenew[name] }) {
			return false
		}
	}
	m.suspected[holder] = true
	return true
}
