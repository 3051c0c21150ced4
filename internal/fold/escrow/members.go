package escrow

import (
	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// Admit rejects duplicates and proposals of unknown or suspected proposers, and records the sequence
// number of a member's proposal. It runs before the reducer of every payload.
func (s *State) Admit(env structs.Envelope, joining bool) *fault.Error {
	member, _ := s.findMember(env.Proposer, env.Incarnation)
	if member == nil {
		if !joining {
			return fault.New(fault.ProposerUnknown, "%s %s has not joined or was replaced", env.Proposer, env.Incarnation)
		}
		return s.admitJoin(env)
	}
	if env.Seq <= member.LastSeq {
		return fault.New(fault.ProposalDuplicate, "%s %s: proposal %d was read before", env.Proposer, env.Incarnation, env.Seq)
	}
	member.LastSeq = env.Seq
	if member.Suspected {
		return fault.New(fault.HolderSuspected, "%s %s is suspected", env.Proposer, env.Incarnation)
	}
	return nil
}

// admitJoin rejects an incarnation that isn't above every earlier one of the proposer. Incarnations
// ascend in string order, so the highest one of a proposer is enough to recognise duplicates of any age.
func (s *State) admitJoin(env structs.Envelope) *fault.Error {
	if env.Proposer == "" || len(env.Proposer) > maxTextBytes || len(env.Incarnation) > maxTextBytes {
		return fault.New(fault.RequestInvalid, "join without a name, or with one above %d bytes", maxTextBytes)
	}
	last := s.lastIncarnation(env.Proposer)
	if env.Incarnation <= last {
		return fault.New(fault.ProposalDuplicate, "%s: incarnation %q isn't above %q", env.Proposer, env.Incarnation, last)
	}
	return nil
}

// lastIncarnation returns the highest incarnation that has joined under the name, or IncarnationFloor if
// none is known.
func (s *State) lastIncarnation(name string) string {
	last, known := s.EndedIncarnations[name]
	for _, member := range s.Processes {
		if member.Name == name {
			last, known = max(last, member.Incarnation), true
		}
	}
	if !known {
		return s.IncarnationFloor
	}
	return last
}

// Join adds a process lifetime and supersedes the earlier ones of the same name, which have ended, since
// names are unique among running processes. An earlier lifetime that has rights stays a member until the
// rights are reclaimed.
func (s *State) Join(env structs.Envelope, p *v1.Join) *fault.Error {
	if err := checkJoin(p); err != nil {
		return err
	}
	member, _ := s.findMember(env.Proposer, env.Incarnation)
	if member != nil {
		return fault.New(fault.ProposalDuplicate, "%s %s has joined before", env.Proposer, env.Incarnation)
	}
	member = &Member{
		Name: env.Proposer, Incarnation: env.Incarnation,
		Zone: p.GetZone(), Address: p.GetAddress(), Role: p.GetRole(),
		LastSeq: env.Seq, SeenOffset: env.Offset, LongestRunMS: s.LongestRunMS,
	}
	s.recordMembership(member, env.Offset)
	for _, earlier := range s.membersNamed(env.Proposer) {
		s.supersede(earlier, env.Offset)
	}
	_, index := s.findMember(member.Name, member.Incarnation)
	s.Processes = append(s.Processes[:index:index], append([]*Member{member}, s.Processes[index:]...)...)
	s.pruneMemberships(member.Zone)
	return nil
}

func checkJoin(p *v1.Join) *fault.Error {
	if p.GetRole() != v1.Role_ROLE_GATEWAY && p.GetRole() != v1.Role_ROLE_CONTROLLER {
		return fault.New(fault.RequestInvalid, "join with role %v", p.GetRole())
	}
	if p.GetZone() == "" || len(p.GetZone()) > maxTextBytes || len(p.GetAddress()) > maxTextBytes {
		return fault.New(fault.RequestInvalid, "join without a zone, or with a text above %d bytes", maxTextBytes)
	}
	return nil
}

// membersNamed returns the members with the name, one for each incarnation.
func (s *State) membersNamed(name string) []*Member {
	var members []*Member
	for _, member := range s.Processes {
		if member.Name == name {
			members = append(members, member)
		}
	}
	return members
}

// supersede marks an earlier lifetime as ended and suspected, and removes it if it has no rights.
func (s *State) supersede(member *Member, offset int64) {
	if !member.Suspected {
		s.recordMembership(member, offset)
	}
	member.Suspected = true
	s.markEnded(member)
	s.pruneMemberships(member.Zone)
	if len(member.Rights) == 0 {
		s.removeMember(member)
	}
}

// Leave removes the proposer, which must have no rights.
func (s *State) Leave(env structs.Envelope, p *v1.Leave) *fault.Error {
	member, err := s.currentProposer(env)
	if err != nil {
		return err
	}
	if len(member.Rights) > 0 {
		return fault.New(fault.RightsHeld, "%s %s still has rights of %d teams", member.Name, member.Incarnation, len(member.Rights))
	}
	s.recordMembership(member, env.Offset)
	s.markEnded(member)
	s.removeMember(member)
	s.pruneMemberships(member.Zone)
	return nil
}

// Heartbeat accepts a heartbeat, which renews the lease of its proposer. It records the offset of the oldest
// view whose zone members the proposer may still use.
func (s *State) Heartbeat(env structs.Envelope, p *v1.Heartbeat) *fault.Error {
	member, err := s.currentProposer(env)
	if err != nil {
		return err
	}
	member.SeenOffset = max(member.SeenOffset, min(p.GetSeenOffset(), env.Offset))
	s.pruneMemberships(member.Zone)
	return nil
}

// currentProposer returns the proposer of the record, which must have joined and not be suspected.
func (s *State) currentProposer(env structs.Envelope) (*Member, *fault.Error) {
	return s.currentMember(env.Proposer, env.Incarnation)
}

// currentMember returns the member with the name and incarnation, which must not be suspected.
func (s *State) currentMember(name, incarnation string) (*Member, *fault.Error) {
	member, _ := s.findMember(name, incarnation)
	if member == nil {
		return nil, fault.New(fault.ProposerUnknown, "%s %s has not joined or was replaced", name, incarnation)
	}
	if member.Suspected {
		return nil, fault.New(fault.HolderSuspected, "%s %s is suspected", name, incarnation)
	}
	return member, nil
}

// currentHolder returns a current member that may hold rights, which only gateways may.
func (s *State) currentHolder(name, incarnation string) (*Member, *fault.Error) {
	member, err := s.currentMember(name, incarnation)
	if err != nil {
		return nil, err
	}
	if member.Role != v1.Role_ROLE_GATEWAY {
		return nil, fault.New(fault.RequestInvalid, "%s isn't a gateway: only gateways hold rights", name)
	}
	return member, nil
}
