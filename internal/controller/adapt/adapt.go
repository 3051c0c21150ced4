// Package adapt gives the control loops their view of the follower, the proposer and the ranking.
package adapt

import (
	"context"
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/controller/rank"
	"turmericyoke/internal/controller/schedule"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/structs"
)

// logSilence is the age of the state from which the log counts as unreachable, so that no planned
// stop begins. It is above the freshness of a quiet log, which is two polls of 2 s.
const logSilence = 10 * time.Second

// Follower reads the fleet state.
type Follower interface {
	Read(use func(*fold.State)) bool
	Freshness() (time.Duration, bool)
}

// VerdictProposer appends records and tells the verdict of the fold.
type VerdictProposer interface {
	Propose(ctx context.Context, record *v1.Record) (fold.Verdict, error)
}

// ErrorProposer turns rejections into errors.
type ErrorProposer struct{ Proposer VerdictProposer }

// Propose implements the proposers of the control loops.
func (v ErrorProposer) Propose(ctx context.Context, record *v1.Record) error {
	verdict, err := v.Proposer.Propose(ctx, record)
	if err != nil {
		return err
	}
	if rejected := verdict.Err(); rejected != nil {
		return rejected
	}
	return nil
}

// FleetReader reads the state for the loops of hosts, waves and moves.
type FleetReader struct{ Follower Follower }

// Read implements fleet.Reader. Without a state it passes an empty one, in which nothing is to be done.
func (f FleetReader) Read(use func(fleet.View)) {
	age, known := f.Follower.Freshness()
	reachable := known && age < logSilence
	loaded := f.Follower.Read(func(state *fold.State) {
		use(fleet.View{
			Offset: state.Offset(), Document: state.Document(), Inventory: state.Inventory, LogReachable: reachable,
		})
	})
	if !loaded {
		use(fleet.View{Document: &structs.Document{}, Inventory: inventory.New()})
	}
}

// JobReader reads the state for the placement of jobs.
type JobReader struct{ Follower Follower }

// Read implements schedule.Reader.
func (j JobReader) Read(use func(schedule.State)) {
	loaded := j.Follower.Read(func(state *fold.State) { use(jobState{state}) })
	if !loaded {
		use(jobState{fold.New()})
	}
}

// jobState is the part of the state that the placement of jobs uses.
type jobState struct{ state *fold.State }

func (s jobState) Offset() int64                  { return s.state.Offset() }
func (s jobState) Document() *structs.Document    { return s.state.Document() }
func (s jobState) Jobs() *jobs.State              { return s.state.Jobs }
func (s jobState) Hosts() []inventory.Host        { return s.state.Inventory.Hosts() }
func (s jobState) Unallocated(team string) uint64 { return s.state.Escrow.Unallocated(team) }

// Ranker ranks the controller among the joined ones.
type Ranker struct {
	Follower Follower
	Name     string
}

// Rank implements the rankers of the control loops. A controller that hasn't joined isn't ranked.
func (r Ranker) Rank(subject string) (place int, ok bool) {
	r.Follower.Read(func(state *fold.State) {
		names := rank.Controllers(state, nil)
		for _, name := range names {
			ok = ok || name == r.Name
		}
		place = rank.Of(subject, names, r.Name)
	})
	return place, ok
}
