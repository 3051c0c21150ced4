package escrow

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// Suspect bars a holder from further proposals. The vows must be a quorum of the zone's members
// now, and of each former membership that the holder may still use: a holder that is cut off from
// the log counts answers against an old membership, and a quorum of the new one alone needn't
// share a member with it.
func (s *State) Suspect(env structs.Envelope, p *v1.Suspect) *fault.Error {
	member, err := s.current(p.GetHolder(), p.GetHolderIncarnation())
	if err != nil {
		return err
	}
	if p.GetConfirmedBy() == "" {
		if err := s.checkVows(member, p.GetVows()); err != nil {
			return err
		}
	}
	s.recordMembers(member, env.Offset)
	member.Suspected = true
	if p.GetConfirmedBy() != "" {
		s.markGone(member)
	}
	s.pruneMembers(member.Zone)
	return nil
}

// checkVows returns an error unless the vows are quorums of all memberships that count.
func (s *State) checkVows(holder *Member, vows []*v1.Vow) *fault.Error {
	if holder.Role != v1.Role_ROLE_GATEWAY {
		return fault.New(fault.VowsInsufficient, "%s isn't a gateway: an operator must confirm that its host is off", holder.Name)
	}
	now := s.voters(holder.Zone)
	vowed := map[string]string{}
	for _, vow := range vows {
		for _, voter := range now {
			if voter.Name == vow.GetMember() && voter.Incarnation == vow.GetIncarnation() && voter.Name != holder.Name {
				vowed[voter.Name] = voter.Incarnation
			}
		}
	}
	if !vowQuorum(now, vowed) {
		return fault.New(fault.VowsInsufficient, "%d vows of %d members of zone %s", len(vowed), len(now), holder.Zone)
	}
	for _, former := range s.Past[holder.Zone] {
		if former.Until > holder.SeenOffset && !vowQuorum(former.Voters, vowed) {
			return fault.New(fault.VowsInsufficient,
				"%d vows aren't a quorum of the %d members before offset %d, which the holder may still use",
				len(vowed), len(former.Voters), former.Until)
		}
	}
	return nil
}

// vowQuorum reports whether the voters that vowed or have ended are a quorum of voters.
func vowQuorum(voters []Voter, vowed map[string]string) bool {
	names := make([]string, 0, len(voters))
	silent := make(map[string]bool, len(voters))
	for _, voter := range voters {
		names = append(names, voter.Name)
		silent[voter.Name] = voter.Gone || vowed[voter.Name] == voter.Incarnation
	}
	return lease.IsQuorum(names, func(name string) bool { return silent[name] })
}

// Reclaim makes the rights of a suspected holder unallocated.
func (s *State) Reclaim(env structs.Envelope, p *v1.Reclaim) *fault.Error {
	member, _ := s.find(p.GetHolder(), p.GetHolderIncarnation())
	if member == nil {
		return fault.New(fault.ProposerUnknown, "%s %s isn't known", p.GetHolder(), p.GetHolderIncarnation())
	}
	if !member.Suspected {
		return fault.New(fault.RequestInvalid, "%s %s isn't suspected", p.GetHolder(), p.GetHolderIncarnation())
	}
	for team, units := range member.Rights {
		s.Teams[team].Held -= units
	}
	member.Rights = nil
	s.remove(member)
	return nil
}

// voters returns the gateways of the zone that are joined and not suspected.
func (s *State) voters(zone string) []Voter {
	var voters []Voter
	for _, member := range s.Processes {
		if member.Zone == zone && member.Role == v1.Role_ROLE_GATEWAY && !member.Suspected {
			voters = append(voters, Voter{Name: member.Name, Incarnation: member.Incarnation})
		}
	}
	return voters
}

// recordMembers keeps the members of the zone as they were before the record at offset, which
// changes the place of one of them.
func (s *State) recordMembers(changed *Member, offset int64) {
	if changed.Role != v1.Role_ROLE_GATEWAY {
		return
	}
	zone := changed.Zone
	past := s.Past[zone]
	if len(past) > 0 && past[len(past)-1].Until == offset {
		return
	}
	voters := s.voters(zone)
	if len(voters) == 0 {
		return
	}
	s.Past[zone] = append(past, Membership{Until: offset, Voters: voters})
}

// markGone notes in former memberships that the process has ended.
func (s *State) markGone(member *Member) {
	for _, former := range s.Past[member.Zone] {
		for i, voter := range former.Voters {
			if voter.Name == member.Name && voter.Incarnation == member.Incarnation {
				former.Voters[i].Gone = true
			}
		}
	}
}

// pruneMembers drops former memberships that no current member of the zone uses any more.
func (s *State) pruneMembers(zone string) {
	oldest := int64(-1)
	for _, member := range s.Processes {
		if member.Zone != zone || member.Role != v1.Role_ROLE_GATEWAY || member.Suspected {
			continue
		}
		if oldest < 0 || member.SeenOffset < oldest {
			oldest = member.SeenOffset
		}
	}
	past := s.Past[zone]
	kept := past[:0]
	for _, former := range past {
		if oldest >= 0 && former.Until > oldest {
			kept = append(kept, former)
		}
	}
	if len(kept) == 0 {
		delete(s.Past, zone)
		return
	}
	s.Past[zone] = kept
}
