package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Guards against a new term that gives hosts no orders for longer than the platform requires: in a load peak,
// eleven hosts stayed idle in other pools for seconds. The delay counts from the last order to the host,
// not from the start of the term.
func TestNewTermHoldsBackRecentlyOrderedHosts(t *testing.T) {
	first := newTestCore(1)
	first.recordHostOrder(HostOrder{Host: "host-old"})
	first.now += 6 * time.Second
	first.recordHostOrder(HostOrder{Host: "host-new"})
	records := first.Collect().Records

	second := newTestCore(2)
	second.now = first.now + time.Second
	second.LoadHostRecords(records)
	assert.Assert(t, second.fleet.heldBackUntil["host-old"] <= second.now)
	delay := second.fleet.heldBackUntil["host-new"] - second.now
	assert.Assert(t, delay >= simOptions().HostOrderDelay-time.Second+maxClockSkew/2 && delay <= simOptions().HostOrderDelay, "host-new is held back for %s", delay)
}

// Guards against counting a failed run twice when the worker lists its end again, and against failing a job
// before its item has used up its attempts.
func TestFailedAttemptsAreCountedOnce(t *testing.T) {
	tc := newTestCore(1)
	id := tc.addWorker(0, 8)
	tc.addWorker(1, 8)
	tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	i := tc.jobs["job"].steps[0].items[0]
	for number, want := int64(1), JobQueued; number <= 3; number, want = number+1, JobRunning {
		state, _ := tc.State("job")
		assert.Equal(t, state, want)
		w := i.worker
		end := infra.EndedRun{Sequence: number, Item: i.id(), Run: i.run, Cause: infra.EndFailed}
		for range 2 {
			tc.ApplyReport(w.entry.ID, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{end}}, tc.now)
		}
		assert.Equal(t, i.failures, int(number))
		tc.now += maxFailurePause + time.Second
		tc.commit()
	}
	state, _ := tc.State("job")
	assert.Equal(t, state, JobFailed)
	assert.Assert(t, id != "")
}

// Guards against a new term that doesn't count a failed run because the end of a later run is reported
// first, so that the item gets one attempt too many. Here all runs after the first were started while the log
// took no records.
func TestAttemptsOfAnEarlierTermCountInAnyOrder(t *testing.T) {
	for _, laterFirst := range []bool{false, true} {
		first := newTestCore(1)
		for n := range 3 {
			first.addWorker(n, 8)
		}
		first.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
		i := first.jobs["job"].steps[0].items[0]
		durable, err := (&jobEncoder{}).encodeJob(first.jobs["job"], true)
		assert.NilError(t, err)
		type reportedEnd struct {
			worker string
			end    infra.EndedRun
		}
		var ends []reportedEnd
		for range 3 {
			e := reportedEnd{i.worker.entry.ID, infra.EndedRun{Sequence: 1, Item: i.id(), Run: i.run, Cause: infra.EndFailed}}
			ends = append(ends, e)
			first.workers[e.worker].cordoned = true
			first.ApplyReport(e.worker, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{e.end}}, first.now)
			first.commit()
		}
		if laterFirst {
			slices.Reverse(ends)
		}

		second := newTestCore(2)
		second.now = first.now
		second.Load(durable)
		for n := range 3 {
			second.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{{ID: fmt.Sprintf("worker-%d", n), Pool: simPool, Address: "10.0.0.1:1"}}})
		}
		for _, e := range ends {
			second.ApplyReport(e.worker, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{e.end}}, second.now)
		}
		assert.Equal(t, second.jobs["job"].steps[0].items[0].failures, 3, "later run reported first: %t", laterFirst)
		assert.Assert(t, second.jobs["job"].failed)
	}
}

