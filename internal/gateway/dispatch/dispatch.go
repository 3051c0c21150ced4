// Package dispatch sends placed requests to their endpoints or to other gateways. A request that may have run
// is only sent again if it is idempotent.
package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/endpoints"
	"turmericyoke/internal/gateway/pipe"
)

// Limits on attempts.
const (
	// maxRuns is the largest number of attempts in which an idempotent request may have run.
	maxRuns = 3
	// maxPlacements is the number of placements after which a request that an endpoint didn't run isn't placed
	// again.
	maxPlacements = 5
	// backoffBase is the pause before the first retry, and backoffCap the longest pause. The jitter reduces a
	// pause by up to half.
	backoffBase = 10 * time.Millisecond
	backoffCap  = 200 * time.Millisecond
	// runEndMargin is added to the deadline before the right of a run whose end isn't known is released. It covers
	// the transmission of the request, since the endpoint counts the time left from when it receives the request.
	runEndMargin = time.Second
)

// Queue holds requests until they are placed.
type Queue interface {
	// AwaitPlacement waits until r has a placement. requeued is set if r had a placement before, but the attempt
	// to run it failed.
	AwaitPlacement(r *pipe.Request, requeued bool) *fault.Error
	// AttemptEnded is called at the end of each attempt, before the slot is released.
	AttemptEnded(r *pipe.Request)
}

// Endpoints keeps the state of the endpoints.
type Endpoints interface {
	// RecordCondition records the condition in which an attempt found the slot's endpoint.
	RecordCondition(slot pipe.Slot, condition endpoints.Condition)
	// UsableEndpoints returns the number of endpoints of the pool that accept new requests, without the one on
	// excludedHost.
	UsableEndpoints(pool, excludedHost string) int
}

// Forwarder runs requests through other gateways.
type Forwarder interface {
	// Forward sends r to the peer. It sets r.HTTPResponse if the outcome is OutcomeDone.
	Forward(ctx context.Context, peer *pipe.Peer, r *pipe.Request) ForwardResult
	// ForwardRefused records that the peer didn't run a request of the pool and team.
	ForwardRefused(peer *pipe.Peer, pool, team string)
}

// ForwardResult is the result of a call that forwarded a request.
type ForwardResult struct {
	Outcome pipe.Outcome
	Fault   *fault.Error
	// ConnectionLost is set if the call failed after the peer may have received the request.
	ConnectionLost bool
}

// Filter is the dispatch filter.
type Filter struct {
	queue        Queue
	attemptEnded func(r *pipe.Request)
	endpoints    Endpoints
	forwarder    Forwarder
	now          func() time.Time
	retries      *retryBudget
}

// New returns the filter. attemptEnded is called at the end of each attempt, before the slot is released.
func New(queue Queue, attemptEnded func(*pipe.Request), table Endpoints, forwarder Forwarder, now func() time.Time) *Filter {
	return &Filter{queue: queue, attemptEnded: attemptEnded, endpoints: table, forwarder: forwarder, now: now, retries: newRetryBudget()}
}

// Apply implements pipe.Filter. It places r and sends it, and repeats both after an attempt that failed, as
// long as r provably didn't run or may run again.
func (f *Filter) Apply(r *pipe.Request) *fault.Error {
	prepareRequest(r)
	f.retries.addRequest()
	runs, placements := 0, 0
	// mayHaveRun is the fault of the last attempt in which r may have run.
	var mayHaveRun *fault.Error
	for {
		if err := f.queue.AwaitPlacement(r, placements > 0); err != nil {
			return finalFault(err, mayHaveRun)
		}
		placements++
		res := f.attempt(r)
		switch {
		case res.outcome == pipe.OutcomeDone:
			r.Complete()
			return nil
		case r.Ctx.Err() != nil:
			return fault.New(fault.CallerGone, "the caller left: %v", res.fault)
		case res.outcome == pipe.OutcomeNotRun:
			if !f.mayPlaceAgain(r, res, placements) {
				return finalFault(res.fault, mayHaveRun)
			}
		default:
			runs++
			mayHaveRun = res.fault
			if !f.waitToRunAgain(r, res, runs) {
				return res.fault
			}
		}
		r.HTTPResponse.Reset()
	}
}

// finalFault returns the fault with which a request ends. A fault of the last attempt that proves that the request
// didn't run proves nothing about an earlier attempt in which it may have run.
func finalFault(last, mayHaveRun *fault.Error) *fault.Error {
	if mayHaveRun == nil || !fault.ResponseFor(last.Kind).NotRun {
		return last
	}
	return fault.Wrap(fault.OutcomeUnknown, last, "an earlier attempt may have run: %s; the last one: %s", mayHaveRun.Detail, last.Detail)
}

