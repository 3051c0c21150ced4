package adminclient

import (
	"context"
	"errors"
	"strings"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/structs"
)

// surrenderPollInterval is the time between two queries for the rights that holders still have.
const surrenderPollInterval = 500 * time.Millisecond

// ChangePlan is a validated change set that turns Base, the accepted document, into Next.
type ChangePlan struct {
	Base      *structs.DocumentStatus
	Next      *structs.Document
	ChangeSet *v1.ChangeSet
}

// Plan validates next and compares it with the accepted document. The plan has no changes if the two are equal, which
// takes a document that is known to be current. With changes, a base that isn't current leads to a version conflict.
func (c *Client) Plan(ctx context.Context, id, author, comment string, next *structs.Document) (*ChangePlan, error) {
	if err := document.Validate(next); err != nil {
		return nil, err
	}
	base, err := c.Document(ctx)
	if err != nil {
		return nil, err
	}
	changePlan, err := PlanFrom(base, id, author, comment, next)
	if err != nil || len(changePlan.ChangeSet.GetChanges()) > 0 {
		return changePlan, err
	}
	base, err = c.CurrentDocument(ctx)
	if err != nil {
		return nil, err
	}
	return PlanFrom(base, id, author, comment, next)
}

// PlanFrom validates next and compares it with base, the accepted document that next was made from.
func PlanFrom(base *structs.DocumentStatus, id, author, comment string, next *structs.Document) (*ChangePlan, error) {
	if err := document.Validate(next); err != nil {
		return nil, err
	}
	changeSet, err := document.NewChangeSet(id, author, comment, base.Version, &base.Document, next)
	if err != nil {
		return nil, err
	}
	return &ChangePlan{Base: base, Next: next, ChangeSet: changeSet}, nil
}

// Publish proposes the change set and returns the configuration version with the change. If the plan lowers
// upper limits of teams, it first asks holders to return unused rights, and waits until the rights and job
// units of each of these teams fit the team's new limit. If the change set is rejected, holders may claim rights up to the
// accepted limits again.
func (c *Client) Publish(ctx context.Context, changePlan *ChangePlan) (uint64, error) {
	author := changePlan.ChangeSet.GetAuthor()
	lowered := loweredTeams(&changePlan.Base.Document, changePlan.Next)
	for _, team := range lowered {
		if err := c.surrenderUnusedRights(ctx, author, team); err != nil {
			return 0, errors.Join(err, c.cancelSurrenders(ctx, changePlan, lowered))
		}
	}
	record := &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: changePlan.ChangeSet}}
	response, err := c.Propose(ctx, author, record)
	if err == nil {
		return response.GetConfigVersion(), nil
	}
	version, err := c.resolveOutcome(ctx, changePlan, response.GetOffset(), err)
	if err != nil && fault.KindOf(err) != fault.AppendUnsettled {
		return 0, errors.Join(err, c.cancelSurrenders(ctx, changePlan, lowered))
	}
	return version, err
}

// resolveOutcome searches the verdicts for the change set if cause leaves open whether it was accepted. This
// includes a version conflict, which is also the verdict on a change set that is proposed a second time. It
// returns cause unless the change set was accepted. The verdicts must include the one on the conflict, at the offset:
// older ones may lack that on the first proposal.
func (c *Client) resolveOutcome(ctx context.Context, changePlan *ChangePlan, offset int64, cause error) (uint64, error) {
	kind := fault.KindOf(cause)
	if kind != fault.AppendUnsettled && kind != fault.VersionConflict {
		return 0, cause
	}
	var verdicts []structs.VerdictStatus
	if _, err := c.queryWhere(ctx, "verdicts", "", atOffset(offset), &verdicts); err != nil {
		return 0, fault.Wrap(fault.AppendUnsettled, errors.Join(cause, err), "the change may have been accepted before")
	}
	for _, verdict := range verdicts {
		// The subject of a verdict on a change set starts with the id, which is random and unique.
		if verdict.Accepted && strings.HasPrefix(verdict.Subject, changePlan.ChangeSet.GetId()) {
			return verdict.ConfigVersion, nil
		}
	}
	return 0, cause
}

// cancelSurrenders sets the surrender targets back to the accepted limits, since a lower target blocks new
// claims until another limit is accepted. Another change may have been accepted since the plan was made. It also works
// after ctx has ended.
func (c *Client) cancelSurrenders(ctx context.Context, changePlan *ChangePlan, lowered []structs.Team) error {
	if len(lowered) == 0 {
		return nil
	}
	accepted, err := c.Document(context.WithoutCancel(ctx))
	if err != nil {
		accepted = changePlan.Base
	}
	acceptedLimits := map[string]uint64{}
	for _, team := range accepted.Document.Teams {
		acceptedLimits[team.Name] = team.UpperLimit
	}
	var errs []error
	for _, team := range lowered {
		if limit, known := acceptedLimits[team.Name]; known {
			errs = append(errs, c.proposeSurrender(context.WithoutCancel(ctx), changePlan.ChangeSet.GetAuthor(), team.Name, limit))
		}
	}
	return errors.Join(errs...)
}

func (c *Client) proposeSurrender(ctx context.Context, author, team string, target uint64) error {
	payload := &v1.Surrender{Team: team, Target: target}
	_, err := c.Propose(ctx, author, &v1.Record{Payload: &v1.Record_Surrender{Surrender: payload}})
	return err
}

// surrenderUnusedRights asks holders to return unused rights of the team, and waits until the rights held and
// the job units running fit the team's new limit.
func (c *Client) surrenderUnusedRights(ctx context.Context, author string, team structs.Team) error {
	if err := c.proposeSurrender(ctx, author, team.Name, team.UpperLimit); err != nil {
		return err
	}
	ticker := time.NewTicker(surrenderPollInterval)
	defer ticker.Stop()
	for {
		status, err := c.teamStatus(ctx, team.Name)
		if err != nil {
			return err
		}
		if status.Held+status.JobUnits <= team.UpperLimit {
			return nil
		}
		select {
		case <-ctx.Done():
			return fault.New(fault.LimitBelowAllotted, "team %s: %d units are still held or running, the new limit is %d",
				team.Name, status.Held+status.JobUnits, team.UpperLimit)
		case <-ticker.C:
		}
	}
}

func (c *Client) teamStatus(ctx context.Context, name string) (structs.TeamStatus, error) {
	var teams []structs.TeamStatus
	if _, err := c.Query(ctx, "teams", name, &teams); err != nil {
		return structs.TeamStatus{}, err
	}
	for _, team := range teams {
		if team.Name == name {
			return team, nil
		}
	}
	return structs.TeamStatus{}, fault.New(fault.DocumentInvalid, "team %q isn't known", name)
}

// loweredTeams returns the teams of next whose upper limit is lower than in base.
func loweredTeams(base, next *structs.Document) []structs.Team {
	limits := map[string]uint64{}
	for _, team := range base.Teams {
		limits[team.Name] = team.UpperLimit
	}
	var lowered []structs.Team
	for _, team := range next.Teams {
		if limit, known := limits[team.Name]; known && team.UpperLimit < limit {
			lowered = append(lowered, team)
		}
	}
	return lowered
}
