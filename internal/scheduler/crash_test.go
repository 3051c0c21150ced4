package scheduler

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

const (
	// crashLimit is the number of workers that may crash under an item that crashes each worker on which it
	// starts, and maxStartsAfterLimit the number of starts that are tolerated after that, as the users count.
	crashLimit          = 3
	maxStartsAfterLimit = 2
	// minFailureCrashes is the number of crashes of workers with a run of the item that justifies a failed job.
	minFailureCrashes = 2
	// minRestartTime and maxRestartTime bound how long after a crash another process starts on the host.
	minRestartTime = 3 * time.Second
	maxRestartTime = 3500 * time.Millisecond
	// maxFailedSoundShare is the share of the sound jobs that may fail because of crashes that other jobs cause.
	maxFailedSoundShare = 0.05
)

// randomTime returns a random time from low up to high, in whole ticks.
func (s *sim) randomTime(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64((high-low)/simTickTime)+1))*simTickTime
}

// randomWorker returns one of the workers that are up.
func (s *sim) randomWorker() *simWorker {
	var up []*simWorker
	for _, w := range s.workers {
		if w.up {
			up = append(up, w)
		}
	}
	return up[s.rng.IntN(len(up))]
}

// scheduleCrash makes the run crash its worker. It doesn't end before that.
func (s *sim) scheduleCrash(r *simRun) {
	r.crashesAt = s.now + s.randomTime(simTickTime, s.maxCrashDelay)
	r.endsAt = max(r.endsAt, r.crashesAt+simTickTime)
}

// crashIfDue crashes the worker if one of its runs does so now, and reports whether it crashed.
func (w *simWorker) crashIfDue() bool {
	var causes []work.ItemID
	for id, r := range w.running {
		if r.crashesAt > 0 && w.sim.now >= r.crashesAt {
			causes = append(causes, id)
		}
	}
	if len(causes) == 0 {
		return false
	}
	for _, id := range causes {
		w.sim.causedCrashTimes[id] = append(w.sim.causedCrashTimes[id], w.sim.now)
	}
	w.crash()
	return true
}

// crash ends the worker process with all its runs, and records which items had a run or an unacknowledged end on it.
func (w *simWorker) crash() {
	for id := range w.running {
		w.sim.crashTimes[id] = append(w.sim.crashTimes[id], w.sim.now)
	}
	for _, end := range w.unackedEnds {
		w.sim.lostEndTimes[end.Item] = append(w.sim.lostEndTimes[end.Item], w.sim.now)
	}
	w.sim.crashCount++
	w.endProcess()
}

// endProcess ends the worker process with its runs, the ends that aren't acknowledged, and the orders on their way
// to it: they travel on connections to the process, so that its successor under the same ID doesn't get them.
func (w *simWorker) endProcess() {
	for n := range w.sim.orders {
		o := &w.sim.orders[n]
		o.lost = o.lost || o.order.Worker.ID == w.entry.ID
	}
	clear(w.running)
	w.up, w.unackedEnds, w.restartAt = false, nil, w.sim.now+w.sim.randomTime(minRestartTime, maxRestartTime)
}

// restartEndedWorkers starts processes on the hosts of workers that have ended, half of them under the same ID.
func (s *sim) restartEndedWorkers() {
	for _, w := range s.workers {
		if w.restartAt == 0 || s.now < w.restartAt {
			continue
		}
		if s.rng.IntN(2) == 0 {
			w.restartAt = 0
			s.addWorker(w.host)
			continue
		}
		*w = simWorker{sim: s, host: w.host, up: true, startedAt: s.now, entry: w.entry, running: map[work.ItemID]*simRun{}, highestRun: map[work.ItemID]int64{}, endTimes: map[int64]time.Duration{}}
		w.entry.StartUnixMs, w.entry.Draining = s.wall().UnixMilli(), false
	}
}

// checkCrashBudget checks that an item that crashed crashLimit workers isn't started more often than tolerated.
func (s *sim) checkCrashBudget(id work.ItemID) {
	if len(s.causedCrashTimes[id]) < crashLimit {
		return
	}
	s.startsAfterLimit[id]++
	if s.startsAfterLimit[id] > maxStartsAfterLimit {
		s.t.Fatalf("%s: %s was started %d times more after it had crashed %d workers, at %v", s.now, id, s.startsAfterLimit[id], crashLimit, s.causedCrashTimes[id])
	}
}

// crashObserver follows the states of all jobs as callers see them.
type crashObserver struct {
	*sim
	// finalStates are the states of the jobs that were shown as completed or failed.
	finalStates map[string]JobState
	// deadlyJobs are the jobs with an item in crashingItems.
	deadlyJobs map[string]bool
	// faults is called in each tick; nil while there are no faults.
	faults    func()
	jobNumber int
}

