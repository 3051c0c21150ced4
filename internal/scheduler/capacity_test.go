package scheduler

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// formerCapacity is a capacity that a worker had. Starts that fit it are still allowed at allowedUntil.
type formerCapacity struct {
	capacity     work.Resources
	allowedUntil time.Duration
}

const (
	// shrinkGrace is how long after a worker's capacity shrank the rules still allow starts that fit the former
	// capacity: the time for which a scheduler may be out of touch, and one heartbeat of the worker.
	shrinkGrace = 4500 * time.Millisecond
	// simHeartbeat is the longest time until the list of workers shows a change of a worker.
	simHeartbeat = 1500 * time.Millisecond
)

// setCapacity changes the capacity that the list shows. The worker's capacity changed one heartbeat before.
func (w *simWorker) setCapacity(cores int64) {
	w.formerCapacities = append(w.formerCapacities, formerCapacity{w.entry.Capacity, w.sim.now + shrinkGrace - simHeartbeat})
	w.entry.Capacity.CPUMilli = 1000 * cores
}

// capacityInForce returns the largest capacity that starts on the worker may use.
func (w *simWorker) capacityInForce() work.Resources {
	inForce := w.entry.Capacity
	w.formerCapacities = slices.DeleteFunc(w.formerCapacities, func(f formerCapacity) bool { return f.allowedUntil < w.sim.now })
	for _, former := range w.formerCapacities {
		inForce.CPUMilli = max(inForce.CPUMilli, former.capacity.CPUMilli)
	}
	return inForce
}

// runWithChangingCapacity submits and cancels jobs for 30 s, while the capacities of the workers shrink and grow and
// orders are lost or late, and calls fault once per second. Every accepted job must end afterwards.
func runWithChangingCapacity(t *testing.T, fault func(s *sim, second int)) {
	runSeeds(t, 4, func(s *sim) {
		s.config.Pools[simPool] = work.Pool{Name: simPool}
		s.lostResponseShare, s.delayedOrderShare, s.stopTime = 0.05, 0.05, 300*time.Millisecond
		s.advance(time.Second)
		n := 0
		for second := range 30 {
			fault(s, second)
			for range 10 {
				if s.rng.IntN(5) == 0 {
					s.workers[s.rng.IntN(len(s.workers))].setCapacity(int64(s.rng.IntN(9)))
				}
				n++
				s.submit(s.randomJob(n))
				s.advance(100 * time.Millisecond)
				if s.rng.IntN(6) == 0 {
					s.cancelAny()
				}
			}
		}
		for _, w := range s.workers {
			w.unreachable = false
			w.setCapacity(8)
		}
		s.logDown, s.listDown = false, false
		s.advance(20 * time.Second)
		s.checkAcceptedJobs()
	})
}

// cancelAny cancels one of the accepted jobs at random.
func (s *sim) cancelAny() {
	var ids []string
	for id := range s.accepted {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return
	}
	slices.Sort(ids)
	id := ids[len(ids)-1-s.rng.IntN(min(8, len(ids)))]
	delete(s.accepted, id)
	s.leader().core.Cancel(id, "big", make(chan Outcome, 1))
}

// Guards against starts that exceed the capacity of a worker after it has shrunk.
func TestCapacityShrinksAndGrowsWhileJobsRun(t *testing.T) {
	runWithChangingCapacity(t, func(*sim, int) {})
}

// Guards against starts of a new term that exceed the capacity of a worker on which runs of the previous term continue.
func TestCapacityShrinksAndGrowsAcrossTakeovers(t *testing.T) {
	runWithChangingCapacity(t, func(s *sim, second int) {
		if second%2 == 0 {
			return
		}
		// The last starts of the term aren't recorded.
		s.logDown = true
		s.advance(time.Duration(s.rng.IntN(200)) * time.Millisecond)
		s.leader().ended, s.logDown = true, false
		s.takeOver()
		for range 4 {
			s.cancelAny()
		}
	})
}

// Guards against counting runs as gone on workers that were cut off, and whose runs continue or end unseen.
func TestCapacityShrinksAndGrowsOnWorkersThatAreCutOff(t *testing.T) {
	runWithChangingCapacity(t, func(s *sim, second int) {
		for _, w := range s.workers {
			w.unreachable = false
		}
		if second%6 < 3 {
			s.workers[second/6%len(s.workers)].unreachable = true
		}
	})
}

