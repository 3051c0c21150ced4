package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
)

// Guards against a crash that counts against an item that the worker's next process runs, and against a second run of
// it: the worker had restarted under the same ID before the start, but hadn't reported since.
func TestRunOfTheNextProcessIsKept(t *testing.T) {
	tc := newCrashCore(1)
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 1000, StartUnixMs: 1000}, tc.now)
	i := tc.submitItems(t, "job", 1)[0]
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 100, StartUnixMs: 2000, Running: []infra.ActiveRun{{Item: i.id(), Run: i.run}}}, tc.now)
	assert.Equal(t, i.crashes, crashCounts{})
	w := i.worker
	assert.Assert(t, w != nil && tc.now < w.leaseEnd)
	for _, order := range tc.commit() {
		assert.Assert(t, order.Kind != OrderStart && order.Kind != OrderStop, "the item runs already")
	}
	checkCounts(t, tc.Core)
}

// Guards against counting one crash of a worker twice, and failing the job, because a report of the ended process
// arrives after the list of workers has shown the next one.
func TestLateReportOfAnEndedProcessIsNoCrash(t *testing.T) {
	tc := newCrashCore(1)
	w := tc.workers["worker-0"]
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 1000, StartUnixMs: 1000}, tc.now)
	i := tc.submitItems(t, "job", 1)[0]
	entry := w.entry
	entry.StartUnixMs = 2000
	lateReport := infra.WorkerReport{ClockMs: 1500, StartUnixMs: 1000, Running: []infra.ActiveRun{{Item: i.id(), Run: i.run}}}
	sentAt := tc.now
	tc.now += time.Millisecond
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
	assert.Equal(t, i.crashes, crashCounts{known: 1})
	tc.ApplyReport("worker-0", lateReport, sentAt)
	tc.confirmStarts()
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 100, StartUnixMs: 2000, Running: []infra.ActiveRun{{Item: i.id(), Run: i.run}}}, tc.now)
	assert.Equal(t, tc.state("job"), JobRunning, "%+v", i.crashes)
}

// Guards against counting a crash against the runs of a live worker because a call to the address of its earlier
// process finds another worker there.
func TestReplacementAtAnEarlierAddressIsNoCrash(t *testing.T) {
	tc := newCrashCore(1)
	w := tc.workers["worker-0"]
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 1000, StartUnixMs: 1000}, tc.now)
	i := tc.submitItems(t, "job", 1)[0]
	stop := &Order{Kind: OrderStop, Worker: w.ref(), Item: i.id(), Run: i.run}
	entry := w.entry
	entry.StartUnixMs, entry.Address = 2000, "10.0.0.2:1"
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 1000, StartUnixMs: 2000}, tc.now)
	tc.confirmStarts()
	tc.reportRuns(w)
	before := i.crashes
	tc.ApplyStopResult(stop, &infra.Error{Kind: infra.WorkerReplaced, Op: "stop"})
	assert.Equal(t, i.crashes, before)
}