func newCrashObserver(s *sim) *crashObserver {
	return &crashObserver{sim: s, finalStates: map[string]JobState{}, deadlyJobs: map[string]bool{}}
}

// run advances the simulation tick by tick, and checks the states of the jobs.
func (o *crashObserver) run(span time.Duration) {
	for end := o.now + span; o.now < end; {
		if o.faults != nil {
			o.faults()
		}
		o.advance(simTickTime)
		if o.now%(100*time.Millisecond) == 0 {
			o.observeStates()
		}
	}
}

// observeStates checks that jobs that are shown as failed have a cause, and that no final state changes.
func (o *crashObserver) observeStates() {
	for _, id := range slices.Sorted(maps.Keys(o.jobs)) {
		state, known := o.leader().core.State(id)
		if earlier := o.finalStates[id]; known && earlier != "" && state != earlier {
			o.t.Fatalf("%s: job %s is shown as %s after it was shown as %s", o.now, id, state, earlier)
		}
		if !known || o.finalStates[id] != "" {
			continue
		}
		switch state {
		case JobFailed:
			o.checkFailureCause(id)
			o.finalStates[id] = state
		case JobCompleted:
			o.checkItemsDone(id)
			o.finalStates[id] = state
		}
	}
}

// checkFailureCause checks that an item of the failed job used up its attempts, or had runs on workers that crashed.
func (o *crashObserver) checkFailureCause(job string) {
	mostCrashes, lostEnds := 0, 0
	for _, id := range o.itemsOf(job) {
		if !o.stepOf(id).Lasting && len(o.failureTimes[id]) >= o.jobs[job].Queue.MaxAttempts {
			return
		}
		mostCrashes = max(mostCrashes, len(o.crashTimes[id]))
		lostEnds = max(lostEnds, len(o.lostEndTimes[id]))
	}
	if mostCrashes < minFailureCrashes {
		o.t.Fatalf("%s: job %s is shown as failed, but no item of it used up its attempts, and at most %d workers crashed during its runs (%d after the end of a run)", o.now, job, mostCrashes, lostEnds)
	}
}

// submitDeadly submits a job of which a random item crashes each worker that starts it.
func (o *crashObserver) submitDeadly(job *work.Job) {
	step := o.rng.IntN(len(job.Steps))
	o.crashingItems[work.ItemID{Job: job.ID, Step: step, Index: o.rng.IntN(job.Steps[step].Count)}] = true
	o.deadlyJobs[job.ID] = true
	o.submit(job)
}

// submitJobs submits five random jobs a second for 20 s. One in each third of the time is deadly if deadly is set;
// another one is if it isn't accepted within a second.
func (o *crashObserver) submitJobs(deadly bool) {
	const jobs, deadlyJobs = 100, 3
	var deadlyNumbers []int
	for n := range deadlyJobs {
		deadlyNumbers = append(deadlyNumbers, n*jobs/deadlyJobs+o.rng.IntN(jobs/deadlyJobs))
	}
	wanted, retryAt := o.acceptedDeadlyJobs(), time.Duration(0)
	for n := range jobs {
		o.jobNumber++
		job := o.randomJob(o.jobNumber)
		if deadly && slices.Contains(deadlyNumbers, n) {
			wanted++
			retryAt = 0
		}
		if o.acceptedDeadlyJobs() < wanted && o.now >= retryAt {
			retryAt = o.now + time.Second
			o.submitDeadly(job)
		} else {
			o.submit(job)
		}
		o.run(200 * time.Millisecond)
	}
}

// acceptedDeadlyJobs returns the number of deadly jobs that were accepted.
func (o *crashObserver) acceptedDeadlyJobs() int {
	n := 0
	for id := range o.deadlyJobs {
		if o.accepted[id] {
			n++
		}
	}
	return n
}

// settle removes the faults, and checks 40 s later that all accepted jobs have the state that they should have. It
// returns the numbers of accepted sound jobs and of those among them that failed.
func (o *crashObserver) settle() (sound, failed int) {
	o.faults, o.logDown = nil, false
	if o.leader().ended {
		o.takeOver()
	}
	o.run(40 * time.Second)
	for _, id := range slices.Sorted(maps.Keys(o.accepted)) {
		state := o.finalStates[id]
		switch {
		case o.deadlyJobs[id]:
			if state != JobFailed {
				o.t.Fatalf("deadly job %s isn't shown as failed long after the faults ended, but as %q", id, state)
			}
		case o.jobs[id].Steps[0].Lasting:
		case state == "":
			o.t.Fatalf("accepted job %s is neither completed nor failed long after the faults ended", id)
		default:
			sound++
			if state == JobFailed {
				failed++
			}
		}
	}
	starts := 0
	for id := range o.crashingItems {
		starts = max(starts, len(o.startTimes[id]))
	}
	o.t.Logf("%d of %d sound jobs failed; %d of %d deadly jobs accepted; %d crashes; at most %d starts of a deadly item", failed, sound, o.acceptedDeadlyJobs(), len(o.deadlyJobs), o.crashCount, starts)
	return sound, failed
}

