package escrow

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// Claim grants unallocated units to the proposer. If fewer are unallocated than claimed, it grants those
// and records the rest as the proposer's wants. A claim that changes neither rights nor wants is
// rejected.
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
		granted := min(claim.GetUnits(), s.Unallocated(claim.GetTeam()))
		if granted > 0 {
			account.Held += granted
			member.addRights(claim.GetTeam(), granted)
			changed = true
		}
		if member.setWant(claim.GetTeam(), min(claim.GetUnits()-granted, account.Limit)) {
			changed = true
		}
	}
	if !changed {
		return fault.New(fault.TeamLimit, "none of the claimed units is unallocated")
	}
	return nil
}

// setWant sets the number of the team's units that the member wants, and reports whether it changed.
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

// Return takes rights from the proposer; their units become unallocated.
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
	sender, err := s.currentHolder(env.Proposer, env.Incarnation)
	if err != nil {
		return err
	}
	receiver, err := s.currentHolder(p.GetTo(), p.GetToIncarnation())
	if err != nil {
		return err
	}
	if receiver == sender {
		return fault.New(fault.RequestInvalid, "%s transfers to itself", sender.Name)
	}
	if err := sender.checkHasRights(p.GetUnits()); err != nil {
		return err
	}
	for _, units := range p.GetUnits() {
		sender.removeRights(units.GetTeam(), units.GetUnits())
		receiver.addRights(units.GetTeam(), units.GetUnits())
		wanted := receiver.Wants[units.GetTeam()]
		receiver.setWant(units.GetTeam(), wanted-min(wanted, units.GetUnits()))
	}
	return nil
}

// checkHasRights returns an error unless the list isn't empty and the member has rights to all the units
// in it. The units of a team that is listed more than once are added up.
func (m *Member) checkHasRights(list []*v1.Units) *fault.Error {
	total := make(map[string]uint64, len(list))
	for _, units := range list {
		team, held := units.GetTeam(), m.Rights[units.GetTeam()]
		if units.GetUnits() == 0 || units.GetUnits() > held || total[team] > held-units.GetUnits() {
			return fault.New(fault.RightsInsufficient, "%s %s has %d units of team %s", m.Name, m.Incarnation, held, team)
		}
		total[team] += units.GetUnits()
	}
	if len(total) == 0 {
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

// Surrender sets the target for the units of a team whose limit is to be lowered. A target at or above
// the limit withdraws an earlier surrender.
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

// ReserveJobUnits allots units of the team to a job that starts.
func (s *State) ReserveJobUnits(team string, units uint64) *fault.Error {
	unallocated := s.Unallocated(team)
	if units > unallocated {
		return fault.New(fault.TeamLimit, "job needs %d units of team %s: %d are unallocated", units, team, unallocated)
	}
	if units > 0 {
		s.Teams[team].JobUnits += units
	}
	return nil
}

// ReleaseJobUnits frees units that ReserveJobUnits allotted, once their job has stopped running.
func (s *State) ReleaseJobUnits(team string, units uint64) {
	account := s.Teams[team]
	if account == nil {
		return
	}
	account.JobUnits -= min(units, account.JobUnits)
}
