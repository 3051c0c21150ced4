package escrow

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// Suspect bars a holder from further proposals. The members that vowed not to renew its lease must be a
// quorum of the zone's current members, and of each earlier membership that the holder may still use:
// a holder that is cut off from the log counts lease renewals against an earlier membership, and a
// quorum of the current members need not share a member with a quorum of that one. Instead of vows, an
// operator may confirm that the holder's host is off.
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

// checkVows returns an error unless the members that vowed are a quorum of the current members of the
// holder's zone and of each earlier membership that the holder may still use.
func (s *State) checkVows(holder *Member, vows []*v1.Vow) *fault.Error {
	if holder.Role != v1.Role_ROLE_GATEWAY {
		return fault.New(fault.VowsInsufficient, "%s isn't a gateway: an operator must confirm that its host is off", holder.Name)
	}
	currentVoters := s.currentVoters(holder.Zone)
	vowed := map[string]string{}
	for _, vow := range vows {
		for _, voter := range currentVoters {
			if voter.Name == vow.GetMember() && voter.Incarnation == vow.GetIncarnation() && voter.Name != holder.Name {
				vowed[voter.Name] = voter.Incarnation
			}
		}
	}
	if !isVowQuorum(currentVoters, vowed) {
		return fault.New(fault.VowsInsufficient, "%d vows of %d members of zone %s", len(vowed), len(currentVoters), holder.Zone)
	}
	for _, past := range s.PastMemberships[holder.Zone] {
		if past.EndOffset > holder.SeenOffset && !isVowQuorum(past.Voters, vowed) {
			return fault.New(fault.VowsInsufficient,
				"%d vows aren't a quorum of the %d members before offset %d, which the holder may still use",
				len(vowed), len(past.Voters), past.EndOffset)
		}
	}
	return nil
}

// isVowQuorum reports whether the voters that can't renew the holder's lease, because they vowed or have
// ended, are a quorum. The map vowed has the incarnation of each member that vowed, by name.
func isVowQuorum(voters []Voter, vowed map[string]string) bool {
	names := make([]string, 0, len(voters))
	cannotRenew := make(map[string]bool, len(voters))
	for _, voter := range voters {
		names = append(names, voter.Name)
		cannotRenew[voter.Name] = voter.Ended || vowed[voter.Name] == voter.Incarnation
	}
	return lease.IsQuorum(names, func(name string) bool { return cannotRenew[name] })
}

// Reclaim removes a suspected holder; the units of its rights become unallocated.
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

// recordMembership keeps the members of the zone as they were before the record at offset, which adds
// the changed member, removes it or makes it suspected.
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

// markEnded marks the process as ended in the past memberships of its zone.
func (s *State) markEnded(member *Member) {
	for _, membership := range s.PastMemberships[member.Zone] {
		for i, voter := range membership.Voters {
			if voter.Name == member.Name && voter.Incarnation == member.Incarnation {
				membership.Voters[i].Ended = true
			}
		}
	}
}

// pruneMemberships drops the past memberships that no current member of the zone may still use.
func (s *State) pruneMemberships(zone string) {
	oldestSeen := int64(-1)
	for _, member := range s.Processes {
		if member.Zone != zone || member.Role != v1.Role_ROLE_GATEWAY || member.Suspected {
			continue
		}
		if oldestSeen < 0 || member.SeenOffset < oldestSeen {
			oldestSeen = member.SeenOffset
		}
	}
	past := s.PastMemberships[zone]
	kept := past[:0]
	for _, membership := range past {
		if oldestSeen >= 0 && membership.EndOffset > oldestSeen {
			kept = append(kept, membership)
		}
	}
	if len(kept) == 0 {
		delete(s.PastMemberships, zone)
		return
	}
	s.PastMemberships[zone] = kept
}
