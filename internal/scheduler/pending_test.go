package scheduler

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Guards against accepted jobs that aren't counted as pending although all of their starts were refused, and against a new
// term that forgets that a job has begun.
func TestRefusedStartsLeaveAJobPending(t *testing.T) {
	first := newTestCore(1)
	id := first.addWorker(0, 8)
	first.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}})
	i := first.jobs["job"].itemAt(0, 0, 0)
	startOf := func() *Order {
		return &Order{Kind: OrderStart, Worker: infra.WorkerRef{ID: id, Address: "10.0.0.1:1"}, Item: i.id(), Run: i.run}
	}
	for range 2 {
		assert.Equal(t, i.state, itemPlaced)
		assert.Equal(t, first.Pending("review"), 1, "a start that was ordered isn't one that has begun")
		first.ApplyStartResult(startOf(), &infra.Error{Kind: infra.Unavailable, Op: "start"}, false)
		assert.Equal(t, first.Pending("review"), 1)
		state, _ := first.State("job")
		assert.Equal(t, state, JobQueued)
		first.now += 2 * refusedStartPause
		first.commit()
	}
	records, err := (&jobEncoder{}).encodeJob(first.jobs["job"], true)
	assert.NilError(t, err)
	second := newTestCore(2)
	second.Load(slices.Clone(records))
	assert.Equal(t, second.Pending("review"), 1)

	first.ApplyStartResult(startOf(), nil, false)
	assert.Equal(t, first.Pending("review"), 0)
	state, _ := first.State("job")
	assert.Equal(t, state, JobRunning)
	first.ApplyReport(id, infra.WorkerReport{ClockMs: 2000, Ended: []infra.EndedRun{{Sequence: 1, Item: i.id(), Run: i.run, Cause: infra.EndFailed}}}, first.now)
	records, err = (&jobEncoder{}).encodeJob(first.jobs["job"], true)
	assert.NilError(t, err)
	third := newTestCore(3)
	third.Load(records)
	assert.Equal(t, third.Pending("review"), 0)
}

// Guards against a run that a report lists before its start is known to have been carried out, and whose job still counts as
// pending.
func TestReportedRunsArentPending(t *testing.T) {
	tc := newTestCore(1)
	id := tc.addWorker(0, 8)
	tc.submit("job", "big", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}})
	i := tc.jobs["job"].itemAt(0, 0, 0)
	tc.ApplyReport(id, infra.WorkerReport{ClockMs: 2000, Running: []infra.ActiveRun{{Item: i.id(), Run: i.run}}}, tc.now)
	assert.Equal(t, tc.Pending("review"), 0)
}
