package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
)

// Guards against a lease renewal that is sent while the ends of the last report aren't durable yet, since the start of a
// run has woken the loop during the renewal before: the worker responds at once with the same ends.
func TestNoRenewalBeforeEndsAreDurable(t *testing.T) {
	tc := newCrashCore(1)
	first, second := tc.submitItems(t, "first", 1)[0], tc.submitItems(t, "second", 1)[0]
	w := first.worker
	assert.Equal(t, second.worker, w)
	tc.NextRenewal(w.entry.ID)
	w.wakeRenewalLoop()
	tc.ApplyReport(w.entry.ID, infra.WorkerReport{ClockMs: w.clockMs + 1, Running: []infra.ActiveRun{{Item: second.id(), Run: second.run}},
		Ended: []infra.EndedRun{{Sequence: w.appliedEnd + 1, Item: first.id(), Run: first.run, Cause: infra.EndDone}}}, tc.now)
	plan := tc.NextRenewal(w.entry.ID)
	assert.Equal(t, plan.Pause, unackedEndPause)
	assert.Equal(t, len(plan.Wake), 0, "the pause ends at once")
	tc.commit()
	assert.Equal(t, len(plan.Wake), 1, "the pause goes on although the ends are durable")
}
