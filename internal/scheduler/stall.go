package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/work"
)

// An append usually takes a few milliseconds. While the log is down, submissions that would have to wait for it are answered
// with OutcomeUnconfirmed: a later term may have accepted the job, unknown to this one.

// Reasons of OutcomeUnconfirmed.
const (
	// unconfirmedLogDown: the append in progress has taken longer than logStallTimeout.
	unconfirmedLogDown = "log_down"
	// unconfirmedTooSlow: the append for a rejection hasn't been confirmed in time.
	unconfirmedTooSlow = "append_slow"
	// unconfirmedNoTime: the caller has too little time left to wait for an append.
	unconfirmedNoTime = "caller_time"
)

func unconfirmedOutcome(reason string) Outcome {
	return Outcome{Kind: OutcomeUnconfirmed, Reason: reason}
}

// AppendStarted notes that an append begins whose records aren't all those of a batch.
func (c *Core) AppendStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendStartedAt = c.clock()
}

// logStalled reports whether the append in progress has taken longer than logStallTimeout.
func (c *Core) logStalled(now time.Duration) bool {
	return c.appendStartedAt > 0 && now-c.appendStartedAt > logStallTimeout
}

// ExpireWaitingRequests gives up rejections that have waited too long for an append. If the append in progress has taken longer
// than logStallTimeout, it removes the jobs whose records aren't part of any append yet, so that their callers can submit them
// again at once, and fails the answers that wait. The outcome of the append in progress isn't known.
func (c *Core) ExpireWaitingRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.expireRejections(now)
	if !c.logStalled(now) {
		return
	}
	c.failAnswers(logDownOutcome)
	for j := range c.dirtyJobs {
		// A cancellation that was requested meanwhile has to be recorded with the job.
		if j.definitionWritten || j.cancelled {
			continue
		}
		c.answerSubmitters(j, unconfirmedOutcome(unconfirmedLogDown))
		c.cancelBooking(j)
		j.cancelled = true // Jobs that are ranked leave the ranking when they are finished.
		c.removeJob(j)
		delete(c.dirtyJobs, j)
		c.noteUnconfirmed(j.def, unconfirmedLogDown)
	}
}

// noteUnconfirmed counts and logs a submission that is answered with OutcomeUnconfirmed.
func (c *Core) noteUnconfirmed(def *work.Job, reason string) {
	c.metrics.submissionUnconfirmed(reason)
	now, appendAge := c.clock(), time.Duration(0)
	if c.appendStartedAt > 0 {
		appendAge = now - c.appendStartedAt
	}
	c.logger.WithFields(logrus.Fields{"event": "submission_unconfirmed", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "reason": reason,
		"append_ms": appendAge.Milliseconds(), "confirmed_age_ms": (now - c.confirmedAt).Milliseconds()}).Info(
		"submission was neither accepted nor rejected: no append of this term has confirmed that the job isn't known to a later one")
}

// answerSubmitters sends the outcome to those who wait for the acceptance of the job.
func (c *Core) answerSubmitters(j *job, outcome Outcome) {
	for _, submitter := range j.submitters {
		submitter <- outcome
	}
	j.submitters = nil
}
