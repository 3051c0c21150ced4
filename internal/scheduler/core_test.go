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

var cmpMoves = cmp.AllowUnexported(hostMove{})

// bed is a core on a clock that the test sets.
type bed struct {
	*Core
	now time.Duration
}

func newBed(term int64) *bed {
	b := &bed{now: time.Hour}
	b.Core = New(term, simOptions(), func() time.Duration { return b.now }, func() time.Time { return simBase.Add(b.now) }, quietLogger(), nil)
	b.SetConfig(&work.Config{Version: 1, Pools: map[string]work.Pool{simPool: {Name: simPool}, "rest": {Name: "rest", Standby: true}},
		Customers: map[string]work.Customer{"big": {Name: "big", Share: 1}, "small": {Name: "small", Share: 1},
			"limited": {Name: "limited", Share: 1, Limit: work.Resources{CPUMilli: 2000}}},
		Queues: []work.Queue{{Name: "review", Pool: simPool, MaxAttempts: 3, Slack: 2, Target: time.Second}}})
	return b
}

// addWorker lists a worker with its host and makes it known.
func (b *bed) addWorker(n int, cores int64) string {
	id := fmt.Sprintf("worker-%d", n)
	capacity := work.Resources{CPUMilli: cores * 1000, MemoryMiB: 1 << 20}
	b.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{{ID: id, Pool: simPool, Address: "10.0.0.1:1", Capacity: capacity, Labels: []string{"a", "rack"}}}})
	b.Report(id, infra.WorkerReport{ClockMs: 1000}, b.now)
	return id
}

func (b *bed) submit(id, customer string, steps ...work.Step) Outcome {
	waiter := make(chan Outcome, 1)
	b.Submit(&work.Job{ID: id, Queue: b.config.Queues[0], Customer: customer, Steps: steps}, waiter)
	select {
	case outcome := <-waiter:
		return outcome
	default:
	}
	b.commit()
	return <-waiter
}

// commit makes what waits durable, and returns the orders of the plan that follows.
func (b *bed) commit() []Order {
	var orders []Order
	for range 2 {
		batch := b.Collect()
		b.Committed(&batch)
		orders = append(orders, batch.Orders...)
	}
	for i := range orders {
		if orders[i].Kind == OrderStart {
			b.StartLease(&orders[i], b.now)
		}
	}
	return orders
}

func lastingStep(count, mayMiss int) work.Step {
	return work.Step{Count: count, Need: work.Resources{CPUMilli: 1000}, Lasting: true, MaxPerHost: 1, MayMiss: mayMiss}
}

// startAll answers the starts and reports what runs, at work.
func (b *bed) startAll(orders []Order, load int64) {
	running := map[string][]infra.ActiveRun{}
	for i := range orders {
		if orders[i].Kind != OrderStart {
			continue
		}
		b.StartResult(&orders[i], nil, false)
		id := orders[i].Worker.ID
		running[id] = append(running[id], infra.ActiveRun{Item: orders[i].Item, Run: orders[i].Run, ProgressPercent: atWorkPercent, Load: load})
	}
	b.now += time.Millisecond
	for id, rows := range running {
		b.Report(id, infra.WorkerReport{ClockMs: 2000, Running: rows}, b.now)
	}
}

// Guards against a wave that takes down more of a lasting step than may be away.
func TestAvailabilityBudgetHoldsInAWave(t *testing.T) {
	b := newBed(1)
	for n := range 4 {
		b.addWorker(n, 8)
	}
	waiter := make(chan Outcome, 1)
	b.Submit(&work.Job{ID: "lasting", Queue: b.config.Queues[0], Steps: []work.Step{lastingStep(3, 1)}}, waiter)
	b.startAll(b.commit(), 0)
	var hosts []infra.Host
	wave := infra.Wave{ID: 1, MaxDown: 4, TimeLimit: time.Minute}
	for n := range 4 {
		hosts = append(hosts, infra.Host{ID: fmt.Sprintf("host-%d", n), Pool: simPool, State: infra.HostUp, WorkerID: fmt.Sprintf("worker-%d", n)})
		wave.Hosts = append(wave.Hosts, hosts[n].ID)
	}
	b.SetWaves([]infra.Wave{wave})
	b.SetHosts(hosts, b.now)
	orders, _ := b.PlanHosts()
	assert.Equal(t, len(orders), 1, "only the host without lasting work may go down")
	stops := 0
	for _, order := range b.commit() {
		if order.Kind == OrderStop {
			stops++
		}
	}
	assert.Equal(t, stops, 1, "one of three work items may be away")
}