// Guards against starts that rely on the capacities of an old list of workers.
func TestCapacityShrinksAndGrowsWhileTheListCannotBeRead(t *testing.T) {
	runWithChangingCapacity(t, func(s *sim, second int) { s.listDown = second%10 >= 4 })
}

// reportRunning applies a report of the worker that lists only the given runs, the first runs of their items.
func (tc *testCore) reportRunning(worker string, items ...work.ItemID) {
	tc.now += time.Second
	report := infra.WorkerReport{ClockMs: tc.now.Milliseconds()}
	for _, id := range items {
		report.Running = append(report.Running, infra.ActiveRun{Item: id, Run: 1})
	}
	tc.ApplyReport(worker, report, tc.now)
}

// collectStarts collects and commits a batch, grants leases for its starts, and returns their number.
func (tc *testCore) collectStarts() int {
	orders := tc.collectOrders()
	starts := 0
	for i := range orders {
		if orders[i].Kind == OrderStart && tc.LeaseForStart(&orders[i], tc.now) > 0 {
			starts++
		}
	}
	return starts
}

// accept submits a job and makes it durable. Its items aren't placed yet.
func (tc *testCore) accept(id string, steps ...work.Step) {
	tc.Submit(&work.Job{ID: id, Queue: tc.config.Queues[0], Customer: "big", Steps: steps}, make(chan Outcome, 1))
	tc.collectOrders()
}

// needStep returns a step of one item that needs the given number of cores.
func needStep(cores int64) work.Step {
	return work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000 * cores}, Estimate: time.Second}
}

// Guards against starts beside runs that a worker still lists, although their items were released from it or their
// jobs' records were deleted: the worker was over its capacity until these runs had stopped.
func TestStrayRunsCountUntilTheWorkerListsThemNoMore(t *testing.T) {
	for _, known := range []bool{true, false} {
		tc := newTestCore(1)
		worker := tc.addWorker(0, 8)
		stray := needStep(6)
		// No worker has the label, so that the item waits.
		stray.Label = "none"
		if known {
			tc.accept("stray", stray)
		}
		id := work.ItemID{Job: "stray"}
		tc.reportRunning(worker, id)
		tc.accept("job", needStep(4))
		assert.Equal(t, tc.collectStarts(), 0, "known %v", known)
		tc.reportRunning(worker, id)
		assert.Equal(t, tc.collectStarts(), 0, "known %v", known)
		tc.reportRunning(worker)
		assert.Equal(t, tc.collectStarts(), 1, "known %v", known)
	}
}

// Guards against asking a worker that runs only stray work every two seconds, as if it were idle: it would get no new
// work until then.
func TestWorkerWithStrayRunsIsAskedWithoutPause(t *testing.T) {
	tc := newTestCore(1)
	worker := tc.addWorker(0, 8)
	assert.Equal(t, tc.NextRenewal(worker).Pause, idleRenewalPause)
	tc.reportRunning(worker, work.ItemID{Job: "stray"})
	assert.Equal(t, tc.NextRenewal(worker).Pause, time.Duration(0))
	request := tc.BuildRenewal(worker, tc.now)
	assert.Equal(t, request.Wait, maxRenewalWait)
	assert.Equal(t, request.LeaseEndMs, int64(0), "the lease of stray runs must not be extended")
}

// setCores applies an entry of the list of workers that shows another capacity of the worker.
func (tc *testCore) setCores(worker string, cores int64) {
	entry := tc.workers[worker].entry
	entry.Capacity.CPUMilli = 1000 * cores
	tc.UpdateWorkers(infra.WorkerUpdate{Entries: []infra.WorkerEntry{entry}})
}

// Guards against starts on a worker whose capacity shrank below what runs there: work that fills takes no processor
// capacity, and was placed although the worker had less than none left.
func TestWorkerOverItsCapacityGetsNoWork(t *testing.T) {
	tc := newTestCore(1)
	worker := tc.addWorker(0, 8)
	tc.accept("first", needStep(6))
	assert.Equal(t, tc.collectStarts(), 1)
	tc.setCores(worker, 5)
	filling := needStep(1)
	filling.Filling, filling.Need.MemoryMiB = true, 256
	tc.accept("filling", filling)
	assert.Equal(t, tc.collectStarts(), 0)
	tc.setCores(worker, 6)
	assert.Equal(t, tc.collectStarts(), 1)
}