// simulateDeadlyItems submits jobs to six to ten workers, some of which crash their workers. faults returns a function
// that is called in each tick while jobs are submitted.
func simulateDeadlyItems(t *testing.T, setUp func(o *crashObserver), faults func(o *crashObserver) func()) {
	runSeeds(t, 6, func(s *sim) {
		for range s.rng.IntN(5) {
			s.addWorker(fmt.Sprintf("host-%d", len(s.workers)))
		}
		o := newCrashObserver(s)
		setUp(o)
		s.advance(time.Second)
		if faults != nil {
			o.faults = faults(o)
		}
		o.submitJobs(true)
		sound, failed := o.settle()
		assert.Assert(s.t, o.acceptedDeadlyJobs() >= 2, "only %d deadly jobs were accepted", o.acceptedDeadlyJobs())
		if faults == nil {
			assert.Assert(s.t, float64(failed) <= maxFailedSoundShare*float64(sound), "%d of %d sound jobs failed", failed, sound)
		}
	})
}

// Guards against restarting a work item without limit that crashes each worker that starts it.
func TestItemCrashesEachWorkerThatStartsIt(t *testing.T) {
	simulateDeadlyItems(t, func(*crashObserver) {}, nil)
}

// Guards against the same fault when the worker crashes only after it has reported the run.
func TestItemCrashesEachWorkerAfterItsRunWasReported(t *testing.T) {
	simulateDeadlyItems(t, func(o *crashObserver) { o.maxCrashDelay = 400 * time.Millisecond }, nil)
}

// Guards against a new term that doesn't count the crashes of earlier terms.
func TestItemCrashesWorkersWhileTheSchedulerIsKilled(t *testing.T) {
	simulateDeadlyItems(t, func(*crashObserver) {}, func(o *crashObserver) func() {
		killAt, takeOverAt, crashes := o.now+o.randomTime(2*time.Second, 4*time.Second), time.Duration(0), 0
		return func() {
			if o.crashCount > crashes && o.rng.IntN(3) == 0 {
				killAt = min(killAt, o.now+o.randomTime(0, 300*time.Millisecond))
			}
			crashes = o.crashCount
			if !o.leader().ended && o.now >= killAt {
				o.leader().ended = true
				takeOverAt = o.now + o.randomTime(0, time.Second)
			}
			if o.leader().ended && o.now >= takeOverAt {
				o.takeOver()
				killAt = o.now + o.randomTime(2*time.Second, 4*time.Second)
			}
		}
	})
}

// Guards against starting an item again without a count of the crash when the response to its start was lost.
func TestItemCrashesWorkersWhileOrdersHaveNoResponse(t *testing.T) {
	simulateDeadlyItems(t, func(o *crashObserver) { o.lostResponseShare, o.delayedOrderShare = 0.1, 0.1 }, func(*crashObserver) func() { return func() {} })
}

// Guards against crashes that aren't counted because neither the start nor the crash was recorded.
func TestItemCrashesWorkersWhileTheLogIsDown(t *testing.T) {
	simulateDeadlyItems(t, func(*crashObserver) {}, func(o *crashObserver) func() {
		changeAt := o.now + o.randomTime(2*time.Second, 4*time.Second)
		return func() {
			switch {
			case o.now < changeAt:
			case o.logDown:
				// Half of the earlier terms continue until the log refuses their records.
				o.leader().ended = o.rng.IntN(2) == 0
				o.logDown = false
				o.takeOver()
				changeAt = o.now + o.randomTime(2*time.Second, 4*time.Second)
			default:
				o.logDown = true
				changeAt = o.now + o.randomTime(time.Second, 2500*time.Millisecond)
			}
		}
	})
}

// Guards against restarting a lasting item without limit that crashes each worker that starts it.
func TestLastingItemCrashesEachWorkerThatStartsIt(t *testing.T) {
	simulateDeadlyItems(t, func(o *crashObserver) {
		o.submit(o.lastingJob(0))
		job := o.lastingJob(1)
		job.Steps[0].Count = 1
		o.submitDeadly(job)
	}, nil)
}

