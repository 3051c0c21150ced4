package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/work"
)

// submitAsync submits a job of the customer "small" and returns the channel for its outcome.
func (tc *testCore) submitAsync(id string) <-chan Outcome {
	waiter := make(chan Outcome, 1)
	tc.Submit(&work.Job{ID: id, Queue: tc.config.Queues[0], Customer: "small", Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second}}}, waiter)
	return waiter
}

// awaitedOutcome returns the outcome that was sent on the channel. It fails the test if there is none.
func awaitedOutcome(t *testing.T, waiter <-chan Outcome) Outcome {
	t.Helper()
	select {
	case outcome := <-waiter:
		return outcome
	default:
		t.Fatal("no outcome was sent")
		return Outcome{}
	}
}

// Guards against callers that are told an unknown outcome although their job is in no append: on a simulated day of
// vaalkant-ops-large with an outage of the log, callers couldn't submit hundreds of such jobs again.
func TestUnwrittenJobsAreRejectedWhileTheLogStalls(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 8)
	written := tc.submitAsync("written")
	batch := tc.Collect()
	tc.now += logStallTimeout / 2
	unwritten, repeated := tc.submitAsync("unwritten"), tc.submitAsync("unwritten")
	cancelled, cancellation := tc.submitAsync("cancelled"), make(chan Outcome, 1)
	tc.Cancel("cancelled", "big", cancellation)
	tc.RejectWaitingRequests()
	assert.Equal(t, len(unwritten), 0, "rejected while the log may only be slow")

	tc.now += logStallTimeout/2 + time.Millisecond
	booked := tc.statsOf(simPool).accounts["small"].bookedUntil
	tc.RejectWaitingRequests()
	assert.Equal(t, awaitedOutcome(t, unwritten).Kind, OutcomeUnavailable)
	assert.Equal(t, awaitedOutcome(t, repeated).Kind, OutcomeUnavailable)
	assert.Equal(t, len(written), 0, "the outcome of the append in progress isn't known")
	assert.Assert(t, tc.statsOf(simPool).accounts["small"].bookedUntil < booked, "the customer is charged for a rejected job")

	tc.Committed(&batch)
	assert.Equal(t, awaitedOutcome(t, written).Kind, OutcomeDone)
	for _, order := range tc.commit() {
		assert.Assert(t, order.Item.Job != "unwritten", "a rejected job was started")
	}
	_, known := tc.State("unwritten")
	assert.Assert(t, !known)
	for _, r := range tc.waiting[simPool].ranked {
		assert.Assert(t, r.job.def.ID != "unwritten", "a rejected job is ranked in each cycle")
	}
	assert.Equal(t, awaitedOutcome(t, cancelled).Kind, OutcomeDone)
	assert.Equal(t, awaitedOutcome(t, cancellation).Kind, OutcomeDone)
	again := tc.submitAsync("unwritten")
	tc.commit()
	assert.Equal(t, awaitedOutcome(t, again).Kind, OutcomeDone)
}

// Guards against an unknown outcome for jobs that are lost with the term: no append contains them, so that the next
// leader can take them.
func TestUnwrittenJobsOfAnEndedTermHadNoEffect(t *testing.T) {
	tc := newTestCore(1)
	written := tc.submitAsync("written")
	batch := tc.Collect()
	unwritten := tc.submitAsync("unwritten")
	tc.Abandon(&batch)
	assert.Equal(t, awaitedOutcome(t, written).Kind, OutcomeUnknown)
	assert.Equal(t, awaitedOutcome(t, unwritten).Kind, OutcomeTermOver)
}

// Guards against rejections that wait for a slow log until their callers' time has passed, so that these are told an unknown
// outcome.
func TestRejectionsDoNotWaitForASlowLog(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 8)
	written := tc.submitAsync("written")
	batch := tc.Collect()
	tc.ObserveDelay(maxDelay + time.Millisecond)
	rejected := tc.submitAsync("rejected")
	tc.RejectWaitingRequests()
	assert.Equal(t, len(rejected), 0, "the rejection isn't confirmed yet")
	tc.now += maxRejectionWait
	tc.RejectWaitingRequests()
	assert.Equal(t, awaitedOutcome(t, rejected).Kind, OutcomeRejected)
	late := make(chan Outcome, 1)
	tc.SubmitWithin(&work.Job{ID: "late", Queue: tc.config.Queues[0], Steps: []work.Step{{Count: 1}}}, 20*time.Millisecond, late)
	assert.Equal(t, awaitedOutcome(t, late).Kind, OutcomeRejected)
	tc.Committed(&batch)
	assert.Equal(t, awaitedOutcome(t, written).Kind, OutcomeDone)
}