// Guards against sending starts that were planned before the capacity of their worker shrank: they wait for a slot or
// for the repetition of an attempt.
func TestStartIsNotSentAfterTheCapacityShrank(t *testing.T) {
	tc := newTestCore(1)
	worker := tc.addWorker(0, 8)
	step := needStep(3)
	step.Count = 2
	tc.accept("job", step)
	orders := tc.collectOrders()
	assert.Equal(t, len(orders), 2)
	tc.setCores(worker, 5)
	assert.Equal(t, tc.LeaseForStart(&orders[0], tc.now), int64(0))
	tc.StartNotSent(&orders[0])
	assert.Assert(t, tc.LeaseForStart(&orders[1], tc.now) > 0, "the other item fits")
	assert.Equal(t, tc.collectStarts(), 0)
	tc.setCores(worker, 6)
	assert.Equal(t, tc.collectStarts(), 1)
}

// Guards against members of a gang that wait for one whose start wasn't sent, or was refused, since the capacity of its
// worker shrank: they would end alone.
func TestGangIsStoppedIfAMemberDoesNotStart(t *testing.T) {
	for _, sent := range []bool{true, false} {
		tc := newTestCore(1)
		tc.addWorker(0, 4)
		tc.addWorker(1, 4)
		step := needStep(4)
		step.Count, step.Gang = 2, true
		tc.accept("job", step)
		orders := tc.collectOrders()
		assert.Equal(t, len(orders), 2)
		started, other := &orders[0], &orders[1]
		assert.Assert(t, tc.LeaseForStart(started, tc.now) > 0)
		tc.ApplyStartResult(started, nil, false)
		if sent {
			tc.ApplyStartResult(other, &infra.Error{Kind: infra.NoCapacity, Op: "start"}, false)
		} else {
			tc.setCores(other.Worker.ID, 3)
			assert.Equal(t, tc.LeaseForStart(other, tc.now), int64(0))
			tc.StartNotSent(other)
		}
		next := tc.collectOrders()
		assert.Equal(t, len(next), 1, "sent %v", sent)
		assert.Equal(t, next[0].Kind, OrderStop)
		assert.Equal(t, next[0].Item, started.Item)
	}
}

// Guards against starts beside members of a gang that is done, before their workers list the ends of their runs.
func TestMembersOfAFinishedGangCountUntilTheirEndsAreListed(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(0, 4)
	tc.addWorker(1, 4)
	gang, pair := needStep(4), needStep(4)
	gang.Count, gang.Gang, pair.Count = 2, true, 2
	tc.accept("gang", gang)
	assert.Equal(t, tc.collectStarts(), 2)
	for _, i := range tc.jobs["gang"].steps[0].items {
		i.startConfirmedAt = tc.now
	}
	first, second := tc.jobs["gang"].steps[0].items[0], tc.jobs["gang"].steps[0].items[1]
	workers := []string{first.worker.entry.ID, second.worker.entry.ID}
	end := func(i *item, cause infra.EndCause) infra.WorkerReport {
		return infra.WorkerReport{ClockMs: 2000, Ended: []infra.EndedRun{{Sequence: 1, Item: i.id(), Run: i.run, Cause: cause}}}
	}
	tc.ApplyReport(workers[0], end(first, infra.EndDone), tc.now)
	tc.accept("pair", pair)
	assert.Equal(t, tc.collectStarts(), 1)
	state, _ := tc.State("gang")
	assert.Equal(t, state, JobCompleted)
	tc.ApplyReport(workers[1], end(second, infra.EndDone), tc.now)
	assert.Equal(t, tc.collectStarts(), 1)
	assert.Equal(t, tc.customerUsage["big"].CPUMilli, int64(8000))
}

// Guards against starts that rely on capacities which the list of workers showed long ago, while the list can't be read
// but the log can be written. Workers that refuse what doesn't fit get work all the same.
func TestStartsWaitForARecentListOfWorkers(t *testing.T) {
	for _, guarded := range []bool{false, true} {
		tc := newTestCore(1)
		tc.config.Pools[simPool] = work.Pool{Name: simPool, AdmissionControl: guarded}
		tc.addWorker(0, 8)
		tc.WorkersListed(tc.now)
		tc.accept("first", needStep(1))
		tc.now += maxListAge
		orders := tc.collectOrders()
		assert.Equal(t, len(orders), 1)
		tc.now += time.Millisecond
		assert.Equal(t, tc.LeaseForStart(&orders[0], tc.now) > 0, guarded)
		tc.StartNotSent(&orders[0])
		tc.accept("second", needStep(1))
		assert.Equal(t, tc.collectStarts() > 0, guarded)
		for range 5 {
			tc.now += time.Second / 2
			tc.WorkersListed(tc.now)
		}
		tc.accept("third", needStep(1))
		assert.Assert(t, tc.collectStarts() > 0)
	}
}

