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

const crashTestCores = 8

// newCrashCore returns a Core of term 1 with the given number of workers.
func newCrashCore(workers int) *testCore {
	tc := newTestCore(1)
	for n := range workers {
		tc.addWorker(n, crashTestCores)
	}
	return tc
}

// crash ends the process of a worker that is being replaced by another one. The new process has reported.
func (tc *testCore) crash(w *worker) {
	tc.RenewalFailed(w.entry.ID, &infra.Error{Kind: infra.WorkerReplaced, Op: "hold"})
	var n int
	if _, err := fmt.Sscanf(w.entry.ID, "worker-%d", &n); err != nil {
		panic(err)
	}
	tc.addWorker(n, crashTestCores)
}

// confirmStarts plans, and confirms the starts of all placed items.
func (tc *testCore) confirmStarts() {
	tc.commit()
	tc.now += time.Millisecond
	for _, w := range tc.workers {
		for i := range w.items {
			if i.startConfirmedAt == 0 {
				tc.ApplyStartResult(tc.startOf(i), nil, false)
			}
		}
	}
}

// startOf returns the order that started the item's current run.
func (tc *testCore) startOf(i *item) *Order {
	return &Order{Kind: OrderStart, Worker: i.worker.ref(), Item: i.id(), Run: i.run}
}

// reportRuns applies a report of the worker that lists all its runs.
func (tc *testCore) reportRuns(w *worker) {
	report := infra.WorkerReport{ClockMs: w.clockMs + (tc.now - w.clockReadAt).Milliseconds()}
	for i := range w.items {
		report.Running = append(report.Running, infra.ActiveRun{Item: i.id(), Run: i.run, ProgressPercent: availablePercent})
	}
	tc.ApplyReport(w.entry.ID, report, tc.now)
}

// submitItems submits a job with one step of small items, and returns these with their starts confirmed.
func (tc *testCore) submitItems(t *testing.T, id string, count int) []*item {
	t.Helper()
	step := work.Step{Count: count, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second}
	assert.Equal(t, tc.submit(id, "big", step).Kind, OutcomeDone)
	tc.confirmStarts()
	return tc.jobs[id].steps[0].items
}

// state returns the state of a job after all changes are committed.
func (tc *testCore) state(id string) JobState {
	tc.commit()
	state, _ := tc.State(id)
	return state
}

// Guards against a work item that is started again without end although it crashes each worker that starts it.
func TestCrashingItemFailsItsJob(t *testing.T) {
	tc := newCrashCore(4)
	crashing := tc.submitItems(t, "job", 1)[0]
	crashes := 0
	for ; crashing.worker != nil && crashes < 10; crashes++ {
		tc.crash(crashing.worker)
		tc.confirmStarts()
	}
	assert.Equal(t, tc.state("job"), JobFailed)
	assert.Equal(t, crashes, maxTrialCrashes)
}

// Guards against blaming a job for the crash that an item of another one causes: the suspects of each job start again
// on a worker of their own that gets no other start during the trial.
func TestSuspectsOfDifferentJobsStartOnSeparateWorkers(t *testing.T) {
	tc := newCrashCore(5)
	first, second := tc.submitItems(t, "first", 2), tc.submitItems(t, "second", 2)
	suspects := slices.Concat(first, second)
	for _, i := range suspects {
		assert.Equal(t, i.worker, first[0].worker, "the items must share a worker before the crash")
	}
	tc.crash(first[0].worker)
	tc.confirmStarts()
	for _, i := range first {
		for _, other := range second {
			assert.Assert(t, i.worker != other.worker)
		}
	}
	other := tc.submitItems(t, "other", 1)[0]
	for _, i := range suspects {
		assert.Assert(t, other.worker != i.worker)
	}
	tc.reportRuns(other.worker)

	tc.now += trialTime
	for _, i := range suspects {
		tc.reportRuns(i.worker)
	}
	for _, i := range tc.submitItems(t, "large", 34) {
		assert.Assert(t, i.worker != nil, "a trial has ended, but its worker gets no new work")
	}
}

