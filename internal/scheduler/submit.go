package scheduler

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/work"
)

// tooLarge is the reason for the rejection of a job that can't be kept.
const tooLarge = "too_large"

// busyRetryAfter is the retry delay that callers are given while this process is too far behind.
const busyRetryAfter = time.Second

// Submit submits a job. It is idempotent: a job with a known ID isn't added again. The outcome is sent to waiter: an
// acceptance when it is durable, a rejection when it is certain that no later term has accepted the job, and OutcomeUnconfirmed
// if neither is the case in time.
func (c *Core) Submit(def *work.Job, waiter chan<- Outcome) {
	c.SubmitWithin(def, math.MaxInt64, waiter)
}

// SubmitWithin is Submit for a caller that has the given time left.
func (c *Core) SubmitWithin(def *work.Job, timeLeft time.Duration, waiter chan<- Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		waiter <- Outcome{Kind: OutcomeTermOver}
		return
	}
	if existing := c.jobs[def.ID]; existing != nil {
		c.joinSubmission(existing, waiter)
		return
	}
	if c.tombstones.byID[def.ID] != nil && !c.logStalled(c.clock()) && c.isRecordable(def) {
		c.submitCancelled(def, timeLeft, waiter)
		return
	}
	if !c.isRecordable(def) || c.exceedsMemory(def) {
		c.metrics.jobRejected(tooLarge)
		c.logger.WithFields(logrus.Fields{"event": "job_rejected", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "reason": tooLarge,
			"record_limit": c.options.MaxRecordBytes, "memory_limit": c.options.MaxStateBytes}).Info("job rejected: it is too large for the log or for the memory of this process")
		waiter <- Outcome{Kind: OutcomeInvalid, Reason: tooLarge}
		return
	}
	now := c.clock()
	offeredAt := c.noteOffered(def, now)
	if c.delay > maxDelay {
		c.metrics.jobRejected("busy")
		c.logger.WithFields(logrus.Fields{"event": "job_rejected", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "reason": "busy",
			"delay_ms": c.delay.Milliseconds()}).Info("job rejected: this process is too far behind")
		c.rejectOnceConfirmed(def, Outcome{Kind: OutcomeRejected, RetryAfter: busyRetryAfter, Reason: "busy"}, timeLeft, waiter)
		return
	}
	if c.logStalled(now) {
		c.noteUnconfirmed(def, unconfirmedLogDown)
		waiter <- unconfirmedOutcome(unconfirmedLogDown)
		return
	}
	def.Accepted = c.wallClock()
	decision := c.admit(def, offeredAt, now)
	if !decision.accepted {
		c.metrics.jobRejected(decision.reason)
		c.logger.WithFields(logrus.Fields{"event": "job_rejected", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "reason": decision.reason,
			"wait_ms": decision.predictedWait.Milliseconds(), "room_ms": decision.maxWait.Milliseconds(), "retry_after_ms": decision.retryAfter.Milliseconds()}).WithFields(decision.explanation).Info("job rejected")
		c.rejectOnceConfirmed(def, Outcome{Kind: OutcomeRejected, RetryAfter: decision.retryAfter, Reason: decision.reason}, timeLeft, waiter)
		return
	}
	j := newJob(def)
	c.applyAdvicePolicy(j)
	j.acceptedAt, j.offeredAt, j.forecast = now, offeredAt, decision.forecast
	j.overuseLevel = c.overuseLevel(def, now)
	j.beyondShare, j.sizeClass = c.takeShare(def, now), decision.sizeClass
	supply, cores := c.supplyOf(def.Queue.Pool, now)
	j.booked = c.bookWork(def, cores, now)
	c.runTimes.renew(j)
	if def.Recurrence.Times == 0 {
		supply.addJob(j, now)
	}
	j.reserved = true
	c.addJob(j)
	c.activeJobs[j] = struct{}{}
	c.createOccurrences(j)
	j.submitters = append(j.submitters, waiter)
	c.metrics.jobAccepted()
	c.logger.WithFields(logrus.Fields{"event": "job_accepted", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "steps": len(def.Steps), "ahead": j.overuseLevel}).WithFields(j.forecast.fields()).WithFields(decision.explanation).Info("job accepted")
	c.markDirty(j)
}

// joinSubmission answers a submission of a job that is known.
func (c *Core) joinSubmission(j *job, waiter chan<- Outcome) {
	switch {
	case j.definitionRejected:
		waiter <- j.unrecordedOutcome()
	case j.durable:
		waiter <- Outcome{Kind: OutcomeDone}
	case !j.definitionWritten:
		j.submitters = append(j.submitters, waiter)
		c.markDirty(j)
	default:
		c.waiters = append(c.waiters, jobWaiter{j, waiter})
		c.markDirty(j)
	}
}

