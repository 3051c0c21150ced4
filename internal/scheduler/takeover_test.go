package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Guards against hosts that a new term leaves alone longer than the platform asks for: in a peak, eleven
// of them stood idle in other pools for seconds. The last order to them counts, not the change of term.
func TestNewTermHoldsBackHostsOrderedLately(t *testing.T) {
	first := newBed(1)
	first.recordOrder("host-old")
	first.now += 6 * time.Second
	first.recordOrder("host-new")
	records := first.Collect().Records

	second := newBed(2)
	second.now = first.now + time.Second
	second.LoadWaves(records)
	assert.Assert(t, second.hosts.heldBack["host-old"] <= second.now)
	held := second.hosts.heldBack["host-new"] - second.now
	assert.Assert(t, held >= simOptions().HostOrderDelay-time.Second+clockSkew/2 && held <= simOptions().HostOrderDelay, "held back for %s", held)
}

// Guards against a failed run that counts twice when its end is listed again, and against a job that
// fails before its attempts are used up.
func TestAttemptsAreCountedOnce(t *testing.T) {
	b := newBed(1)
	id := b.addWorker(0, 8)
	b.addWorker(1, 8)
	b.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	i := b.jobs["job"].steps[0].items[0]
	for number := int64(1); number <= 3; number++ {
		state, _ := b.State("job")
		assert.Equal(t, state, JobRunning)
		w := i.worker
		row := infra.EndedRun{Sequence: number, Item: i.id(), Run: i.run, Cause: infra.EndFailed}
		for range 2 {
			b.Report(w.entry.ID, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{row}}, b.now)
		}
		assert.Equal(t, i.failures, int(number))
		b.now += greyPause + time.Second
		b.commit()
	}
	state, _ := b.State("job")
	assert.Equal(t, state, JobFailed)
	assert.Assert(t, id != "")
}

// Guards against a failed run that a new term doesn't count since it hears first of a later one, begun
// while the log took no records: the item then got one attempt too many.
func TestAttemptsOfAnEarlierTermCountInAnyOrder(t *testing.T) {
	for _, laterFirst := range []bool{false, true} {
		first := newBed(1)
		for n := range 3 {
			first.addWorker(n, 8)
		}
		first.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
		i := first.jobs["job"].steps[0].items[0]
		durable, err := encodeJob(first.jobs["job"], true)
		assert.NilError(t, err)
		type ended struct {
			worker string
			row    infra.EndedRun
		}
		var ends []ended
		for range 3 {
			e := ended{i.worker.entry.ID, infra.EndedRun{Sequence: 1, Item: i.id(), Run: i.run, Cause: infra.EndFailed}}
			ends = append(ends, e)
			first.workers[e.worker].cordoned = true
			first.Report(e.worker, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{e.row}}, first.now)
			first.commit()
		}
		if laterFirst {
			slices.Reverse(ends)
		}

		second := newBed(2)
		second.now = first.now
		second.Load(durable)
		for n := range 3 {
			second.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{{ID: fmt.Sprintf("worker-%d", n), Pool: simPool, Address: "10.0.0.1:1"}}})
		}
		for _, e := range ends {
			second.Report(e.worker, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{e.row}}, second.now)
		}
		assert.Equal(t, second.jobs["job"].steps[0].items[0].failures, 3, "later first: %t", laterFirst)
		assert.Assert(t, second.jobs["job"].failed)
	}
}

// Guards against a new term that stops lasting work while work that its predecessor has just stopped is
// still listed as at work: more would be away than may be.
func TestNewTermStopsNoLastingWorkAtOnce(t *testing.T) {
	first := newBed(1)
	for n := range 4 {
		first.addWorker(n, 8)
	}
	waiter := make(chan Outcome, 1)
	first.Submit(&work.Job{ID: "lasting", Queue: first.config.Queues[0], Steps: []work.Step{lastingStep(3, 1)}}, waiter)
	batch := first.Collect()
	first.Committed(&batch)
	records := append([]infra.Record(nil), batch.Records...)
	batch = first.Collect()
	first.startAll(batch.Orders, 0)
	records = append(records, batch.Records...)

	second := newBed(2)
	second.Load(records)
	for n := range 4 {
		second.addWorker(n, 8)
	}
	for i := range second.jobs["lasting"].steps[0].items {
		it := second.jobs["lasting"].steps[0].items[i]
		second.place(it, second.workers[fmt.Sprintf("worker-%d", i)])
		it.atWork, it.answered = true, second.now
	}
	i := second.jobs["lasting"].steps[0].items[0]
	assert.Assert(t, !second.mayStop(i))
	second.now += inheritedStops
	assert.Assert(t, second.mayStop(i))
}