// Guards against a new term that stops lasting items while workers still list, as available, items that the
// previous term has just stopped: more items would be unavailable than the budget allows.
func TestNewTermDelaysStopsOfLastingWork(t *testing.T) {
	first := newTestCore(1)
	for n := range 4 {
		first.addWorker(n, 8)
	}
	waiter := make(chan Outcome, 1)
	first.Submit(&work.Job{ID: "lasting", Queue: first.config.Queues[0], Steps: []work.Step{lastingStep(3, 1)}}, waiter)
	batch := first.Collect()
	first.Committed(&batch)
	records := append([]infra.Record(nil), batch.Records...)
	batch = first.Collect()
	first.reportStarted(first.Committed(&batch), 0)
	records = append(records, batch.Records...)

	second := newTestCore(2)
	second.Load(records)
	for n := range 4 {
		second.addWorker(n, 8)
	}
	for n := range second.jobs["lasting"].steps[0].items {
		i := second.jobs["lasting"].steps[0].items[n]
		second.place(i, second.workers[fmt.Sprintf("worker-%d", n)])
		i.available, i.startConfirmedAt = true, second.now
	}
	i := second.jobs["lasting"].steps[0].items[0]
	assert.Assert(t, !second.mayStop(i))
	second.now += inheritedStopDelay
	assert.Assert(t, second.mayStop(i))
}

// Guards against a new term that adopts an unrecorded run and releases it immediately: the worker had no lease
// of this term yet, so that its lease seemed to have lapsed, and the item started elsewhere while it ran.
func TestUnrecordedRunIsKept(t *testing.T) {
	tc := newTestCore(2)
	for n := range 2 {
		tc.addWorker(n, 8)
	}
	def := &work.Job{ID: "job", Queue: tc.config.Queues[0], Customer: "big", Accepted: tc.wallClock(),
		Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second}}}
	records, err := (&jobEncoder{}).encodeJob(newJob(def), true)
	assert.NilError(t, err)
	tc.Load(records)
	i := tc.jobs["job"].steps[0].items[0]
	tc.ApplyReport("worker-1", infra.WorkerReport{ClockMs: 2000, Running: []infra.ActiveRun{{Item: i.id(), Run: 7}}}, tc.now)
	assert.Equal(t, len(tc.commit()), 0)
	assert.Assert(t, i.worker == tc.workers["worker-1"])
	assert.Equal(t, i.run, int64(7))
}

// Guards against stopping an unrecorded run as unknown because the record holds an earlier run on another
// worker. The item then started elsewhere before the stop had arrived.
func TestLaterUnrecordedRunReplacesTheRecordedOne(t *testing.T) {
	first := newTestCore(1)
	first.addWorker(0, 8)
	first.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	records, err := (&jobEncoder{}).encodeJob(first.jobs["job"], true)
	assert.NilError(t, err)

	second := newTestCore(2)
	second.now = first.now
	second.Load(records)
	for n := range 2 {
		second.addWorker(n+1, 8)
	}
	i := second.jobs["job"].steps[0].items[0]
	second.ApplyReport("worker-1", infra.WorkerReport{ClockMs: 2000, Running: []infra.ActiveRun{{Item: i.id(), Run: i.run + 1}}}, second.now)
	assert.Equal(t, len(second.commit()), 0)
	assert.Assert(t, i.worker == second.workers["worker-1"])
	assert.Equal(t, i.run, int64(2))
}

// Guards against more hosts being down than a wave allows after a takeover: hosts that the earlier term
// ordered down must count as down even if the list of hosts doesn't show it yet.
func TestWaveCountsOrdersOfEarlierTerms(t *testing.T) {
	first := newTestCore(1)
	wave := infra.Wave{ID: 1, Hosts: []string{"host-0", "host-1"}, MaxDown: 1, TimeLimit: time.Minute}
	hosts := []infra.Host{{ID: "host-0", Pool: "rest", State: infra.HostUp}, {ID: "host-1", Pool: "rest", State: infra.HostUp}}
	first.SetWaves([]infra.Wave{wave})
	first.SetHosts(hosts, first.now)
	orders, _ := first.PlanHosts()
	assert.Equal(t, countMaintenanceOrders(orders), 1)
	batch := first.Collect()

	second := newTestCore(2)
	second.LoadHostRecords(batch.Records)
	second.SetWaves([]infra.Wave{wave})
	second.SetHosts(hosts, second.now)
	orders, _ = second.PlanHosts()
	assert.Equal(t, countMaintenanceOrders(orders), 0, "the host that the first term ordered down may be down already")
	second.now += simOptions().HostOrderDelay + time.Second
	second.SetHosts(hosts, second.now)
	orders, _ = second.PlanHosts()
	assert.Equal(t, countMaintenanceOrders(orders), 1)
}

