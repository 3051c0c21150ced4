package scheduler

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
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
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 1001, StartUnixMs: 1000, Running: []infra.ActiveRun{{Item: i.id(), Run: i.run}}}, tc.now)
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

// restartCore is a core with two workers, whose IDs are worker-0 and worker-1, and an item that is started on one of them.
type restartCore struct {
	*testCore
	item   *item
	worker *worker
	start  *Order
}

// Start times of the processes of workers.
const (
	earlierProcess = 1000
	nextProcess    = 2000
)

func newRestartCore(t *testing.T) *restartCore {
	tc := newCrashCore(2)
	for id := range tc.workers {
		tc.ApplyReport(id, infra.WorkerReport{ClockMs: 1000, StartUnixMs: earlierProcess}, tc.now)
	}
	assert.Equal(t, tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second}).Kind, OutcomeDone)
	i := tc.jobs["job"].steps[0].items[0]
	return &restartCore{testCore: tc, item: i, worker: i.worker, start: tc.startOf(i)}
}

// listRestart shows the core the next process of the worker in the list of workers.
func (rc *restartCore) listRestart() {
	rc.now += time.Millisecond
	entry := rc.worker.entry
	entry.StartUnixMs = nextProcess
	rc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
	rc.now += time.Millisecond
}

// report applies a report of the worker's process with the start time. The report lists the item's run if running is set.
func (rc *restartCore) report(process int64, running bool) {
	rc.now += time.Millisecond
	report := infra.WorkerReport{ClockMs: 100, StartUnixMs: process}
	if running {
		report.Running = []infra.ActiveRun{{Item: rc.item.id(), Run: rc.start.Run}}
	}
	rc.ApplyReport(rc.worker.entry.ID, report, rc.now)
	rc.now += time.Millisecond
}

// reportSuccess applies a report of the worker's earlier process that lists the success of the item's run.
func (rc *restartCore) reportSuccess() {
	end := infra.EndedRun{Sequence: 1, Item: rc.item.id(), Run: rc.start.Run, Cause: infra.EndDone}
	rc.ApplyReport(rc.worker.entry.ID, infra.WorkerReport{ClockMs: 1100, StartUnixMs: earlierProcess, Ended: []infra.EndedRun{end}}, rc.now)
}

// startsElsewhere plans, and reports whether a run other than that of rc.start is ordered.
func (rc *restartCore) startsElsewhere() bool {
	return slices.ContainsFunc(rc.commit(), func(o Order) bool { return o.Kind == OrderStart && o.Run != rc.start.Run })
}

// Guards against a second run of an item on a worker that restarted before it got the start: the list of workers shows
// the restart before a report lists the run.
func TestRunOfTheNextProcessIsKeptWhenTheListShowsTheRestart(t *testing.T) {
	rc := newRestartCore(t)
	rc.ApplyStartResult(rc.start, nil, false)
	rc.listRestart()
	assert.Assert(t, !rc.startsElsewhere())
	rc.report(nextProcess, true)
	assert.Assert(t, !rc.startsElsewhere())
	assert.Equal(t, rc.item.crashes, crashCounts{})
	assert.Assert(t, rc.item.worker == rc.worker && rc.now < rc.worker.leaseEnd)
	checkCounts(t, rc.Core)
}

// Guards against an item that waits for ever after the list of workers has shown a restart, and against a crash that
// isn't counted: the run had begun in the earlier process.
func TestRunOfTheEarlierProcessIsReleasedByTheNextReport(t *testing.T) {
	rc := newRestartCore(t)
	rc.ApplyStartResult(rc.start, nil, false)
	rc.listRestart()
	rc.report(nextProcess, false)
	assert.Equal(t, rc.item.crashes, crashCounts{known: 1})
	assert.Assert(t, rc.startsElsewhere())
	checkCounts(t, rc.Core)
}

// Guards against a second run of an item whose start is confirmed while the report that shows the restart is on its
// way: the report was written before the run began.
func TestStartConfirmedDuringTheReportIsKept(t *testing.T) {
	rc := newRestartCore(t)
	sentAt := rc.now
	rc.now += time.Millisecond
	rc.ApplyStartResult(rc.start, nil, false)
	rc.ApplyReport(rc.worker.entry.ID, infra.WorkerReport{ClockMs: 100, StartUnixMs: nextProcess}, sentAt)
	assert.Assert(t, !rc.startsElsewhere())
	rc.report(nextProcess, true)
	assert.Equal(t, rc.item.crashes, crashCounts{})
}

