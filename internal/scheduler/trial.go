package scheduler

import (
	"maps"
	"time"
)

// trialReportMargin is how long after the expected end of a trial a lease renewal returns: the workers' clocks, by which
// trials end, differ by up to 2%.
const trialReportMargin = 10 * time.Millisecond

// trial is a group of runs of suspects that a worker starts together. All are of one job, which fails with any of its
// items, so that it needs no further trials to find the item that crashes the worker. A lasting item, which is given
// up alone, is also on trial alone.
type trial struct {
	job *job
	// plannedAt is when the runs were planned. None joins later, so that the trial ends trialTime after its starts.
	// releasedAt is when their starts were last released to be sent.
	plannedAt, releasedAt time.Duration
	// items are the items on trial whose runs haven't survived yet.
	items map[*item]struct{}
	// alone is set for a lasting item.
	alone bool
	// isolated is set if no other run may begin on the worker. Starts without a response may, so that a crash beside
	// them isn't certain to be caused by the trial.
	isolated bool
}

// clone returns a copy of the trial; nil if there is none.
func (t *trial) clone() *trial {
	if t == nil {
		return nil
	}
	copied := *t
	copied.items = maps.Clone(t.items)
	return &copied
}

// begun reports whether a run on trial is known to have begun.
func (t *trial) begun() bool {
	for i := range t.items {
		if i.startConfirmedAt > 0 {
			return true
		}
	}
	return false
}

// remaining returns how long the trial lasts at least, if its runs survive.
func (t *trial) remaining(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for i := range t.items {
		if i.startConfirmedAt == 0 {
			return trialTime
		}
		longest = max(longest, trialTime-(now-i.startConfirmedAt))
	}
	return longest
}

// unconfirmedTrialWait is how long a lease renewal waits at a worker while a start on trial has had no response: only a
// report then tells that the run has begun.
const unconfirmedTrialWait = 50 * time.Millisecond

// maxTrialTime is how long after its start was released a run may keep a trial open without a response to its start. By then
// a run that had begun is known: its worker has answered a second order, or listed it.
const maxTrialTime = trialTime + 3*unconfirmedTrialWait

// dropUnansweredStarts ends the part of the runs in the worker's trial whose starts have had no response for
// maxTrialTime. They may still begin, but the other runs of the trial have been tried.
func (w *worker) dropUnansweredStarts(now time.Duration) {
	if w.trial == nil || now-max(w.trial.plannedAt, w.trial.releasedAt) < maxTrialTime {
		return
	}
	for i := range w.trial.items {
		if i.startConfirmedAt == 0 {
			w.endTrial(i, now)
		}
		if w.trial == nil {
			return
		}
	}
}

// accepts reports whether the item, which is placed now, may join the trial.
func (t *trial) accepts(i *item, now time.Duration) bool {
	return t.job == i.step.job && t.plannedAt == now && !t.alone && !i.triedAlone()
}

// triedAlone reports whether the item is on trial without other items. The items of a gang start together.
func (i *item) triedAlone() bool { return i.step.def.Lasting && !i.step.def.Gang }

// needsTrial reports whether the item starts on trial: it is a suspect, or another item of its gang is.
func (i *item) needsTrial() bool {
	return i.suspect() || i.step.def.Gang && i.step.hasSuspects()
}

// hasSuspects reports whether an item of the step is a suspect.
func (s *stepInstance) hasSuspects() bool {
	for _, i := range s.items {
		if i.suspect() {
			return true
		}
	}
	return false
}

// hasOtherWork reports whether work items of the job may start that need no trial.
func (j *job) hasOtherWork(wallTime time.Time) bool {
	for _, step := range j.openSteps() {
		if !j.isDue(step, wallTime) || step.def.Gang && step.hasSuspects() {
			continue
		}
		for _, i := range step.items {
			if i.state == itemWaiting && !i.givenUp && !i.suspect() {
				return true
			}
		}
	}
	return false
}

// admits reports whether the worker may get a start of the item: nothing is on trial there, no start is pending if the
// item needs a trial, and the worker isn't reserved for trials if it doesn't. Items of the same job may join a trial
// that is planned in the same cycle.
func (w *worker) admits(i *item, needsTrial bool, now time.Duration) bool {
	switch {
	case w.trial != nil:
		return needsTrial && w.trial.accepts(i, now)
	case !needsTrial:
		return !w.reserved
	case w.pendingStarts(now) == 0:
		return true
	}
	return i.step.def.Gang && w.pendingStarts(now) == i.step.countOnWorker(w)
}

// hasUnconfirmedStart reports whether the start of a run on trial has had no response yet.
func (t *trial) hasUnconfirmedStart() bool {
	for i := range t.items {
		if i.startConfirmedAt == 0 {
			return true
		}
	}
	return false
}

// pendingStarts returns the number of runs on the worker that no report has listed yet, without those that are being
// stopped because their starts had no response, and those whose starts have had none for maxTrialTime.
func (w *worker) pendingStarts(now time.Duration) int {
	if w.unreportedItems == 0 {
		return 0
	}
	n := 0
	for i := range w.items {
		if !i.reported && !i.stopping && !i.isUnanswered(now) {
			n++
		}
	}
	return n
}

// isUnanswered reports whether the item's start has had no response for maxTrialTime.
func (i *item) isUnanswered(now time.Duration) bool {
	return i.startInFlight && i.startConfirmedAt == 0 && now-i.placedAt >= maxTrialTime
}

// beginTrial puts the item, which is placed now, on trial at its worker if it needs one.
func (i *item) beginTrial(now time.Duration) {
	w := i.worker
	if !i.needsTrial() {
		return
	}
	if w.trial == nil {
		isolated := w.pendingStarts(now) == w.unreportedItems
		w.trial = &trial{job: i.step.job, plannedAt: now, items: map[*item]struct{}{}, alone: i.triedAlone(), isolated: isolated}
	}
	w.trial.items[i] = struct{}{}
}

// endTrial ends the item's part in the trial on the worker, and reports whether that ended the whole trial.
func (w *worker) endTrial(i *item, now time.Duration) bool {
	if !w.onTrial(i) {
		return false
	}
	delete(w.trial.items, i)
	if len(w.trial.items) > 0 {
		return false
	}
	w.trial = nil
	if i.startConfirmedAt > 0 {
		w.trialEndedAt = now
	}
	return true
}

// blamesTrialBeside reports whether a crash of the worker is put down to a trial of which the item is no part.
func (w *worker) blamesTrialBeside(i *item) bool {
	return w.trial != nil && !w.onTrial(i) && (w.trial.isolated || i.reported) && w.trial.begun()
}

// onTrial reports whether the item is on trial on the worker.
func (w *worker) onTrial(i *item) bool {
	if w.trial == nil {
		return false
	}
	_, onTrial := w.trial.items[i]
	return onTrial
}