// newTermOfWave returns the core of a second term that has loaded the records, and that lists the hosts as up after the time
// in which it gives no orders to hosts of the first term.
func newTermOfWave(wave infra.Wave, records []infra.Record, now time.Duration) *testCore {
	second := newTestCore(2)
	second.now = now
	second.LoadHostRecords(records)
	second.SetWaves([]infra.Wave{wave})
	second.now += simOptions().HostOrderDelay + time.Second
	second.listStandbyHosts(wave.Hosts, "")
	return second
}

// listStandbyHosts lists the hosts as up in standby, but one that is moving.
func (tc *testCore) listStandbyHosts(names []string, moving string) {
	var hosts []infra.Host
	for _, name := range names {
		host := infra.Host{ID: name, Pool: "rest", State: infra.HostUp}
		if name == moving {
			host.State = infra.HostMoving
		}
		hosts = append(hosts, host)
	}
	tc.SetHosts(hosts, tc.now)
}

// planMaintenance returns the orders to take hosts down that PlanHosts plans.
func (tc *testCore) planMaintenance() []HostOrder {
	orders, _ := tc.PlanHosts()
	return slices.DeleteFunc(orders, func(order HostOrder) bool { return order.Wave == 0 })
}

// Guards against more hosts being down than a wave allows after a takeover: the order of the earlier term to one host had
// no response and is carried out seconds later, when the next term has taken another one down.
func TestWaveCountsLateOrdersOfEarlierTerms(t *testing.T) {
	wave := infra.Wave{ID: 1, Hosts: []string{"host-0", "host-1"}, MaxDown: 1, TimeLimit: time.Minute}
	first := newTestCore(1)
	first.SetWaves([]infra.Wave{wave})
	first.listStandbyHosts(wave.Hosts, "host-0")
	assert.DeepEqual(t, first.planMaintenance(), []HostOrder{{Host: "host-1", Wave: 1}})

	second := newTermOfWave(wave, first.Collect().Records, first.now)
	assert.DeepEqual(t, second.planMaintenance(), []HostOrder{{Host: "host-1", Wave: 1}})
}

// Guards against more hosts being down than a wave allows after a takeover when the earlier term has ordered more hosts than
// that, of which some refused: the records don't tell which.
func TestWaveWaitsForLateOrdersBeyondItsLimit(t *testing.T) {
	wave := infra.Wave{ID: 1, Hosts: []string{"host-0", "host-1"}, MaxDown: 1, TimeLimit: time.Minute}
	first := newTestCore(1)
	first.SetWaves([]infra.Wave{wave})
	for _, moving := range []string{"host-0", "host-1"} {
		first.listStandbyHosts(wave.Hosts, moving)
		orders := first.planMaintenance()
		assert.Equal(t, len(orders), 1)
		first.ApplyHostOrderResult(orders[0], &infra.Error{Kind: infra.Busy, Op: "upkeep"})
		first.now += hostOrderRetryDelay
	}

	second := newTermOfWave(wave, first.Collect().Records, first.now)
	assert.Equal(t, len(second.planMaintenance()), 0)
	second.now += maxCallDelay
	second.listStandbyHosts(wave.Hosts, "")
	assert.Equal(t, len(second.planMaintenance()), 1)
}