// Guards against more failed runs than the queue allows: the run fails in the next process of its worker, and the report
// that shows the restart lists the failure.
func TestFailureInTheNextProcessIsCounted(t *testing.T) {
	rc := newRestartCore(t)
	rc.ApplyStartResult(rc.start, nil, false)
	end := infra.EndedRun{Sequence: 1, Item: rc.item.id(), Run: rc.start.Run, Cause: infra.EndFailed}
	rc.now += time.Millisecond
	rc.ApplyReport(rc.worker.entry.ID, infra.WorkerReport{ClockMs: 100, StartUnixMs: nextProcess, Ended: []infra.EndedRun{end}}, rc.now)
	assert.Equal(t, rc.item.failures, 1)
	assert.Equal(t, rc.item.crashes, crashCounts{})
}

var errNoResponse = &infra.Error{Kind: infra.Unknown, Op: "start"}

// stopOf returns the first stop of the item's run among the orders.
func (rc *restartCore) stopOf(orders []Order) *Order {
	for n := range orders {
		if orders[n].Kind == OrderStop && orders[n].Item == rc.start.Item && orders[n].Run == rc.start.Run {
			return &orders[n]
		}
	}
	return nil
}

// Guards against a second run of an item whose start had no response before its worker restarted: the next process
// carries out the start after its report has shown the restart.
func TestStartWithoutResponseOutlivesARestart(t *testing.T) {
	rc := newRestartCore(t)
	rc.ApplyStartResult(rc.start, errNoResponse, false)
	earlierStop := rc.stopOf(rc.commit())
	assert.Assert(t, earlierStop != nil)
	rc.report(nextProcess, false)
	orders := rc.commit()
	assert.Assert(t, !slices.ContainsFunc(orders, func(o Order) bool { return o.Kind == OrderStart }))
	stop := rc.stopOf(orders)
	assert.Assert(t, stop != nil)
	rc.ApplyStopResult(earlierStop, nil)
	rc.report(nextProcess, false)
	assert.Assert(t, !rc.startsElsewhere(), "the earlier process confirmed the stop, and the next one may still start the run")
	rc.ApplyStopResult(stop, nil)
	rc.report(nextProcess, false)
	assert.Assert(t, rc.startsElsewhere())
	assert.Equal(t, rc.item.crashes, crashCounts{possible: 1})
	checkCounts(t, rc.Core)
}

// Guards against a second run of an item whose start is being sent while its worker restarts, and against an item that
// waits after the start was refused.
func TestStartInFlightOutlivesARestart(t *testing.T) {
	rc := newRestartCore(t)
	rc.report(nextProcess, false)
	assert.Assert(t, !rc.startsElsewhere())
	rc.ApplyStartResult(rc.start, &infra.Error{Kind: infra.Unavailable, Op: "start"}, false)
	rc.now += refusedStartPause
	assert.Assert(t, rc.startsElsewhere())
	assert.Equal(t, rc.item.crashes, crashCounts{})
}

// Guards against a second run of an item whose start had no response before its worker crashed, if the worker may come
// back under its ID, and against an item that waits although its host has another worker by then.
func TestStartWithoutResponseOutlivesACrash(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		rc := newRestartCore(t)
		id := rc.worker.entry.ID
		host := infra.Host{ID: "host-0", Pool: simPool, State: infra.HostUp, WorkerID: id}
		other := infra.Host{ID: "host-1", Pool: simPool, State: infra.HostUp, WorkerID: "worker-other"}
		rc.SetHosts([]infra.Host{host, other}, rc.now)
		rc.ApplyStartResult(rc.start, errNoResponse, false)
		rc.now += 2 * hostListLag
		rc.RenewalFailed(id, errNoResponse)
		host.State, host.WorkerID = infra.HostDown, ""
		rc.SetHosts([]infra.Host{host, other}, rc.now)
		assert.Assert(t, rc.worker.ended && !rc.startsElsewhere())
		if replaced {
			host.State, host.WorkerID = infra.HostUp, "worker-next"
			rc.SetHosts([]infra.Host{host, other}, rc.now)
		} else {
			rc.now += maxCallDelay
		}
		assert.Assert(t, rc.startsElsewhere(), "replaced: %v", replaced)
		checkCounts(t, rc.Core)
	}
}

