package scheduler

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Guards against work of a cancelled job after a takeover between two appends of one batch: the writer divides a batch that is
// too long for one append, so that the definition of the job may be durable without the record of its cancellation.
func TestTombstoneHoldsForAJobOfATornBatch(t *testing.T) {
	first := newTestCore(1)
	assert.Equal(t, first.cancelUnknown(t, "job", "big").Kind, OutcomeNotFound)
	durable := []infra.Record{{Key: tombstonePrefix + "job", Value: []byte{0xa0}}}
	first.submitAsync("job")
	for _, record := range first.Collect().Records {
		if !strings.HasPrefix(record.Key, progressPrefix) {
			durable = append(durable, record)
		}
	}

	second := newTestCore(2)
	second.addWorker(0, 8)
	second.Load(durable)
	second.now += time.Minute
	second.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 61000}, second.now)
	starts := 0
	for _, order := range second.commit() {
		if order.Kind == OrderStart {
			starts++
		}
	}
	assert.Check(t, starts == 0, "work of a job was started whose cancellation was acknowledged")
	assert.Check(t, second.state("job") == JobCancelled, "state: %s", second.state("job"))
}

// Guards against a cancellation that holds for a moment only: the ID was cancelled before, and the tombstone expires as if
// the last cancellation hadn't come.
func TestRepeatedCancellationExtendsItsTombstone(t *testing.T) {
	tc := newTestCore(1)
	tc.options.EndedJobRetention = time.Minute
	assert.Equal(t, tc.cancelUnknown(t, "job", "big").Kind, OutcomeNotFound)
	tc.now += time.Minute
	assert.Equal(t, tc.cancelUnknown(t, "job", "big").Kind, OutcomeNotFound)
	tc.now += 2 * jobExpiryInterval
	tc.commit()
	assert.Check(t, tc.tombstones.byID["job"] != nil, "dropped %s after the last acknowledged cancellation", 2*jobExpiryInterval)
	outcome := tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	assert.Equal(t, outcome.Kind, OutcomeDone)
	assert.Check(t, tc.state("job") == JobCancelled, "state: %s", tc.state("job"))
}

// Guards against a cancellation that is acknowledged by the append which deletes its tombstone.
func TestExpiredTombstoneIsNotAcknowledged(t *testing.T) {
	tc := newTestCore(1)
	tc.options.EndedJobRetention = time.Minute
	assert.Equal(t, tc.cancelUnknown(t, "job", "big").Kind, OutcomeNotFound)
	tc.now += time.Minute + jobExpiryInterval
	waiter := make(chan Outcome, 1)
	tc.Cancel("job", "big", waiter)
	batch := tc.Collect()
	tc.Committed(&batch)
	tc.commit()
	outcome := awaitedOutcome(t, waiter)
	assert.Check(t, outcome.Kind != OutcomeNotFound || tc.tombstones.byID["job"] != nil, "acknowledged, and nothing of the cancellation is kept")
}

// Guards against a cancellation that is answered with OutcomeUnavailable, which says that it had no effect, and takes effect
// once the log is back.
func TestUnavailableCancellationHasNoEffect(t *testing.T) {
	tc := newTestCore(1)
	other := tc.submitAsync("other")
	inProgress := tc.Collect()
	tc.now += logStallTimeout / 2
	waiter := make(chan Outcome, 1)
	tc.Cancel("job", "big", waiter)
	tc.now += logStallTimeout
	tc.ExpireWaitingRequests()
	assert.Equal(t, awaitedOutcome(t, waiter).Kind, OutcomeUnavailable)
	tc.Committed(&inProgress)
	assert.Equal(t, awaitedOutcome(t, other).Kind, OutcomeDone)
	outcome := tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	assert.Check(t, outcome.Kind == OutcomeDone && tc.state("job") != JobCancelled, "a cancellation that had no effect cancelled a later submission")
}

// Guards against the same at the end of a term: the append with the tombstone may have taken effect, and the cancellation is
// answered as one that certainly had none.
func TestCancellationInAnAbandonedBatchIsUnknown(t *testing.T) {
	tc := newTestCore(1)
	waiter := make(chan Outcome, 1)
	tc.Cancel("job", "big", waiter)
	batch := tc.Collect()
	tc.Abandon(&batch)
	assert.Equal(t, awaitedOutcome(t, waiter).Kind, OutcomeUnknown)
}

// Guards against a confirmation without an append: the writer leaves out records that are too long without calling the log.
func TestBatchOfRejectedRecordsConfirmsNothing(t *testing.T) {
	tc := newTestCore(1)
	tc.now += time.Minute
	tc.submitAsync("job")
	batch := tc.Collect()
	tc.Committed(&batch, batch.Records...)
	_, age := tc.LastConfirmation()
	assert.Check(t, age >= time.Minute, "the last confirmed append began %s ago; none has been made", age)
}

// Guards against a cancellation that is answered as an invalid request: of a job that was never accepted there is nothing to
// cancel, and a caller that gets a 4xx can't tell that it doesn't run.
func TestCancellationOfAJobThatTheLogRefusesIsNotFound(t *testing.T) {
	tc := newTestCore(1)
	submitted := tc.submitAsync("job")
	batch := tc.Collect()
	tc.Committed(&batch, batch.Records...)
	assert.Equal(t, awaitedOutcome(t, submitted).Kind, OutcomeInvalid)
	waiter := make(chan Outcome, 1)
	tc.Cancel("job", "big", waiter)
	tc.commit()
	assert.Equal(t, awaitedOutcome(t, waiter).Kind, OutcomeNotFound)
}