// attempt sends r once, records the state of the endpoint, and releases the right and the slot.
func (f *Filter) attempt(r *pipe.Request) attemptResult {
	res := f.send(r)
	f.releaseRight(r, res)
	f.queue.AttemptEnded(r)
	f.attemptEnded(r)
	if slot := r.Placement.Slot; slot != nil {
		f.recordEndpointState(slot, res)
		slot.Release()
	}
	return res
}

// send sends r to the endpoint or peer of its placement. It first checks that the right is still usable: if
// the process was paused after the placement, its lease may have expired and the right may belong to another
// gateway.
func (f *Filter) send(r *pipe.Request) attemptResult {
	if right := r.Placement.Right; right != nil && !right.Usable() {
		lapsed := fault.New(fault.LeaseLapsed, "the lease lapsed before the request was sent")
		return attemptResult{outcome: pipe.OutcomeNotRun, fault: lapsed, runEnded: true}
	}
	if r.Placement.Peer != nil {
		return f.forwardToPeer(r)
	}
	slot := r.Placement.Slot
	setDeadlineHeader(r, f.now())
	report := slot.Do(r.Ctx, r.HTTPRequest, r.HTTPResponse, r.Deadline)
	res := classifyAttempt(r, report)
	res.host = slot.Host()
	if res.outcome == pipe.OutcomeDone {
		cleanResponse(r.HTTPResponse)
	}
	return res
}

// forwardToPeer sends r to the peer of its placement.
func (f *Filter) forwardToPeer(r *pipe.Request) attemptResult {
	peer := r.Placement.Peer
	result := f.forwarder.Forward(r.Ctx, peer, r)
	if result.Outcome == pipe.OutcomeNotRun {
		f.forwarder.ForwardRefused(peer, r.PoolName, r.Team)
	}
	runEnded := result.Outcome != pipe.OutcomeUnknown
	return attemptResult{outcome: result.Outcome, fault: result.Fault, runEnded: runEnded, peerConnectionLost: result.ConnectionLost}
}

// releaseRight releases the right at once if the run has provably ended. Otherwise it releases the right after
// the deadline, since an endpoint ends a run at its deadline at the latest. If the connection to a peer was
// lost, the right stays in use for the pool's longest permitted run in addition: the peer counts the time left
// from when it receives the request, and a slow network may delay the request.
func (f *Filter) releaseRight(r *pipe.Request, res attemptResult) {
	right := r.Placement.Right
	if right == nil {
		return
	}
	if res.runEnded {
		right.Release()
		return
	}
	delay := r.Deadline.Sub(f.now()) + runEndMargin
	if res.peerConnectionLost {
		delay += r.Pool.EffectiveMaxRunTime()
	}
	time.AfterFunc(delay, right.Release)
}

// recordEndpointState closes the connection of the slot if its responses can't be trusted, and records the
// condition in which the attempt found the endpoint.
func (f *Filter) recordEndpointState(slot pipe.Slot, res attemptResult) {
	if res.wrongResponse {
		slot.CloseConnection()
	}
	if res.condition != nil {
		f.endpoints.RecordCondition(slot, *res.condition)
	}
}

// mayPlaceAgain reports whether a request that didn't run enters the queue again. A request whose right the
// forwarding gateway keeps doesn't: that gateway places it again. There is no limit on refusals by peers,
// since a peer that refused isn't picked again before it has reported free slots or rights.
func (f *Filter) mayPlaceAgain(r *pipe.Request, res attemptResult, placements int) bool {
	if !f.now().Before(r.QueueDeadline) {
		return false
	}
	if r.Forwarded && r.RightHeld {
		return false
	}
	return res.host == "" || placements < maxPlacements
}

// waitToRunAgain reports whether a request that may have run is sent again. If so, it takes a retry from the
// budget, excludes the host of the failed attempt and waits for the backoff pause. Only the gateway that
// accepted the request from the caller sends it again, so that retries don't multiply.
func (f *Filter) waitToRunAgain(r *pipe.Request, res attemptResult, runs int) bool {
	if !r.Idempotent || r.Forwarded || runs >= maxRuns {
		return false
	}
	if res.host != "" && f.endpoints.UsableEndpoints(r.PoolName, res.host) == 0 {
		return false
	}
	pause := backoff(runs)
	if f.now().Add(pause).After(r.QueueDeadline) || !f.retries.takeRetry() {
		return false
	}
	r.ExcludedHost = res.host
	return sleep(r.Ctx, pause)
}

// backoff returns the pause before the next attempt. It doubles with each run, up to backoffCap, and includes
// the jitter.
func backoff(runs int) time.Duration {
	pause := min(backoffBase<<(runs-1), backoffCap)
	return pause/2 + rand.N(pause/2)
}

// sleep waits for the pause. It returns false if ctx ends first.
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