// Guards against a second run of an item that a restarted worker begins although an earlier process had confirmed the
// stop of the run: the next process doesn't know of it.
func TestStopOfALateStartIsRepeatedAfterARestart(t *testing.T) {
	rc := newRestartCore(t)
	rc.ApplyStartResult(rc.start, errNoResponse, false)
	rc.ApplyStopResult(rc.stopOf(rc.commit()), nil)
	rc.report(earlierProcess, false)
	assert.Assert(t, rc.startsElsewhere())
	rc.listRestart()
	stop := rc.stopOf(rc.commit())
	assert.Assert(t, stop != nil)
	rc.ApplyStopResult(stop, nil)
	rc.now += 2 * stopRetryPause
	assert.Assert(t, rc.stopOf(rc.commit()) == nil, "the stop was confirmed")
}

// newLateStartCore returns a core whose item has a late start on rc.worker, of which that worker has confirmed the stop, and
// runs on the other worker.
func newLateStartCore(t *testing.T) (rc *restartCore, elsewhere *worker) {
	rc = newRestartCore(t)
	rc.ApplyStartResult(rc.start, errNoResponse, false)
	rc.ApplyStopResult(rc.stopOf(rc.commit()), nil)
	rc.report(earlierProcess, false)
	rc.now += minUnconfirmedPause / 2
	assert.Assert(t, rc.startsElsewhere())
	assert.Assert(t, rc.item.worker != rc.worker)
	rc.ApplyStartResult(rc.startOf(rc.item), nil, false)
	return rc, rc.item.worker
}

// missRenewals leaves as many renewals without a response as a worker with late starts may.
func (rc *restartCore) missRenewals() {
	for range maxMissedRenewals {
		rc.RenewalFailed(rc.worker.entry.ID, errNoResponse)
	}
}

// stopElsewhere checks that the stop of the run on the other worker is ordered, and carries it out.
func (rc *restartCore) stopElsewhere(t *testing.T, elsewhere *worker) {
	t.Helper()
	run := rc.item.run
	rc.now += workerCheckInterval
	orders := rc.commit()
	stop := slices.IndexFunc(orders, func(o Order) bool { return o.Kind == OrderStop && o.Worker.ID == elsewhere.entry.ID && o.Run == run })
	assert.Assert(t, stop >= 0, "the run elsewhere isn't stopped")
	rc.ApplyStopResult(&orders[stop], nil)
	rc.now += time.Millisecond
	end := infra.EndedRun{Sequence: 1, Item: rc.item.id(), Run: run, Cause: infra.EndStopped}
	rc.ApplyReport(elsewhere.entry.ID, infra.WorkerReport{ClockMs: 1100, StartUnixMs: earlierProcess, Ended: []infra.EndedRun{end}}, rc.now)
	assert.Assert(t, rc.item.worker == nil && !rc.startsElsewhere(), "the item starts although the next process may carry out the late start")
}

// Guards against a second run of an item that the next process of a worker begins (incident 0022): it carries out a late
// start of which the earlier process had confirmed the stop, before the scheduler has reached it.
func TestRunElsewhereEndsWithTheProcessThatRefusesTheLateStart(t *testing.T) {
	rc, elsewhere := newLateStartCore(t)
	rc.missRenewals()
	rc.stopElsewhere(t, elsewhere)

	rc.report(nextProcess, false)
	stop := rc.stopOf(rc.commit())
	assert.Assert(t, stop != nil)
	rc.ApplyStopResult(stop, nil)
	rc.now += workerCheckInterval
	assert.Assert(t, !rc.startsElsewhere(), "the run may have begun before the stop")
	rc.report(nextProcess, true)
	assert.Assert(t, !rc.startsElsewhere(), "the run is only being stopped")
	rc.report(nextProcess, false)
	assert.Assert(t, rc.startsElsewhere())
	checkCounts(t, rc.Core)
}