// Guards against repeating a maintenance order that had no response while work runs on the host: the host may
// have a new worker by then.
func TestRetriedMaintenanceOrderWaitsUntilTheHostIsEmpty(t *testing.T) {
	tc := newTestCore(1)
	hostList := func(worker string) []infra.Host {
		return []infra.Host{{ID: "host-0", Pool: simPool, State: infra.HostUp, WorkerID: worker, Capacity: work.Resources{CPUMilli: 8000}}}
	}
	tc.SetWaves([]infra.Wave{{ID: 1, Hosts: []string{"host-0"}, MaxDown: 1, TimeLimit: time.Minute}})
	tc.SetHosts(hostList(tc.addWorker(0, 8)), tc.now)
	orders, _ := tc.PlanHosts()
	assert.Equal(t, countMaintenanceOrders(orders), 1)
	tc.ApplyHostOrderResult(orders[0], &infra.Error{Kind: infra.Unknown, Op: "upkeep"})

	second := tc.addWorker(1, 8)
	tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	i := tc.jobs["job"].steps[0].items[0]
	assert.Equal(t, i.worker.entry.ID, second)
	tc.now += 2 * hostOrderRetryDelay
	tc.SetHosts(hostList(second), tc.now)
	orders, _ = tc.PlanHosts()
	assert.Equal(t, countMaintenanceOrders(orders), 0)
	tc.ApplyReport(second, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{{Sequence: 1, Item: i.id(), Run: i.run, Cause: infra.EndDone}}}, tc.now)
	orders, _ = tc.PlanHosts()
	assert.Equal(t, countMaintenanceOrders(orders), 1)
}

// newTermWithWaitingItem returns the core of a second term with a lasting work item of an earlier term that waits, and
// with a worker that has reported and on which the item fits.
func newTermWithWaitingItem(t *testing.T) *testCore {
	tc := newTestCore(2)
	def := &work.Job{ID: "lasting", Queue: tc.config.Queues[0], Customer: "big", Accepted: tc.wallClock(), Steps: []work.Step{lastingStep(1, 0)}}
	records, err := (&jobEncoder{}).encodeJob(newJob(def), true)
	assert.NilError(t, err)
	tc.Load(records)
	tc.addWorker(0, 8)
	return tc
}

