package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

var compareHostMoves = cmp.AllowUnexported(hostMove{})

// testCore is a Core whose clock is set by the test.
type testCore struct {
	*Core
	now time.Duration
	// onBatch is called with each batch that commit collects; nil if nothing follows them.
	onBatch func(*Batch)
}

func newTestCore(term int64) *testCore {
	tc := &testCore{now: time.Hour}
	tc.Core = New(term, simOptions(), func() time.Duration { return tc.now }, func() time.Time { return simEpoch.Add(tc.now) }, discardLogger(), nil)
	tc.SetConfig(&work.Config{Version: 1, Pools: map[string]work.Pool{simPool: {Name: simPool}, "rest": {Name: "rest", Standby: true}},
		Customers: map[string]work.Customer{"big": {Name: "big", Share: 1}, "small": {Name: "small", Share: 1},
			"limited": {Name: "limited", Share: 1, Limit: work.Resources{CPUMilli: 2000}}},
		Queues: []work.Queue{{Name: "review", Pool: simPool, MaxAttempts: 3, Slack: 2, Target: time.Second}}})
	return tc
}

// addWorker adds a worker to the platform's list and applies its first report. It returns the worker's ID.
func (tc *testCore) addWorker(n int, cores int64) string {
	id := fmt.Sprintf("worker-%d", n)
	capacity := work.Resources{CPUMilli: cores * 1000, MemoryMiB: 1 << 20}
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{{ID: id, Pool: simPool, Address: "10.0.0.1:1", Capacity: capacity, Labels: []string{"a", "rack"}}}})
	tc.ApplyReport(id, infra.WorkerReport{ClockMs: 1000}, tc.now)
	return id
}

// submit submits a job and returns the outcome, after a commit if the outcome has to become durable.
func (tc *testCore) submit(id, customer string, steps ...work.Step) Outcome {
	waiter := make(chan Outcome, 1)
	tc.Submit(&work.Job{ID: id, Queue: tc.config.Queues[0], Customer: customer, Steps: steps}, waiter)
	select {
	case outcome := <-waiter:
		return outcome
	default:
	}
	tc.commit()
	return <-waiter
}

// commit collects and commits two batches, grants leases for the starts, and returns all orders.
func (tc *testCore) commit() []Order {
	orders := tc.planOrders()
	for i := range orders {
		if orders[i].Kind == OrderStart {
			tc.LeaseForStart(&orders[i], tc.now)
		}
	}
	return orders
}

// planOrders collects and commits two batches, so that jobs accepted in the first are placed in the second. It returns all
// orders without sending them.
func (tc *testCore) planOrders() []Order { return append(tc.collectOrders(), tc.collectOrders()...) }

// collectOrders collects and commits a batch, and returns its orders without sending them.
func (tc *testCore) collectOrders() []Order {
	batch := tc.Collect()
	if tc.onBatch != nil {
		tc.onBatch(&batch)
	}
	return append(batch.Orders, tc.Committed(&batch)...)
}

// lastingStep returns a step of lasting items, at most one per host, of which mayMiss may be unavailable.
func lastingStep(count, mayMiss int) work.Step {
	return work.Step{Count: count, Need: work.Resources{CPUMilli: 1000}, Lasting: true, MaxPerHost: 1, MayMiss: mayMiss}
}

// reportStarted confirms the starts and then reports the runs as available, with the given load.
func (tc *testCore) reportStarted(orders []Order, load int64) {
	running := map[string][]infra.ActiveRun{}
	for i := range orders {
		if orders[i].Kind != OrderStart {
			continue
		}
		tc.ApplyStartResult(&orders[i], nil, false)
		id := orders[i].Worker.ID
		running[id] = append(running[id], infra.ActiveRun{Item: orders[i].Item, Run: orders[i].Run, ProgressPercent: availablePercent, Load: load})
	}
	tc.now += time.Millisecond
	for id, runs := range running {
		tc.ApplyReport(id, infra.WorkerReport{ClockMs: 2000, Running: runs}, tc.now)
	}
}