// Guards against a run that a new term takes over and gives up at once: the worker had no lease of this
// term yet, so that its work counted as lapsed and started elsewhere while it ran.
func TestUnrecordedRunIsKept(t *testing.T) {
	b := newBed(2)
	for n := range 2 {
		b.addWorker(n, 8)
	}
	def := &work.Job{ID: "job", Queue: b.config.Queues[0], Customer: "big", Accepted: b.wall(),
		Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second}}}
	records, err := encodeJob(newJob(def), true)
	assert.NilError(t, err)
	b.Load(records)
	i := b.jobs["job"].steps[0].items[0]
	b.Report("worker-1", infra.WorkerReport{ClockMs: 2000, Running: []infra.ActiveRun{{Item: i.id(), Run: 7}}}, b.now)
	assert.Equal(t, len(b.commit()), 0)
	assert.Assert(t, i.worker == b.workers["worker-1"])
	assert.Equal(t, i.run, int64(7))
}

// Guards against a later unrecorded run that is stopped as unknown, and started again elsewhere before
// the stop has arrived, since the record names an earlier run on another worker.
func TestLaterUnrecordedRunReplacesTheRecordedOne(t *testing.T) {
	first := newBed(1)
	first.addWorker(0, 8)
	first.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	records, err := encodeJob(first.jobs["job"], true)
	assert.NilError(t, err)

	second := newBed(2)
	second.now = first.now
	second.Load(records)
	for n := range 2 {
		second.addWorker(n+1, 8)
	}
	i := second.jobs["job"].steps[0].items[0]
	second.Report("worker-1", infra.WorkerReport{ClockMs: 2000, Running: []infra.ActiveRun{{Item: i.id(), Run: i.run + 1}}}, second.now)
	assert.Equal(t, len(second.commit()), 0)
	assert.Assert(t, i.worker == second.workers["worker-1"])
	assert.Equal(t, i.run, int64(2))
}

// Guards against more hosts down than a wave allows after a change of the scheduler: those that the
// earlier term ordered count as down although the list doesn't show it yet.
func TestWaveCountsOrdersOfEarlierTerms(t *testing.T) {
	first := newBed(1)
	wave := infra.Wave{ID: 1, Hosts: []string{"host-0", "host-1"}, MaxDown: 1, TimeLimit: time.Minute}
	hosts := []infra.Host{{ID: "host-0", Pool: "rest", State: infra.HostUp}, {ID: "host-1", Pool: "rest", State: infra.HostUp}}
	first.SetWaves([]infra.Wave{wave})
	first.SetHosts(hosts, first.now)
	orders, _ := first.PlanHosts()
	assert.Equal(t, upkeeps(orders), 1)
	batch := first.Collect()

	second := newBed(2)
	second.LoadWaves(batch.Records)
	second.SetWaves([]infra.Wave{wave})
	second.SetHosts(hosts, second.now)
	orders, _ = second.PlanHosts()
	assert.Equal(t, upkeeps(orders), 0, "the host that the first term ordered may be down")
	second.now += simOptions().HostOrderDelay + time.Second
	second.SetHosts(hosts, second.now)
	orders, _ = second.PlanHosts()
	assert.Equal(t, upkeeps(orders), 1)
}

// Guards against an upkeep that is ordered again, after a call without an answer, while new work runs on
// the host: the worker may have been replaced meanwhile.
func TestRepeatedUpkeepWaitsUntilTheHostIsEmpty(t *testing.T) {
	b := newBed(1)
	host := func(worker string) []infra.Host {
		return []infra.Host{{ID: "host-0", Pool: simPool, State: infra.HostUp, WorkerID: worker, Capacity: work.Resources{CPUMilli: 8000}}}
	}
	b.SetWaves([]infra.Wave{{ID: 1, Hosts: []string{"host-0"}, MaxDown: 1, TimeLimit: time.Minute}})
	b.SetHosts(host(b.addWorker(0, 8)), b.now)
	orders, _ := b.PlanHosts()
	assert.Equal(t, upkeeps(orders), 1)
	b.HostOrdered(orders[0], &infra.Error{Kind: infra.Unknown, Op: "upkeep"})

	second := b.addWorker(1, 8)
	b.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	i := b.jobs["job"].steps[0].items[0]
	assert.Equal(t, i.worker.entry.ID, second)
	b.now += 2 * orderPause
	b.SetHosts(host(second), b.now)
	orders, _ = b.PlanHosts()
	assert.Equal(t, upkeeps(orders), 0)
	b.Report(second, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{{Sequence: 1, Item: i.id(), Run: i.run, Cause: infra.EndDone}}}, b.now)
	orders, _ = b.PlanHosts()
	assert.Equal(t, upkeeps(orders), 1)
}