// hostsOf returns a host for each ID of a worker; an empty ID is that of a host without a worker, which is on its way
// to another pool.
func hostsOf(workers ...string) []infra.Host {
	var hosts []infra.Host
	for n, id := range workers {
		host := infra.Host{ID: fmt.Sprintf("host-%d", n), Pool: simPool, State: infra.HostUp, WorkerID: id}
		if id == "" {
			host.State = infra.HostMoving
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// countStarts returns the number of starts among the orders.
func countStarts(orders []Order) int {
	n := 0
	for _, order := range orders {
		if order.Kind == OrderStart {
			n++
		}
	}
	return n
}

// Guards against a new term that starts no work of earlier terms for as long as hosts move: a worker that had reported
// and whose host then moved away counted as one of which nothing is known, since the list of hosts still showed it, or
// its last entry came after it had ended. In a simulated day of vaalkant-ops-grown with rolling restarts, jobs waited
// for eight seconds.
func TestEndedWorkersDoNotHoldBackEarlierJobs(t *testing.T) {
	for _, listedAgain := range []bool{false, true} {
		tc := newTermWithWaitingItem(t)
		gone := tc.addWorker(1, 8)
		entry := tc.workers[gone].entry
		tc.SetHosts(hostsOf("worker-0", gone), tc.now)
		tc.RenewalFailed(gone, &infra.Error{Kind: infra.WorkerReplaced, Op: "hold"})
		tc.dropExpired(tc.now)
		if listedAgain {
			tc.SetHosts(hostsOf("worker-0", ""), tc.now)
			tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
		}
		assert.Equal(t, countStarts(tc.collectOrders()), 1, "listed again: %t", listedAgain)
	}
}

// Guards against a new term that starts no work of earlier terms while hosts finish their moves: the list of hosts shows
// a new worker before the list of workers has it. Only a worker that may have been there when the term began, as far as
// the list of hosts lags, holds work back.
func TestNewWorkersDoNotHoldBackEarlierJobs(t *testing.T) {
	for _, test := range []struct {
		name   string
		before []infra.Host
		// listedAfter is when, in the term, the list of hosts was read that doesn't show the new worker yet.
		listedAfter time.Duration
		starts      int
	}{
		{"host was moving", hostsOf("worker-0", ""), hostListLag, 1},
		{"host had another worker", hostsOf("worker-0", "worker-1"), hostListLag, 1},
		{"host may have had the worker", hostsOf("worker-0", ""), hostListLag - time.Millisecond, 0},
		{"host wasn't listed", hostsOf("worker-0"), hostListLag, 0},
	} {
		tc := newTermWithWaitingItem(t)
		tc.addWorker(1, 8)
		tc.now += test.listedAfter
		tc.SetHosts(test.before, tc.now)
		tc.now += 100 * time.Millisecond
		tc.SetHosts(hostsOf("worker-0", "worker-2"), tc.now)
		assert.Equal(t, countStarts(tc.collectOrders()), test.starts, test.name)
	}
}

// Guards against a new term that starts no work of earlier terms for hostListLag because the list of workers still has
// those that ended before, as after each move of a host. In a roll that stops the leaders first, a term often lasts no
// longer than that. Only a worker that is too young for the list of hosts holds work back.
func TestWorkersWithoutHostDoNotHoldBackEarlierJobs(t *testing.T) {
	for _, test := range []struct {
		name   string
		age    time.Duration
		starts int
	}{
		{"long running", hostListLag + maxClockSkew + time.Millisecond, 1},
		{"just started", hostListLag + maxClockSkew, 0},
	} {
		tc := newTermWithWaitingItem(t)
		tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{{ID: "gone", Pool: simPool, Address: "10.0.0.2:1", Capacity: work.Resources{CPUMilli: 8000},
			StartUnixMs: tc.wallClock().Add(-test.age).UnixMilli()}}})
		tc.RenewalFailed("gone", &infra.Error{Kind: infra.Refused, Op: "hold"})
		tc.SetHosts(hostsOf("worker-0"), tc.now)
		assert.Equal(t, countStarts(tc.collectOrders()), test.starts, test.name)
	}
}

// Guards against a work item that waits for a list of hosts from hostListLag after the start of the term because the
// records place it on a worker that has ended. In a simulated day of vaalkant-ops-large, such lists came two seconds
// apart, and 35 such workers held back the jobs of earlier terms for 3.3 s.
func TestItemsOnWorkersWithoutHostStartAgain(t *testing.T) {
	first := newTestCore(1)
	gone := first.addWorker(1, 8)
	waiter := make(chan Outcome, 1)
	first.Submit(&work.Job{ID: "lasting", Queue: first.config.Queues[0], Steps: []work.Step{lastingStep(1, 0)}}, waiter)
	first.commit()
	records, err := (&jobEncoder{}).encodeJob(first.jobs["lasting"], true)
	assert.NilError(t, err)

	second := newTestCore(2)
	second.now = first.now
	second.Load(records)
	second.addWorker(0, 8)
	entry := first.workers[gone].entry
	entry.StartUnixMs = second.wallClock().Add(-time.Minute).UnixMilli()
	second.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
	second.RenewalFailed(gone, &infra.Error{Kind: infra.Refused, Op: "hold"})
	second.SetHosts(hostsOf("worker-0"), second.now)
	assert.Equal(t, countStarts(second.commit()), 1)
}

// Guards against a second run of a work item that is done, after a term that took longer to load its state than the
// leases of earlier terms last: the workers had the ends, and weren't asked first. In a simulated day of
// vaalkant-ops-grown with rolling restarts, a leader on a small host loaded for 9.9 s, and ten items ran again.
func TestSlowLoadingTermAsksTheWorkersFirst(t *testing.T) {
	first := newTestCore(1)
	first.addWorker(1, 8)
	first.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	i := first.jobs["job"].steps[0].items[0]
	records, err := (&jobEncoder{}).encodeJob(first.jobs["job"], true)
	assert.NilError(t, err)

	second := newTestCore(2)
	second.now = second.inheritedLeaseEnd() + time.Second
	second.Load(records)
	second.addWorker(0, 8)
	second.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{first.workers["worker-1"].entry}})
	second.SetHosts(hostsOf("worker-0", "worker-1"), second.now)
	assert.Equal(t, countStarts(second.collectOrders()), 0)
	end := infra.EndedRun{Sequence: 1, Item: i.id(), Run: i.run, Cause: infra.EndDone}
	second.ApplyReport("worker-1", infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{end}}, second.now)
	second.commit()
	state, _ := second.State("job")
	assert.Equal(t, state, JobCompleted)
}

