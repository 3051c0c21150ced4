package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

// dropExpired releases the items of workers that have ended or whose lease has certainly lapsed, removes
// such workers once they are unlisted, and drops jobs that finished more than EndedJobRetention ago.
func (c *Core) dropExpired(now time.Duration) {
	if now >= c.nextWorkerExpiry {
		c.dropExpiredWorkers(now)
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
	c.dropLateStarts(now)
	for id, at := range c.offeredJobs {
		if now-at > offeredJobRetention {
			delete(c.offeredJobs, id)
		}
	}
	c.cost.shares.Forget(c.shareOf, now)
	c.dropExpiredTombstones(now)
	for id, j := range c.jobs {
		if _, active := c.activeJobs[j]; active || !j.finished() {
			continue
		}
		if c.trimEndedJob(j, now); now-j.endedAt > c.options.EndedJobRetention {
			c.removeJob(j)
			c.deleteRecords(id, slices.Collect(maps.Keys(j.recordedGroups)))
		}
	}
}

// dropExpiredWorkers releases the items of workers that have ended or whose lease has certainly lapsed, and removes such
// workers once they are unlisted. It sets nextWorkerExpiry to when the next lease may lapse, within workerCheckInterval.
func (c *Core) dropExpiredWorkers(now time.Duration) {
	next := now + workerCheckInterval
	var gone []*worker
	for _, w := range c.sortedWorkers() {
		if len(w.items) == 0 && w.listed {
			continue
		}
		if !w.ended && now <= w.leaseEnd {
			// The lease lapses after leaseEnd.
			next = min(next, w.leaseEnd+1)
			continue
		}
		if len(w.items) > 0 {
			c.releaseAllItems(w, now)
		}
		if len(w.items) > 0 || w.listed || c.mayBeCutOff(w) || c.mayReturnSoon(w, now) {
			next = now
			continue
		}
		gone = append(gone, w)
	}
	for _, w := range gone {
		c.removeWorker(w)
		w.wakeRenewalLoop()
	}
	c.nextWorkerExpiry = next
}

// mayBeCutOff reports whether a worker whose lease has lapsed may live: its host still lists it. Whether it crashed is known
// once it reports, or its host lists another worker.
func (c *Core) mayBeCutOff(w *worker) bool {
	return !w.ended && len(w.lapsedItems) > 0 && c.fleet.byWorker[w.entry.ID] != ""
}

// mayReturnSoon marks an unlisted worker without items as ended, and reports whether it has to be kept: a process that
// restarts under its ID may still carry out an order that had no response.
func (c *Core) mayReturnSoon(w *worker, now time.Duration) bool {
	if !w.ended {
		if !w.crashCounted {
			c.countCrash(w)
		}
		w.ended, w.crashCounted, w.mayReturn = true, true, !c.isReplaced(w)
	}
	return w.mayReturn && (w.hasLateStarts(now) || now < w.ackUnansweredUntil)
}

// releaseAllItems releases the items of a worker that has ended or whose lease has lapsed, except for those whose start
// the worker may still carry out, or has yet to be sent. Those that an earlier term placed are held as late starts instead.
func (c *Core) releaseAllItems(w *worker, now time.Duration) {
	released := w.sortedItems(func(i *item) bool { return (i.inherited || !c.mayStartLate(i, now)) && (w.ended || !i.awaitsStart()) })
	if len(released) == 0 {
		return
	}
	c.logger.WithFields(logrus.Fields{"event": "worker_lapsed", "worker": w.entry.ID, "items": len(released), "held": len(w.items) - len(released), "gone": w.ended,
		"silent_ms": (now - w.lastReportAt).Milliseconds()}).Warn("worker ended or its lease lapsed; releasing its work items")
	for _, i := range released {
		c.logLostRun(i, now)
		c.countDeferredCrash(i)
		i.formerRuns = append(i.formerRuns, formerRun{worker: w.entry.ID, run: i.run})
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
