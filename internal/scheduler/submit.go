package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/work"
)

// Submit takes a job. The outcome is sent to the waiter, at once or when it is durable.
func (c *Core) Submit(def *work.Job, waiter chan<- Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		waiter <- Outcome{Kind: Rejected, RetryAfter: time.Second, Reason: "term_over"}
		return
	}
	if known := c.jobs[def.ID]; known != nil {
		if known.durable {
			waiter <- Outcome{Kind: Done}
			return
		}
		c.waiters = append(c.waiters, waiter)
		c.touch(known)
		return
	}
	now := c.clock()
	if c.stalled(now) {
		c.metrics.rejected("log_down")
		c.logger.WithFields(logrus.Fields{"event": "job_rejected", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "reason": "log_down",
			"log_silent_ms": (now - c.appending).Milliseconds()}).Info("job rejected")
		waiter <- Outcome{Kind: Unavailable, RetryAfter: time.Second, Reason: "log_down"}
		return
	}
	def.Accepted = c.wall()
	c.offer(def, now)
	if verdict := c.admit(def, now); !verdict.accept {
		c.metrics.rejected(verdict.reason)
		c.logger.WithFields(logrus.Fields{"event": "job_rejected", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "reason": verdict.reason,
			"wait_ms": verdict.wait.Milliseconds(), "room_ms": verdict.room.Milliseconds(), "retry_after_ms": verdict.retryAfter.Milliseconds()}).Info("job rejected")
		waiter <- Outcome{Kind: Rejected, RetryAfter: verdict.retryAfter, Reason: verdict.reason}
		return
	}
	j := newJob(def)
	j.accepted = now
	j.ahead = c.ahead(def, now)
	c.book(def, c.coresOf(def.Queue.Pool, now)+c.spareCores(), now)
	c.jobs[def.ID] = j
	c.active[j] = struct{}{}
	c.waiters = append(c.waiters, waiter)
	c.metrics.accepted()
	c.logger.WithFields(logrus.Fields{"event": "job_accepted", "job": def.ID, "queue": def.Queue.Name, "customer": def.Customer, "steps": len(def.Steps), "ahead": j.ahead}).Info("job accepted")
	c.touch(j)
}

// stalled reports whether the log takes no records at the moment.
func (c *Core) stalled(now time.Duration) bool {
	return c.appending > 0 && now-c.appending > logStalled
}

// offeredKept is how long a rejected job is remembered: callers retry within their patience of seconds.
const offeredKept = 15 * time.Second

// offer counts the work of a submission that wasn't seen before.
func (c *Core) offer(def *work.Job, now time.Duration) {
	if _, seen := c.offeredJobs[def.ID]; seen || def.Recurrence.Times > 0 {
		return
	}
	for id, at := range c.offeredJobs {
		if now-at > offeredKept {
			delete(c.offeredJobs, id)
		}
	}
	c.offeredJobs[def.ID] = now
	c.turns.pool(def.Queue.Pool).add(c.workOf(def), now)
}

// Cancel cancels a job. The outcome is sent to the waiter, at once or when it is durable.
func (c *Core) Cancel(id string, waiter chan<- Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case c.closed:
		waiter <- Outcome{Kind: Undecided}
		return
	case j == nil:
		waiter <- Outcome{Kind: NotFound}
		return
	case c.stalled(c.clock()):
		waiter <- Outcome{Kind: Unavailable, RetryAfter: time.Second, Reason: "log_down"}
		return
	case j.over() && (j.shownCancelled || j.shownCompleted || j.shownFailed):
		waiter <- Outcome{Kind: Done}
		return
	}
	if !j.over() {
		j.cancelled, j.ended = true, c.clock()
		c.logger.WithFields(logrus.Fields{"event": "job_cancelled", "job": id, "queue": j.def.Queue.Name, "placed": j.placed()}).Info("job cancelled")
		c.stopJob(j)
	}
	c.waiters = append(c.waiters, waiter)
	c.touch(j)
}

// State returns what is shown of a job, and false for a job that isn't known.
func (c *Core) State(id string) (JobState, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[id]
	switch {
	case j == nil || !j.durable:
		return "", false
	case j.shownCancelled:
		return JobCancelled, true
	case j.shownCompleted:
		return JobCompleted, true
	case j.shownFailed:
		return JobFailed, true
	case j.begun:
		return JobRunning, true
	}
	return JobQueued, true
}

// Pending counts the accepted jobs of a queue of which nothing has started.
func (c *Core) Pending(queue string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for j := range c.active {
		if j.def.Queue.Name == queue && !j.begun && !j.over() && j.durable {
			n++
		}
	}
	return n
}