// upkeeps counts the orders of waves.
func upkeeps(orders []HostOrder) int {
	n := 0
	for _, order := range orders {
		if order.Wave > 0 {
			n++
		}
	}
	return n
}

// Guards against a wave that never ends since hosts in standby have no worker to wait for.
func TestHostsInStandbyHaveTheirUpkeep(t *testing.T) {
	b := newBed(1)
	b.SetWaves([]infra.Wave{{ID: 1, Hosts: []string{"host-0"}, MaxDown: 1, TimeLimit: time.Minute}})
	b.SetHosts([]infra.Host{{ID: "host-0", Pool: "rest", State: infra.HostUp}}, b.now)
	orders, news := b.PlanHosts()
	assert.DeepEqual(t, orders[0], HostOrder{Host: "host-0", Wave: 1})
	assert.DeepEqual(t, news, []WaveNews{{Wave: 1, State: infra.WaveRunning}})
	b.HostOrdered(orders[0], nil)
	b.SetHosts([]infra.Host{{ID: "host-0", Pool: "rest", State: infra.HostMaintenance}}, b.now)
	_, news = b.PlanHosts()
	assert.DeepEqual(t, news, []WaveNews{{Wave: 1, State: infra.WaveCompleted}})
}

// Guards against work of a crashed worker that waits for its lease while the list of hosts already
// shows that the worker has ended, and against giving up one that is only cut off.
func TestCrashedWorkerIsEndedByTheListOfHosts(t *testing.T) {
	for name, listed := range map[string]bool{"crashed": false, "cut off": true} {
		t.Run(name, func(t *testing.T) {
			b := newBed(1)
			id := b.addWorker(0, 8)
			b.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: 10 * time.Second})
			assert.Equal(t, len(b.workers[id].items), 1)
			b.now += 2 * time.Second
			b.HoldFailed(id, &infra.Error{Kind: infra.Unknown, Op: "hold"})
			host := infra.Host{ID: "host-0", Pool: simPool, State: infra.HostDown}
			if listed {
				host.State, host.WorkerID = infra.HostUp, id
			}
			b.SetHosts([]infra.Host{host}, b.now)
			held := 0
			if w := b.workers[id]; w != nil {
				held = len(w.items)
			}
			want := 0
			if listed {
				want = 1
			}
			assert.Equal(t, held, want)
		})
	}
}

// Guards against a customer with more running than its upper limit.
func TestUpperLimitOfACustomer(t *testing.T) {
	b := newBed(1)
	b.addWorker(0, 64)
	b.submit("limited", "limited", work.Step{Count: 8, Need: work.Resources{CPUMilli: 900}, Estimate: time.Second})
	assert.Equal(t, b.used["limited"].CPUMilli, int64(1800))
}

// Guards against a customer that sends many times its usual and takes the room of the others: jobs
// of the others start although many of its own came before.
func TestHotCustomerDoesNotTakeTheRoom(t *testing.T) {
	b := newBed(1)
	b.addWorker(0, 8)
	step := work.Step{Count: 4, Need: work.Resources{CPUMilli: 2000}, Estimate: time.Second}
	for n := range 5 {
		b.submit(fmt.Sprintf("big-%d", n), "big", step)
	}
	waiter := make(chan Outcome, 1)
	b.Submit(&work.Job{ID: "small", Queue: b.config.Queues[0], Customer: "small", Steps: []work.Step{step}}, waiter)
	b.commit()
	assert.Equal(t, (<-waiter).Kind, Done)
	b.now += 100 * time.Millisecond
	var waiting []string
	for _, j := range b.ordered(b.now) {
		if !j.begun {
			waiting = append(waiting, j.def.ID)
		}
	}
	at := -1
	for n, id := range waiting {
		if id == "small" {
			at = n
		}
	}
	assert.Assert(t, at == 0 || at == 1, "small is at %d of %d waiting jobs", at, len(waiting))
}

