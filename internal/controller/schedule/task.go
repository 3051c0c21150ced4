package schedule

import (
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/jobs"
)

// task is this controller's state of a running attempt of a job.
type task struct {
	job       jobs.Job
	firstSeen time.Time
	// ownStart is set if this controller proposed the start.
	ownStart bool
	// confirmed is set once the platform has confirmed that the attempt was started.
	confirmed bool
	// callInFlight is set while a call for the task hasn't returned.
	callInFlight bool
	// lastCall is when the last call was sent. leasedAt is when the last confirmed lease began, and
	// maybeLeasedAt when the last possible one did: a call whose response was lost may have granted a
	// lease.
	lastCall      time.Time
	leasedAt      time.Time
	maybeLeasedAt time.Time
	// polledAt is when the last answered poll of the worker's reports was sent, and unlistedSince when the first
	// one since which no answer has listed the attempt as running; zero if the last answer did.
	polledAt      time.Time
	unlistedSince time.Time
	// ended is set, with endedAt and outcome, once the attempt is known not to run any more.
	ended       bool
	endedAt     time.Time
	outcome     v1.JobOutcome
	endProposed bool
	// successRecorded is set once the attempt has reported usage. That shows that its worker runs jobs,
	// and is recorded as a success of the worker. outcomeRecorded is set once the outcome is recorded.
	successRecorded bool
	outcomeRecorded bool
	eviction        eviction
	// throttledFor is the preemptor for which this job is throttled, or empty.
	throttledFor string
	// renewNow is set to renew the lease in the next step, which also ends a throttling.
	renewNow bool
}

// evictionReason is the reason for evicting a task from its worker.
type evictionReason int

const (
	reasonNone evictionReason = iota
	// reasonCancel means that the job was cancelled. The task is stopped at once.
	reasonCancel
	// reasonVacate means that the host no longer serves the job's pool. The task is checkpointed, then
	// stopped.
	reasonVacate
	// reasonPreempt means that the task makes room for another job. It is checkpointed, then throttled, then
	// stopped if need be.
	reasonPreempt
	// reasonStartTimeout means that the start wasn't confirmed in time. The task is stopped at once.
	reasonStartTimeout
	// reasonLeaseLapsed means that the lease couldn't be renewed. The task is stopped at once.
	reasonLeaseLapsed
)

// evictionStep is a step of an eviction.
type evictionStep int

const (
	stepCheckpoint evictionStep = iota
	stepThrottle
	stepStop
)

// eviction is the state of the eviction of a task. The zero value means that the task isn't being evicted.
type eviction struct {
	reason      evictionReason
	step        evictionStep
	stepStarted time.Time
	// mustStop is unset if it is enough to throttle the victim.
	mustStop bool
	// preemptor is the job for which the victim makes room.
	preemptor string
}

// action is a call to the platform or a proposal for a task.
type action int

const (
	actionNone action = iota
	actionStart
	actionRenew
	actionCheckpoint
	actionThrottle
	actionStop
	actionEnd
)

// beginEviction begins the eviction of the task, or changes its reason. Once the stop step is reached, it
// isn't left for a reason that would checkpoint first.
func (t *task) beginEviction(reason evictionReason, now time.Time) {
	if t.eviction.reason == reason {
		return
	}
	firstStep := stepStop
	if (reason == reasonVacate || reason == reasonPreempt) && t.eviction.step != stepStop {
		firstStep = stepCheckpoint
	}
	t.eviction = eviction{reason: reason, step: firstStep, stepStarted: now, mustStop: true}
	// The first step doesn't wait for retryInterval after an earlier call.
	t.lastCall = time.Time{}
}

// advanceEviction begins the next step once the timeout of the current step has passed.
func (t *task) advanceEviction(settings *Settings, now time.Time) {
	elapsed := now.Sub(t.eviction.stepStarted)
	switch {
	case t.eviction.step == stepCheckpoint && t.eviction.reason == reasonVacate && elapsed >= settings.VacateTimeout:
		t.enterStep(stepStop, now)
	case t.eviction.step == stepCheckpoint && t.eviction.reason == reasonPreempt && elapsed >= settings.CheckpointTimeout:
		t.enterStep(stepThrottle, now)
	case t.eviction.step == stepThrottle && elapsed >= settings.ThrottleTimeout:
		t.enterStep(stepStop, now)
	}
}

