package console

import (
	"fmt"

	"turmericyoke/internal/structs"
)

// teamsPage compares what each team has with its share. Gateways don't report running requests to
// controllers, so the page has only the rights held and the running job units for the comparison.
type teamsPage struct {
	Teams []teamRow
	// Rights and Jobs are the sums over all teams.
	Rights, Jobs uint64
}

// teamRow is one team. SharePart, RightsPart and JobsPart are percentages of the sums over all teams, or "-"
// if the sum is 0.
type teamRow struct {
	structs.TeamStatus
	SharePart, RightsPart, JobsPart string
	// Note is the reason why the team can't have more units now, or empty.
	Note string
}

func newTeamsPage(teams []structs.TeamStatus) teamsPage {
	var page teamsPage
	var totalShares uint64
	for _, team := range teams {
		totalShares += uint64(max(team.Share, 0))
		page.Rights += team.Held
		page.Jobs += team.JobUnits
	}
	for _, team := range teams {
		share := uint64(max(team.Share, 0))
		page.Teams = append(page.Teams, teamRow{
			TeamStatus: team,
			SharePart:  formatPercentage(share, totalShares),
			RightsPart: formatPercentage(team.Held, page.Rights),
			JobsPart:   formatPercentage(team.JobUnits, page.Jobs),
			Note:       teamNote(team),
		})
	}
	return page
}

// formatPercentage formats part as a percentage of whole, or as "-" if whole is 0.
func formatPercentage(part, whole uint64) string {
	if whole == 0 {
		return "-"
	}
	const percent = 100
	return fmt.Sprintf("%.1f%%", percent*float64(part)/float64(whole))
}

func teamNote(team structs.TeamStatus) string {
	switch {
	case team.SurrenderTarget != nil:
		return fmt.Sprintf("the limit is being lowered to %d", *team.SurrenderTarget)
	case team.Unallocated == 0:
		return "all units are with holders and jobs"
	default:
		return ""
	}
}
