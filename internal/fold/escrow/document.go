package escrow

import (
	"fmt"
	"slices"
	"strings"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// CheckDocument returns an error of kind LimitBelowAllotted, which names the holders, if the document
// sets a team's limit below the units that its holders and running jobs have, or removes a team that
// has any.
func (s *State) CheckDocument(next *structs.Document) *fault.Error {
	limits := make(map[string]uint64, len(next.Teams))
	for _, team := range next.Teams {
		limits[team.Name] = team.UpperLimit
	}
	for _, name := range s.teamNames() {
		account := s.Teams[name]
		if allotted := account.Held + account.JobUnits; allotted > limits[name] {
			return fault.Invalid(fault.LimitBelowAllotted, "teams."+name+".upperLimit",
				"limit %d is below the %d units allotted: %s", limits[name], allotted, s.describeAllotment(name))
		}
	}
	return nil
}

// describeAllotment lists the holders that have units of the team, and the units of its running jobs.
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

// AdoptDocument updates the section to an accepted document. A changed limit ends the surrender of its
// team.
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

// longestRunMS returns the longest run, in milliseconds, that any pool of the document permits. It is at
// least the default.
func longestRunMS(doc *structs.Document) int64 {
	longest := structs.DefaultMaxRunTime
	for _, pool := range doc.Pools {
		longest = max(longest, pool.EffectiveMaxRunTime())
	}
	return longest.Milliseconds()
}
