package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
)

// Guards against a scheduler that was suspended, or whose workers' reports are late, and that then stops runs as
// stragglers although the last reports are older than the runs' time limits.
func TestNoStragglersWithoutARecentReport(t *testing.T) {
	tc := newCrashCore(2)
	step := smallStep(1)
	step.Estimate = 250 * time.Millisecond
	assert.Equal(t, tc.submit("job", "big", step).Kind, OutcomeDone)
	tc.confirmStarts()
	i := tc.jobs["job"].steps[0].items[0]
	w := i.worker
	tc.reportRuns(w)
	limit := time.Duration(stragglerFactor*float64(tc.predictRunTime(i.step.job.def, i.step.def))) + stragglerGrace
	tc.now += limit + 100*time.Millisecond
	for _, order := range tc.commit() {
		assert.Assert(t, order.Kind != OrderStop, "a run is stopped by a report from %s ago", tc.now-w.lastReportAt)
	}
	assert.Assert(t, !i.stopping)

	tc.ApplyReport(w.entry.ID, infra.WorkerReport{ClockMs: w.clockMs + time.Second.Milliseconds(), Running: []infra.ActiveRun{{Item: i.id(), Run: i.run}}}, tc.now)
	tc.now += workerCheckInterval
	tc.commit()
	assert.Assert(t, i.stopping, "the straggler isn't stopped")
}
