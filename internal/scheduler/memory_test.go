package scheduler

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// heapBytes returns the size of the live heap.
func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// hotCustomerJob returns a job with many occurrences, the first of which is due in a while.
func (tc *testCore) hotCustomerJob(n int) *work.Job {
	return &work.Job{ID: fmt.Sprintf("%016x", 0x8000+n), Queue: tc.config.Queues[0], Customer: "big", Spec: "spec",
		Steps:      []work.Step{{Count: 8, Need: work.Resources{CPUMilli: 100, MemoryMiB: 64}, Estimate: 300 * time.Millisecond}},
		Recurrence: work.Recurrence{First: tc.wallClock().Add(40 * time.Second), Interval: time.Minute, Times: 600}}
}

// Guards against a scheduling process that is killed for its memory, again and again, because all occurrences of recurring
// jobs have state from their acceptance on (incident 0011). 350 such jobs are what a hot customer sends in 6.5 s.
func TestRecurringJobsOfAHotCustomerFitInMemory(t *testing.T) {
	const jobs, limit = 350, 40 << 20
	tc := newTestCore(1)
	before := heapBytes()
	for n := range jobs {
		tc.Submit(tc.hotCustomerJob(n), make(chan Outcome, 1))
	}
	batch := tc.Collect()
	tc.Committed(&batch)
	assert.Equal(t, len(tc.jobs), jobs)
	assert.Assert(t, heapBytes()-before < limit, "%d jobs take %d MiB", jobs, (heapBytes()-before)>>20)
	second := newTestCore(2)
	before = heapBytes()
	second.Load(batch.Records)
	assert.Equal(t, len(second.jobs), jobs)
	assert.Assert(t, heapBytes()-before < limit, "%d loaded jobs take %d MiB", jobs, (heapBytes()-before)>>20)
	runtime.KeepAlive(tc)
}

// Guards against an estimate of the memory that a job takes which is far from what it does take.
func TestMemoryEstimate(t *testing.T) {
	for _, shape := range []struct{ jobs, steps, items int }{{20, 1, 2000}, {400, 1, 40}, {2000, 2, 4}, {500, 20, 1}, {3000, 1, 1}} {
		tc := newTestCore(1)
		var jobs []*work.Job
		for n := range shape.jobs {
			var steps []work.Step
			for range shape.steps {
				steps = append(steps, work.Step{Count: shape.items, Need: work.Resources{CPUMilli: 100}, Estimate: time.Second})
			}
			jobs = append(jobs, &work.Job{ID: fmt.Sprintf("%016x", n), Queue: tc.config.Queues[0], Customer: "big", Spec: "spec", Steps: steps})
		}
		before := heapBytes()
		for _, def := range jobs {
			j := newJob(def)
			j.openSteps()
			tc.addJob(j)
		}
		// The definitions are part of the estimate, but were there before.
		definitions := int64(0)
		for _, def := range jobs {
			definitions += definitionBytes(def) - jobBytes/2
		}
		measured := heapBytes() - before
		assert.Assert(t, measured <= tc.memoryUsed && 3*(measured+definitions) >= tc.memoryUsed, "%+v: measured %d bytes without definitions (%d), estimated %d", shape, measured, definitions, tc.memoryUsed)
		runtime.KeepAlive(jobs)
	}
}

// Guards against jobs that are accepted although there is no room for them in memory, and against room that ended jobs
// keep.
func TestJobsWithoutRoomInMemoryAreRejected(t *testing.T) {
	tc := newTestCore(1)
	id := tc.addWorker(0, 64)
	step := work.Step{Count: 2000, Need: work.Resources{CPUMilli: 1}, Estimate: time.Second}
	definition := &work.Job{Steps: []work.Step{step}}
	tc.options.MaxStateBytes = 3*(occurrenceBytes(definition)+definitionBytes(definition)) + endedJobBytes
	for n := range 3 {
		assert.Equal(t, tc.submit(fmt.Sprint("job-", n), "big", step).Kind, OutcomeDone)
	}
	rejected := tc.submit("late", "big", step)
	assert.DeepEqual(t, rejected, Outcome{Kind: OutcomeRejected, RetryAfter: memoryRetryAfter, Reason: "memory"})
	larger := step
	larger.Count = work.MaxItems
	assert.Equal(t, tc.submit("larger", "big", larger).Kind, OutcomeInvalid)

	var ends []infra.EndedRun
	for n, i := range tc.jobs["job-1"].steps[0].items {
		ends = append(ends, infra.EndedRun{Sequence: int64(n + 1), Item: i.id(), Run: i.run, Cause: infra.EndDone})
	}
	tc.ApplyReport(id, infra.WorkerReport{ClockMs: 2000, Ended: ends}, tc.now)
	tc.commit()
	tc.now += endedStateTime + jobExpiryInterval
	tc.commit()
	late := &work.Job{ID: "late", Queue: tc.config.Queues[0], Customer: "big", Steps: []work.Step{step}, Recurrence: work.Recurrence{Times: 1, First: tc.wallClock()}}
	waiter := make(chan Outcome, 1)
	tc.Submit(late, waiter)
	tc.commit()
	assert.DeepEqual(t, <-waiter, Outcome{})
	state, _ := tc.State("job-1")
	assert.Equal(t, state, JobCompleted)
	tc.now += simOptions().EndedJobRetention
	tc.commit()
	used := int64(0)
	for _, j := range tc.jobs {
		used += j.memoryNeed()
	}
	assert.Equal(t, tc.memoryUsed, used)
	assert.Equal(t, len(tc.jobs), 3)
}