// Guards against a maintenance wave that makes more items of a lasting step unavailable than its budget allows.
func TestAvailabilityBudgetHoldsInAWave(t *testing.T) {
	tc := newTestCore(1)
	for n := range 4 {
		tc.addWorker(n, 8)
	}
	waiter := make(chan Outcome, 1)
	tc.Submit(&work.Job{ID: "lasting", Queue: tc.config.Queues[0], Steps: []work.Step{lastingStep(3, 1)}}, waiter)
	tc.reportStarted(tc.commit(), 0)
	var hosts []infra.Host
	wave := infra.Wave{ID: 1, MaxDown: 4, TimeLimit: time.Minute}
	for n := range 4 {
		hosts = append(hosts, infra.Host{ID: fmt.Sprintf("host-%d", n), Pool: simPool, State: infra.HostUp, WorkerID: fmt.Sprintf("worker-%d", n)})
		wave.Hosts = append(wave.Hosts, hosts[n].ID)
	}
	tc.SetWaves([]infra.Wave{wave})
	tc.SetHosts(hosts, tc.now)
	orders, _ := tc.PlanHosts()
	assert.Equal(t, len(orders), 1, "only the host without lasting items may go down")
	stops := 0
	for _, order := range tc.commit() {
		if order.Kind == OrderStop {
			stops++
		}
	}
	assert.Equal(t, stops, 1, "only one of three work items may be unavailable")
}

// countMaintenanceOrders returns the number of orders that belong to a wave.
func countMaintenanceOrders(orders []HostOrder) int {
	n := 0
	for _, order := range orders {
		if order.Wave > 0 {
			n++
		}
	}
	return n
}

// Guards against a wave that never completes because standby hosts, which have no worker, are never found
// to be drained.
func TestStandbyHostsReceiveMaintenance(t *testing.T) {
	tc := newTestCore(1)
	tc.SetWaves([]infra.Wave{{ID: 1, Hosts: []string{"host-0"}, MaxDown: 1, TimeLimit: time.Minute}})
	tc.SetHosts([]infra.Host{{ID: "host-0", Pool: "rest", State: infra.HostUp}}, tc.now)
	orders, changes := tc.PlanHosts()
	assert.DeepEqual(t, orders[0], HostOrder{Host: "host-0", Wave: 1})
	assert.DeepEqual(t, changes, []WaveStateChange{{Wave: 1, State: infra.WaveRunning}})
	tc.ApplyHostOrderResult(orders[0], nil)
	tc.WaveStatePublished(changes[0])
	tc.SetHosts([]infra.Host{{ID: "host-0", Pool: "rest", State: infra.HostMaintenance}}, tc.now)
	_, changes = tc.PlanHosts()
	assert.Equal(t, len(changes), 0, "a later term wouldn't know that the wave has completed")
	tc.commit()
	_, changes = tc.PlanHosts()
	assert.DeepEqual(t, changes, []WaveStateChange{{Wave: 1, State: infra.WaveCompleted}})
}

// Guards against items of a crashed worker that wait until its lease lapses, although the list of hosts
// already shows that the worker has ended. Items of a worker that is only unreachable must stay placed.
func TestHostListEndsCrashedWorker(t *testing.T) {
	for name, listed := range map[string]bool{"crashed": false, "unreachable": true} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCore(1)
			id := tc.addWorker(0, 8)
			tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: 10 * time.Second})
			assert.Equal(t, len(tc.workers[id].items), 1)
			tc.confirmStarts()
			tc.now += 2 * time.Second
			tc.RenewalFailed(id, &infra.Error{Kind: infra.Unknown, Op: "hold"})
			host := infra.Host{ID: "host-0", Pool: simPool, State: infra.HostDown}
			if listed {
				host.State, host.WorkerID = infra.HostUp, id
			}
			tc.SetHosts([]infra.Host{host}, tc.now)
			placed := 0
			if w := tc.workers[id]; w != nil {
				placed = len(w.items)
			}
			want := 0
			if listed {
				want = 1
			}
			assert.Equal(t, placed, want)
		})
	}
}

