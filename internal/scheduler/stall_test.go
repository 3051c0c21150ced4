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

// Guards against callers that are held up although their job is in no append: on a simulated day of vaalkant-ops-large with an
// outage of the log, callers couldn't submit hundreds of such jobs again. Guards also against a promise to them that the job
// never runs, which a later term may have accepted.
func TestUnwrittenJobsAreGivenUpWhileTheLogStalls(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 8)
	written := tc.submitAsync("written")
	batch := tc.Collect()
	tc.now += logStallTimeout / 2
	unwritten, repeated := tc.submitAsync("unwritten"), tc.submitAsync("unwritten")
	cancelled, cancellation := tc.submitAsync("cancelled"), make(chan Outcome, 1)
	tc.Cancel("cancelled", "big", cancellation)
	tc.ExpireWaitingRequests()
	assert.Equal(t, len(unwritten), 0, "given up while the log may only be slow")

	tc.now += logStallTimeout/2 + time.Millisecond
	booked := tc.statsOf(simPool).accounts["small"].bookedUntil
	tc.ExpireWaitingRequests()
	assert.Equal(t, awaitedOutcome(t, unwritten).Kind, OutcomeUnconfirmed)
	assert.Equal(t, awaitedOutcome(t, repeated).Kind, OutcomeUnconfirmed)
	assert.Equal(t, len(written), 0, "the outcome of the append in progress isn't known")
	assert.Assert(t, tc.statsOf(simPool).accounts["small"].bookedUntil < booked, "the customer is charged for a job that was given up")

	tc.Committed(&batch)
	assert.Equal(t, awaitedOutcome(t, written).Kind, OutcomeDone)
	for _, order := range tc.commit() {
		assert.Assert(t, order.Item.Job != "unwritten", "a job that was given up was started")
	}
	_, known := tc.State("unwritten")
	assert.Assert(t, !known)
	for _, r := range tc.waiting[simPool].ranked {
		assert.Assert(t, r.job.def.ID != "unwritten", "a job that was given up is ranked in each cycle")
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

// Guards against a rejection, which promises that the job never runs, without an append of the term that began after the
// submission and was confirmed, and against callers that wait for it beyond their time or maxRejectionWait.
func TestRejectionsWithoutProofAreUnconfirmed(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 8)
	written := tc.submitAsync("written")
	batch := tc.Collect()
	tc.ObserveDelay(maxDelay + time.Millisecond)
	rejected := tc.submitAsync("rejected")
	within := func(timeLeft time.Duration) <-chan Outcome {
		waiter := make(chan Outcome, 1)
		tc.SubmitWithin(&work.Job{ID: "late", Queue: tc.config.Queues[0], Steps: []work.Step{{Count: 1}}}, timeLeft, waiter)
		return waiter
	}
	assert.DeepEqual(t, awaitedOutcome(t, within(rejectionMargin)), unconfirmedOutcome(unconfirmedNoTime))
	hurried := within(rejectionMargin + maxRejectionWait/2)
	tc.now += maxRejectionWait / 2
	tc.ExpireWaitingRequests()
	assert.DeepEqual(t, awaitedOutcome(t, hurried), unconfirmedOutcome(unconfirmedTooSlow))
	tc.now += maxRejectionWait/2 - time.Millisecond
	tc.ExpireWaitingRequests()
	assert.Equal(t, len(rejected), 0, "given up while there is time")
	tc.now += time.Millisecond
	tc.ExpireWaitingRequests()
	assert.DeepEqual(t, awaitedOutcome(t, rejected), unconfirmedOutcome(unconfirmedTooSlow))

	// The append in progress began before the submission.
	proven := tc.submitAsync("proven")
	tc.Committed(&batch)
	assert.Equal(t, awaitedOutcome(t, written).Kind, OutcomeDone)
	assert.Equal(t, len(proven), 0, "rejected without an append that began after the submission")
	batch = tc.Collect()
	tc.now += maxRejectionWait - time.Millisecond
	tc.ExpireWaitingRequests()
	tc.Committed(&batch)
	outcome := awaitedOutcome(t, proven)
	assert.Equal(t, outcome.Kind, OutcomeRejected)
	assert.Equal(t, outcome.RetryAfter, busyRetryAfter)
}

// Guards against a rejection of admission control that becomes a promise when the log goes down before it is confirmed.
func TestWaitingRejectionsAreUnconfirmedOnceTheLogStalls(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 8)
	tc.submitAsync("written")
	batch := tc.Collect()
	tc.now += logStallTimeout
	tc.ObserveDelay(maxDelay + time.Millisecond)
	rejected := tc.submitAsync("rejected")
	tc.now += time.Millisecond
	tc.ExpireWaitingRequests()
	assert.DeepEqual(t, awaitedOutcome(t, rejected), unconfirmedOutcome(unconfirmedLogDown))
	tc.Committed(&batch)
	tc.commit()
	assert.Equal(t, len(rejected), 0, "answered twice")
}

// Guards against a caller that is told that its submission isn't confirmed although a repetition of it was accepted while it
// waited.
func TestUnconfirmedRejectionJoinsARepetitionThatWasAccepted(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 8)
	tc.submitAsync("written")
	batch := tc.Collect()
	tc.ObserveDelay(maxDelay + time.Millisecond)
	first := tc.submitAsync("job")
	tc.ObserveDelay(0)
	tc.now += logStallTimeout / 4
	repetition := tc.submitAsync("job")
	tc.now += maxRejectionWait - logStallTimeout/4
	tc.ExpireWaitingRequests()
	assert.Equal(t, len(first), 0, "answered although the job may be accepted")
	tc.Committed(&batch)
	tc.commit()
	assert.Equal(t, awaitedOutcome(t, first).Kind, OutcomeDone)
	assert.Equal(t, awaitedOutcome(t, repetition).Kind, OutcomeDone)
}