// Guards against jobs that are accepted though they can only be of no use, and against refusing those
// that are of use when late.
func TestAdmissionUnderOverload(t *testing.T) {
	b := newBed(1)
	b.addWorker(0, 8)
	step := work.Step{Count: 4, Need: work.Resources{CPUMilli: 2000}, Estimate: time.Second}
	accepted, rejected := 0, Outcome{}
	for n := range 40 {
		outcome := b.submit(fmt.Sprintf("job-%d", n), "big", step)
		if outcome.Kind == Rejected {
			rejected = outcome
			break
		}
		accepted++
	}
	// The pool does one job a second, and a job is of use up to three times its allowance of 3 s.
	assert.Assert(t, accepted >= 7 && accepted <= 10, "accepted %d", accepted)
	assert.Equal(t, rejected.Reason, "overload")
	assert.Assert(t, rejected.RetryAfter >= minRetryAfter)
}

// Guards against filling work that harms serving work beside it, and against filling work that never
// comes back.
func TestFillingWorkIsPaced(t *testing.T) {
	b := newBed(1)
	id := b.addWorker(0, 8)
	serving := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Lasting: true, TailTarget: 100 * time.Millisecond}
	filling := work.Step{Count: 1, Need: work.Resources{CPUMilli: 4000}, Lasting: true, Filling: true}
	waiter := make(chan Outcome, 1)
	b.Submit(&work.Job{ID: "lasting", Queue: b.config.Queues[0], Steps: []work.Step{serving, filling}}, waiter)
	orders := b.commit()
	report := func(load int64) (paces []int) {
		rows := []infra.ActiveRun{}
		for i := range orders {
			if orders[i].Kind == OrderStart {
				rows = append(rows, infra.ActiveRun{Item: orders[i].Item, Run: orders[i].Run, ProgressPercent: atWorkPercent, Load: load})
			}
		}
		b.now += 500 * time.Millisecond
		b.HoldNow(id, b.now)
		b.Report(id, infra.WorkerReport{ClockMs: int64(b.now / time.Millisecond), Running: rows}, b.now)
		for _, order := range b.commit() {
			if order.Kind == OrderPace {
				paces = append(paces, order.Percent)
			}
		}
		return paces
	}
	b.startAll(orders, 40)
	assert.Equal(t, len(report(60)), 0)
	assert.DeepEqual(t, report(80), []int{0})
	var raised []int
	for range 20 {
		raised = append(raised, report(30)...)
	}
	assert.DeepEqual(t, raised, []int{25, 50, 75, 100})
}

// Guards against a cancelled job whose start had no answer and is carried out later: its run is
// stopped in advance.
func TestCancelStopsRunsThatMayStillStart(t *testing.T) {
	b := newBed(1)
	b.addWorker(0, 8)
	b.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	waiter := make(chan Outcome, 1)
	b.Cancel("job", waiter)
	orders := b.commit()
	assert.Equal(t, (<-waiter).Kind, Done)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Kind, OrderStop)
	state, _ := b.State("job")
	assert.Equal(t, state, JobCancelled)
}

// Guards against lasting work that waits while the hosts of its pool are down for their upkeep: they
// don't count as hosts of the pool, which gets others.
func TestHostsInUpkeepAreReplaced(t *testing.T) {
	b := newBed(1)
	var hosts []infra.Host
	for n := range 3 {
		capacity := work.Resources{CPUMilli: 8000, MemoryMiB: 1 << 20}
		hosts = append(hosts, infra.Host{ID: fmt.Sprintf("host-%d", n), Pool: simPool, State: infra.HostUp, WorkerID: b.addWorker(n, 8), Capacity: capacity},
			infra.Host{ID: fmt.Sprintf("standby-%d", n), Pool: "rest", State: infra.HostUp, Capacity: capacity})
	}
	waiter := make(chan Outcome, 1)
	b.Submit(&work.Job{ID: "lasting", Queue: b.config.Queues[0], Steps: []work.Step{lastingStep(3, 1)}}, waiter)
	b.startAll(b.commit(), 0)
	hosts[0].State, hosts[0].WorkerID = infra.HostMaintenance, ""
	hosts[2].State, hosts[2].WorkerID = infra.HostMaintenance, ""
	b.end(b.workers["worker-0"])
	b.end(b.workers["worker-1"])
	b.SetHosts(hosts, b.now)
	orders, _ := b.PlanHosts()
	assert.Assert(t, len(orders) >= 2, "two work items wait for a host; moves: %v", orders)
}