// Guards against work that waits for a worker that doesn't report after its lease has lapsed.
func TestSlowLoadingTermDoesNotWaitForSilentWorkers(t *testing.T) {
	first := newTestCore(1)
	first.addWorker(1, 8)
	first.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	records, err := (&jobEncoder{}).encodeJob(first.jobs["job"], true)
	assert.NilError(t, err)

	second := newTestCore(2)
	second.now = second.inheritedLeaseEnd() + time.Second
	second.Load(records)
	second.addWorker(0, 8)
	second.now += firstReportTime + time.Millisecond
	assert.Equal(t, countStarts(second.commit()), 1)
}

// Guards against times that a new term knows in whole seconds only, so that occurrences start up to a second early
// (incident 0012), and against records of earlier revisions, which have such times, that can't be read any more.
func TestTimesOfRecordsAreExact(t *testing.T) {
	tc := newTestCore(1)
	def := &work.Job{ID: "job", Queue: tc.config.Queues[0], Steps: []work.Step{needStep(1)}, Accepted: tc.wallClock().Add(123456789),
		Recurrence: work.Recurrence{First: tc.wallClock().Add(900 * time.Millisecond), Interval: 1500 * time.Millisecond, Times: 3}}
	records, err := (&jobEncoder{}).encodeJob(newJob(def), true)
	assert.NilError(t, err)
	for _, local := range []*time.Location{time.UTC, time.FixedZone("", -7*60*60)} {
		decoded, err := decodeDefinition("job", records[0].Value)
		assert.NilError(t, err)
		assert.Assert(t, decoded.Recurrence.First.Equal(def.Recurrence.First), "%s", decoded.Recurrence.First)
		assert.Assert(t, decoded.Accepted.Equal(def.Accepted), "%s", decoded.Accepted)
		def.Recurrence.First, def.Accepted = def.Recurrence.First.In(local), def.Accepted.In(local)
		records, err = (&jobEncoder{}).encodeJob(newJob(def), true)
		assert.NilError(t, err)
	}
	earlier, err := cbor.Marshal(def)
	assert.NilError(t, err)
	decoded, err := decodeDefinition("job", earlier)
	assert.NilError(t, err)
	assert.Assert(t, decoded.Recurrence.First.Equal(def.Recurrence.First.Truncate(time.Second)))
}

// Guards against a failure that a term counts again for a worker that was dropped before the end was acknowledged to it, and is
// listed again (incident 0024): a job fails before its item has used up its attempts.
func TestFailureCountsOnceForAWorkerThatIsListedAgain(t *testing.T) {
	first := newLoggedTerm(1, map[string][]byte{}, time.Hour)
	first.listWorkers("worker-a")
	first.reportNothing("worker-a")
	first.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	started := first.jobs["job"].itemAt(0, 0, 0)
	run := started.run
	first.ApplyStartResult(first.startOf(started), nil, false)
	first.markItemDirty(started)
	first.commit()
	second := newLoggedTerm(2, first.log, first.now+time.Second)
	i := second.jobs["job"].itemAt(0, 0, 0)
	// The worker is cut off until its lease has lapsed and its entry has expired. Its report shows the end once it can be
	// reached, and again after it has written its entry.
	second.now = second.inheritedLeaseEnd() + time.Second
	report := infra.WorkerReport{ClockMs: 9000, StartUnixMs: earlierProcess, Ended: []infra.EndedRun{{Sequence: 1, Item: i.id(), Run: run, Cause: infra.EndFailed}}}
	second.ApplyReport("worker-a", report, second.now)
	assert.Equal(t, i.failures, 1)
	second.now += workerCheckInterval
	second.commit()
	assert.Assert(t, second.workers["worker-a"] == nil, "the worker wasn't dropped")
	second.listWorkers("worker-a")
	second.ApplyReport("worker-a", report, second.now)
	assert.Equal(t, i.failures, 1)
}