// Guards against trials of a job's suspects one after the other: one trial of them all tells whether the job has an
// item that crashes its workers.
func TestSuspectsOfAJobAreOnTrialTogether(t *testing.T) {
	for _, crashes := range []bool{false, true} {
		t.Run(fmt.Sprintf("crashes %v", crashes), func(t *testing.T) {
			tc := newCrashCore(5)
			suspects := tc.submitItems(t, "job", crashTestCores-1)
			bystander := tc.submitItems(t, "bystander", 1)[0]
			assert.Equal(t, bystander.worker, suspects[0].worker)
			tc.crash(bystander.worker)
			tc.confirmStarts()
			for _, i := range suspects {
				assert.Assert(t, i.worker == suspects[0].worker && i.worker.onTrial(i))
			}
			if crashes {
				tc.crash(suspects[0].worker)
				assert.Equal(t, tc.state("job"), JobFailed)
				assert.Equal(t, bystander.crashes, crashCounts{known: 1})
				return
			}
			tc.now += trialTime
			tc.reportRuns(suspects[0].worker)
			assert.Assert(t, suspects[0].worker.trial == nil)
		})
	}
}

// Guards against giving up sound lasting items for the crash that another item of their step causes: a lasting job goes
// on without the item, so that each is on trial alone.
func TestLastingSuspectsAreOnTrialAlone(t *testing.T) {
	tc := newCrashCore(3)
	tc.submit("job", "big", work.Step{Count: 2, Need: work.Resources{CPUMilli: 1000}, Lasting: true})
	tc.confirmStarts()
	suspects := tc.jobs["job"].steps[0].items
	assert.Equal(t, suspects[0].worker, suspects[1].worker)
	tc.crash(suspects[0].worker)
	tc.confirmStarts()
	assert.Assert(t, suspects[0].worker != nil && suspects[1].worker != nil && suspects[0].worker != suspects[1].worker)
}

// Guards against failing sound jobs because a suspect crashes the worker on which they run.
func TestTrialSparesTheRunsBesideIt(t *testing.T) {
	tc := newCrashCore(2)
	sound := tc.submitItems(t, "sound", crashTestCores-1)
	tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 2000}, Estimate: time.Second})
	tc.confirmStarts()
	crashing, shared := tc.jobs["job"].steps[0].items[0], sound[0].worker
	assert.Assert(t, crashing.worker != shared, "the workers must have one core and all cores free before the crash")
	tc.RenewalFailed(crashing.worker.entry.ID, &infra.Error{Kind: infra.WorkerReplaced, Op: "hold"})
	tc.reportRuns(shared)
	tc.ApplyReport(shared.entry.ID, infra.WorkerReport{ClockMs: shared.clockMs, Partial: true,
		Ended: []infra.EndedRun{{Sequence: 1, Item: sound[0].id(), Run: sound[0].run, Cause: infra.EndDone}}}, tc.now)
	tc.confirmStarts()
	assert.Equal(t, crashing.worker, shared)
	tc.crash(shared)
	assert.Equal(t, tc.state("job"), JobFailed)
	for _, i := range sound {
		assert.Assert(t, !i.suspect())
	}
}

// Guards against failing a job by crashes of workers that it never reached: a start that was refused each time
// while its worker crashed hasn't begun, but one without a response may have.
func TestStartRefusedByACrashedWorkerIsNoCrash(t *testing.T) {
	for kind, want := range map[infra.ErrorKind]crashCounts{infra.Refused: {}, infra.Unknown: {possible: 1}, "": {known: 1}} {
		t.Run("kind "+string(kind), func(t *testing.T) {
			tc := newCrashCore(1)
			tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}, Estimate: time.Second})
			i := tc.jobs["job"].steps[0].items[0]
			start := tc.startOf(i)
			tc.crash(i.worker)
			assert.Equal(t, i.crashes, crashCounts{}, "the outcome of the start isn't known yet")
			var err error
			if kind != "" {
				err = &infra.Error{Kind: kind, Op: "start"}
			}
			tc.ApplyStartResult(start, err, false)
			assert.Equal(t, i.crashes, want)
		})
	}
}

// Guards against counting the ends of workers that drain or whose hosts are ordered away as crashes.
func TestPlannedEndOfAWorkerIsNoCrash(t *testing.T) {
	plans := map[string]func(tc *testCore, w *worker){
		"drains":                 func(_ *testCore, w *worker) { w.entry.Draining = true },
		"is ordered away":        func(_ *testCore, w *worker) { w.cordoned = true },
		"host is in maintenance": func(tc *testCore, w *worker) { tc.setHostOf(w, infra.HostMaintenance, simPool) },
		"host moves":             func(tc *testCore, w *worker) { tc.setHostOf(w, infra.HostMoving, simPool) },
		"host has moved":         func(tc *testCore, w *worker) { tc.setHostOf(w, infra.HostUp, "rest") },
	}
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) {
			tc := newCrashCore(2)
			i := tc.submitItems(t, "job", 1)[0]
			w := i.worker
			plan(tc, w)
			tc.crash(w)
			assert.Assert(t, !i.suspect())
		})
	}
}

