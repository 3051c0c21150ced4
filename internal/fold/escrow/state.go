// Package escrow reduces membership and the rights of holders to the units of each team's limit.
//
// At every offset, the rights of all holders and the units of running jobs together are at most
// the limit of each team.
package escrow

import (
	"maps"
	"slices"
	"strings"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/structs"
)

// State is the section of the fleet state that the package reduces.
type State struct {
	// Teams are the teams of the accepted document by name.
	Teams map[string]*TeamAccount `json:"teams"`
	// Processes are the joined and the suspected process lifetimes in order of name and incarnation.
	Processes []*Member `json:"processes,omitempty"`
	// PastMemberships holds, for each zone, the earlier sets of members that some member may still use.
	PastMemberships map[string][]Membership `json:"past"`
	// EndedIncarnations is the highest ended incarnation of each proposer, up to maxEnded proposers.
	EndedIncarnations map[string]string `json:"ended"`
	// IncarnationFloor is the highest incarnation that was dropped from Ended.
	IncarnationFloor string `json:"floor,omitempty"`
	// LongestRunMS is the longest permitted run of the accepted document, in milliseconds.
	LongestRunMS int64 `json:"longestRunMs"`
}

// TeamAccount is the account of one team's limit.
type TeamAccount struct {
	Limit uint64 `json:"limit"`
	// Held is the sum of the rights of all holders.
	Held uint64 `json:"held,omitempty"`
	// JobUnits is the number of units of running jobs.
	JobUnits uint64 `json:"jobs,omitempty"`
	// Surrendering is set while Target bounds new claims and job starts below Limit.
	Surrendering    bool   `json:"surrender,omitempty"`
	SurrenderTarget uint64 `json:"target,omitempty"`
}

// Member is one joined process lifetime.
type Member struct {
	Name        string            `json:"name"`
	Incarnation string            `json:"incarnation"`
	Zone        string            `json:"zone"`
	Address     string            `json:"address"`
	Role        v1.Role           `json:"role"`
	LastSeq     uint64            `json:"lastSeq"`
	Suspected   bool              `json:"suspected,omitempty"`
	Rights      map[string]uint64 `json:"rights,omitempty"`
	// Wants is what the last claims of each team asked for and didn't get. It shows the other holders
	// who lacks rights, so that unused ones find their way there.
	Wants map[string]uint64 `json:"wants,omitempty"`
	// SeenOffset is the offset of the oldest view whose zone members the process may still use.
	SeenOffset int64 `json:"seen"`
	// LongestRunMS is the longest permitted run of any document since the process joined. A
	// request admitted before a later document shortened the run may last this long.
	LongestRunMS int64 `json:"longestRunMs"`
}

// Membership is a former set of members of a zone.
type Membership struct {
	// EndOffset is the offset of the record that ended it.
	EndOffset int64   `json:"until"`
	Voters    []Voter `json:"voters"`
}

// Voter is one gateway of a former membership.
type Voter struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	// Ended is set once the process is known to have ended, so that it answers nobody.
	Ended bool `json:"gone,omitempty"`
}

// maxEndedProposers bounds the proposers whose last incarnation is kept by name. Beyond it, Floor rejects
// late duplicates, which also rejects a new proposer whose clock is behind by more than the time
// that 4,096 replacements take.
const maxEndedProposers = 4096

// maxTextBytes bounds each name, incarnation, zone and address of the section.
const maxTextBytes = 128

// New returns an empty section.
func New() *State {
	return &State{
		Teams:             map[string]*TeamAccount{},
		PastMemberships:   map[string][]Membership{},
		EndedIncarnations: map[string]string{},
		LongestRunMS:      structs.DefaultMaxRunTime.Milliseconds(),
	}
}

// Members returns the joined processes of the role in order of name, the suspected ones included.
func (s *State) Members(role v1.Role) []Member {
	var members []Member
	for _, member := range s.Processes {
		if member.Role == role {
			members = append(members, *member)
		}
	}
	return members
}

// GatewayEntry returns the member as gateways see it.
func (m Member) GatewayEntry() structs.GatewayEntry {
	return structs.GatewayEntry{
		Name: m.Name, Incarnation: m.Incarnation, Zone: m.Zone, Address: m.Address,
		Suspected: m.Suspected, LongestRunMS: m.LongestRunMS, SeenOffset: m.SeenOffset,
		Rights: maps.Clone(m.Rights), Wants: maps.Clone(m.Wants), LastSeq: m.LastSeq,
	}
}

// Unallocated returns the units of the team that no holder and no job has. During a surrender it
// counts up to the target only.
func (s *State) Unallocated(team string) uint64 {
	account := s.Teams[team]
	if account == nil {
		return 0
	}
	bound := account.Limit
	if account.Surrendering && account.SurrenderTarget < bound {
		bound = account.SurrenderTarget
	}
	used := account.Held + account.JobUnits
	if used >= bound {
		return 0
	}
	return bound - used
}

// SurrenderTargets returns, for the teams under surrender, the bound on the rights of all holders
// together: the target less the units of running jobs. It is nil when there are none.
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

// findMember returns the process lifetime and its place, or the place where it belongs.
func (s *State) findMember(name, incarnation string) (*Member, int) {
	place, found := slices.BinarySearchFunc(s.Processes, nil, func(m *Member, _ *Member) int {
		if order := strings.Compare(m.Name, name); order != 0 {
			return order
		}
		return strings.Compare(m.Incarnation, incarnation)
	})
	if !found {
		return nil, place
	}
	return s.Processes[place], place
}

// removeMember drops the process lifetime and keeps what rejects its late duplicates.
func (s *State) removeMember(member *Member) {
	_, place := s.findMember(member.Name, member.Incarnation)
	s.Processes = slices.Delete(s.Processes, place, place+1)
	s.recordEndedIncarnation(member.Name, member.Incarnation)
}

// recordEndedIncarnation notes that the incarnation can't join again.
func (s *State) recordEndedIncarnation(name, incarnation string) {
	if incarnation > s.EndedIncarnations[name] {
		s.EndedIncarnations[name] = incarnation
	}
	if len(s.EndedIncarnations) <= maxEndedProposers {
		return
	}
	oldest := ""
	for candidate, last := range s.EndedIncarnations {
		current := s.EndedIncarnations[oldest]
		if oldest == "" || last < current || (last == current && candidate < oldest) {
			oldest = candidate
		}
	}
	s.IncarnationFloor = max(s.IncarnationFloor, s.EndedIncarnations[oldest])
	delete(s.EndedIncarnations, oldest)
}
