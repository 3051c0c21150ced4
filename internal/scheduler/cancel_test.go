package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against the acknowledgement of a cancellation without a record of it: the log never accepts the job, so that its
// changes aren't written any more.
func TestUnrecordedCancellationIsNotAcknowledged(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	submitted := tc.submitAsync("job")
	batch := tc.Collect()
	waiter := make(chan Outcome, 1)
	tc.Cancel("job", waiter)
	tc.Committed(&batch, batch.Records...)
	assert.Equal(t, awaitedOutcome(t, submitted).Kind, OutcomeInvalid)
	tc.commit()
	outcome := awaitedOutcome(t, waiter)
	assert.Assert(t, outcome.Kind != OutcomeDone, "a cancellation that isn't recorded was acknowledged")
}
