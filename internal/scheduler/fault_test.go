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

// faultSeeds is how many fleets each fault test plays, from seed 1.
const faultSeeds = 6

// failedSeeds are further fleets that once broke a rule. In TestLogRefusesTheSchedulerWhileItemsFail a
// new term didn't count the failure of the last recorded run (7 and 18), and gave up unrecorded runs as
// soon as it had heard of them (the others). In TestWaveWhileTheSchedulerIsKilled an upkeep whose order
// had no answer didn't count as down (4, 6, 18, 336, 363 and 492).
var failedSeeds = []uint64{7, 18, 136, 138, 215, 336, 361, 363, 486, 492, 517, 524}

// playFaults hands in jobs for 20 s while the faults happen, and checks afterwards that every
// accepted job is known, and completed unless its work items failed too often.
func playFaults(t *testing.T, setUp func(s *sim), fault func(s *sim, second int)) {
	playFleets(t, 6, func(s *sim) {
		setUp(s)
		s.run(time.Second)
		n := 0
		for second := range 20 {
			fault(s, second)
			for range 5 {
				n++
				s.submit(s.randomJob(n))
				s.run(200 * time.Millisecond)
			}
		}
		for _, w := range s.workers {
			w.cut = false
		}
		s.logDown = false
		s.run(40 * time.Second)
		s.checkEnds()
	})
}

// playFleets plays one fleet for each seed.
func playFleets(t *testing.T, workers int, play func(s *sim)) {
	seeds := slices.Clone(failedSeeds)
	for seed := uint64(1); seed <= faultSeeds; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { play(newSim(t, seed, workers)) })
	}
}

func (s *sim) checkEnds() {
	assert.Assert(s.t, len(s.accepted) > 0, "no job was accepted")
	for id := range s.accepted {
		state, known := s.leader().core.State(id)
		if !known || state != JobCompleted && state != JobFailed {
			s.t.Fatalf("accepted job %s is %q (known %v) long after the faults", id, state, known)
		}
		if state != JobCompleted {
			continue
		}
		for step := range s.jobs[id].Steps {
			for index := range s.jobs[id].Steps[step].Count {
				if !s.done[work.ItemID{Job: id, Step: step, Index: index}] {
					s.t.Fatalf("job %s is shown as completed, but work item %d.%d wasn't done", id, step, index)
				}
			}
		}
	}
}

func noFaults(*sim) {}

// Guards against work items that are lost, doubled or out of order on a calm day.
func TestCalmDay(t *testing.T) {
	playFaults(t, noFaults, func(*sim, int) {})
}

// Guards against a second run of a work item whose start had no answer, or is carried out seconds later.
func TestOrdersWithoutAnswers(t *testing.T) {
	playFaults(t, func(s *sim) { s.lostShare, s.lateShare = 0.1, 0.1 }, func(*sim, int) {})
}

// Guards against attempts beyond the limit when the log takes no records of failures, and a new term
// has to learn of them from the workers, in whatever order these answer.
func TestLogRefusesTheSchedulerWhileItemsFail(t *testing.T) {
	playFaults(t, func(s *sim) { s.failShare = 0.45 }, func(s *sim, second int) {
		if second%2 == 0 {
			s.run(time.Duration(s.rng.IntN(100)) * simTick)
			s.logDown = true
			return
		}
		s.takeOver()
		s.logDown = false
	})
}

// Guards against a second run of what an earlier term started and didn't record, and against jobs
// that a takeover loses.
func TestSchedulerIsKilledAgainAndAgain(t *testing.T) {
	playFaults(t, func(s *sim) { s.lateShare = 0.05 }, func(s *sim, second int) {
		if second%4 == 3 {
			s.leader().over = true
			s.run(time.Duration(s.rng.IntN(2000)) * time.Millisecond)
			s.takeOver()
		}
	})
}

// Guards against a scheduler that wakes after a freeze and orders with its old token, and against its
// successor that starts work again which the old one still leased.
func TestSchedulerIsFrozenAndWakes(t *testing.T) {
	playFaults(t, noFaults, func(s *sim, second int) {
		switch second % 6 {
		case 2:
			s.leader().frozen = true
			s.run(1500 * time.Millisecond)
			s.takeOver()
		case 5:
			for _, d := range s.schedulers {
				d.frozen = false
			}
		}
	})
}

// Guards against a second run of work on workers that are cut off and run on, also when the
// scheduler changes meanwhile.
func TestWorkersAreCutOffWhileTheSchedulerChanges(t *testing.T) {
	playFaults(t, noFaults, func(s *sim, second int) {
		for _, w := range s.workers {
			w.cut = false
		}
		if second%5 == 1 || second%5 == 2 {
			s.workers[s.rng.IntN(len(s.workers))].cut = true
			s.workers[s.rng.IntN(len(s.workers))].cut = true
		}
		if second%5 == 2 {
			s.leader().over = true
			s.run(time.Second)
			s.takeOver()
		}
	})
}

