// Package escrow is the section of the fleet state with the joined processes and the rights to units of
// each team's limit. A gateway that has rights is their holder.
//
// At every offset, the rights of all holders and the units of running jobs together are at most the limit
// of each team.
package escrow

import (
	"maps"
	"slices"
	"strings"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// State is the escrow section of the fleet state.
type State struct {
	// Teams are the teams of the accepted document by name.
	Teams map[string]*TeamAccount `json:"teams"`
	// Processes are the joined and the suspected process lifetimes in order of name and incarnation.
	Processes []*Member `json:"processes,omitempty"`
	// PastMemberships has, for each zone, the earlier memberships that some member may still use.
	PastMemberships map[string][]Membership `json:"past"`
	// EndedIncarnations has the highest ended incarnation of each proposer, for at most
	// maxEndedProposers proposers.
	EndedIncarnations map[string]string `json:"ended"`
	// IncarnationFloor is the highest incarnation that was dropped from EndedIncarnations.
	IncarnationFloor string `json:"floor,omitempty"`
	// LongestRunMS is the longest run, in milliseconds, that the accepted document permits.
	LongestRunMS int64 `json:"longestRunMs"`
}

// TeamAccount is one team's limit and the units that are allotted from it.
type TeamAccount struct {
	Limit uint64 `json:"limit"`
	// Held is the sum of the rights of all holders.
	Held uint64 `json:"held,omitempty"`
	// JobUnits is the number of units of running jobs.
	JobUnits uint64 `json:"jobs,omitempty"`
	// Surrendering is set while SurrenderTarget, which is below Limit, bounds new claims and job starts.
	Surrendering    bool   `json:"surrender,omitempty"`
	SurrenderTarget uint64 `json:"target,omitempty"`
}

// Member is one process lifetime that has joined. It stays a member until it leaves or is superseded
// without rights, or until its rights are reclaimed.
type Member struct {
	Name        string            `json:"name"`
	Incarnation string            `json:"incarnation"`
	Zone        string            `json:"zone"`
	Address     string            `json:"address"`
	Role        v1.Role           `json:"role"`
	LastSeq     uint64            `json:"lastSeq"`
	Suspected   bool              `json:"suspected,omitempty"`
	Rights      map[string]uint64 `json:"rights,omitempty"`
	// Wants is, for each team, the number of units that the last claim asked for and didn't get. The
	// other holders read it in the view and transfer unused rights to the members that lack some.
	Wants map[string]uint64 `json:"wants,omitempty"`
	// SeenOffset is the offset of the oldest view whose zone members the process may still use.
	SeenOffset int64 `json:"seen"`
	// LongestRunMS is the longest run that any document since the process joined permitted. A request
	// that was admitted before a later document shortened it may still run for this long.
	LongestRunMS int64 `json:"longestRunMs"`
}

// Membership is an earlier set of gateways that were the members of a zone.
type Membership struct {
	// EndOffset is the offset of the record that changed the members.
	EndOffset int64   `json:"until"`
	Voters    []Voter `json:"voters"`
}

// Voter is a gateway that counts for the quorums of its zone.
type Voter struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Ended is set once the process is known to have ended. It can't renew a lease any more, so it counts
	// like a member that vowed not to.
	Ended bool `json:"gone,omitempty"`
}

// maxEndedProposers bounds the proposers whose highest ended incarnation is kept by name. For all others,
// IncarnationFloor rejects late duplicates. It also rejects the join of a new proposer whose clock lags
// by more than the time in which 4,096 proposers end.
const maxEndedProposers = 4096

// maxTextBytes bounds each name, incarnation, zone and address of the section.
const maxTextBytes = 128

// New returns the section before the first record.
func New() *State {
	return &State{
		Teams:             map[string]*TeamAccount{},
		PastMemberships:   map[string][]Membership{},
		EndedIncarnations: map[string]string{},
		LongestRunMS:      structs.DefaultMaxRunTime.Milliseconds(),
	}
}

// Members returns the members with the role in order of name, including suspected ones.
func (s *State) Members(role v1.Role) []Member {
	var members []Member
	for _, member := range s.Processes {
		if member.Role == role {
			members = append(members, *member)
		}
	}
	return members
}

// GatewayEntry returns the member's entry in the view of gateways.
func (m Member) GatewayEntry() structs.GatewayEntry {
	return structs.GatewayEntry{
		Name: m.Name, Incarnation: m.Incarnation, Zone: m.Zone, Address: m.Address,
		Suspected: m.Suspected, LongestRunMS: m.LongestRunMS, SeenOffset: m.SeenOffset,
		Rights: maps.Clone(m.Rights), Wants: maps.Clone(m.Wants), LastSeq: m.LastSeq,
	}
}

// Unallocated returns the number of the team's units that no holder and no running job has. During a
// surrender, the surrender target takes the place of the limit.
func (s *State) Unallocated(team string) uint64 {
	account := s.Teams[team]
	if account == nil {
		return 0
	}
	bound := account.Limit
	if account.Surrendering && account.SurrenderTarget < bound {
		bound = account.SurrenderTarget
	}
	allotted := account.Held + account.JobUnits
	if allotted >= bound {
		return 0
	}
	return bound - allotted
}

// SurrenderTargets returns, for the teams under surrender, the bound on the rights of all holders
// together: the target less the units of running jobs. It is nil if there are no such teams.
func (s *State) SurrenderTargets() map[string]uint64 {
	var targets map[string]uint64
	for name, account := range s.Teams {
		if !account.Surrendering {
			continue
		}
		if targets == nil {
			targets = map[string]uint64{}
		}
		targets[name] = account.SurrenderTarget - min(account.JobUnits, account.SurrenderTarget)
	}
	return targets
}

// findMember returns the member and its index in Processes, or nil and the index at which to insert it.
func (s *State) findMember(name, incarnation string) (*Member, int) {
	index, found := slices.BinarySearchFunc(s.Processes, nil, func(m *Member, _ *Member) int {
		if order := strings.Compare(m.Name, name); order != 0 {
			return order
		}
		return strings.Compare(m.Incarnation, incarnation)
	})
	if !found {
		return nil, index
	}
	return s.Processes[index], index
}

// removeMember removes the member and records its incarnation, so that late duplicates of its Join are
// rejected.
func (s *State) removeMember(member *Member) {
	_, index := s.findMember(member.Name, member.Incarnation)
	s.Processes = slices.Delete(s.Processes, index, index+1)
	s.recordEndedIncarnation(member.Name, member.Incarnation)
}

// recordEndedIncarnation records that the incarnation and all earlier ones of the name can't join again.
// If that exceeds maxEndedProposers, it drops the proposer with the lowest incarnation and raises
// IncarnationFloor to that.
func (s *State) recordEndedIncarnation(name, incarnation string) {
	if incarnation > s.EndedIncarnations[name] {
		s.EndedIncarnations[name] = incarnation
	}
	if len(s.EndedIncarnations) <= maxEndedProposers {
		return
	}
	oldest := ""
	for candidate, last := range s.EndedIncarnations {
		lowest := s.EndedIncarnations[oldest]
		if oldest == "" || last < lowest || (last == lowest && candidate < oldest) {
			oldest = candidate
		}
	}
	s.IncarnationFloor = max(s.IncarnationFloor, s.EndedIncarnations[oldest])
	delete(s.EndedIncarnations, oldest)
}
