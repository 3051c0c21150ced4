package escrow

import (
	"fmt"
	"slices"
	"strings"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// CheckDocument returns an error of kind LimitBelowAllotted, with the holders, when the document
// sets a limit below what holders and jobs have, or drops a team that has something.
func (s *State) CheckDocument(next *structs.Document) *fault.Error {
	limits := make(map[string]uint64, len(next.Teams))
	for _, team := range next.Teams {
		limits[team.Name] = team.UpperLimit
	}
	for _, name := range s.teamNames() {
		account := s.Teams[name]
		if used := account.Held + account.JobUnits; used > limits[name] {
			return fault.Invalid(fault.LimitBelowAllotted, "teams."+name+".upperLimit",
				"limit %d is below the %d units allotted: %s", limits[name], used, s.describeAllotment(name))
		}
	}
	return nil
}

// describeAllotment names what has units of the team.
func (s *State) describeAllotment(team string) string {
	var parts []string
	for _, member := range s.Processes {
		if units := member.Rights[team]; units > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", member.Name, units))
		}
	}
	if jobs := s.Teams[team].JobUnits; jobs > 0 {
		parts = append(parts, fmt.Sprintf("jobs %d", jobs))
	}
	return strings.Join(parts, ", ")
}

func (s *State) teamNames() []string {
	names := make([]string, 0, len(s.Teams))
	for name := range s.Teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// AdoptDocument brings the state in line with an accepted document. A changed limit ends the
// surrender of its team.
func (s *State) AdoptDocument(next *structs.Document) {
	teams := make(map[string]*TeamAccount, len(next.Teams))
	for _, team := range next.Teams {
		account := s.Teams[team.Name]
		if account == nil {
			account = &TeamAccount{}
		}
		if account.Limit != team.UpperLimit {
			account.Limit = team.UpperLimit
			account.Surrendering, account.SurrenderTarget = false, 0
		}
		teams[team.Name] = account
	}
	s.Teams = teams
	s.LongestRunMS = longestRunMS(next)
	for _, member := range s.Processes {
		member.LongestRunMS = max(member.LongestRunMS, s.LongestRunMS)
		for team := range member.Wants {
			if teams[team] == nil {
				member.setWant(team, 0)
			}
		}
	}
}

// longestRunMS returns the longest permitted run of any pool, at least the default.
func longestRunMS(doc *structs.Document) int64 {
	longest := structs.DefaultMaxRunTime
	for _, pool := range doc.Pools {
		longest = max(longest, pool.RunTime())
	}
	return longest.Milliseconds()
}
