package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/work"
)

// Guards against a scheduler that is busy with jobs that can't start: in a simulated day of vaalkant-ops-large,
// each planning cycle of a full pool compared all waiting jobs with all workers, and the process was so far
// behind that it rejected jobs and missed its callers' deadlines. A cycle may pass over the workers a few times,
// whatever the number of waiting jobs.
func TestFullPoolIsCheapToPlan(t *testing.T) {
	const workers, waitingJobs = 200, 400
	tc := newTestCore(1)
	for n := range workers {
		tc.addWorker(n, 8)
	}
	// One host has free processors, and all others have free memory.
	tc.submit("lasting", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 100, MemoryMiB: 1 << 20}, Lasting: true},
		work.Step{Count: workers - 1, Need: work.Resources{CPUMilli: 7500, MemoryMiB: 1}, Lasting: true})
	for n := range waitingJobs {
		// No job has work items of the size of another, and none fits.
		outcome := tc.submit(fmt.Sprint("waiting-", n), "big", work.Step{Count: 4, Need: work.Resources{CPUMilli: int64(600 + (n*7)%waitingJobs), MemoryMiB: 64}, Estimate: 10 * time.Millisecond})
		assert.Equal(t, outcome.Kind, OutcomeDone)
	}
	tc.now += time.Second
	tc.commit()
	assert.Equal(t, tc.jobs["waiting-0"].placedCount, 0)
	assert.Assert(t, tc.examinedWorkers <= 10*workers, "a cycle considered %d workers of %d", tc.examinedWorkers, workers)
}

// Guards against work items that wait although there is room: what a cycle learns of too large needs must not
// keep smaller work items, or those of a later cycle, from starting.
func TestSmallerItemsStartBesideTooLargeOnes(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 8)
	tc.submit("running", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 5000}, Estimate: time.Second})
	tc.submit("large", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 4000}, Estimate: time.Second})
	tc.submit("small", "big", work.Step{Count: 3, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
	tc.commit()
	assert.Equal(t, tc.jobs["small"].placedCount, 3)
	assert.Equal(t, tc.jobs["large"].placedCount, 0)
	tc.Cancel("running", "big", make(chan Outcome, 1))
	for i := range tc.jobs["running"].steps[0].items {
		tc.release(tc.jobs["running"].steps[0].items[i])
	}
	tc.commit()
	assert.Equal(t, tc.jobs["large"].placedCount, 1)
}

// Guards against jobs that a scheduler accepts while it is so far behind that their callers' time limits pass, and against
// callers that it holds up. On a simulated day of vaalkant-ops-large, 748 jobs were rejected for the log while it took appends,
// and 600 submissions had no outcome in the same five seconds. Guards also against a rejection by such a process before an
// append is confirmed: it may have been replaced.
func TestLateProcessAnswersAtOnce(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 8)
	step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 500}, Estimate: time.Second}
	// An append takes so long that it looks like an outage of the log.
	tc.Submit(&work.Job{ID: "first", Queue: tc.config.Queues[0], Customer: "big", Steps: []work.Step{step}}, make(chan Outcome, 1))
	batch := tc.Collect()
	tc.now += logStallTimeout + time.Millisecond
	tc.ObserveDelay(maxDelay + time.Millisecond)
	waiter := make(chan Outcome, 1)
	tc.Submit(&work.Job{ID: "second", Queue: tc.config.Queues[0], Customer: "big", Steps: []work.Step{step}}, waiter)
	assert.Equal(t, awaitedOutcome(t, waiter).Kind, OutcomeUnconfirmed)
	tc.Committed(&batch)
	outcome := tc.submit("second", "big", step)
	assert.Equal(t, outcome.Kind, OutcomeRejected)
	assert.Equal(t, outcome.Reason, "busy")
	assert.Assert(t, outcome.RetryAfter > 0)
	tc.ObserveDelay(0)
	assert.Equal(t, tc.submit("third", "big", step).Kind, OutcomeDone, "the process has caught up")
}

