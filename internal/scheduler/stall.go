package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/work"
)

// An append usually takes a few milliseconds. While the log is down, submissions that would have to wait for it are
// rejected.

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

// RejectWaitingRequests sends rejections that have waited too long for an append. If the append in progress has taken longer
// than logStallTimeout, it rejects the jobs whose records aren't part of any append yet, and fails the answers that wait. Such jobs certainly don't run, so that their callers can
// submit them again at once, whereas the outcome of the append in progress isn't known.
func (c *Core) RejectWaitingRequests() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.sendOverdueRejections(now)
	if !c.logStalled(now) {
		return
	}
	c.failAnswers(logDownOutcome)
	for j := range c.dirtyJobs {
		// A cancellation that was requested meanwhile has to be recorded with the job.
		if j.definitionWritten || j.cancelled {
			continue
		}
		c.answerSubmitters(j, logDownOutcome)
		c.cancelBooking(j)
		j.cancelled = true // Jobs that are ranked leave the ranking when they are finished.
		c.removeJob(j)
		delete(c.dirtyJobs, j)
		c.noteLogDown(j.def, now)
	}
}

// noteLogDown counts and logs the rejection of a job because the log takes no records.
func (c *Core) noteLogDown(def *work.Job, now time.Duration) {
	c.metrics.jobRejected("log_down")
	c.logger.WithFields(logrus.Fields{"event": "job_rejected", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "reason": "log_down",
		"log_silent_ms": (now - c.appendStartedAt).Milliseconds()}).Info("job rejected: the log takes no records at the moment")
}

// answerSubmitters sends the outcome to those who wait for the acceptance of the job.
func (c *Core) answerSubmitters(j *job, outcome Outcome) {
	for _, submitter := range j.submitters {
		submitter <- outcome
	}
	j.submitters = nil
}
