package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

const (
	// simGangWait is how long the first members of a gang wait for the others, and simBreakTime how long after the end of one
	// member the others end.
	simGangWait  = 3 * time.Second
	simBreakTime = 100 * time.Millisecond
)

// simGangRun identifies a run of a gang.
type simGangRun struct {
	// step is the ID of the gang's first item.
	step work.ItemID
	run  int64
}

// simGang is the state of a run of a gang.
type simGang struct {
	// endsAt is when its work is done; 0 while members are missing. brokenAt is when a member was first missing after that.
	endsAt, brokenAt time.Duration
	fails            bool
}

// gangMember is a run of a member of a gang on a worker.
type gangMember struct {
	worker *simWorker
	id     work.ItemID
	run    *simRun
}

// tickGangs lets the gangs work whose members are all there, and ends them together. Each worker lists the ends of its own
// members.
func (s *sim) tickGangs() {
	members := map[simGangRun][]gangMember{}
	var order []simGangRun
	for _, w := range s.workers {
		if !w.up {
			continue
		}
		for _, id := range w.sortedRuns() {
			r := w.running[id]
			if !r.gang {
				continue
			}
			key := simGangRun{step: work.ItemID{Job: id.Job, Occurrence: id.Occurrence, Step: id.Step}, run: r.run}
			if members[key] == nil {
				order = append(order, key)
			}
			members[key] = append(members[key], gangMember{w, id, r})
		}
	}
	for _, key := range order {
		s.tickGang(key, members[key])
	}
}

func (s *sim) tickGang(key simGangRun, members []gangMember) {
	g := s.gangs[key]
	if g == nil {
		g = &simGang{}
		s.gangs[key] = g
	}
	step := s.stepOf(key.step)
	complete := len(members) == step.Count
	switch {
	case g.endsAt == 0 && complete:
		g.endsAt, g.fails = s.now+s.randomRunTime(step), s.rng.Float64() < s.failedRunShare
	case g.endsAt == 0:
		for _, m := range members {
			if s.now-m.run.startedAt > simGangWait {
				m.worker.endRun(m.id, m.run, infra.EndGangIncomplete)
			}
		}
	case !complete && g.brokenAt == 0:
		g.brokenAt = s.now
	case !complete && s.now-g.brokenAt >= simBreakTime:
		for _, m := range members {
			m.worker.endRun(m.id, m.run, infra.EndGangBroken)
		}
	case complete && s.now >= g.endsAt && g.fails:
		members[0].worker.endRun(members[0].id, members[0].run, infra.EndFailed)
	case complete && s.now >= g.endsAt:
		for _, m := range members {
			m.worker.endRun(m.id, m.run, infra.EndDone)
		}
	}
}

// ackDone notes that the successful end of an item was acknowledged. One of a gang stands for all of its members.
func (s *sim) ackDone(id work.ItemID) {
	s.ackedItems[id] = true
	if step := s.stepOf(id); step.Gang {
		for index := range step.Count {
			id.Index = index
			s.ackedItems[id] = true
		}
	}
}

// checkPlacedItems checks that each placed item of the scheduler has a start, a run or a stop under way: nothing else would
// ever release it.
func (s *sim) checkPlacedItems(scheduler *simScheduler) {
	held := map[work.ItemID]bool{}
	for _, order := range scheduler.core.plannedStarts {
		held[order.Item] = true
	}
	if scheduler.batch != nil {
		for _, order := range scheduler.batch.starts {
			held[order.Item] = true
		}
	}
	for j := range scheduler.core.activeJobs {
		for _, step := range j.steps {
			for _, i := range step.items {
				if i.state == itemPlaced && !i.startSent && !i.startInFlight && !i.inherited && !i.stopping && !i.reported && i.unansweredUntil == 0 && !held[i.id()] {
					s.t.Fatalf("%s: %s is placed on %s without a start", s.now, i.id(), i.worker.entry.ID)
				}
			}
		}
	}
}

// gangJob returns a job with a gang whose members take most of a worker each, and a step after it.
func (s *sim) gangJob(n int) *work.Job {
	job := &work.Job{ID: fmt.Sprintf("%016x", 0x6000+n), Queue: s.config.Queues[0], Customer: "clips", Spec: "spec"}
	job.Queue.MaxAttempts = 20
	job.Steps = []work.Step{
		{Count: 2 + s.rng.IntN(3), Need: work.Resources{CPUMilli: 4500, MemoryMiB: 64}, Estimate: time.Duration(200+s.rng.IntN(400)) * time.Millisecond, Gang: true},
		{Count: 1, Need: work.Resources{CPUMilli: 500, MemoryMiB: 64}, Estimate: 100 * time.Millisecond, After: []int{0}},
	}
	return job
}

// Guards against gangs that are never started again after they have lost a member: some members were placed without a
// start while the end of another one wasn't known yet (incident 0013).
func TestGangsThatLoseMembers(t *testing.T) {
	runSeeds(t, 8, func(s *sim) {
		s.failedRunShare, s.lostResponseShare = 0.15, 0.02
		s.advance(time.Second)
		for n := range 40 {
			s.submit(s.gangJob(n))
			s.advance(time.Duration(20+s.rng.IntN(40)) * simTickTime)
			switch {
			case n%5 == 2:
				s.randomWorker().crash()
			case n%9 == 4:
				s.cancelAny()
			case n%13 == 6:
				s.leader().ended = true
				s.takeOver()
			}
		}
		s.failedRunShare, s.lostResponseShare = 0, 0
		s.advance(60 * time.Second)
		s.checkJobsEnded()
	})
}