// Guards against work that stays with crashed workers, and against ends that are confirmed to a
// worker's next life.
func TestWorkersCrashAndStartAgain(t *testing.T) {
	playFaults(t, noFaults, func(s *sim, second int) {
		if second%2 != 0 {
			return
		}
		at := s.rng.IntN(len(s.workers))
		w := s.workers[at]
		if !w.up {
			return
		}
		w.up = false
		if s.rng.IntN(2) == 0 {
			s.addWorker(w.host)
			return
		}
		// It starts again under its ID and knows nothing of before.
		*w = simWorker{sim: s, host: w.host, up: true, bornAt: s.now, entry: w.entry, running: map[work.ItemID]*simRun{}, highest: map[work.ItemID]int64{}, endedAt: map[int64]time.Duration{}}
		w.entry.StartUnixMs = s.wall().UnixMilli()
	})
}

// Guards against answers to callers before their job is durable, and against jobs lost with an
// outage of the log during which the scheduler is killed.
func TestLogIsDownWhileTheSchedulerIsKilled(t *testing.T) {
	playFaults(t, noFaults, func(s *sim, second int) {
		s.logDown = second%8 >= 4 && second%8 < 7
		if second%8 == 6 {
			s.leader().over = true
			s.logDown = false
			s.takeOver()
		}
	})
}

// Guards against good workers that are blamed for jobs which always fail, and against runs beyond
// the attempts that a queue allows.
func TestOneWorkerFailsAllItStarts(t *testing.T) {
	playFaults(t, func(s *sim) { s.workers[0].failAll = true }, func(*sim, int) {})
}

// startUnrecorded starts a job of one work item, and takes the log down before the start is recorded.
func (s *sim) startUnrecorded(estimate time.Duration) *work.Job {
	s.run(time.Second)
	job := &work.Job{ID: "0000000000000001", Queue: s.config.Queues[0], Customer: "clips",
		Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: estimate}}}
	s.submit(job)
	for s.starts == 0 {
		// The log holds the job before its start is sent; the record of the start never comes.
		s.logDown = s.accepted[job.ID]
		s.run(simTick)
	}
	return job
}

// takeOverUnrecordedStart kills the scheduler after a start without a record, hides the worker that
// runs it, and lets a successor go on.
func takeOverUnrecordedStart(t *testing.T, hide func(w *simWorker, runs bool)) {
	s := newSim(t, 1, 2)
	s.startUnrecorded(20 * time.Second)
	for _, w := range s.workers {
		hide(w, len(w.running) > 0)
	}
	s.leader().over, s.logDown = true, false
	s.takeOver()
	// The simulation fails when the item starts elsewhere before its lease has lapsed.
	s.run(2 * simOptions().Lease)
	assert.Assert(t, s.starts > 1, "the work item never ran again")
}

// Guards against a second run of a work item whose start was sent but not recorded when the
// scheduler was killed, on a worker that its successor can't reach.
func TestUnrecordedStartOnUnreachableWorker(t *testing.T) {
	takeOverUnrecordedStart(t, func(w *simWorker, runs bool) { w.cut = runs })
}

// Guards against a second run of an unrecorded start on a worker whose entry lapsed while the store
// had trouble: the list of hosts still shows it (TWICE on a hunted day of parelnet-zaan).
func TestUnrecordedStartOnUnlistedWorker(t *testing.T) {
	takeOverUnrecordedStart(t, func(w *simWorker, runs bool) { w.unlisted = runs })
}

// Guards against a run beyond the attempts of a queue when the failed run of an earlier term was never
// recorded (BUDGET on a hunted day of parelnet-zaan).
func TestUnrecordedFailureCounts(t *testing.T) {
	s := newSim(t, 1, 1)
	s.workers[0].failAll = true
	job := s.startUnrecorded(100 * time.Millisecond)
	s.run(500 * time.Millisecond)
	s.leader().over, s.logDown = true, false
	s.takeOver()
	s.run(30 * time.Second)
	state, _ := s.leader().core.State(job.ID)
	assert.Equal(t, state, JobFailed)
	assert.Equal(t, s.starts, s.config.Queues[0].MaxAttempts)
}

// Guards against a failed run that each of two terms counts: the first one recorded it, and ended
// before it confirmed the end to the worker (LOST on a hunted day of parelnet-zaan).
func TestUnrecordedFailureCountsOnce(t *testing.T) {
	s := newSim(t, 1, 2)
	s.workers[0].failAll = true
	// The second worker has no room, so that the item waits after its failure.
	s.workers[1].entry.Capacity.CPUMilli = 100
	job := s.startUnrecorded(100 * time.Millisecond)
	s.run(500 * time.Millisecond)
	s.leader().over, s.logDown = true, false
	s.takeOver()
	for s.recordedFailures(job.ID) == 0 {
		s.run(simTick)
	}
	assert.Assert(t, len(s.workers[0].ended) > 0, "the end is confirmed already")
	s.leader().over = true
	s.takeOver()
	s.run(30 * time.Second)
	state, _ := s.leader().core.State(job.ID)
	assert.Equal(t, state, JobFailed)
	assert.Equal(t, s.starts, s.config.Queues[0].MaxAttempts)
}

// recordedFailures sums the failures of the job's work items in the log.
func (s *sim) recordedFailures(job string) int {
	jobs, _ := decodeJobs([]infra.Record{{Key: progressPrefix + job, Value: s.log[progressPrefix+job]}})
	failures := 0
	for _, entry := range jobs {
		for _, i := range entry.progress.Items {
			failures += i.Failures
		}
	}
	return failures
}
