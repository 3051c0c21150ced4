package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
)

// Guards against a lasting item that is stopped for maintenance just before other items of its step are stopped on a
// worker that drains: more of them are away than may be.
func TestItemsOnDrainingWorkersCountAsAway(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	tc.addWorker(1, 8)
	assert.Equal(t, tc.submit("service", "big", lastingStep(2, 1)).Kind, OutcomeDone)
	items := tc.jobs["service"].steps[0].items
	tc.reportStarted([]Order{*tc.startOf(items[0]), *tc.startOf(items[1])}, 0)
	kept, leaving := items[0], items[1]
	assert.Assert(t, kept.available && leaving.available && kept.worker != leaving.worker)
	assert.Assert(t, tc.mayStop(kept))

	entry := leaving.worker.entry
	entry.Draining, entry.MinTimeLeft = true, 6*time.Second
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
	tc.evictLasting(kept.worker)
	tc.now += workerCheckInterval
	tc.commit()
	assert.Assert(t, leaving.stopping)
	assert.Assert(t, !kept.stopping, "both items of a step of which one may be away are stopped")
}
