package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
)

// Guards against the acknowledgement of a cancellation without a record of it: the log never accepts the job, so that its
// changes aren't written any more.
func TestUnrecordedCancellationIsNotAcknowledged(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	submitted := tc.submitAsync("job")
	batch := tc.Collect()
	waiter := make(chan Outcome, 1)
	tc.Cancel("job", "big", waiter)
	tc.Committed(&batch, batch.Records...)
	assert.Equal(t, awaitedOutcome(t, submitted).Kind, OutcomeInvalid)
	tc.commit()
	outcome := awaitedOutcome(t, waiter)
	assert.Assert(t, outcome.Kind != OutcomeDone, "a cancellation that isn't recorded was acknowledged")
}

// cancelUnknown cancels an ID and commits a batch. It returns the outcome.
func (tc *testCore) cancelUnknown(t *testing.T, id, customer string) Outcome {
	t.Helper()
	waiter := make(chan Outcome, 1)
	tc.Cancel(id, customer, waiter)
	batch := tc.Collect()
	tc.Committed(&batch)
	return awaitedOutcome(t, waiter)
}

// Guards against an acknowledgement before the tombstone is durable, and against a job under its ID that is unknown once its
// submission was answered.
func TestSubmissionAfterItsCancellationIsKeptAsCancelled(t *testing.T) {
	first := newTestCore(1)
	waiter := make(chan Outcome, 1)
	first.Cancel("job", "big", waiter)
	batch := first.Collect()
	assert.Equal(t, len(waiter), 0, "the cancellation was acknowledged before it was durable")
	first.Committed(&batch)
	assert.Equal(t, awaitedOutcome(t, waiter).Kind, OutcomeNotFound)
	records := slices.Clone(batch.Records)

	second := newTestCore(2)
	second.addWorker(0, 8)
	second.Load(records)
	submitted := second.submitAsync("job")
	batch = second.Collect()
	assert.Equal(t, len(submitted), 0, "the submission was answered before it was durable")
	second.Committed(&batch)
	assert.Equal(t, awaitedOutcome(t, submitted).Kind, OutcomeDone)
	assert.Equal(t, second.state("job"), JobCancelled)
	assert.Equal(t, len(second.commit()), 0, "a cancelled job got orders")
	records = slices.Clone(batch.Records)

	third := newTestCore(3)
	third.Load(records)
	assert.Equal(t, third.state("job"), JobCancelled)
}

// Guards against a cancellation whose record the log never accepts, and that is acknowledged.
func TestRejectedTombstoneIsNotAcknowledged(t *testing.T) {
	tc := newTestCore(1)
	waiter := make(chan Outcome, 1)
	tc.Cancel("job", "big", waiter)
	other := tc.submitAsync("other")
	batch := tc.Collect()
	tombstoneKey := func(r infra.Record) bool { return r.Key == tombstonePrefix+"job" }
	tc.Committed(&batch, batch.Records[slices.IndexFunc(batch.Records, tombstoneKey)])
	assert.Equal(t, awaitedOutcome(t, other).Kind, OutcomeDone)
	assert.Equal(t, awaitedOutcome(t, waiter).Kind, OutcomeUnknown)
	assert.Equal(t, tc.cancelUnknown(t, "job", "big").Kind, OutcomeNotFound)
}

// Guards against a customer that cancels unknown IDs without end: it would use up the room of the others, and the time of a
// takeover.
func TestCancellationsOfUnknownJobsAreBounded(t *testing.T) {
	tc := newTestCore(1)
	tc.options.EndedJobRetention = time.Minute
	for n := range maxCustomerTombstones {
		assert.Equal(t, tc.cancelUnknown(t, fmt.Sprint("job-", n), "big").Kind, OutcomeNotFound)
	}
	assert.Equal(t, tc.cancelUnknown(t, "one-more", "big").Kind, OutcomeUnavailable)
	assert.Equal(t, tc.cancelUnknown(t, "job-0", "big").Kind, OutcomeNotFound, "an ID that is kept can be cancelled again")
	assert.Equal(t, tc.cancelUnknown(t, "one-more", "small").Kind, OutcomeNotFound)

	tc.now += time.Minute + jobExpiryInterval
	batch := tc.Collect()
	deleted := 0
	for _, record := range batch.Records {
		if strings.HasPrefix(record.Key, tombstonePrefix) && record.Value == nil {
			deleted++
		}
	}
	assert.Equal(t, deleted, 1+maxCustomerTombstones)
	tc.Committed(&batch)
	assert.Equal(t, tc.cancelUnknown(t, "one-more", "big").Kind, OutcomeNotFound)
}
