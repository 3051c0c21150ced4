// Package dispatch sends a placed request to its endpoint or peer, at most once unless it is idempotent.
package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/pipe"
)

// Bounds of attempts.
const (
	// maxRuns bounds the attempts of an idempotent request that may have run.
	maxRuns = 3
	// maxPlacements bounds the endpoints that are asked for a request that none of them ran.
	maxPlacements = 5
	// backoffBase and backoffCap bound the pause before a retry; its jitter is between half and all of it.
	backoffBase = 10 * time.Millisecond
	backoffCap  = 200 * time.Millisecond
	// endMargin is added to the deadline before the right of a run with an unknown end is free. It
	// covers the way of the request to the endpoint, which counts its deadline from the receipt.
	endMargin = time.Second
)

// Queue gives requests a right and a place.
type Queue interface {
	// Enter waits until r has a placement. again is set after an attempt that didn't settle r.
	Enter(r *pipe.Request, again bool) *fault.Error
	// Ended notes the end of a placed request, before its slot is given back.
	Ended(r *pipe.Request)
}

// Endpoints takes what attempts show about endpoints.
type Endpoints interface {
	// Learn notes a lesson about the slot's endpoint.
	Learn(slot pipe.Slot, lesson endpoints.Condition)
	// Usable returns the number of endpoints of the pool that take new work, besides the host avoid.
	Usable(pool, avoid string) int
}

// Forwarder runs requests through other gateways.
type Forwarder interface {
	// Forward sends r to peer and sets r.Out when the outcome is done.
	Forward(ctx context.Context, peer *pipe.Peer, r *pipe.Request) Forwarded
	// Refused notes that the peer didn't run a request of the pool and team.
	Refused(peer *pipe.Peer, pool, team string)
}

// Forwarded is the result of a forwarded request.
type Forwarded struct {
	Outcome pipe.Outcome
	Fault   *fault.Error
	// Lost is set when the contact to the peer was lost after the request was sent.
	Lost bool
}

// Filter is the dispatch filter.
type Filter struct {
	queue   Queue
	ended   func(r *pipe.Request)
	table   Endpoints
	forward Forwarder
	now     func() time.Time
	budget  *budget
}

// New returns the filter. ended is told of each placed request that no longer runs.
func New(queue Queue, ended func(*pipe.Request), table Endpoints, forward Forwarder, now func() time.Time) *Filter {
	return &Filter{queue: queue, ended: ended, table: table, forward: forward, now: now, budget: newBudget()}
}

// Apply queues r, sends it, and repeats that as long as r has provably not run, or may run again.
func (f *Filter) Apply(r *pipe.Request) *fault.Error {
	prepare(r)
	f.budget.earn()
	runs, placements := 0, 0
	for {
		if err := f.queue.Enter(r, placements > 0); err != nil {
			return err
		}
		placements++
		res := f.attempt(r)
		switch {
		case res.outcome == pipe.OutcomeDone:
			r.Done()
			return nil
		case r.Ctx.Err() != nil:
			return fault.New(fault.CallerGone, "the caller left: %v", res.fault)
		case res.outcome == pipe.OutcomeNotRun:
			if !f.placeAgain(r, res, placements) {
				return res.fault
			}
		default:
			runs++
			if !f.runAgain(r, res, runs) {
				return res.fault
			}
		}
		r.Out.Reset()
	}
}

// attempt sends r once and gives back what its placement took.
func (f *Filter) attempt(r *pipe.Request) result {
	res := f.send(r)
	f.releaseRight(r, res)
	f.queue.Ended(r)
	f.ended(r)
	if slot := r.Placement.Slot; slot != nil {
		f.learn(slot, res)
		slot.Release()
	}
	return res
}

// send sends r to its place. The right is checked directly before: a process that was paused since
// the placement may have lost its lease, and the right may belong to another gateway by now.
func (f *Filter) send(r *pipe.Request) result {
	if use := r.Placement.Right; use != nil && !use.Usable() {
		lapsed := fault.New(fault.LeaseLapsed, "the lease lapsed before the request was sent")
		return result{outcome: pipe.OutcomeNotRun, fault: lapsed, ended: true}
	}
	if r.Placement.Peer != nil {
		return f.sendPeer(r)
	}
	slot := r.Placement.Slot
	setDeadline(r, f.now())
	report := slot.Do(r.Ctx, r.In, r.Out, r.Deadline)
	res := judge(r, report)
	res.host = slot.Host()
	if res.outcome == pipe.OutcomeDone {
		cleanAnswer(r.Out)
	}
	return res
}

func (f *Filter) sendPeer(r *pipe.Request) result {
	peer := r.Placement.Peer
	forwarded := f.forward.Forward(r.Ctx, peer, r)
	if forwarded.Outcome == pipe.OutcomeNotRun {
		f.forward.Refused(peer, r.PoolName, r.Team)
	}
	ended := forwarded.Outcome != pipe.OutcomeUnknown
	return result{outcome: forwarded.Outcome, fault: forwarded.Fault, ended: ended, peerLost: forwarded.Lost}
}

// releaseRight gives the right back once the run has provably ended: an endpoint ends a run at its
// deadline at the latest. A peer counts that deadline from when it receives the request, which a
// slow network delays; the right then stays in use for another longest permitted run.
func (f *Filter) releaseRight(r *pipe.Request, res result) {
	use := r.Placement.Right
	if use == nil {
		return
	}
	if res.ended {
		use.Release()
		return
	}
	wait := r.Deadline.Sub(f.now()) + endMargin
	if res.peerLost {
		wait += r.Pool.RunTime()
	}
	time.AfterFunc(wait, use.Release)
}

func (f *Filter) learn(slot pipe.Slot, res result) {
	if res.foreign {
		slot.Discard()
	}
	if res.lesson != nil {
		f.table.Learn(slot, *res.lesson)
	}
}

// placeAgain reports whether a request that didn't run is queued again. Refusals of peers aren't
// counted, since the peer isn't asked again before it has reported room.
func (f *Filter) placeAgain(r *pipe.Request, res result, placements int) bool {
	if !f.now().Before(r.QueueDeadline) {
		return false
	}
	if r.Forwarded && r.RightHeld {
		return false
	}
	return res.host == "" || placements < maxPlacements
}

// runAgain reports whether an idempotent request is sent again, after a pause. The gateway that
// accepted the request decides that; peers don't, so that retries don't multiply.
func (f *Filter) runAgain(r *pipe.Request, res result, runs int) bool {
	if !r.Idempotent || r.Forwarded || runs >= maxRuns {
		return false
	}
	if res.host != "" && f.table.Usable(r.PoolName, res.host) == 0 {
		return false
	}
	pause := backoff(runs)
	if f.now().Add(pause).After(r.QueueDeadline) || !f.budget.spend() {
		return false
	}
	r.Avoid = res.host
	return sleep(r.Ctx, pause)
}

// backoff doubles the pause with each run.
func backoff(runs int) time.Duration {
	pause := min(backoffBase<<(runs-1), backoffCap)
	return pause/2 + rand.N(pause/2)
}

// sleep waits for pause, and reports whether ctx lasted.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