// Guards against a new term that exceeds its memory by loading more jobs than it has room for, and against jobs without room
// that are lost: they start once others have ended.
func TestLoadedJobsWaitForRoomInMemory(t *testing.T) {
	step := work.Step{Count: 100, Need: work.Resources{CPUMilli: 1}, Estimate: time.Second}
	first := newTestCore(1)
	var records []infra.Record
	const jobs, room = 10, 3
	for n := range jobs {
		def := &work.Job{ID: fmt.Sprint("job-", n), Queue: first.config.Queues[0], Accepted: first.wallClock().Add(time.Duration(n) * time.Second), Steps: []work.Step{step}}
		encoded, err := (&jobEncoder{}).encodeJob(newJob(def), true)
		assert.NilError(t, err)
		records = append(records, encoded...)
	}
	second := newTestCore(2)
	definition := &work.Job{Steps: []work.Step{step}}
	second.options.MaxStateBytes = jobs*definitionBytes(definition) + room*occurrenceBytes(definition)
	second.Load(records)
	assert.Assert(t, !slices.ContainsFunc(records, func(r infra.Record) bool { return r.Value != nil }), "a record is kept in memory after it was decoded")
	assert.Assert(t, second.memoryUsed <= second.options.MaxStateBytes)
	id := second.addWorker(0, 64)
	second.now += 20 * time.Second
	second.ApplyReport(id, infra.WorkerReport{ClockMs: 1000}, second.now)
	sequence := int64(0)
	for range 2 * jobs {
		second.commit()
		assert.Assert(t, second.memoryUsed <= second.options.MaxStateBytes)
		var ends []infra.EndedRun
		for _, i := range second.workers[id].sortedItems(anyItem) {
			sequence++
			ends = append(ends, infra.EndedRun{Sequence: sequence, Item: i.id(), Run: i.run, Cause: infra.EndDone})
		}
		second.now += endedStateTime + jobExpiryInterval
		second.ApplyReport(id, infra.WorkerReport{ClockMs: 2000, Ended: ends}, second.now)
	}
	for n := range jobs {
		state, known := second.State(fmt.Sprint("job-", n))
		assert.Assert(t, !known || state == JobCompleted, "job %d is %s", n, state)
	}
	assert.Equal(t, sequence, int64(jobs*step.Count))
}

// recurringJob returns a job with several occurrences, each of which takes longer than the time between them.
func (s *sim) recurringJob(n int) *work.Job {
	job := s.randomJob(0xa000 + n)
	job.Recurrence = work.Recurrence{First: s.wall().Add(2 * time.Second), Interval: time.Duration(200+s.rng.IntN(800)) * time.Millisecond, Times: 3 + s.rng.IntN(20)}
	if n%3 == 0 {
		job.Steps = job.Steps[:1]
		job.Steps[0].Count, job.Steps[0].Need.CPUMilli = 10, 50
	}
	return job
}

// Guards against occurrences that are lost, start early or run twice when terms end, also between two records.
func TestRecurringJobsWhileTheSchedulerIsKilled(t *testing.T) {
	runSeeds(t, 6, func(s *sim) {
		s.tornAppends, s.lostResponseShare, s.failedRunShare = true, 0.05, 0.02
		s.advance(time.Second)
		for n := range 9 {
			s.submit(s.recurringJob(n))
			s.advance(time.Duration(50+s.rng.IntN(200)) * simTickTime)
			s.leader().ended = true
			s.takeOver()
		}
		s.lostResponseShare, s.failedRunShare = 0, 0
		s.advance(45 * time.Second)
		s.checkAcceptedJobs()
		assert.Equal(s.t, len(s.leader().core.recurring), 0)
	})
}