// Guards against placing more items of a customer than its upper limit allows.
func TestUpperLimitOfACustomer(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 64)
	tc.submit("limited", "limited", work.Step{Count: 8, Need: work.Resources{CPUMilli: 900}, Estimate: time.Second})
	assert.Equal(t, tc.customerUsage["limited"].CPUMilli, int64(1800))
}

// Guards against a customer that delays the others by submitting far more than usual: a job of another
// customer must come near the head of the queue although many jobs of the first were accepted before it.
func TestHotCustomerDoesNotDelayOthers(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	step := work.Step{Count: 4, Need: work.Resources{CPUMilli: 2000}, Estimate: time.Second}
	for n := range 5 {
		tc.submit(fmt.Sprintf("big-%d", n), "big", step)
	}
	waiter := make(chan Outcome, 1)
	tc.Submit(&work.Job{ID: "small", Queue: tc.config.Queues[0], Customer: "small", Steps: []work.Step{step}}, waiter)
	tc.commit()
	assert.Equal(t, (<-waiter).Kind, OutcomeDone)
	tc.now += 100 * time.Millisecond
	var waiting []string
	for _, j := range tc.rankJobs(tc.now) {
		if !j.started {
			waiting = append(waiting, j.def.ID)
		}
	}
	position := -1
	for n, id := range waiting {
		if id == "small" {
			position = n
		}
	}
	assert.Assert(t, position == 0 || position == 1, "job small has position %d among %d waiting jobs", position, len(waiting))
}

// Guards against accepting jobs that would complete too late to be of use, and against rejecting jobs that
// would be late but still of use.
func TestAdmissionUnderOverload(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	step := work.Step{Count: 4, Need: work.Resources{CPUMilli: 2000}, Estimate: time.Second}
	accepted, rejected := 0, Outcome{}
	for n := range 40 {
		outcome := tc.submit(fmt.Sprintf("job-%d", n), "big", step)
		if outcome.Kind == OutcomeRejected {
			rejected = outcome
			break
		}
		accepted++
	}
	// The pool completes one job per second, and a job is of use until three times its relative deadline of 3 s.
	assert.Assert(t, accepted >= 7 && accepted <= 10, "accepted %d jobs, want 7 to 10", accepted)
	assert.Equal(t, rejected.Reason, "overload")
	assert.Assert(t, rejected.RetryAfter >= minRetryAfter)
}

// Guards against filling items that slow down serving items on the same worker, and against filling items
// whose pace is never raised again.
func TestFillingWorkIsPaced(t *testing.T) {
	tc := newTestCore(1)
	id := tc.addWorker(0, 8)
	serving := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Lasting: true, TailTarget: 100 * time.Millisecond}
	filling := work.Step{Count: 1, Need: work.Resources{CPUMilli: 4000}, Lasting: true, Filling: true}
	waiter := make(chan Outcome, 1)
	tc.Submit(&work.Job{ID: "lasting", Queue: tc.config.Queues[0], Steps: []work.Step{serving, filling}}, waiter)
	orders := tc.commit()
	report := func(load int64) (paces []int) {
		running := []infra.ActiveRun{}
		for i := range orders {
			if orders[i].Kind == OrderStart {
				running = append(running, infra.ActiveRun{Item: orders[i].Item, Run: orders[i].Run, ProgressPercent: availablePercent, Load: load})
			}
		}
		tc.now += 500 * time.Millisecond
		tc.BuildRenewal(id, tc.now)
		tc.ApplyReport(id, infra.WorkerReport{ClockMs: int64(tc.now / time.Millisecond), Running: running}, tc.now)
		for _, order := range tc.commit() {
			if order.Kind == OrderPace {
				paces = append(paces, order.Percent)
			}
		}
		return paces
	}
	tc.reportStarted(orders, 40)
	assert.Equal(t, len(report(60)), 0)
	assert.DeepEqual(t, report(80), []int{0})
	var raised []int
	for range 20 {
		raised = append(raised, report(30)...)
	}
	assert.DeepEqual(t, raised, []int{25, 50, 75, 100})
}

