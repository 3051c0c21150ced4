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
	member, err := s.currentMember(p.GetHolder(), p.GetHolderIncarnation())
	if err != nil {
		return err
	}
	if p.GetConfirmedBy() == "" {
		if err := s.checkVows(member, p.GetVows()); err != nil {
			return err
		}
	}
	s.recordMembership(member, env.Offset)
	member.Suspected = true
	if p.GetConfirmedBy() != "" {
		s.markEnded(member)
	}
	s.pruneMemberships(member.Zone)
	return nil
}

// checkVows returns an error unless the vows are quorums of all memberships that count.
func (s *State) checkVows(holder *Member, vows []*v1.Vow) *fault.Error {
	if holder.Role != v1.Role_ROLE_GATEWAY {
		return fault.New(fault.VowsInsufficient, "%s isn't a gateway: an operator must confirm that its host is off", holder.Name)
	}
	now := s.currentVoters(holder.Zone)
	vowed := map[string]string{}
	for _, vow := range vows {
		for _, voter := range now {
			if voter.Name == vow.GetMember() && voter.Incarnation == vow.GetIncarnation() && voter.Name != holder.Name {
				vowed[voter.Name] = voter.Incarnation
			}
		}
	}
	if !isVowQuorum(now, vowed) {
		return fault.New(fault.VowsInsufficient, "%d vows of %d members of zone %s", len(vowed), len(now), holder.Zone)
	}
	for _, former := range s.PastMemberships[holder.Zone] {
		if former.EndOffset > holder.SeenOffset && !isVowQuorum(former.Voters, vowed) {
			return fault.New(fault.VowsInsufficient,
				"%d vows aren't a quorum of the %d members before offset %d, which the holder may still use",
				len(vowed), len(former.Voters), former.EndOffset)
		}
	}
	return nil
}

// isVowQuorum reports whether the voters that vowed or have ended are a quorum of voters.
func isVowQuorum(voters []Voter, vowed map[string]string) bool {
	names := make([]string, 0, len(voters))
	silent := make(map[string]bool, len(voters))
	for _, voter := range voters {
		names = append(names, voter.Name)
		silent[voter.Name] = voter.Ended || vowed[voter.Name] == voter.Incarnation
	}
	return lease.IsQuorum(names, func(name string) bool { return silent[name] })
}

// Reclaim makes the rights of a suspected holder unallocated.
func (s *State) Reclaim(env structs.Envelope, p *v1.Reclaim) *fault.Error {
	member, _ := s.findMember(p.GetHolder(), p.GetHolderIncarnation())
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
	s.removeMember(member)
	return nil
}

// currentVoters returns the gateways of the zone that are joined and not suspected.
func (s *State) currentVoters(zone string) []Voter {
	var voters []Voter
	for _, member := range s.Processes {
		if member.Zone == zone && member.Role == v1.Role_ROLE_GATEWAY && !member.Suspected {
			voters = append(voters, Voter{Name: member.Name, Incarnation: member.Incarnation})
		}
	}
	return voters
}

// recordMembership keeps the members of the zone as they were before the record at offset, which
// changes the place of one of them.
func (s *State) recordMembership(changed *Member, offset int64) {
	if changed.Role != v1.Role_ROLE_GATEWAY {
		return
	}
	zone := changed.Zone
	past := s.PastMemberships[zone]
	if len(past) > 0 && past[len(past)-1].EndOffset == offset {
		return
	}
	voters := s.currentVoters(zone)
	if len(voters) == 0 {
		return
	}
	s.PastMemberships[zone] = append(past, Membership{EndOffset: offset, Voters: voters})
}

// markEnded notes in former memberships that the process has ended.
func (s *State) markEnded(member *Member) {
	for _, former := range s.PastMemberships[member.Zone] {
		for i, voter := range former.Voters {
			if voter.Name == member.Name && voter.Incarnation == member.Incarnation {
				former.Voters[i].Ended = true
			}
		}
	}
}

// pruneMemberships drops former memberships that no current member of the zone uses any more.
func (s *State) pruneMemberships(zone string) {
	oldest := int64(-1)
	for _, member := range s.Processes {
		if member.Zone != zone || member.Role != v1.Role_ROLE_GATEWAY || member.Suspected {
			continue
		}
		if oldest < 0 || member.SeenOffset < oldest {
			oldest = member.SeenOffset
		}
	}
	past := s.PastMemberships[zone]
	kept := past[:0]
	for _, former := range past {
		if oldest >= 0 && former.EndOffset > oldest {
			kept = append(kept, former)
		}
	}
	if len(kept) == 0 {
		delete(s.PastMemberships, zone)
		return
	}
	s.PastMemberships[zone] = kept
}
