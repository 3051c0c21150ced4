package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// setWarmup lists the worker as cold for the time.
func (tc *testCore) setWarmup(w *worker, left time.Duration) {
	entry := w.entry
	entry.WarmupLeft = left
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
}

// Guards against work that starts on a cold worker, where it takes several times as long, while a warm one has room, and
// against cold workers that stay idle while work waits.
func TestColdWorkersGetWhatWarmOnesHaveNoRoomFor(t *testing.T) {
	tc := newTestCore(1)
	colder, cold, warm := tc.addWorkerIn("a", 0, 2), tc.addWorkerIn("a", 1, 2), tc.addWorkerIn("a", 2, 2)
	tc.setWarmup(colder, 8*time.Second)
	tc.setWarmup(cold, 4*time.Second)
	// An item fills half of a worker: without the penalty, the second would be packed beside the first wherever it is.
	tc.submit("job", "big", shortStep(5, 1))
	assert.Equal(t, len(warm.items), 2)
	assert.Equal(t, len(cold.items), 2)
	assert.Equal(t, len(colder.items), 1)
}

// Guards against urgent work on a cold worker while less urgent work could start there and leave it the next warm one.
func TestUrgentWorkUsesColdWorkersLast(t *testing.T) {
	tc := newTestCore(1)
	cold, warm := tc.addWorkerIn("a", 0, 1), tc.addWorkerIn("a", 1, 1)
	tc.setWarmup(cold, 4*time.Second)
	tc.submit("running", "big", shortStep(1, 1))
	running := tc.jobs["running"].itemAt(0, 0, 0)
	assert.Equal(t, running.worker, warm)
	tc.confirmStarts()
	tc.reportRuns(warm)
	for priority, id := range []string{"urgent", "relaxed"} {
		queue := tc.config.Queues[0]
		queue.Priority = priority
		tc.Submit(&work.Job{ID: id, Queue: queue, Steps: []work.Step{shortStep(1, 1)}}, make(chan Outcome, 1))
	}
	tc.commit()
	urgent, relaxed := tc.jobs["urgent"].itemAt(0, 0, 0), tc.jobs["relaxed"].itemAt(0, 0, 0)
	assert.Equal(t, relaxed.worker, cold)
	assert.Assert(t, urgent.worker == nil)
	tc.now += time.Second
	tc.ApplyReport(warm.entry.ID, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{{Sequence: 1, Item: running.id(), Run: running.run, Cause: infra.EndDone}}}, tc.now)
	tc.commit()
	assert.Equal(t, urgent.worker, warm)
}

// Guards against a pool that starts nothing after all of its workers have restarted, and against a gang that waits since it
// fits neither on the warm workers nor on the cold ones alone.
func TestPoolsWithColdWorkersStartAllThatFits(t *testing.T) {
	tc := newTestCore(1)
	first, second := tc.addWorkerIn("a", 0, 2), tc.addWorkerIn("a", 1, 2)
	tc.setWarmup(first, 4*time.Second)
	tc.setWarmup(second, 4*time.Second)
	tc.submit("cold", "big", shortStep(2, 1))
	assert.Equal(t, tc.jobs["cold"].placedCount, 2)
	tc.setWarmup(second, 0)
	gang := shortStep(2, 1)
	gang.Gang = true
	tc.addWorkerIn("a", 2, 1)
	tc.submit("gang", "big", gang)
	assert.Equal(t, tc.jobs["gang"].placedCount, 2)
}

// Guards against a countdown that starts again with each copy of an entry, and against workers that count as cold after
// their time is over.
func TestWarmupCountsDownFromTheEntry(t *testing.T) {
	tc := newTestCore(1)
	w := tc.addWorkerIn("a", 0, 2)
	tc.setWarmup(w, 4*time.Second)
	tc.now += 3 * time.Second
	tc.setWarmup(w, 4*time.Second)
	assert.Assert(t, w.isCold(tc.now))
	tc.now += time.Second
	assert.Assert(t, !w.isCold(tc.now))
	tc.setWarmup(w, 2*time.Second)
	assert.Assert(t, w.isCold(tc.now))
	tc.setWarmup(w, 0)
	assert.Assert(t, !w.isCold(tc.now))
}
