package scheduler

import (
	"math"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
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

// Guards against a report of one worker that ends the process: a metric's label must be valid UTF-8, and a cause that
// isn't panicked. Causes that the platform doesn't define share one label, so that their number is bounded.
func TestReportOfAnUnknownEndCause(t *testing.T) {
	tc := newTestCore(1)
	tc.metrics = NewMetrics(prometheus.NewRegistry())
	id := tc.addWorker(1, 8)
	tc.submit("job", "", work.Step{Count: 1, Need: work.Resources{CPUMilli: 1000}})
	for n, cause := range []infra.EndCause{"\xff", "odd\n", ""} {
		tc.commit()
		item := tc.jobs["job"].itemAt(0, 0, 0)
		assert.Equal(t, item.state, itemPlaced)
		tc.ApplyReport(id, infra.WorkerReport{ClockMs: 1000, Ended: []infra.EndedRun{{Sequence: int64(n + 1), Item: item.id(), Run: item.run, Cause: cause}}}, tc.now)
	}
	assert.Equal(t, testutil.ToFloat64(tc.metrics.ends.WithLabelValues(unknownCause)), 3.0)
	assert.Equal(t, testutil.CollectAndCount(tc.metrics.ends), 1)
}
