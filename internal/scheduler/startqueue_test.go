package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/work"
)

// Guards against urgent work that waits behind tens of thousands of starts which were ordered because all of them fit, but
// can't be sent for seconds.
func TestUrgentWorkOvertakesABurst(t *testing.T) {
	tc := newTestCore(1)
	worker := tc.addWorker(0, 64)
	assert.Equal(t, tc.submit("burst", "big", work.Step{Count: 3 * maxQueuedStarts, Need: work.Resources{CPUMilli: 1}, Estimate: time.Second}).Kind, OutcomeDone)
	orderStarts := func() int {
		return len(tc.collectOrders())
	}
	// The first ones have been sent.
	assert.Equal(t, orderStarts(), maxQueuedStarts)
	assert.Equal(t, orderStarts(), 0)

	assert.Equal(t, tc.submit("urgent", "small", lastingStep(1, 0)).Kind, OutcomeDone)
	burst, urgent := tc.jobs["burst"].steps[0].items[maxQueuedStarts:], tc.jobs["urgent"].steps[0].items[0]
	for _, i := range burst[:maxQueuedStarts/2] {
		assert.Assert(t, tc.LeaseForStart(&Order{Worker: i.worker.ref(), Item: i.id(), Run: i.run}, tc.now) > 0)
	}
	// Starts that won't be sent make room as well.
	for _, i := range burst[maxQueuedStarts/2 : maxQueuedStarts/2+10] {
		tc.StartNotSent(&Order{Worker: i.worker.ref(), Item: i.id(), Run: i.run})
	}
	assert.Equal(t, orderStarts(), maxQueuedStarts/2+10)
	assert.Equal(t, urgent.state, itemPlaced)
	assert.Equal(t, tc.workers[worker].startQueue.length, maxQueuedStarts)

	// The queue is empty once all starts are sent or their job is canceled.
	tc.Cancel("burst", "big", make(chan Outcome, 1))
	tc.commit()
	tc.LeaseForStart(&Order{Worker: urgent.worker.ref(), Item: urgent.id(), Run: urgent.run}, tc.now)
	for _, i := range burst {
		if i.worker != nil {
			tc.release(i)
		}
	}
	assert.Equal(t, tc.workers[worker].startQueue.length, 0)
}
