package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/work"
)

// tooLarge is the reason for the rejection of a job that can't be kept.
const tooLarge = "too_large"

// busyRetryAfter is the retry delay that callers are given while this process is too far behind.
const busyRetryAfter = time.Second

// Submit submits a job. It is idempotent: a job with a known ID isn't added again. The outcome is sent to
// waiter: a rejection immediately, an acceptance when it is durable.
func (c *Core) Submit(def *work.Job, waiter chan<- Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		waiter <- Outcome{Kind: OutcomeTermOver}
		return
	}
	if existing := c.jobs[def.ID]; existing != nil {
		if existing.definitionRejected {
			waiter <- existing.unrecordedOutcome()
			return
		}
		if existing.durable {
			waiter <- Outcome{Kind: OutcomeDone}
			return
		}
		if !existing.definitionWritten {
			existing.submitters = append(existing.submitters, waiter)
			return
		}
		c.waiters = append(c.waiters, jobWaiter{existing, waiter})
		c.markDirty(existing)
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
		waiter <- Outcome{Kind: OutcomeRejected, RetryAfter: busyRetryAfter, Reason: "busy"}
		return
	}
	if c.logStalled(now) {
		c.noteLogDown(def, now)
		waiter <- Outcome{Kind: OutcomeUnavailable, RetryAfter: time.Second, Reason: "log_down"}
		return
	}
	def.Accepted = c.wallClock()
	if decision := c.admit(def, offeredAt, now); !decision.accepted {
		c.metrics.jobRejected(decision.reason)
		c.logger.WithFields(logrus.Fields{"event": "job_rejected", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "reason": decision.reason,
			"wait_ms": decision.predictedWait.Milliseconds(), "room_ms": decision.maxWait.Milliseconds(), "retry_after_ms": decision.retryAfter.Milliseconds()}).Info("job rejected")
		waiter <- Outcome{Kind: OutcomeRejected, RetryAfter: decision.retryAfter, Reason: decision.reason}
		return
	}
	j := newJob(def)
	c.applyAdvicePolicy(j)
	j.acceptedAt, j.offeredAt = now, offeredAt
	j.overuseLevel = c.overuseLevel(def, now)
	supply, cores := c.supplyOf(def.Queue.Pool, now)
	j.booked = c.bookWork(def, cores, now)
	if def.Recurrence.Times == 0 {
		supply.addJob(j, now)
	}
	j.reserved = true
	c.addJob(j)
	c.activeJobs[j] = struct{}{}
	c.createOccurrences(j)
	j.submitters = append(j.submitters, waiter)
	c.metrics.jobAccepted()
	c.logger.WithFields(logrus.Fields{"event": "job_accepted", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "steps": len(def.Steps), "ahead": j.overuseLevel}).Info("job accepted")
	c.markDirty(j)
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

// Cancel cancels a job. The outcome is sent to waiter: immediately if there is nothing to record, and
// otherwise when the cancellation is durable.
func (c *Core) Cancel(id string, waiter chan<- Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case c.closed:
		waiter <- Outcome{Kind: OutcomeTermOver}
		return
	case j == nil:
		c.logger.WithFields(logrus.Fields{"event": "unknown_job_cancelled", "job": id, "confirmed_age_ms": (c.clock() - c.confirmedAt).Milliseconds()}).Info(
			"cancellation of a job that isn't known")
		waiter <- Outcome{Kind: OutcomeNotFound}
		return
	case c.logStalled(c.clock()):
		waiter <- Outcome{Kind: OutcomeUnavailable, RetryAfter: time.Second, Reason: "log_down"}
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

// State returns the state of a job as callers see it, and false for an unknown job.
func (c *Core) State(id string) (JobState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
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

// Pending returns the number of accepted jobs of a queue of which no work item has begun.
func (c *Core) Pending(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for j := range c.activeJobs {
		if j.def.Queue.Name == queue && !j.begun && !j.finished() && j.durable {
			n++
		}
	}
	return n
}