// rejectOnceConfirmed sends the rejection once it is confirmed, unless the job has been accepted by then: its caller may have
// submitted it more than once. A rejection that isn't confirmed within maxRejectionWait, or in the caller's time, becomes
// OutcomeUnconfirmed.
func (c *Core) rejectOnceConfirmed(def *work.Job, rejection Outcome, timeLeft time.Duration, waiter chan<- Outcome) {
	settle := func(outcome Outcome) bool {
		if j := c.jobs[def.ID]; j != nil {
			c.joinSubmission(j, waiter)
			return false
		}
		waiter <- outcome
		return true
	}
	expire := func(reason string) {
		if settle(unconfirmedOutcome(reason)) {
			c.noteUnconfirmed(def, reason)
		}
	}
	wait := min(maxRejectionWait, timeLeft-rejectionMargin)
	if wait <= 0 {
		expire(unconfirmedNoTime)
		return
	}
	c.addAnswer(pendingAnswer{waiter: waiter, expiresAt: c.clock() + wait, expire: expire, send: func() { settle(rejection) }})
}

// offeredJobRetention is how long offeredJobs keeps a job. Callers retry a rejected job for a few seconds
// only.
const offeredJobRetention = 15 * time.Second

// noteOffered returns when the job was first submitted to this term. If that is now, its work is added to the
// offered load of its pool, unless the job is recurring.
func (c *Core) noteOffered(def *work.Job, now time.Duration) time.Duration {
	if offeredAt, seen := c.offeredJobs[def.ID]; seen {
		return offeredAt
	}
	c.offeredJobs[def.ID] = now
	if def.Recurrence.Times == 0 {
		c.peakTracker.loadOf(def.Queue.Pool).addWork(c.predictCoreSeconds(def), now)
	}
	return now
}

// Cancel cancels a job on behalf of a customer. The outcome is sent to waiter when the cancellation is durable. It is
// OutcomeNotFound for a job that isn't known; a later submission under that ID doesn't run either.
func (c *Core) Cancel(id, customer string, waiter chan<- Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case c.closed:
		waiter <- Outcome{Kind: OutcomeTermOver}
		return
	case c.logStalled(c.clock()):
		waiter <- logDownOutcome
		return
	case j == nil || j.definitionRejected && !j.started:
		c.cancelUnknown(id, customer, waiter)
		return
	case j.finished() && (j.visibleCancelled || j.visibleCompleted || j.visibleFailed):
		waiter <- Outcome{Kind: OutcomeDone}
		return
	}
	if !j.finished() {
		j.cancelled, j.endedAt = true, c.clock()
		c.logger.WithFields(logrus.Fields{"event": "job_cancelled", "job": id, "queue": j.def.Queue.Name, "placed": j.placedCount}).Info("job cancelled")
		c.orderJobStops(j)
	}
	c.waiters = append(c.waiters, jobWaiter{j, waiter})
	c.markDirty(j)
}

// QueryState sends the state of a job to waiter, or OutcomeNotFound, which is confirmed by an append. That a job hasn't ended
// is confirmed only if its work can't run any more without one: this term may have been replaced by then.
func (c *Core) QueryState(id string, waiter chan<- Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		waiter <- Outcome{Kind: OutcomeTermOver}
		return
	}
	state, known := c.stateOf(id)
	if known && (state.ended() || c.clock()-c.confirmedAt <= c.longestUnconfirmedRun()) {
		waiter <- Outcome{Kind: OutcomeDone, State: state}
		return
	}
	c.answerOnceConfirmed(waiter, func() {
		if state, known := c.stateOf(id); known {
			waiter <- Outcome{Kind: OutcomeDone, State: state}
			return
		}
		waiter <- Outcome{Kind: OutcomeNotFound}
	})
}

// QueryPending sends the number of accepted jobs of a queue of which no work item has begun to waiter.
func (c *Core) QueryPending(queue string, waiter chan<- Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	send := func() { waiter <- Outcome{Kind: OutcomeDone, Pending: c.pendingOf(queue)} }
	if !c.closed && c.clock()-c.confirmedAt <= maxPendingAge {
		send()
		return
	}
	c.answerOnceConfirmed(waiter, send)
}

// State returns the state of a job as this term knows it, and false for an unknown job.
func (c *Core) State(id string) (JobState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stateOf(id)
}

// stateOf is State with the lock held.
func (c *Core) stateOf(id string) (JobState, bool) {
	j := c.jobs[id]
	switch {
	case j == nil || !j.durable:
		return "", false
	case j.visibleCancelled:
		return JobCancelled, true
	case j.visibleCompleted:
		return JobCompleted, true
	case j.visibleFailed:
		return JobFailed, true
	case j.begun:
		return JobRunning, true
	}
	return JobQueued, true
}

// Pending returns the number of accepted jobs of a queue of which no work item has begun, as this term knows it.
func (c *Core) Pending(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pendingOf(queue)
}

// pendingOf is Pending with the lock held.
func (c *Core) pendingOf(queue string) int {
	n := 0
	for j := range c.activeJobs {
		if j.def.Queue.Name == queue && !j.begun && !j.finished() && j.durable {
			n++
		}
	}
	return n
}