// Guards against a second run of an item of which a start was lost with its relay, before a repetition was refused: it may
// have reached the worker, which carries it out late.
func TestStartThatWasLostWithItsRelayMayBeLate(t *testing.T) {
	rc := newRestartCore(t)
	rc.ApplyStartResult(rc.start, &infra.Error{Kind: infra.Unavailable, Op: "start"}, true)
	rc.ApplyStopResult(rc.stopOf(rc.commit()), nil)
	rc.report(earlierProcess, false)
	assert.Assert(t, rc.startsElsewhere())
	elsewhere := rc.item.worker
	rc.ApplyStartResult(rc.startOf(rc.item), nil, false)
	rc.missRenewals()
	rc.stopElsewhere(t, elsewhere)
}

// Guards against an item that waits although its late start can't be carried out any more.
func TestHeldItemStartsOnceNoLateStartIsPossible(t *testing.T) {
	for _, test := range []struct {
		name   string
		settle func(rc *restartCore, id string)
	}{
		{"the process lives", func(rc *restartCore, _ string) { rc.report(earlierProcess, false) }},
		{"the host lists another worker", func(rc *restartCore, id string) {
			rc.SetHosts(hostsOf(id), rc.now)
			rc.SetHosts(hostsOf("worker-next"), rc.now)
		}},
		{"no call arrives any more", func(rc *restartCore, _ string) { rc.now += maxCallDelay }},
	} {
		rc, elsewhere := newLateStartCore(t)
		rc.missRenewals()
		rc.stopElsewhere(t, elsewhere)
		test.settle(rc, rc.worker.entry.ID)
		assert.Assert(t, rc.startsElsewhere(), test.name)
	}
}

// Guards against a run elsewhere that goes on while the list of hosts shows that the worker with the late start is gone, and
// against a restart that is noticed late, since the worker has no work and is asked every two seconds.
func TestWorkerWithALateStartIsWatched(t *testing.T) {
	rc, elsewhere := newLateStartCore(t)
	id := rc.worker.entry.ID
	assert.Equal(t, rc.NextRenewal(id).Pause, time.Duration(0))
	assert.Assert(t, rc.BuildRenewal(id, rc.now).Wait > 0, "renewals without a pause and without a wait")
	rc.SetHosts(hostsOf(id), rc.now)
	rc.SetHosts(hostsOf(""), rc.now)
	rc.stopElsewhere(t, elsewhere)
}

// addSilentLateStart adds a late start of the item at a worker without items, which leaves its renewals unanswered.
func (tc *testCore) addSilentLateStart(i *item) {
	idle := slices.IndexFunc(tc.sortedWorkers(), func(w *worker) bool { return len(w.items) == 0 })
	w := tc.sortedWorkers()[idle]
	tc.addLateStart(w, lateStart{item: i.id(), run: i.run - 1, until: tc.now + maxCallDelay, refused: true})
	w.failedRenewals = maxMissedRenewals
}

// Guards against a stop that ends an item in service beyond the availability budget of its step because of a late start that
// may never be carried out.
func TestLateStartKeepsToTheAvailabilityBudget(t *testing.T) {
	for _, mayMiss := range []int{1, 2} {
		tc := newCrashCore(3)
		tc.submit("lasting", "big", lastingStep(2, mayMiss))
		items := tc.jobs["lasting"].steps[0].items
		tc.reportStarted([]Order{*tc.startOf(items[0]), *tc.startOf(items[1])}, 0)
		tc.addSilentLateStart(items[0])
		items[1].available = false
		tc.commit()
		assert.Equal(t, items[0].stopping, mayMiss == 2)
	}
}

// Guards against a stop that ends an item in service although no report has shown that yet (incident 0026). A start that hasn't been
// sent is called off all the same.
func TestLateStartKeepsToTheAvailabilityBudgetBeforeTheFirstReport(t *testing.T) {
	for _, sent := range []bool{true, false} {
		tc := newCrashCore(3)
		tc.submit("lasting", "big", lastingStep(2, 1))
		items := tc.jobs["lasting"].steps[0].items
		tc.addSilentLateStart(items[0])
		items[0].startSent = sent
		tc.commit()
		assert.Equal(t, items[0].stopping, !sent)
	}
}