// setHostOf makes the list of hosts show the worker, and then its host without the worker.
func (tc *testCore) setHostOf(w *worker, state infra.HostState, pool string) {
	host := infra.Host{ID: "host", Pool: simPool, State: infra.HostUp, WorkerID: w.entry.ID}
	tc.SetHosts([]infra.Host{host}, tc.now)
	host.State, host.Pool, host.WorkerID = state, pool, ""
	tc.SetHosts([]infra.Host{host}, tc.now)
}

// Guards against counting the crash of a worker twice, or not at all, when its lease had lapsed before.
func TestLapsedRunOfACrashedWorkerIsCountedOnce(t *testing.T) {
	tc := newCrashCore(2)
	i := tc.submitItems(t, "job", 1)[0]
	w := i.worker
	tc.RenewalFailed(w.entry.ID, &infra.Error{Kind: infra.Unknown, Op: "hold"})
	tc.now = w.leaseEnd + time.Millisecond
	tc.commit()
	assert.Assert(t, i.worker != w && !i.suspect(), "silence alone isn't a crash")
	for range 2 {
		tc.crash(w)
		assert.Equal(t, i.crashes, crashCounts{possible: 1})
	}
}

// Guards against a new scheduler that starts a work item as often as the one before it.
func TestCrashesOutlastATakeover(t *testing.T) {
	tc := newCrashCore(2)
	crashing := tc.submitItems(t, "job", 2)[0]
	tc.crash(crashing.worker)
	batch := tc.Collect()

	successor := newTestCore(2)
	successor.Load(batch.Records)
	definition, err := (&jobEncoder{}).encodeJob(tc.jobs["job"], true)
	assert.NilError(t, err)
	successor.Load(definition)
	for _, i := range successor.jobs["job"].steps[0].items {
		assert.Equal(t, i.crashes, crashCounts{known: 1})
	}
}

// Guards against giving up sound lasting work because its workers crash now and then over its lifetime.
func TestOldCrashesOfLastingWorkAreForgotten(t *testing.T) {
	tc := newCrashCore(2)
	tc.submit("job", "big", lastingStep(1, 0))
	i := tc.jobs["job"].steps[0].items[0]
	for range 2 * maxCrashes {
		tc.confirmStarts()
		tc.crash(i.worker)
		tc.confirmStarts()
		tc.reportRuns(i.worker)
		assert.Equal(t, i.crashes.sum(), 1)
		tc.now += crashFreeTime
		tc.reportRuns(i.worker)
		assert.Equal(t, i.crashes.sum(), 0)
	}
	assert.Equal(t, tc.state("job"), JobRunning)
}

// Guards against stopping the sound items of a lasting job because another one crashes its workers.
func TestOtherItemsOfALastingJobStayInService(t *testing.T) {
	tc := newCrashCore(4)
	tc.submit("job", "big", lastingStep(2, 0))
	tc.confirmStarts()
	crashing, sound := tc.jobs["job"].steps[0].items[0], tc.jobs["job"].steps[0].items[1]
	tc.reportRuns(sound.worker)
	for range maxTrialCrashes {
		tc.crash(crashing.worker)
		tc.confirmStarts()
	}
	assert.Assert(t, crashing.worker == nil, "an item that is given up starts again")
	assert.Assert(t, sound.worker != nil && !sound.stopping)
	assert.Equal(t, tc.state("job"), JobRunning)
	for sound.worker != nil {
		tc.crash(sound.worker)
		tc.confirmStarts()
	}
	assert.Equal(t, tc.state("job"), JobFailed)
}

// Guards against items that can't join a trial because the clock moved on while their planning cycle placed the first.
func TestTrialIsJoinedAsTheClockAdvances(t *testing.T) {
	tc := newCrashCore(3)
	tc.clock = func() time.Duration { tc.now += time.Microsecond; return tc.now }
	suspects := tc.submitItems(t, "job", crashTestCores)
	tc.crash(suspects[0].worker)
	tc.confirmStarts()
	for _, i := range suspects {
		assert.Assert(t, i.worker != nil && i.worker == suspects[0].worker && i.worker.onTrial(i))
	}
}
