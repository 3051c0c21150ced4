package scheduler

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// oddItemIDs returns IDs of work items that the job, which has two steps, doesn't have. The position of the first
// overflows to a negative one.
func oddItemIDs(job string) []work.ItemID {
	return []work.ItemID{{Job: job, Occurrence: math.MaxInt/2 + 1}, {Job: job, Occurrence: math.MaxInt}, {Job: job, Occurrence: -1},
		{Job: job, Step: -1}, {Job: job, Step: math.MaxInt}, {Job: job, Index: -1}, {Job: job, Index: math.MaxInt}}
}

// Guards against a report of one worker that ends the process: the number of an occurrence overflowed, and the lookup
// of its step panicked.
func TestReportOfAnItemOutOfRange(t *testing.T) {
	tc := newTestCore(1)
	id := tc.addWorker(1, 8)
	step := work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}}
	tc.submit("job", "", step, step)
	for n, item := range oddItemIDs("job") {
		tc.ApplyReport(id, infra.WorkerReport{ClockMs: 1000, Running: []infra.ActiveRun{{Item: item, Run: 1}},
			Ended: []infra.EndedRun{{Sequence: int64(n + 1), Item: item, Run: 1, Cause: infra.EndDone}}}, tc.now)
	}
	assert.Equal(t, tc.jobs["job"].completed, false)
}
