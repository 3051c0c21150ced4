package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
)

// drain lists the worker as draining.
func (tc *testCore) drain(w *worker, minTimeLeft time.Duration) {
	entry := w.entry
	entry.Draining, entry.MinTimeLeft = true, minTimeLeft
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
}

// checkWorkersAfter lets time pass and checks the workers.
func (tc *testCore) checkWorkersAfter(wait time.Duration) {
	tc.now += wait
	tc.commit()
}

// endStopped confirms the stop of an item and reports its end, and then reports the next run as available.
func (tc *testCore) endStopped(t *testing.T, i *item) {
	t.Helper()
	w, run := i.worker, i.run
	assert.Assert(t, i.stopping)
	tc.ApplyStopResult(&Order{Kind: OrderStop, Worker: w.ref(), Item: i.id(), Run: run}, nil)
	report := infra.WorkerReport{ClockMs: w.clockMs + 1, Ended: []infra.EndedRun{{Sequence: w.appliedEnd + 1, Item: i.id(), Run: run, Cause: infra.EndStopped}}}
	for other := range w.items {
		if other != i {
			report.Running = append(report.Running, infra.ActiveRun{Item: other.id(), Run: other.run, ProgressPercent: availablePercent})
		}
	}
	tc.ApplyReport(w.entry.ID, report, tc.now)
	tc.confirmStarts()
	assert.Assert(t, i.worker != nil && i.worker != w)
	tc.reportRuns(i.worker)
	assert.Assert(t, i.available)
}

// Guards against the stop of a lasting item for maintenance that is overtaken by the stop of another item of its step
// on a worker that begins to drain: both are away, and one may be.
func TestDrainingWorkerWaitsForEarlierStop(t *testing.T) {
	tc := newTestCore(1)
	for n := range 4 {
		tc.addWorker(n, 8)
	}
	assert.Equal(t, tc.submit("service", "big", lastingStep(2, 1)).Kind, OutcomeDone)
	items := tc.jobs["service"].steps[0].items
	tc.reportStarted([]Order{*tc.startOf(items[0]), *tc.startOf(items[1])}, 0)
	moved, leaving := items[0], items[1]
	moved.worker.cordoned = true
	tc.evictLasting(moved.worker)
	assert.Assert(t, moved.stopping)

	tc.drain(leaving.worker, 6*time.Second)
	tc.checkWorkersAfter(workerCheckInterval)
	assert.Assert(t, !leaving.stopping, "both items of a step of which one may be away are stopped")
	tc.endStopped(t, moved)
	tc.checkWorkersAfter(workerCheckInterval)
	assert.Assert(t, leaving.stopping)
}

// Checks that the lasting items of a draining worker are moved one after the other, as their budget allows, and that
// all are stopped before the worker may leave.
func TestDrainingWorkerIsEvacuatedWithinBudget(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 3)
	step := lastingStep(3, 1)
	step.MaxPerHost = 0
	assert.Equal(t, tc.submit("service", "big", step).Kind, OutcomeDone)
	items := tc.jobs["service"].steps[0].items
	tc.confirmStarts()
	leaving := items[0].worker
	tc.reportRuns(leaving)
	tc.addWorker(1, 8)

	tc.drain(leaving, 6*time.Second)
	tc.checkWorkersAfter(workerCheckInterval)
	assert.Equal(t, len(leaving.sortedItems(func(i *item) bool { return i.stopping })), 1)
	tc.endStopped(t, leaving.sortedItems(func(i *item) bool { return i.stopping })[0])
	tc.checkWorkersAfter(workerCheckInterval)
	assert.Equal(t, len(leaving.items), 2)
	assert.Equal(t, len(leaving.sortedItems(func(i *item) bool { return i.stopping })), 1)
	tc.checkWorkersAfter(5 * time.Second)
	assert.Equal(t, len(leaving.sortedItems(func(i *item) bool { return i.stopping })), 2)
}

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

	tc.drain(leaving.worker, 6*time.Second)
	tc.evictLasting(kept.worker)
	tc.now += workerCheckInterval
	tc.commit()
	assert.Assert(t, leaving.stopping)
	assert.Assert(t, !kept.stopping, "both items of a step of which one may be away are stopped")
}
