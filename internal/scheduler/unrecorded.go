package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"
)

// mayHaveUnrecordedRuns reports whether a worker may still run work that an earlier term started but
// didn't record: a worker that hasn't reported to this term yet and whose lease may not have lapsed. The
// list of hosts is checked as well, since entries of the list of workers expire while workers can't write to
// the store, although they continue to run. As long as the list of hosts is empty, any worker may be missing.
func (c *Core) mayHaveUnrecordedRuns(now time.Duration) bool {
	if c.term == 1 || now > c.inheritedLeaseEnd() {
		return false
	}
	if len(c.fleet.hosts) == 0 {
		return true
	}
	for _, w := range c.workers {
		if !w.knownByLateStart() && c.mayRunUnrecorded(w) {
			return true
		}
	}
	for id := range c.fleet.byWorker {
		if w := c.workers[id]; c.unknown(id) || w != nil && c.mayRunUnrecorded(w) {
			return true
		}
	}
	return false
}

// unknown reports whether nothing is known of the worker, which a host lists.
func (c *Core) unknown(id string) bool { return c.workers[id] == nil && !c.settledWorkers[id] }

// noteSettled records that the worker certainly runs nothing that an earlier term started but didn't record, until no
// worker can any more.
func (c *Core) noteSettled(id string) {
	switch {
	case c.term == 1:
	case c.clock() > c.inheritedLeaseEnd():
		c.settledWorkers = nil
	default:
		if c.settledWorkers == nil {
			c.settledWorkers = map[string]bool{}
		}
		c.settledWorkers[id] = true
	}
}

// logHeldJobs logs when this term begins to hold back jobs with ready items because of mayHaveUnrecordedRuns, and when
// it no longer does. held is the number of such jobs now.
func (c *Core) logHeldJobs(held int, now time.Duration) {
	switch {
	case held > 0 && c.jobsHeldSince == 0:
		c.jobsHeldSince = now
		unreported, unlisted := c.unseenWorkers()
		c.logger.WithFields(logrus.Fields{"event": "jobs_held", "jobs": held, "unreported": unreported, "unlisted": unlisted, "hosts": len(c.fleet.hosts)}).
			Info("jobs of earlier terms wait until all workers have reported: some may run work that isn't recorded")
	case held == 0 && c.jobsHeldSince > 0:
		c.logger.WithFields(logrus.Fields{"event": "jobs_released", "after_ms": (now - c.jobsHeldSince).Milliseconds()}).Info("no job of an earlier term waits for reports of workers any more")
		c.jobsHeldSince = 0
	}
}

// unseenWorkers returns the number of workers that may run unrecorded work and are listed as workers, and of those
// that only the list of hosts shows.
func (c *Core) unseenWorkers() (unreported, unlisted int) {
	for _, w := range c.workers {
		if !w.knownByLateStart() && c.mayRunUnrecorded(w) {
			unreported++
		}
	}
	for id := range c.fleet.byWorker {
		if c.unknown(id) {
			unlisted++
		}
	}
	return unreported, unlisted
}

// mayRunUnrecorded reports whether the worker may run, or begin to run, what an earlier term started: it hasn't reported
// to this term, and had the same ID in the time of the earlier term. Its start time is by the platform's clock.
func (c *Core) mayRunUnrecorded(w *worker) bool {
	return !w.hasReported && !w.ended && (w.startedUnixMs < c.startedUnixMs+maxClockSkew.Milliseconds() || w.restarts > 0) && !c.settledWorkers[w.entry.ID]
}