// Guards against starts right after an outage of the store that rely on the entries from before it: a worker whose
// capacity shrank meanwhile writes its entry only with its next heartbeat.
func TestStartsWaitForWorkersToWriteAfterAnOutage(t *testing.T) {
	tc := newTestCore(1)
	worker := tc.addWorker(0, 8)
	tc.WorkersListed(tc.now)
	tc.accept("job", needStep(6))
	tc.now += 6 * time.Second
	tc.WorkersListed(tc.now)
	assert.Equal(t, tc.collectStarts(), 0)
	for end := tc.now + listSettleTime; tc.now < end-maxListGap; {
		tc.now += maxListGap
		tc.WorkersListed(tc.now)
		assert.Equal(t, tc.collectStarts(), 0)
	}
	tc.setCores(worker, 5)
	tc.now += maxListGap
	tc.WorkersListed(tc.now)
	assert.Equal(t, tc.collectStarts(), 0)
	tc.setCores(worker, 6)
	assert.Equal(t, tc.collectStarts(), 1)
}

// Guards against a worker whose capacity shrank below what its lasting work takes, and which then reduced the cores that
// admission counts for the whole pool.
func TestOverfullWorkerDoesNotReduceThePool(t *testing.T) {
	tc := newTestCore(1)
	worker := tc.addWorker(0, 8)
	lasting := lastingStep(1, 0)
	lasting.Need.CPUMilli = 6000
	tc.accept("lasting", lasting)
	assert.Equal(t, tc.collectStarts(), 1)
	tc.addWorker(1, 8)
	tc.setCores(worker, 1)
	tc.now += supplyCacheTime
	_, cores := tc.supplyOf(simPool, tc.now)
	assert.Equal(t, cores, 8.0)
}

// Guards against capacity that grew and isn't used, since the worker was full in an earlier cycle.
func TestGrownCapacityIsUsedInTheNextCycle(t *testing.T) {
	tc := newTestCore(1)
	worker := tc.addWorker(0, 4)
	step := needStep(4)
	step.Count = 3
	tc.accept("job", step)
	assert.Equal(t, tc.collectStarts(), 1)
	assert.Equal(t, tc.collectStarts(), 0)
	tc.setCores(worker, 12)
	assert.Equal(t, tc.collectStarts(), 2)
}

// Guards against the use of a worker's earlier capacity when its entry expired and came back.
func TestWorkerComesBackWithAnotherCapacity(t *testing.T) {
	for _, full := range []bool{false, true} {
		tc := newTestCore(1)
		worker := tc.addWorker(0, 8)
		entry := tc.workers[worker].entry
		if full {
			tc.UpdateWorkers(infra.WorkerUpdate{Full: true})
		} else {
			tc.UpdateWorkers(infra.WorkerUpdate{Removed: []string{worker}})
		}
		tc.accept("job", needStep(6))
		assert.Equal(t, tc.collectStarts(), 0)
		entry.Capacity.CPUMilli = 5000
		tc.UpdateWorkers(infra.WorkerUpdate{Full: full, Entries: []infra.WorkerEntry{entry}})
		tc.reportRunning(worker)
		assert.Equal(t, tc.collectStarts(), 0)
		tc.setCores(worker, 6)
		assert.Equal(t, tc.collectStarts(), 1)
	}
}

// Guards against starts of a new term on a worker that it knows only from records, so that its capacity isn't known.
func TestNewTermStartsNothingBeforeTheListOfWorkersIsRead(t *testing.T) {
	first := newTestCore(1)
	worker := first.addWorker(0, 8)
	first.accept("job", needStep(4))
	records, err := (&jobEncoder{}).encodeJob(first.jobs["job"], true)
	assert.NilError(t, err)
	batch := first.Collect()
	records = append(records, batch.Records...)
	entry := first.workers[worker].entry

	second := newTestCore(2)
	second.Load(records)
	i := second.jobs["job"].steps[0].items[0]
	assert.Equal(t, i.state, itemPlaced)
	second.accept("next", needStep(0))
	second.reportRunning(worker, i.id())
	assert.Equal(t, second.collectStarts(), 0)
	second.UpdateWorkers(infra.WorkerUpdate{Full: true, Entries: []infra.WorkerEntry{entry}})
	assert.Equal(t, second.collectStarts(), 1)
}
