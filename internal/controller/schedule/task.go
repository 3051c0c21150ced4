package schedule

import (
	"time"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/jobs"
)

// task is what this controller knows of a running attempt.
type task struct {
	job  jobs.Job
	seen time.Time
	// own is set when this controller proposed the start.
	own bool
	// confirmed is set when the platform has said that the attempt was started.
	confirmed bool
	// calling is set while a call for the task is under way.
	calling bool
	// tried is when a call was sent last; leased when a lease is known to have begun last, and
	// mayLease when one may have, by a call whose answer was lost.
	tried    time.Time
	leased   time.Time
	mayLease time.Time
	// ended is set with the outcome when the attempt is known not to run any more.
	ended    bool
	endedAt  time.Time
	outcome  v1.JobOutcome
	proposed bool
	// healthy is set once the attempt has shown that its worker runs jobs, judged after its end.
	healthy bool
	judged  bool
	leave   leave
	// throttledFor is the job that this one was throttled for.
	throttledFor string
	restore      bool
}

// reason says why a task is to leave its worker.
type reason int

const (
	reasonNone reason = iota
	// reasonCancel stops at once.
	reasonCancel
	// reasonVacate and reasonPreempt checkpoint first; a preemption throttles before it stops.
	reasonVacate
	reasonPreempt
	// reasonStart is a start that wasn't answered in time.
	reasonStart
	// reasonLapsed is a lease that couldn't be renewed.
	reasonLapsed
)

// step is where a task that is to leave stands.
type step int

const (
	stepCheckpoint step = iota
	stepThrottle
	stepStop
)

// leave is the way out of a task.
type leave struct {
	reason reason
	step   step
	since  time.Time
	// stop is unset when it is enough that a victim is throttled.
	stop bool
	// forJob is the job that the victim makes room for.
	forJob string
}

// action is the next call or proposal for a task.
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

// begin lets the task leave. A stop that is under way already isn't taken back by a milder reason.
func (t *task) begin(why reason, now time.Time) {
	if t.leave.reason == why {
		return
	}
	first := stepStop
	if (why == reasonVacate || why == reasonPreempt) && t.leave.step != stepStop {
		first = stepCheckpoint
	}
	t.leave = leave{reason: why, step: first, since: now, stop: true}
	// A call of before doesn't delay the first step.
	t.tried = time.Time{}
}

// advance moves to the next step once a step has taken its time.
func (t *task) advance(settings *Settings, now time.Time) {
	waited := now.Sub(t.leave.since)
	switch {
	case t.leave.step == stepCheckpoint && t.leave.reason == reasonVacate && waited >= settings.VacateTimeout:
		t.enter(stepStop, now)
	case t.leave.step == stepCheckpoint && t.leave.reason == reasonPreempt && waited >= settings.CheckpointTimeout:
		t.enter(stepThrottle, now)
	case t.leave.step == stepThrottle && waited >= settings.ThrottleTimeout:
		t.enter(stepStop, now)
	}
}

// enter begins a step. A call of the step before doesn't delay it.
func (t *task) enter(next step, now time.Time) {
	t.leave.step = next
	t.leave.since = now
	t.tried = time.Time{}
	if next == stepStop {
		t.leave.stop = true
	}
}

// checkpointed moves on after a checkpoint that is done.
func (t *task) checkpointed(now time.Time) {
	if t.leave.step != stepCheckpoint {
		return
	}
	if t.leave.reason == reasonPreempt {
		t.enter(stepThrottle, now)
		return
	}
	t.enter(stepStop, now)
}

// next returns what to do now for the task.
func (t *task) next(settings *Settings, now time.Time) action {
	switch {
	case t.ended:
		return actionEnd
	case t.calling:
		return actionNone
	case t.leave.reason != reasonNone:
		return t.nextOfLeaving(now)
	case !t.confirmed:
		return t.unless(now, retryEvery, actionStart)
	case t.restore:
		return t.unless(now, retryEvery, actionRenew)
	}
	if now.Sub(t.leased) < settings.Lease/renewPart {
		return actionNone
	}
	return t.unless(now, retryEvery, actionRenew)
}

func (t *task) nextOfLeaving(now time.Time) action {
	switch t.leave.step {
	case stepCheckpoint:
		return t.unless(now, retryEvery, actionCheckpoint)
	case stepThrottle:
		return t.unless(now, retryEvery, actionThrottle)
	}
	return t.unless(now, retryEvery, actionStop)
}

func (t *task) unless(now time.Time, since time.Duration, next action) action {
	if !t.tried.IsZero() && now.Sub(t.tried) < since {
		return actionNone
	}
	return next
}

// lapsed reports whether no lease can be valid any more.
func (t *task) lapsed(settings *Settings, now time.Time) bool {
	return now.Sub(t.mayLease) > settings.Lease+leaseMargin
}

// end notes that the attempt doesn't run any more.
func (t *task) end(outcome v1.JobOutcome, now time.Time) {
	if t.ended {
		return
	}
	t.ended = true
	t.endedAt = now
	t.outcome = outcome
}

// fallback is the outcome of an attempt that the platform knows nothing of: only a start that
// wasn't answered counts against the worker.
func (t *task) fallback() v1.JobOutcome {
	if t.leave.reason == reasonStart {
		return v1.JobOutcome_JOB_OUTCOME_WORKER_FAILED
	}
	return v1.JobOutcome_JOB_OUTCOME_PREEMPTED
}