// Guards against a scheduler that is cut off from the log and lets callers wait for an outcome that
// can't come: once an append is overdue, new jobs are turned away at once.
func TestJobsAreTurnedAwayWhileTheLogIsSilent(t *testing.T) {
	b := newBed(1)
	b.addWorker(0, 8)
	step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second}
	assert.Equal(t, b.submit("before", "big", step).Kind, Done)
	first := make(chan Outcome, 1)
	b.Submit(&work.Job{ID: "under way", Queue: b.config.Queues[0], Steps: []work.Step{step}}, first)
	batch := b.Collect()
	b.now += logStalled + time.Millisecond
	assert.Equal(t, b.submit("during", "big", step).Kind, Unavailable)
	b.Committed(&batch)
	assert.Equal(t, (<-first).Kind, Done)
	assert.Equal(t, b.submit("during", "big", step).Kind, Done)
}

// Guards against a hot customer whose accepted jobs make the pool look full to everyone else.
func TestHotCustomerDoesNotFillAdmission(t *testing.T) {
	b := newBed(1)
	b.addWorker(0, 8)
	step := work.Step{Count: 4, Need: work.Resources{CPUMilli: 2000}, Estimate: time.Second}
	rejected := false
	for n := range 40 {
		rejected = b.submit(fmt.Sprintf("big-%d", n), "big", step).Kind == Rejected
	}
	assert.Assert(t, rejected, "the hot customer itself is turned away")
	assert.Equal(t, b.submit("small", "small", step).Kind, Done)
}

// Guards against work that stays on a worker on which everything stands still, and against items that
// are long by themselves and are stopped again and again.
func TestStragglersStartElsewhere(t *testing.T) {
	b := newBed(1)
	b.addWorker(0, 8)
	b.addWorker(1, 8)
	b.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	i := b.jobs["job"].steps[0].items[0]
	first := i.worker
	hold := func(span time.Duration) {
		for end := b.now + span; b.now < end; {
			b.now += 100 * time.Millisecond
			for id := range b.workers {
				b.HoldNow(id, b.now)
				report := infra.WorkerReport{ClockMs: int64(b.now / time.Millisecond)}
				if i.worker != nil && i.worker.entry.ID == id && !i.stopping {
					report.Running = []infra.ActiveRun{{Item: i.id(), Run: i.run}}
				}
				if i.worker != nil && i.worker.entry.ID == id && i.stopping {
					report.Ended = []infra.EndedRun{{Sequence: i.worker.handled + 1, Item: i.id(), Run: i.run, Cause: infra.EndStopped}}
				}
				b.Report(id, report, b.now)
			}
			b.commit()
		}
	}
	hold(4 * time.Second)
	assert.Equal(t, i.worker, first)
	hold(4 * time.Second)
	assert.Assert(t, i.worker != nil && i.worker != first, "the item stays on the worker that stands still")
	second := i.worker
	hold(20 * time.Second)
	assert.Equal(t, i.worker, second)
}

// Guards against a good work item whose attempts are used up on a worker that fails everything, while
// the others have no room for the moment.
func TestFailedItemWaitsForAnotherWorker(t *testing.T) {
	b := newBed(1)
	b.addWorker(0, 8)
	b.addWorker(1, 8)
	b.submit("filler", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 8000}, Estimate: time.Second})
	b.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	i := b.jobs["job"].steps[0].items[0]
	grey := i.worker
	b.Report(grey.entry.ID, infra.WorkerReport{ClockMs: 2000, Ended: []infra.EndedRun{{Sequence: 1, Item: i.id(), Run: i.run, Cause: infra.EndFailed}}}, b.now)
	b.commit()
	assert.Assert(t, i.worker == nil, "the item is on worker %v", i.worker)
}

// Guards against predictions that are too long since declared run times are off both ways: items that
// are declared at half and at one and a half of their time keep a ratio of 1.
func TestLearnedRatioIsUnbiased(t *testing.T) {
	b := newBed(1)
	for n := range 400 {
		declared := 500 * time.Millisecond
		if n%2 == 1 {
			declared = 1500 * time.Millisecond
		}
		j := newJob(&work.Job{Queue: b.config.Queues[0], Steps: []work.Step{{Count: 1, Estimate: declared}}})
		i := j.steps[0].items[0]
		i.answered = b.now
		b.learn(i, b.now+time.Second)
	}
	ratio := b.pool(simPool).ratio
	assert.Assert(t, ratio > 0.9 && ratio < 1.1, "ratio %f", ratio)
}
