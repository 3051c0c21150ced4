package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"
)

// dropExpired releases the items of workers that have ended or whose lease has certainly lapsed, removes
// such workers once they are unlisted, and drops jobs that finished more than EndedJobRetention ago.
func (c *Core) dropExpired(now time.Duration) {
	for _, w := range c.sortedWorkers() {
		if len(w.items) > 0 && (w.ended || now > w.leaseEnd) {
			c.releaseAllItems(w, now)
		}
		if len(w.items) == 0 && !w.listed && (w.ended || now > w.leaseEnd) {
			if !w.ended {
				if len(w.lapsedItems) > 0 && c.fleet.byWorker[w.entry.ID] != "" {
					// Its host lists it, so that it may only be cut off. Whether it crashed is known once it reports, or its
					// host lists another worker.
					continue
				}
				if !w.crashCounted {
					c.countCrash(w)
				}
				w.ended, w.crashCounted, w.mayReturn = true, true, !c.isReplaced(w)
			}
			if w.mayReturn && (w.hasLateStarts(now) || now < w.ackUnansweredUntil) {
				continue
			}
			delete(c.workers, w.entry.ID)
			c.workersByID = nil
			w.wakeRenewalLoop()
		}
	}
	// Each change that leaves a finished job without placed items makes it dirty.
	for j := range c.dirtyJobs {
		if _, active := c.activeJobs[j]; active && j.finished() && j.placedCount == 0 {
			delete(c.activeJobs, j)
			j.endedAt = now
		}
	}
	if now < c.nextJobExpiry {
		return
	}
	c.nextJobExpiry = now + jobExpiryInterval
	for id, at := range c.offeredJobs {
		if now-at > offeredJobRetention {
			delete(c.offeredJobs, id)
		}
	}
	for id, j := range c.jobs {
		if _, active := c.activeJobs[j]; !active && j.finished() && now-j.endedAt > c.options.EndedJobRetention {
			delete(c.jobs, id)
			c.deletedJobIDs = append(c.deletedJobIDs, id)
		}
	}
}

// releaseAllItems releases the items of a worker that has ended or whose lease has lapsed, except for those whose start
// the worker may still carry out, or has yet to be sent.
func (c *Core) releaseAllItems(w *worker, now time.Duration) {
	released := w.sortedItems(func(i *item) bool { return !c.mayStartLate(i, now) && (w.ended || !i.awaitsStart()) })
	if len(released) == 0 {
		return
	}
	c.logger.WithFields(logrus.Fields{"event": "worker_lapsed", "worker": w.entry.ID, "items": len(released), "held": len(w.items) - len(released), "gone": w.ended,
		"silent_ms": (now - w.lastReportAt).Milliseconds()}).Warn("worker ended or its lease lapsed; releasing its work items")
	for _, i := range released {
		c.logLostRun(i, now)
		c.countDeferredCrash(i)
		i.unresolvedRuns = append(i.unresolvedRuns, unresolvedRun{worker: w.entry.ID, run: i.run})
		if !w.ended && !i.survived && (i.startSent || i.inherited) {
			w.lapsedItems = append(w.lapsedItems, i)
		}
		c.release(i)
	}
}

// awaitsStart reports whether the start of the placed item waits to be sent. It grants a lease of its own then, so that
// the lease that the worker has now says nothing about the item.
func (i *item) awaitsStart() bool { return !i.startSent && !i.inherited && !i.stopping }

// logLostRun logs the run of a placed item whose worker has ended or restarted, or whose lease has lapsed.
func (c *Core) logLostRun(i *item, now time.Duration) {
	w := i.worker
	c.logger.WithFields(logrus.Fields{"event": "run_lost", "item": i.id().String(), "run": i.run, "worker": w.entry.ID, "gone": w.ended, "confirmed": i.startConfirmedAt > 0,
		"reported": i.reported, "inherited": i.inherited, "placed_ms": (now - i.placedAt).Milliseconds()}).Info("run was lost with its worker")
}
