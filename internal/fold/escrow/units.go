package escrow

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// Claim gives unallocated units to the proposer, fewer than claimed where fewer are free, and notes
// what is missing as its wants. It is rejected when it changes nothing.
func (s *State) Claim(env structs.Envelope, p *v1.Claim) *fault.Error {
	member, err := s.currentHolder(env.Proposer, env.Incarnation)
	if err != nil {
		return err
	}
	changed := false
	for _, claim := range p.GetUnits() {
		account := s.Teams[claim.GetTeam()]
		if account == nil {
			continue
		}
		units := min(claim.GetUnits(), s.Unallocated(claim.GetTeam()))
		if units > 0 {
			account.Held += units
			member.addRights(claim.GetTeam(), units)
			changed = true
		}
		if member.setWant(claim.GetTeam(), min(claim.GetUnits()-units, account.Limit)) {
			changed = true
		}
	}
	if !changed {
		return fault.New(fault.TeamLimit, "none of the claimed units is unallocated")
	}
	return nil
}

// setWant sets what the member lacks, and reports whether that is a change.
func (m *Member) setWant(team string, units uint64) bool {
	if m.Wants[team] == units {
		return false
	}
	if m.Wants == nil {
		m.Wants = map[string]uint64{}
	}
	m.Wants[team] = units
	if units == 0 {
		delete(m.Wants, team)
	}
	if len(m.Wants) == 0 {
		m.Wants = nil
	}
	return true
}

// Return takes units back from the proposer.
func (s *State) Return(env structs.Envelope, p *v1.Return) *fault.Error {
	member, err := s.currentHolder(env.Proposer, env.Incarnation)
	if err != nil {
		return err
	}
	if err := member.checkHasRights(p.GetUnits()); err != nil {
		return err
	}
	for _, units := range p.GetUnits() {
		s.Teams[units.GetTeam()].Held -= units.GetUnits()
		member.removeRights(units.GetTeam(), units.GetUnits())
	}
	return nil
}

// Transfer moves units from the proposer to another holder.
func (s *State) Transfer(env structs.Envelope, p *v1.Transfer) *fault.Error {
	giver, err := s.currentHolder(env.Proposer, env.Incarnation)
	if err != nil {
		return err
	}
	receiver, err := s.currentHolder(p.GetTo(), p.GetToIncarnation())
	if err != nil {
		return err
	}
	if receiver == giver {
		return fault.New(fault.RequestInvalid, "%s transfers to itself", giver.Name)
	}
	if err := giver.checkHasRights(p.GetUnits()); err != nil {
		return err
	}
	for _, units := range p.GetUnits() {
		giver.removeRights(units.GetTeam(), units.GetUnits())
		receiver.addRights(units.GetTeam(), units.GetUnits())
		wanted := receiver.Wants[units.GetTeam()]
		receiver.setWant(units.GetTeam(), wanted-min(wanted, units.GetUnits()))
	}
	return nil
}

// checkHasRights returns an error unless the member has all the units, those of a team named twice
// taken together, and the list isn't empty.
func (m *Member) checkHasRights(list []*v1.Units) *fault.Error {
	wanted := make(map[string]uint64, len(list))
	for _, units := range list {
		team, has := units.GetTeam(), m.Rights[units.GetTeam()]
		if units.GetUnits() == 0 || units.GetUnits() > has || wanted[team] > has-units.GetUnits() {
			return fault.New(fault.RightsInsufficient, "%s %s has %d units of team %s", m.Name, m.Incarnation, has, team)
		}
		wanted[team] += units.GetUnits()
	}
	if len(wanted) == 0 {
		return fault.New(fault.RequestInvalid, "no units are named")
	}
	return nil
}

func (m *Member) addRights(team string, units uint64) {
	if m.Rights == nil {
		m.Rights = map[string]uint64{}
	}
	m.Rights[team] += units
}

func (m *Member) removeRights(team string, units uint64) {
	m.Rights[team] -= units
	if m.Rights[team] == 0 {
		delete(m.Rights, team)
	}
	if len(m.Rights) == 0 {
		m.Rights = nil
	}
}

// Surrender bounds the rights of a team whose limit is to be lowered. A target at or above the
// limit withdraws an earlier surrender.
func (s *State) Surrender(env structs.Envelope, p *v1.Surrender) *fault.Error {
	account := s.Teams[p.GetTeam()]
	if account == nil {
		return fault.New(fault.RequestInvalid, "team %q isn't in the document", p.GetTeam())
	}
	account.Surrendering, account.SurrenderTarget = false, 0
	if p.GetTarget() < account.Limit {
		account.Surrendering, account.SurrenderTarget = true, p.GetTarget()
	}
	return nil
}

// ReserveJobUnits counts units of a started job against the team's limit.
func (s *State) ReserveJobUnits(team string, units uint64) *fault.Error {
	free := s.Unallocated(team)
	if units > free {
		return fault.New(fault.TeamLimit, "job needs %d units of team %s: %d are unallocated", units, team, free)
	}
	if units > 0 {
		s.Teams[team].JobUnits += units
	}
	return nil
}

// ReleaseJobUnits ends the count of ReserveJobUnits.
func (s *State) ReleaseJobUnits(team string, units uint64) {
	account := s.Teams[team]
	if account == nil {
		return
	}
	account.JobUnits -= min(units, account.JobUnits)
}
