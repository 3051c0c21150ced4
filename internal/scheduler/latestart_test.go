package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Guards against a start that waited for its turn and is sent to a worker that has said meanwhile that it leaves, or whose
// host is about to go down (incident 0015).
func TestStartsAreNotSentToLeavingWorkers(t *testing.T) {
	for _, leave := range []func(tc *testCore, w *worker){
		func(tc *testCore, w *worker) {
			entry := w.entry
			entry.Draining = true
			tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
		},
		func(_ *testCore, w *worker) { w.cordoned = true },
	} {
		tc := newTestCore(1)
		id := tc.addWorker(0, 8)
		tc.Submit(&work.Job{ID: "job", Queue: tc.config.Queues[0], Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1000}}}}, make(chan Outcome, 1))
		var order *Order
		for range 2 {
			if orders := tc.collectOrders(); len(orders) > 0 {
				order = &orders[0]
			}
		}
		leave(tc, tc.workers[id])
		other := tc.addWorker(1, 8)
		assert.Equal(t, tc.LeaseForStart(order, tc.now), int64(0), "the start was sent")
		tc.StartNotSent(order)
		assert.DeepEqual(t, startedOn(tc.commit()), []string{other})
	}
}

// Guards against the stop of a lasting work item that is in service, only because the responses to its start were lost,
// while other items of its step are away.
func TestUnansweredStartOfALastingItemAwaitsAReport(t *testing.T) {
	for _, begun := range []bool{true, false} {
		tc := newTestCore(1)
		id := tc.addWorker(0, 8)
		tc.submit("lasting", "big", lastingStep(1, 1))
		i := tc.jobs["lasting"].itemAt(0, 0, 0)
		assert.Equal(t, i.worker.entry.ID, id)
		tc.now += time.Second
		tc.ApplyStartResult(&Order{Kind: OrderStart, Worker: infra.WorkerRef{ID: id, Address: "10.0.0.1:1"}, Item: i.id(), Run: i.run}, &infra.Error{Kind: infra.Unknown, Op: "start"}, true)
		assert.Equal(t, len(tc.commit()), 0, "the run was stopped before a report could tell whether it is there")
		// A report that was requested before says nothing.
		tc.ApplyReport(id, infra.WorkerReport{ClockMs: 1500}, tc.now-time.Millisecond)
		assert.Equal(t, len(tc.commit()), 0)
		tc.now += 100 * time.Millisecond
		report := infra.WorkerReport{ClockMs: 2100}
		if begun {
			report.Running = []infra.ActiveRun{{Item: i.id(), Run: i.run, ProgressPercent: availablePercent}}
		}
		tc.ApplyReport(id, report, tc.now)
		stops := 0
		for _, order := range tc.commit() {
			if order.Kind == OrderStop {
				stops++
			}
		}
		assert.Equal(t, stops == 0, begun)
		assert.Equal(t, i.worker.entry.ID, id)
	}
}

// Guards against a start that is sent after a long append (incident 0027) although its item was released meanwhile, or its worker
// gets no new work any more, and against an item that isn't placed anew then.
func TestStartsAreCheckedOnceTheyAreRecorded(t *testing.T) {
	for name, change := range map[string]func(tc *testCore, i *item){
		"released": func(tc *testCore, i *item) { tc.release(i) },
		"stopped":  func(tc *testCore, i *item) { tc.orderStop(i) },
		"silent":   func(tc *testCore, i *item) { tc.RenewalFailed(i.worker.entry.ID, errNoResponse) },
		"unlisted": func(tc *testCore, i *item) {
			tc.UpdateWorkers(infra.WorkerUpdate{Removed: []string{i.worker.entry.ID}})
		},
		"job canceled": func(tc *testCore, i *item) { tc.Cancel("job", "big", make(chan Outcome, 1)) },
		"unchanged":    func(*testCore, *item) {},
	} {
		tc := newTestCore(1)
		tc.addWorker(0, 8)
		tc.accept("job", needStep(1))
		batch := tc.Collect()
		i := tc.jobs["job"].itemAt(0, 0, 0)
		planned := i.worker
		assert.Equal(t, len(batch.Orders), 0, name)
		change(tc, i)
		starts := tc.Committed(&batch)
		assert.Equal(t, len(starts) == 1, name == "unchanged", name)
		if name == "silent" || name == "unlisted" {
			assert.Equal(t, i.state, itemWaiting, name)
			other := tc.addWorker(1, 8)
			assert.Assert(t, other != planned.entry.ID)
			assert.DeepEqual(t, startedOn(tc.commit()), []string{other})
		}
	}
}
