// Package move plans moves of hosts between pools, proposes them, and carries moving hosts through
// the release from their old pool and the assignment to the new one.
package move

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/controller/stop"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/planner"
)

// interval is the time between two passes over moving hosts.
const interval = 2 * time.Second

// planInterval is the time between two plans. The dwell time of a need is a minute or more.
const planInterval = 10 * time.Second

// subject is what controllers are ranked for in planning: one plan covers all pools.
const subject = "moves"

// Demand tells what each pool is asked for.
type Demand interface {
	// Slots returns the slots that running and queued requests of the pool ask for. Known is false
	// while there is no recent figure; nothing is planned then.
	Slots(pool string) (slots float64, known bool)
}

// Loop plans and carries out moves.
type Loop struct {
	deps    *fleet.Deps
	demand  Demand
	machine *stop.Machine
	memory  planner.Memory
	// since holds when each host was first seen in its pool.
	since    map[string]arrival
	nextPlan time.Time
	dueSince time.Time
	plan     planner.Plan
}

// arrival is when a host was first seen in a pool. A host that was there when the process started
// counts as having stayed.
type arrival struct {
	pool string
	at   time.Time
}

// New returns the loop.
func New(deps fleet.Deps, demand Demand) *Loop {
	l := &Loop{deps: &deps, demand: demand}
	l.machine = stop.New(l.deps)
	return l
}

// Run runs the loop until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	return periodic.Every(ctx, interval, l.pass)
}

func (l *Loop) pass(ctx context.Context) {
	var moving []inventory.Host
	l.deps.Reader.Read(func(view fleet.View) {
		moving = view.Inventory.HostsInPhase(inventory.PhaseMoving)
	})
	l.machine.Pass(ctx, moving)
	now := l.deps.Clock()
	if now.Before(l.nextPlan) {
		return
	}
	l.nextPlan = now.Add(planInterval)
	l.replan(ctx)
}

// replan computes a plan on each controller, so that another one can take over with a full window,
// and proposes it when this controller's turn has come.
func (l *Loop) replan(ctx context.Context) {
	in, ok, reachable := l.input()
	if !ok {
		return
	}
	l.plan, l.memory = planner.Step(in, l.memory)
	if len(l.plan.Moves) == 0 {
		l.dueSince = time.Time{}
		return
	}
	if l.dueSince.IsZero() {
		l.dueSince = in.Now
	}
	delay, ranked := l.deps.Delay(subject)
	if !reachable || !ranked || in.Now.Sub(l.dueSince) < delay {
		return
	}
	for _, move := range l.plan.Moves {
		if !l.propose(ctx, move) {
			return
		}
	}
}

// propose checks the move against the newest state and proposes it. It returns false when no
// further move should be proposed in this pass.
func (l *Loop) propose(ctx context.Context, move planner.Move) bool {
	valid := false
	l.deps.Reader.Read(func(view fleet.View) {
		valid = view.LogReachable && planner.Check(view.Inventory, move) == nil
	})
	if !valid || !l.answers(ctx, move) {
		return true
	}
	record := &v1.Move{Host: move.Host, HostEpoch: move.Epoch, From: move.From, To: move.To}
	err := l.deps.Proposer.Propose(ctx, &v1.Record{Payload: &v1.Record_Move{Move: record}})
	if err == nil {
		l.deps.Log.WithFields(logrus.Fields{"event": "move", "host": move.Host, "from": move.From, "to": move.To, "reason": move.Reason}).Info("move accepted")
		return true
	}
	l.deps.Log.WithFields(logrus.Fields{"event": "move_not_accepted", "host": move.Host}).WithError(err).Warn("move was not accepted")
	kind := fault.KindOf(err)
	return kind != fault.LogUnavailable && kind != fault.AppendUnsettled
}

// answers reports whether the host is healthy. A host that doesn't answer would block its move.
func (l *Loop) answers(ctx context.Context, move planner.Move) bool {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: move.Host, HostEpoch: fleet.StopEpoch(move.Epoch)}
	answer, err := l.deps.Platform.Probe(ctx, request)
	return err == nil && answer.GetHealthy()
}