// enterStep begins a step, without waiting for retryInterval after a call of the previous step.
func (t *task) enterStep(next evictionStep, now time.Time) {
	t.eviction.step = next
	t.eviction.stepStarted = now
	t.lastCall = time.Time{}
	if next == stepStop {
		t.eviction.mustStop = true
	}
}

// handleCheckpointed begins the next step after a completed checkpoint.
func (t *task) handleCheckpointed(now time.Time) {
	if t.eviction.step != stepCheckpoint {
		return
	}
	if t.eviction.reason == reasonPreempt {
		t.enterStep(stepThrottle, now)
		return
	}
	t.enterStep(stepStop, now)
}

// nextAction returns the action that is due for the task, or actionNone.
func (t *task) nextAction(settings *Settings, now time.Time) action {
	switch {
	case t.ended:
		return actionEnd
	case t.callInFlight:
		return actionNone
	case t.eviction.reason != reasonNone:
		return t.nextEvictionAction(now)
	case !t.confirmed:
		return t.unlessCalledWithin(now, retryInterval, actionStart)
	case t.renewNow:
		return t.unlessCalledWithin(now, retryInterval, actionRenew)
	}
	if now.Sub(t.leasedAt) < settings.Lease/renewalsPerLease {
		return actionNone
	}
	return t.unlessCalledWithin(now, retryInterval, actionRenew)
}

// nextEvictionAction returns the call for the current step of the eviction, if it is due.
func (t *task) nextEvictionAction(now time.Time) action {
	switch t.eviction.step {
	case stepCheckpoint:
		return t.unlessCalledWithin(now, retryInterval, actionCheckpoint)
	case stepThrottle:
		return t.unlessCalledWithin(now, retryInterval, actionThrottle)
	}
	return t.unlessCalledWithin(now, retryInterval, actionStop)
}

// unlessCalledWithin returns next, or actionNone if the last call was sent less than the interval ago.
func (t *task) unlessCalledWithin(now time.Time, interval time.Duration, next action) action {
	if !t.lastCall.IsZero() && now.Sub(t.lastCall) < interval {
		return actionNone
	}
	return next
}

// recordPoll records that a poll of the worker's reports, sent at the given time, was answered. Unless the answer
// lists the attempt, which recordListed records afterwards, the platform had no contact with it.
func (t *task) recordPoll(sentAt time.Time) {
	if t.unlistedSince.IsZero() || sentAt.Sub(t.polledAt) > maxPollGap {
		t.unlistedSince = sentAt
	}
	t.polledAt = sentAt
}

// recordListed records that the platform lists the attempt as running, which also confirms its start.
func (t *task) recordListed() {
	t.unlistedSince = time.Time{}
	if !t.confirmed {
		t.confirmed = true
		t.renewNow = true
	}
}

// unlisted returns since when the platform hasn't listed the attempt. It returns false if the platform lists it or
// hasn't been asked recently, so that other controllers may have started it or renewed its lease.
func (t *task) unlisted(now time.Time) (time.Time, bool) {
	return t.unlistedSince, !t.unlistedSince.IsZero() && now.Sub(t.polledAt) <= maxPollGap
}

// leaseLapsed reports whether even a lease whose grant wasn't confirmed, or that another controller renewed, must
// have lapsed.
func (t *task) leaseLapsed(settings *Settings, now time.Time) bool {
	since, unlisted := t.unlisted(now)
	return unlisted && now.Sub(laterOf(since, t.maybeLeasedAt)) > settings.Lease+leaseMargin
}

// markEnded records that the attempt doesn't run any more. Only the first outcome is kept.
func (t *task) markEnded(outcome v1.JobOutcome, now time.Time) {
	if t.ended {
		return
	}
	t.ended = true
	t.endedAt = now
	t.outcome = outcome
}

// fallbackOutcome returns the outcome of an attempt that has ended without a report by the platform. It
// counts as a failure of the worker only if the start timed out.
func (t *task) fallbackOutcome() v1.JobOutcome {
	if t.eviction.reason == reasonStartTimeout {
		return v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED
	}
	return v1.JobOutcome_JOB_OUTCOME_PREEMPTED
}