// checkJobsEnded checks that all accepted jobs have ended, some so long ago that they aren't known any more.
func (s *sim) checkJobsEnded() {
	for id := range s.accepted {
		state, known := s.leader().core.State(id)
		assert.Assert(s.t, !known || state != JobRunning && state != JobQueued, "job %s is %s", id, state)
	}
}

// Guards against a second run of a gang's member beside the gang elsewhere, and against gangs that wait for ever: the next
// process of a worker carries out the start of one member late (incident 0022).
func TestGangsWhoseStartsAreLate(t *testing.T) {
	runSeeds(t, 8, func(s *sim) {
		s.delayedStartShare = 0.2
		s.advance(time.Second)
		for n := range 40 {
			s.submit(s.gangJob(n))
			s.advance(time.Duration(20+s.rng.IntN(40)) * simTickTime)
			if n%3 == 2 {
				s.randomWorker().endAndReturn(s.randomTime(minDownTime, maxDownTime))
			}
		}
		// Orders that are late already are carried out.
		s.delayedStartShare = math.SmallestNonzeroFloat64
		s.advance(60 * time.Second)
		s.checkJobsEnded()
	})
}

// Guards against members of a gang that keep their place without a start because the end of another member comes in a later
// report (incident 0013).
func TestGangWaitsForTheEndsOfAllMembers(t *testing.T) {
	tc := newTestCore(1)
	for n := range 3 {
		tc.addWorker(n, 8)
	}
	tc.submit("job", "big", work.Step{Count: 2, Need: work.Resources{CPUMilli: 8000}, Estimate: time.Second, Gang: true})
	items := tc.jobs["job"].steps[0].items
	for n, i := range items {
		assert.Equal(t, i.state, itemPlaced)
		tc.ApplyReport(i.worker.entry.ID, infra.WorkerReport{ClockMs: 2000 + int64(n), Running: []infra.ActiveRun{{Item: i.id(), Run: i.run}}}, tc.now)
	}
	second, run := items[1].worker.entry.ID, items[1].run
	tc.ApplyReport(items[0].worker.entry.ID, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{{Sequence: 1, Item: items[0].id(), Run: run, Cause: infra.EndGangBroken}}}, tc.now)
	assert.Equal(t, len(startedOn(tc.commit())), 0)
	assert.Equal(t, items[0].state, itemWaiting)
	tc.ApplyReport(second, infra.WorkerReport{ClockMs: 3000, Ended: []infra.EndedRun{{Sequence: 1, Item: items[1].id(), Run: run, Cause: infra.EndGangBroken}}}, tc.now)
	assert.Equal(t, len(startedOn(tc.commit())), 2)
}

// Guards against a gang without room that is written to the log in each planning cycle, and whose job the next cycle finds
// changed.
func TestGangWithoutRoomChangesNothing(t *testing.T) {
	tc := newTestCore(1)
	for n := range 2 {
		tc.addWorker(n, 8)
	}
	tc.submit("job", "big", work.Step{Count: 3, Need: work.Resources{CPUMilli: 8000}, Estimate: time.Second, Gang: true})
	for range 3 {
		batch := tc.Collect()
		assert.Equal(t, len(batch.Records), 0)
		tc.Committed(&batch)
	}
	assert.Equal(t, tc.customerUsage["big"], work.Resources{})
	for _, w := range tc.workers {
		assert.Equal(t, len(w.items), 0)
	}
	tc.addWorker(2, 8)
	assert.Equal(t, len(startedOn(tc.commit())), 3)
}

// Guards against a gang that never starts again, since a term ended between the records of its members: one successful end
// stands for all.
func TestRecordedEndOfAGangMemberCompletesTheGang(t *testing.T) {
	first := newTestCore(1)
	def := &work.Job{ID: "job", Queue: first.config.Queues[0], Accepted: first.wallClock(), Steps: []work.Step{{Count: 2 * groupItems, Need: work.Resources{CPUMilli: 1}, Gang: true}}}
	j := newJob(def)
	j.steps[0].items[0].setState(itemDone)
	records, err := (&jobEncoder{}).encodeJob(j, true)
	assert.NilError(t, err)
	second := newTestCore(2)
	second.Load(records)
	second.commit()
	state, _ := second.State("job")
	assert.Equal(t, state, JobCompleted)
}

// Guards against a lasting gang of which a member has crashed too many workers, and that is started again, or whose job
// stays running with nothing that could run.
func TestGangWithAGivenUpMemberIsNotStarted(t *testing.T) {
	for _, alone := range []bool{false, true} {
		tc := newTestCore(1)
		for n := range 3 {
			tc.addWorker(n, 8)
		}
		steps := []work.Step{{Count: 2, Need: work.Resources{CPUMilli: 1000}, Gang: true, Lasting: true}}
		if !alone {
			steps = append(steps, lastingStep(1, 0))
		}
		tc.submit("job", "big", steps...)
		j := tc.jobs["job"]
		for range maxCrashes {
			tc.addCrash(j.steps[0].items[0], "worker-0", crashKnown, false)
		}
		for _, i := range j.steps[0].items {
			tc.release(i)
			i.clearedCrashes = i.crashes.sum()
		}
		for _, order := range tc.commit() {
			assert.Assert(t, order.Kind != OrderStart || order.Item.Step != 0, "%s was started", order.Item)
		}
		assert.Equal(t, j.failed, alone)
	}
}
