package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// placeItem submits a job with one small item, and returns the item, whose start is being sent.
func (tc *testCore) placeItem(t *testing.T, id string) *item {
	t.Helper()
	step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second}
	assert.Equal(t, tc.submit(id, "big", step).Kind, OutcomeDone)
	tc.commit()
	return tc.jobs[id].steps[0].items[0]
}

// Guards against a run that keeps its item for up to a second after a confirmed stop although it never began: the
// renewal that would show this waited at the worker for a run to end, and none was there.
func TestRenewalAfterAConfirmedStopDoesNotWait(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	i := tc.placeItem(t, "job")
	start := tc.startOf(i)
	assert.Equal(t, tc.BuildRenewal("worker-0", tc.now).Wait, maxRenewalWait)
	tc.ApplyStartResult(start, &infra.Error{Kind: infra.Unknown, Op: "start"}, true)
	tc.ApplyStopResult(&Order{Kind: OrderStop, Worker: start.Worker, Item: start.Item, Run: start.Run}, nil)
	assert.Equal(t, tc.BuildRenewal("worker-0", tc.now).Wait, time.Duration(0))
	requestedAt := tc.now - time.Millisecond
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 2000}, requestedAt)
	assert.Assert(t, i.worker != nil, "the report was requested before the stop was confirmed")
	assert.Equal(t, tc.BuildRenewal("worker-0", tc.now).Wait, time.Duration(0))
	tc.now += time.Millisecond
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 2001}, tc.now)
	assert.Assert(t, i.worker == nil)
}

// Guards against renewals that repeat at once without need: a run that is being stopped may take long to end, and its
// end is worth waiting for.
func TestRenewalWaitsForTheEndOfAStoppedRun(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	i := tc.submitItems(t, "job", 1)[0]
	tc.now += time.Millisecond
	tc.reportRuns(i.worker)
	tc.orderStop(i)
	tc.ApplyStopResult(&Order{Kind: OrderStop, Worker: i.worker.ref(), Item: i.id(), Run: i.run}, nil)
	tc.now += time.Millisecond
	tc.reportRuns(i.worker)
	assert.Equal(t, tc.BuildRenewal("worker-0", tc.now).Wait, maxRenewalWait)
}

// Guards against work that waits behind a worker which leaves calls unanswered although another worker is free.
func TestUnresponsiveWorkersGetNewWorkLast(t *testing.T) {
	tc := newTestCore(1)
	for n := range 2 {
		tc.addWorker(n, 1)
	}
	tc.CallUnanswered("worker-0")
	assert.Equal(t, tc.placeItem(t, "first").worker.entry.ID, "worker-1")
	assert.Equal(t, tc.placeItem(t, "second").worker.entry.ID, "worker-0", "no other worker is free")
}

// Guards against a worker that is left aside long after it has left a call unanswered.
func TestUnresponsiveWorkersRecover(t *testing.T) {
	tc := newTestCore(1)
	for n := range 2 {
		tc.addWorker(n, 1)
	}
	tc.CallUnanswered("worker-0")
	tc.now += unresponsiveTime
	tc.WorkersListed(tc.now)
	assert.Equal(t, tc.placeItem(t, "job").worker.entry.ID, "worker-0")
}

// Guards against work items that start again and again on a worker which confirms no start, and against a worker that
// gets no work any more after one such start.
func TestWorkersThatConfirmNoStartArePaused(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	for _, pause := range []time.Duration{minUnconfirmedPause, 2 * minUnconfirmedPause, maxUnconfirmedPause, maxUnconfirmedPause} {
		i := tc.placeItem(t, "job"+pause.String()+tc.now.String())
		start := tc.startOf(i)
		tc.ApplyStartResult(start, &infra.Error{Kind: infra.Unknown, Op: "start"}, true)
		tc.ApplyStopResult(&Order{Kind: OrderStop, Worker: start.Worker, Item: start.Item, Run: start.Run}, nil)
		pausedAt := tc.now
		for tc.now < pausedAt+pause {
			tc.commit()
			assert.Assert(t, i.worker == nil || i.run == start.Run, "a start %s into a pause of %s", tc.now-pausedAt, pause)
			tc.now += simTickTime
			tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 1000 + (tc.now - time.Hour).Milliseconds()}, tc.now)
			tc.WorkersListed(tc.now)
		}
		tc.commit()
		assert.Assert(t, i.worker != nil && i.run > start.Run, "no start after a pause of %s", pause)
		tc.Cancel(i.step.job.def.ID, "big", make(chan Outcome, 1))
		tc.ApplyStopResult(&Order{Kind: OrderStop, Worker: start.Worker, Item: start.Item, Run: i.run}, nil)
		tc.now += simTickTime
		tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 1000 + (tc.now - time.Hour).Milliseconds()}, tc.now)
	}
	w := tc.workers["worker-0"]
	assert.Equal(t, w.unconfirmedPause, maxUnconfirmedPause)
	tc.now = w.pausedUntil
	tc.WorkersListed(tc.now)
	tc.ApplyStartResult(tc.startOf(tc.placeItem(t, "answered")), nil, false)
	assert.Equal(t, w.unconfirmedPause, time.Duration(0))
}

// Guards against a long pause of a worker because several starts, sent together, weren't confirmed.
func TestStartsSentTogetherPauseOnce(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	step := work.Step{Count: 4, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second}
	assert.Equal(t, tc.submit("job", "big", step).Kind, OutcomeDone)
	tc.commit()
	for _, i := range tc.jobs["job"].steps[0].items {
		tc.ApplyStartResult(tc.startOf(i), &infra.Error{Kind: infra.Unknown, Op: "start"}, true)
	}
	assert.Equal(t, tc.workers["worker-0"].pausedUntil, tc.now+minUnconfirmedPause)
}

// Guards against short time limits at a worker behind a slow link, where each call would reach them and cost a
// connection.
func TestSlowWorkersKeepLongTimeLimits(t *testing.T) {
	for _, responseTime := range []time.Duration{5 * time.Millisecond, 3 * unresponsiveResponseTime} {
		tc := newTestCore(1)
		tc.addWorker(0, 8)
		tc.submitItems(t, "job", 1)
		tc.RenewalFailed("worker-0", &infra.Error{Kind: infra.Unknown, Op: "hold"})
		sentAt := tc.now
		tc.now += responseTime
		w := tc.workers["worker-0"]
		report := infra.WorkerReport{ClockMs: 2000}
		for i := range w.items {
			report.Running = append(report.Running, infra.ActiveRun{Item: i.id(), Run: i.run})
		}
		tc.ApplyReport("worker-0", report, sentAt)
		slow := responseTime > unresponsiveResponseTime
		assert.Equal(t, tc.Unresponsive("worker-0"), !slow)
		assert.Equal(t, tc.BuildRenewal("worker-0", tc.now).ResponseTime == minResponseTime, slow)
	}
}