// Guards against jobs that take the room of others although they are late already: callers that were turned away
// during an outage of the log come back after it, and their deadlines count from their first attempt.
func TestDeadlineCountsFromTheFirstAttempt(t *testing.T) {
	tc := newTestCore(1)
	tc.addWorker(1, 8)
	step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 8000}, Estimate: time.Second}
	tc.Submit(&work.Job{ID: "first", Queue: tc.config.Queues[0], Customer: "big", Steps: []work.Step{step}}, make(chan Outcome, 1))
	batch := tc.Collect()
	tc.now += logStallTimeout + time.Millisecond
	waiter := make(chan Outcome, 1)
	tc.Submit(&work.Job{ID: "returns", Queue: tc.config.Queues[0], Customer: "big", Steps: []work.Step{step}}, waiter)
	assert.Equal(t, (<-waiter).Kind, OutcomeUnconfirmed)
	tc.Committed(&batch)
	tc.Cancel("first", "big", make(chan Outcome, 1))
	tc.commit()
	// The deadline of a job is two run times and a second: the returning job can't meet it any more.
	tc.now += 2500 * time.Millisecond
	waiters := make(chan Outcome, 2)
	tc.Submit(&work.Job{ID: "returns", Queue: tc.config.Queues[0], Customer: "big", Steps: []work.Step{step}}, waiters)
	tc.Submit(&work.Job{ID: "x-new", Queue: tc.config.Queues[0], Customer: "big", Steps: []work.Step{step}}, waiters)
	tc.commit()
	assert.Equal(t, tc.jobs["x-new"].placedCount, 1)
	assert.Equal(t, tc.jobs["returns"].placedCount, 0)
}

// Guards against counts that drift from the items: the plan trusts them instead of passing over all items.
func TestCountsMatchTheItems(t *testing.T) {
	for seed := range uint64(5) {
		s := newSim(t, seed, 6)
		s.failedRunShare, s.lostResponseShare, s.delayedOrderShare = 0.1, 0.1, 0.05
		for n := range 30 {
			s.submit(s.randomJob(n))
			s.advance(100 * time.Millisecond)
			if n == 20 {
				s.takeOver()
			}
			checkCounts(t, s.leader().core)
		}
	}
}

// checkCounts compares the counts that the core keeps with its items.
func checkCounts(t *testing.T, c *Core) {
	for _, j := range c.jobs {
		placed := 0
		for _, step := range j.steps {
			counts := [itemStates]int{}
			for _, i := range step.items {
				counts[i.state]++
			}
			placed += counts[itemPlaced]
			assert.Equal(t, step.stateCounts, counts)
		}
		assert.Equal(t, j.placedCount, placed)
		_, active := c.activeJobs[j]
		_, dirty := c.dirtyJobs[j]
		assert.Assert(t, active || dirty || j.finished() && placed == 0, "job %s isn't active", j.def.ID)
	}
	for _, w := range c.workers {
		lasting, used, unreported := int64(0), work.Resources{}, 0
		for i := range w.items {
			if !i.reported {
				unreported++
			}
			used = used.Plus(i.step.reservation())
			if i.step.def.Lasting {
				lasting += i.step.reservation().CPUMilli
			}
		}
		assert.Equal(t, w.used, used)
		assert.Equal(t, w.lastingCPUMilli, lasting)
		assert.Equal(t, w.unreportedItems, unreported)
		if w.trial == nil {
			continue
		}
		assert.Assert(t, len(w.trial.items) > 0)
		for i := range w.trial.items {
			assert.Assert(t, i.worker == w && i.step.job == w.trial.job)
		}
	}
}

// Guards against planning cycles in which each of many suspects passes over all workers in vain.
func TestWaitingSuspectsAreCheapToPlan(t *testing.T) {
	const workers, suspects = 100, 200
	tc := newCrashCore(workers)
	// Each worker has one run that no report has listed yet.
	tc.submit("lasting", "big", work.Step{Count: workers, Need: work.Resources{CPUMilli: 1000}, Lasting: true, MaxPerHost: 1})
	for n := range suspects {
		id := fmt.Sprint("waiting-", n)
		assert.Equal(t, tc.submit(id, "limited", work.Step{Count: 1, Need: work.Resources{CPUMilli: 3000}, Estimate: time.Second}).Kind, OutcomeDone)
		tc.addCrash(tc.jobs[id].steps[0].items[0], "worker-0", crashKnown, false)
		tc.jobs[id].def.Customer = "big"
	}
	tc.commit()
	assert.Equal(t, tc.jobs["waiting-0"].placedCount, 0)
	assert.Assert(t, tc.examinedWorkers <= 10*workers, "a cycle considered %d workers of %d", tc.examinedWorkers, workers)
}