// Guards against a run of a cancelled job that starts late, after a start that had no response: the run must
// be stopped even though it isn't known to have started.
func TestCancelStopsRunsThatMayStillStart(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	waiter := make(chan Outcome, 1)
	tc.Cancel("job", "big", waiter)
	orders := tc.commit()
	assert.Equal(t, (<-waiter).Kind, OutcomeDone)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, OrderStop)
	state, _ := tc.State("job")
	assert.Equal(t, state, JobCancelled)
}

// Guards against lasting items that wait while hosts of their pool are down for maintenance: such hosts
// must not count as hosts of the pool, so that the pool gets replacements.
func TestHostsInUpkeepAreReplaced(t *testing.T) {
	tc := newTestCore(1)
	var hosts []infra.Host
	for n := range 3 {
		capacity := work.Resources{CPUMilli: 8000, MemoryMiB: 1 << 20}
		hosts = append(hosts, infra.Host{ID: fmt.Sprintf("host-%d", n), Pool: simPool, State: infra.HostUp, WorkerID: tc.addWorker(n, 8), Capacity: capacity},
			infra.Host{ID: fmt.Sprintf("standby-%d", n), Pool: "rest", State: infra.HostUp, Capacity: capacity})
	}
	waiter := make(chan Outcome, 1)
	tc.Submit(&work.Job{ID: "lasting", Queue: tc.config.Queues[0], Steps: []work.Step{lastingStep(3, 1)}}, waiter)
	tc.reportStarted(tc.commit(), 0)
	hosts[0].State, hosts[0].WorkerID = infra.HostMaintenance, ""
	hosts[2].State, hosts[2].WorkerID = infra.HostMaintenance, ""
	tc.endWorker(tc.workers["worker-0"])
	tc.endWorker(tc.workers["worker-1"])
	tc.SetHosts(hosts, tc.now)
	orders, _ := tc.PlanHosts()
	assert.Assert(t, len(orders) >= 2, "two lasting items need a host each; got orders %v", orders)
}

// Guards against callers that wait for an outcome while the scheduler can't reach the log: once an append
// is overdue, they must be answered immediately, without a promise that the job never runs.
func TestJobsAreTurnedAwayWhileTheLogIsSilent(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second}
	assert.Equal(t, tc.submit("before", "big", step).Kind, OutcomeDone)
	first := make(chan Outcome, 1)
	tc.Submit(&work.Job{ID: "under way", Queue: tc.config.Queues[0], Steps: []work.Step{step}}, first)
	batch := tc.Collect()
	tc.now += logStallTimeout + time.Millisecond
	assert.Equal(t, tc.submit("during", "big", step).Kind, OutcomeUnconfirmed)
	tc.Committed(&batch)
	assert.Equal(t, (<-first).Kind, OutcomeDone)
	assert.Equal(t, tc.submit("during", "big", step).Kind, OutcomeDone)
}

// Guards against rejecting the jobs of other customers when one customer submits far more than its share.
func TestHotCustomerDoesNotBlockAdmissionOfOthers(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	step := work.Step{Count: 4, Need: work.Resources{CPUMilli: 2000}, Estimate: time.Second}
	rejected := false
	for n := range 40 {
		rejected = tc.submit(fmt.Sprintf("big-%d", n), "big", step).Kind == OutcomeRejected
	}
	assert.Assert(t, rejected, "the jobs of the hot customer must be rejected at some point")
	assert.Equal(t, tc.submit("small", "small", step).Kind, OutcomeDone)
}

