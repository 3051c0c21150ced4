package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
)

// newSuspectBesidePauses returns a core whose workers are all paused after starts that weren't confirmed and have been
// stopped since, with a suspect that waits.
func newSuspectBesidePauses(t *testing.T, workers int) (*testCore, *item) {
	tc := newCrashCore(workers + 1)
	suspect := tc.submitItems(t, "job", 1)[0]
	crashing := suspect.worker
	for _, w := range tc.workers {
		w.pauseUnconfirmed(tc.now)
	}
	tc.RenewalFailed(crashing.entry.ID, &infra.Error{Kind: infra.WorkerReplaced, Op: "hold"})
	return tc, suspect
}

// Guards against suspects that wait behind the pauses of workers on which a start wasn't confirmed. With late orders most
// workers of a pool are paused, and the suspects shared the few others: they waited up to 3.7 s.
func TestSuspectStartsOnAWorkerPausedAfterAnUnconfirmedStart(t *testing.T) {
	tc, suspect := newSuspectBesidePauses(t, 2)
	assert.Equal(t, tc.submit("other", "big", smallStep(1)).Kind, OutcomeDone)
	tc.commit()
	assert.Assert(t, suspect.worker != nil && suspect.worker.onTrial(suspect))
	assert.Assert(t, tc.jobs["other"].steps[0].items[0].worker == nil, "other work starts on a paused worker")
}

// Guards against trials on workers that are paused for another reason besides: they fail runs, refuse starts, or an
// acknowledgement to an earlier process may still reach them.
func TestSuspectWaitsForOtherPauses(t *testing.T) {
	tc, suspect := newSuspectBesidePauses(t, 2)
	for _, w := range tc.workers {
		w.pauseUntil(tc.now + time.Millisecond)
	}
	tc.commit()
	assert.Assert(t, suspect.worker == nil, "the suspect starts although the worker has another reason for its pause")
	tc.now += minUnconfirmedPause
	tc.commit()
	assert.Assert(t, suspect.worker != nil)
}

// Guards against a crash beside a trial that can't be told from one of the trial: on a paused worker the unconfirmed
// start may still begin.
func TestNoTrialBesideAnUnconfirmedStartOnAPausedWorker(t *testing.T) {
	tc := newCrashCore(1)
	unanswered := tc.submitItems(t, "other", 1)[0]
	w := unanswered.worker
	unanswered.startConfirmedAt = 0
	tc.ApplyStartResult(tc.startOf(unanswered), &infra.Error{Kind: infra.Unknown, Op: "start"}, true)
	assert.Assert(t, unanswered.stopping && tc.now < w.pausedUntil)
	tc.submit("job", "big", smallStep(1))
	suspect := tc.jobs["job"].steps[0].items[0]
	tc.addCrash(suspect, "worker-9", crashKnown, false)
	tc.commit()
	assert.Assert(t, suspect.worker == nil, "a trial begins beside a start that may still begin")
	tc.release(unanswered)
	tc.commit()
	assert.Assert(t, suspect.worker == w && w.onTrial(suspect))
}

// Guards against a worker that gets no trial while the repetitions of a start without a response last.
func TestTrialBesideAStartThatIsRepeated(t *testing.T) {
	tc := newCrashCore(1)
	unanswered := tc.submitItems(t, "other", 1)[0]
	unanswered.startConfirmedAt, unanswered.startInFlight = 0, true
	tc.submit("job", "big", smallStep(1))
	suspect := tc.jobs["job"].steps[0].items[0]
	tc.release(suspect)
	tc.addCrash(suspect, "worker-9", crashKnown, false)
	tc.now = unanswered.placedAt + maxTrialTime - time.Millisecond
	tc.commit()
	assert.Assert(t, suspect.worker == nil)
	tc.now += time.Millisecond
	tc.commit()
	assert.Assert(t, suspect.worker != nil && suspect.worker.onTrial(suspect))
	assert.Assert(t, !suspect.worker.trial.isolated, "a crash would be put down to the trial alone")
}

// Guards against a run on trial that had begun but stays unknown until a lease renewal returns after its wait.
func TestRenewalsTellSoonThatARunOnTrialHasBegun(t *testing.T) {
	tc := newCrashCore(3)
	suspect := tc.submitItems(t, "job", 1)[0]
	tc.crash(suspect.worker)
	tc.commit()
	request := tc.BuildRenewal(suspect.worker.entry.ID, tc.now)
	assert.Assert(t, request.Wait <= unconfirmedTrialWait, "the renewal waits for %s", request.Wait)
}
