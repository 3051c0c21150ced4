// Package move plans and proposes moves of hosts between pools. It then releases each moving host from its old
// pool and assigns it to the new one.
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

// passInterval is the time between two passes over the moving hosts.
const passInterval = 2 * time.Second

// planInterval is the time between two plans. It can be this long because demand must last for a dwell time
// of a minute or more before hosts are moved.
const planInterval = 10 * time.Second

// rankSubject is the subject for which controllers are ranked in planning. There is one for all pools, since
// one plan covers all of them.
const rankSubject = "moves"

// Demand returns the current demand of each pool.
type Demand interface {
	// Slots returns the number of slots that running and queued requests of the pool ask for. Known is
	// false while there is no recent figure; no moves are planned during that time.
	Slots(pool string) (slots float64, known bool)
}

// Loop is the control loop that plans and carries out moves.
type Loop struct {
	deps        *fleet.Dependencies
	demand      Demand
	stopMachine *stop.Machine
	memory      planner.Memory
	// arrivals holds the arrival of each host by name. It is nil before the first plan.
	arrivals map[string]arrival
	nextPlan time.Time
	// movesDueSince is when the plan first had moves, or zero if the newest plan has none.
	movesDueSince time.Time
	plan          planner.Plan
}

// arrival records when a host was first seen in its current pool. The time is zero for a host seen in the
// first plan of this process, so that it counts as having been there for long.
type arrival struct {
	pool      string
	firstSeen time.Time
}

// New returns a loop that hasn't planned yet.
func New(deps fleet.Dependencies, demand Demand) *Loop {
	l := &Loop{deps: &deps, demand: demand}
	l.stopMachine = stop.New(l.deps)
	return l
}

// Run runs the loop until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	return periodic.Every(ctx, passInterval, l.pass)
}

// pass advances the moving hosts by one step, and replans when planInterval has passed.
func (l *Loop) pass(ctx context.Context) {
	var moving []inventory.Host
	l.deps.Reader.Read(func(view fleet.View) {
		moving = view.Inventory.HostsInPhase(inventory.PhaseMoving)
	})
	l.stopMachine.AdvanceStops(ctx, moving)
	now := l.deps.Clock()
	if now.Before(l.nextPlan) {
		return
	}
	l.nextPlan = now.Add(planInterval)
	l.replan(ctx)
}

// replan computes a plan, and proposes its moves if they have been due for this controller's delay. Every
// controller computes plans, whatever its rank, so that it can take over with a full window of demand.
func (l *Loop) replan(ctx context.Context) {
	input, demandKnown, logReachable := l.plannerInput()
	if !demandKnown {
		return
	}
	l.plan, l.memory = planner.Step(input, l.memory)
	if len(l.plan.Moves) == 0 {
		l.movesDueSince = time.Time{}
		return
	}
	if l.movesDueSince.IsZero() {
		l.movesDueSince = input.Now
	}
	delay, ranked := l.deps.TakeoverDelay(rankSubject)
	if !logReachable || !ranked || input.Now.Sub(l.movesDueSince) < delay {
		return
	}
	for _, move := range l.plan.Moves {
		if !l.propose(ctx, move) {
			return
		}
	}
}

// propose checks the move against the newest state, probes the host, and proposes the move. It returns false
// if the log is unavailable or the outcome of the append is unknown, so that no further move is proposed in
// this pass.
func (l *Loop) propose(ctx context.Context, move planner.Move) bool {
	valid := false
	l.deps.Reader.Read(func(view fleet.View) {
		valid = view.LogReachable && planner.Check(view.Inventory, move) == nil
	})
	if !valid || !l.isHealthy(ctx, move) {
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

// isHealthy probes the host to be moved. The move of a host that doesn't answer would get stuck.
func (l *Loop) isHealthy(ctx context.Context, move planner.Move) bool {
	ctx, cancel := context.WithTimeout(ctx, fleet.CallTimeout)
	defer cancel()
	request := &v1.HostRequest{Host: move.Host, HostEpoch: fleet.StopEpoch(move.Epoch)}
	response, err := l.deps.Platform.Probe(ctx, request)
	return err == nil && response.GetHealthy()
}