// Guards against work that is thrown away because a worker leaves renewals unanswered while it lives (incident 0026), as its
// entries in the list show, and against a second run after a restart that they don't show.
func TestWorkerThatWritesEntriesHasNotRestarted(t *testing.T) {
	for _, test := range []struct {
		name string
		// err is the outcome of the renewals. The worker has written an entry at writtenAt on its clock, which is at 1000 at first,
		// and readAfter is how much later it is read.
		err       error
		writtenMs int64
		readAfter time.Duration
		born      int64
		uncertain bool
	}{
		{"new entry", errNoResponse, 2400, 1500 * time.Millisecond, earlierProcess, false},
		{"entry of before the silence", errNoResponse, 900, 2100 * time.Millisecond, earlierProcess, true},
		{"entry that arrives late", errNoResponse, 1100, 2200 * time.Millisecond, earlierProcess, true},
		{"no entry", errNoResponse, 0, 1500 * time.Millisecond, earlierProcess, true},
		{"connection refused", &infra.Error{Kind: infra.Refused, Op: "hold"}, 2400, 1500 * time.Millisecond, earlierProcess, true},
		{"next process", errNoResponse, 10, 1500 * time.Millisecond, nextProcess, true},
	} {
		rc, elsewhere := newLateStartCore(t)
		rc.report(earlierProcess, false)
		for range maxMissedRenewals {
			rc.RenewalFailed(rc.worker.entry.ID, test.err)
		}
		rc.now += test.readAfter
		entry := rc.worker.entry
		entry.StartUnixMs, entry.ClockMs = test.born, rc.worker.clockMs+test.writtenMs-1000
		if test.writtenMs == 0 {
			entry.ClockMs = 0
		}
		rc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
		rc.now += workerCheckInterval
		orders := rc.commit()
		stopped := slices.ContainsFunc(orders, func(o Order) bool { return o.Kind == OrderStop && o.Worker.ID == elsewhere.entry.ID })
		assert.Equal(t, stopped, test.uncertain, test.name)
	}
}

// Guards against run ends of a restarted worker that are forgotten unseen: an acknowledgement that was sent before the
// restart, and had no response, covers the first ends of the next process.
func TestRestartedWorkerWaitsForALateAcknowledgement(t *testing.T) {
	for _, byList := range []bool{false, true} {
		rc := newRestartCore(t)
		rc.ApplyStartResult(rc.start, nil, false)
		id := rc.worker.entry.ID
		rc.reportSuccess()
		rc.commit()
		assert.Equal(t, rc.BuildRenewal(id, rc.now).AckedEnd, int64(1))
		if byList {
			rc.listRestart()
		}
		rc.RenewalFailed(id, errNoResponse)
		rc.report(nextProcess, false)
		assert.Assert(t, !rc.worker.schedulable(rc.now))
		assert.Assert(t, rc.worker.schedulable(rc.now+maxCallDelay))
	}
}

// Guards against run ends of a restarted worker that are forgotten unseen because an acknowledgement is repeated after
// the worker has confirmed it.
func TestRunEndsAreAcknowledgedOnce(t *testing.T) {
	rc := newRestartCore(t)
	rc.ApplyStartResult(rc.start, nil, false)
	id := rc.worker.entry.ID
	rc.reportSuccess()
	rc.commit()
	assert.Equal(t, rc.BuildRenewal(id, rc.now).AckedEnd, int64(1))
	rc.RenewalFailed(id, &infra.Error{Kind: infra.Refused, Op: "hold"})
	rc.report(earlierProcess, false)
	assert.Equal(t, rc.BuildRenewal(id, rc.now).AckedEnd, int64(1), "the worker refused the acknowledgement")
	rc.report(earlierProcess, false)
	assert.Equal(t, rc.BuildRenewal(id, rc.now).AckedEnd, int64(0))
}