// Guards against items that stay on a worker whose runs make no progress, and against stopping items that
// take long on any worker again and again.
func TestStragglersRestartElsewhere(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	tc.addWorker(1, 8)
	tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	i := tc.jobs["job"].steps[0].items[0]
	first := i.worker
	holdAllWorkers := func(span time.Duration) {
		for end := tc.now + span; tc.now < end; {
			tc.now += 100 * time.Millisecond
			for id := range tc.workers {
				tc.BuildRenewal(id, tc.now)
				report := infra.WorkerReport{ClockMs: int64(tc.now / time.Millisecond)}
				if i.worker != nil && i.worker.entry.ID == id && !i.stopping {
					report.Running = []infra.ActiveRun{{Item: i.id(), Run: i.run}}
				}
				if i.worker != nil && i.worker.entry.ID == id && i.stopping {
					report.Ended = []infra.EndedRun{{Sequence: i.worker.appliedEnd + 1, Item: i.id(), Run: i.run, Cause: infra.EndStopped}}
				}
				tc.ApplyReport(id, report, tc.now)
			}
			tc.commit()
		}
	}
	holdAllWorkers(4 * time.Second)
	assert.Equal(t, i.worker, first)
	holdAllWorkers(4 * time.Second)
	assert.Assert(t, i.worker != nil && i.worker != first, "the item must move to another worker when it makes no progress")
	second := i.worker
	holdAllWorkers(20 * time.Second)
	assert.Equal(t, i.worker, second)
}

// Guards against a work item that uses up its attempts on a worker that fails every run, because the other
// workers are full at the moment.
func TestFailedItemWaitsForAnotherWorker(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 8)
	tc.addWorker(1, 8)
	tc.submit("filler", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 8000}, Estimate: time.Second})
	tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	i := tc.jobs["job"].steps[0].items[0]
	faulty := i.worker
	tc.ApplyReport(faulty.entry.ID, infra.WorkerReport{ClockMs: 2000, Ended: []infra.EndedRun{{Sequence: 1, Item: i.id(), Run: i.run, Cause: infra.EndFailed}}}, tc.now)
	tc.commit()
	assert.Assert(t, i.worker == nil, "the item must wait for another worker, but is on %v", i.worker)
}

// Guards against a biased ratio of actual to declared run times, which makes predictions too long. Items
// declared at half and at one and a half times their run time must give a ratio near 1.
func TestRunTimeRatioIsUnbiased(t *testing.T) {
	tc := newTestCore(1)
	for n := range 400 {
		declared := 500 * time.Millisecond
		if n%2 == 1 {
			declared = 1500 * time.Millisecond
		}
		j := newJob(&work.Job{Queue: tc.config.Queues[0], Steps: []work.Step{{Count: 1, Estimate: declared}}})
		i := j.steps[0].items[0]
		i.startConfirmedAt = tc.now
		tc.observeRunTime(i, tc.now+time.Second)
	}
	ratio := tc.statsOf(simPool).runTimeRatio
	assert.Assert(t, ratio > 0.9 && ratio < 1.1, "ratio is %f, want 0.9 to 1.1", ratio)
}

// Guards against placing a work item again and again while its start waits to be sent to a worker whose last lease has
// lapsed: 246 times in a simulated day of a scheduler on a slow link.
func TestItemStaysPlacedUntilItsStartIsSent(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 8)
	tc.Submit(&work.Job{ID: "j", Queue: tc.config.Queues[0], Customer: "small", Steps: []work.Step{smallStep(1)}}, make(chan Outcome, 1))
	var orders []Order
	for range 5 {
		orders = append(orders, tc.collectOrders()...)
		tc.now += 10 * time.Millisecond
	}
	assert.Equal(t, len(orders), 1)
	assert.Assert(t, tc.LeaseForStart(&orders[0], tc.now) > 0, "the start must not be sent any more")
	tc.ApplyStartResult(&orders[0], nil, false)
	tc.now += 2 * simOptions().Lease
	tc.Collect()
	assert.Assert(t, tc.findItem(orders[0].Item).run > orders[0].Run, "the run wasn't released when its lease had lapsed")
}