// Guards against giving up a sound lasting item because of unrelated crashes that are far apart.
func TestLastingItemOutlastsUnrelatedCrashes(t *testing.T) {
	runSeeds(t, 8, func(s *sim) {
		o := newCrashObserver(s)
		s.advance(time.Second)
		job := s.lastingJob(0)
		s.submit(job)
		s.submit(s.lastingJob(1))
		item := work.ItemID{Job: job.ID}
		for range 8 {
			for range 8 {
				o.jobNumber++
				s.submit(s.randomJob(o.jobNumber))
				o.run(time.Second)
			}
			for _, w := range s.workers {
				if w.up && w.running[item] != nil {
					w.crash()
				}
			}
		}
		o.settle()
		assert.Equal(s.t, s.crashCount, 8)
		for id := range s.lastingItems {
			assert.Assert(s.t, s.isRunning(id), "lasting item %s doesn't run", id)
		}
		for n := range 2 {
			state, _ := s.leader().core.State(s.lastingJob(n).ID)
			assert.Equal(s.t, state, JobRunning)
		}
	})
}

// Guards against failing sound jobs because several workers crash at the same moment.
func TestCrashesOfARackDontFailSoundJobs(t *testing.T) {
	runSeeds(t, 8, func(s *sim) {
		o := newCrashObserver(s)
		s.advance(time.Second)
		start := s.now
		o.faults = func() {
			if at := s.now - start; at != 6*time.Second && at != 14*time.Second {
				return
			}
			for range 4 {
				s.randomWorker().crash()
			}
		}
		o.submitJobs(false)
		sound, failed := o.settle()
		assert.Equal(s.t, s.crashCount, 8)
		assert.Assert(s.t, float64(failed) <= maxFailedSoundShare*float64(sound), "%d of %d sound jobs failed", failed, sound)
	})
}

// longJob returns a job whose items run for longer than most workers stay in the tests of planned stops.
func (s *sim) longJob(n int) *work.Job {
	return &work.Job{ID: fmt.Sprintf("%016x", 0xb000+n), Queue: s.config.Queues[0], Customer: "clips", Spec: "spec",
		Steps: []work.Step{{Count: 3, Need: work.Resources{CPUMilli: 500, MemoryMiB: 256}, Estimate: 5 * time.Second}}}
}

// simulatePlannedStops submits jobs while workers are stopped, and checks that all accepted jobs complete. mayMiss is the
// number of items of the lasting job that orders may make unavailable.
func simulatePlannedStops(t *testing.T, mayMiss int, faults func(o *crashObserver) func()) {
	runSeeds(t, 8, func(s *sim) {
		o := newCrashObserver(s)
		s.advance(time.Second)
		lasting := s.lastingJob(0)
		lasting.Steps[0].MayMiss = mayMiss
		s.submit(lasting)
		for n := range 6 {
			s.submit(s.longJob(n))
		}
		s.advance(time.Second)
		o.faults = faults(o)
		o.submitJobs(false)
		_, failed := o.settle()
		assert.Equal(s.t, failed, 0)
		state, _ := s.leader().core.State(lasting.ID)
		assert.Equal(s.t, state, JobRunning)
		starts := 0
		for _, times := range s.startTimes {
			starts = max(starts, len(times))
		}
		assert.Assert(s.t, starts > crashLimit, "planned stops ended at most %d runs of an item", starts-1)
	})
}

// Guards against counting planned stops of workers as crashes.
func TestPlannedStopsAreNotCrashes(t *testing.T) {
	t.Run("workers drain and leave", func(t *testing.T) {
		// Workers drain whatever runs on them, so that all items may be unavailable.
		simulatePlannedStops(t, 4, func(o *crashObserver) func() {
			leaveAt := map[*simWorker]time.Duration{}
			return func() {
				for _, w := range o.workers {
					if w.up && w.entry.Draining && o.now >= leaveAt[w] {
						w.endProcess()
					}
				}
				if o.now%(600*time.Millisecond) != 0 {
					return
				}
				if w := o.randomWorker(); !w.entry.Draining {
					w.entry.Draining, leaveAt[w] = true, o.now+o.randomTime(600*time.Millisecond, 1500*time.Millisecond)
				}
			}
		})
	})
	t.Run("hosts go down while work runs on them", func(t *testing.T) {
		// Orders to hosts may be carried out seconds late, when a later term has placed work there.
		simulatePlannedStops(t, 4, func(o *crashObserver) func() {
			return func() {
				if o.now%(600*time.Millisecond) != 0 {
					return
				}
				w := o.randomWorker()
				w.endProcess()
				w.restartAt, o.host(w.host).downUntil = 0, o.now+simMaintenanceTime
			}
		})
	})
	t.Run("hosts go down in waves", func(t *testing.T) {
		simulatePlannedStops(t, 1, func(o *crashObserver) func() {
			o.lostResponseShare = 0.1
			wave := infra.Wave{MaxDown: 2, TimeLimit: 4 * time.Second}
			for _, w := range o.workers {
				wave.Hosts = append(wave.Hosts, w.host)
			}
			return func() {
				if slices.ContainsFunc(wave.Hosts, func(id string) bool { return wave.ID > 0 && !o.host(id).completedWaves[wave.ID] }) {
					return
				}
				wave.ID++
				o.waves = []infra.Wave{wave}
			}
		})
	})
}