// Guards against a worker whose lease isn't renewed, or that counts as unresponsive, because a relay failed, and against an
// acknowledgement that is repeated before the next report: the worker may have got it and restarted.
func TestInterruptedRenewalIsRenewedAtOnce(t *testing.T) {
	tc := newCrashCore(1)
	first, second := tc.submitItems(t, "first", 1)[0], tc.submitItems(t, "second", 1)[0]
	w := first.worker
	id, running := w.entry.ID, []infra.ActiveRun{{Item: second.id(), Run: second.run}}
	tc.ApplyReport(id, infra.WorkerReport{ClockMs: w.clockMs + 1, Running: running,
		Ended: []infra.EndedRun{{Sequence: w.appliedEnd + 1, Item: first.id(), Run: first.run, Cause: infra.EndDone}}}, tc.now)
	tc.commit()
	acked := tc.BuildRenewal(id, tc.now).AckedEnd
	assert.Equal(t, acked, w.durableEnd)
	tc.RenewalFailed(id, &infra.Error{Kind: infra.RelayFailed, Op: "hold"})
	assert.Equal(t, tc.NextRenewal(id).Pause, time.Duration(0))
	renewal := tc.BuildRenewal(id, tc.now)
	assert.Equal(t, renewal.AckedEnd, int64(0))
	assert.Assert(t, renewal.LeaseEndMs > 0)
	assert.Assert(t, !tc.Unresponsive(id))
	tc.ApplyReport(id, infra.WorkerReport{ClockMs: w.clockMs + 1, Running: running}, tc.now)
	assert.Equal(t, tc.BuildRenewal(id, tc.now).AckedEnd, acked)
}

// Guards against acknowledging ends of a restarted worker that aren't durable yet: a batch from before the restart names
// an end of the earlier process.
func TestBatchFromBeforeARestartAcknowledgesNothing(t *testing.T) {
	rc := newRestartCore(t)
	rc.ApplyStartResult(rc.start, nil, false)
	id := rc.worker.entry.ID
	end := infra.EndedRun{Sequence: 1, Item: rc.item.id(), Run: rc.start.Run, Cause: infra.EndFailed}
	rc.ApplyReport(id, infra.WorkerReport{ClockMs: 1100, StartUnixMs: earlierProcess, Ended: []infra.EndedRun{end}}, rc.now)
	batch := rc.Collect()
	rc.now += time.Millisecond
	end.Run++
	rc.ApplyReport(id, infra.WorkerReport{ClockMs: 100, StartUnixMs: nextProcess, Ended: []infra.EndedRun{end}}, rc.now)
	rc.Committed(&batch)
	assert.Equal(t, rc.BuildRenewal(id, rc.now).AckedEnd, int64(0))
}

// Guards against a second run of an item whose unrecorded start by an earlier term is carried out by a worker that
// restarts during the takeover: the new term must hear from its next process first.
func TestUnrecordedStartOutlivesARestart(t *testing.T) {
	tc := newTestCore(2)
	tc.addWorker(1, 8)
	entry := infra.WorkerEntry{ID: "worker-0", Pool: simPool, Address: "10.0.0.2:1", Capacity: work.Resources{CPUMilli: 8000, MemoryMiB: 1 << 20}, StartUnixMs: tc.startedUnixMs - 1000}
	hosts := []infra.Host{{ID: "host-0", Pool: simPool, State: infra.HostUp, WorkerID: "worker-0"}, {ID: "host-1", Pool: simPool, State: infra.HostUp, WorkerID: "worker-1"}}
	tc.SetHosts(hosts, tc.now)
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
	def := &work.Job{ID: "job", Queue: tc.config.Queues[0], Customer: "big", Accepted: tc.wallClock(), Steps: []work.Step{needStep(1)}}
	records, err := (&jobEncoder{}).encodeJob(newJob(def), true)
	assert.NilError(t, err)
	tc.Load(records)
	tc.now += 10 * time.Millisecond
	entry.StartUnixMs = tc.wallClock().UnixMilli()
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
	assert.Equal(t, len(tc.commit()), 0)
	tc.ApplyReport("worker-0", infra.WorkerReport{ClockMs: 5, StartUnixMs: entry.StartUnixMs, Running: []infra.ActiveRun{{Item: work.ItemID{Job: "job"}, Run: 7}}}, tc.now)
	assert.Equal(t, len(tc.commit()), 0)
	assert.Equal(t, tc.jobs["job"].steps[0].items[0].run, int64(7))
}
