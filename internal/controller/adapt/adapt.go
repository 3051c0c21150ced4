// Package adapt implements the interfaces of the control loops on top of the follower, the proposer and
// package rank.
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

// logUnreachableAge is the age of the state from which the log counts as unreachable, so that no planned
// stop begins. It is above the age of the state while the log is idle, which is up to two polls of 2 s.
const logUnreachableAge = 10 * time.Second

// Follower gives access to the newest fleet state and its age.
type Follower interface {
	Read(use func(*fold.State)) bool
	Freshness() (time.Duration, bool)
}

// VerdictProposer appends records and returns the verdict of the fold.
type VerdictProposer interface {
	Propose(ctx context.Context, record *v1.Record) (fold.Verdict, error)
}

// Proposer appends records and returns a rejection by the fold as an error.
type Proposer struct{ Proposer VerdictProposer }

// Propose implements fleet.Proposer and schedule.Proposer.
func (p Proposer) Propose(ctx context.Context, record *v1.Record) error {
	verdict, err := p.Proposer.Propose(ctx, record)
	if err != nil {
		return err
	}
	if rejected := verdict.Err(); rejected != nil {
		return rejected
	}
	return nil
}

// FleetReader passes the state to the control loops for hosts, waves and moves.
type FleetReader struct{ Follower Follower }

// Read implements fleet.Reader. Before a state is loaded it passes an empty view, in which the loops find no
// work.
func (f FleetReader) Read(use func(fleet.View)) {
	age, known := f.Follower.Freshness()
	logReachable := known && age < logUnreachableAge
	loaded := f.Follower.Read(func(state *fold.State) {
		use(fleet.View{
			Offset: state.Offset(), Document: state.Document(), Inventory: state.Inventory, LogReachable: logReachable,
		})
	})
	if !loaded {
		use(fleet.View{Document: &structs.Document{}, Inventory: inventory.New()})
	}
}

// JobReader passes the state to the placement loop.
type JobReader struct{ Follower Follower }

// Read implements schedule.Reader. Before a state is loaded it passes an empty one.
func (j JobReader) Read(use func(schedule.State)) {
	loaded := j.Follower.Read(func(state *fold.State) { use(jobState{state}) })
	if !loaded {
		use(jobState{fold.New()})
	}
}

// jobState implements schedule.State: the part of the fleet state that the placement of jobs uses.
type jobState struct{ state *fold.State }

func (s jobState) Offset() int64                  { return s.state.Offset() }
func (s jobState) Document() *structs.Document    { return s.state.Document() }
func (s jobState) Jobs() *jobs.State              { return s.state.Jobs }
func (s jobState) Hosts() []inventory.Host        { return s.state.Inventory.Hosts() }
func (s jobState) Unallocated(team string) uint64 { return s.state.Escrow.Unallocated(team) }

// Ranker ranks this controller among the controllers that have joined the fleet.
type Ranker struct {
	Follower Follower
	Name     string
}

// Rank implements fleet.Ranker and schedule.Ranker. Ok is false while this controller hasn't joined.
func (r Ranker) Rank(subject string) (position int, ok bool) {
	r.Follower.Read(func(state *fold.State) {
		names := rank.Controllers(state)
		for _, name := range names {
			ok = ok || name == r.Name
		}
		position = rank.Position(subject, names, r.Name)
	})
	return position, ok
}
