package scheduler

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

// A worker may restart under the ID that it had. Calls are addressed to the ID, so that the next process accepts
// orders that were meant for the earlier one, and it knows nothing of what the earlier one has run or stopped. The
// scheduler learns of the restart late, from the list of workers or from a report. What ran in the earlier process has
// ended then; what the next one may run stays placed until a report of the next one tells.

// resetRestartedWorker resets the state of a worker that has restarted under the same ID. report is the report that
// showed the restart, requested at sentAt; it is nil if the list of workers showed it.
func (c *Core) resetRestartedWorker(w *worker, startedUnixMs int64, report *infra.WorkerReport, sentAt time.Duration) {
	now := c.clock()
	kept := w.sortedItems(func(i *item) bool { return lists(report, i) || i.mayRunInNextProcess(report, sentAt, now) })
	c.logger.WithFields(logrus.Fields{"event": "worker_reborn", "worker": w.entry.ID, "born": startedUnixMs, "items": len(w.items), "kept": len(kept),
		"by_report": report != nil}).Warn("worker restarted under the same ID; its work items wait again unless the next process may run them")
	c.releaseEndedRuns(w, kept)
	w.restarts++
	delete(c.settledWorkers, w.entry.ID)
	c.keepForNextProcess(w, kept, report)
	c.awaitLateAck(w, report)
	w.startedUnixMs, w.appliedEnd, w.durableEnd, w.hasReported, w.ended, w.crashCounted, w.mayReturn = startedUnixMs, 0, 0, false, false, false, false
	w.clockMs, w.livedAt, w.consecutiveFailures, w.restartSeenAt, w.leaseEnd = 0, 0, 0, now, 0
	if len(kept) > 0 {
		// An order that was meant for the earlier process has a lease end on its clock, far ahead of the next one's.
		w.leaseEnd = now + c.longestLease()
	}
	c.nextWorkerExpiry = 0
	w.clearStrayRuns()
	for _, s := range w.lateStarts {
		s.unverified, s.refused, s.stopOrderedAt, s.stopConfirmedAt = false, false, 0, 0
	}
	c.stopLateStarts(w, now)
}

// releaseEndedRuns counts the crash of a worker that has restarted and releases its items, except for those to keep,
// which it only removes from the worker. The crash counts against these once it is known that the next process doesn't
// run them.
func (c *Core) releaseEndedRuns(w *worker, kept []*item) {
	now := c.clock()
	if !w.crashCounted {
		for _, i := range kept {
			c.deferCrash(i)
		}
	}
	trial := w.trial.clone()
	for _, i := range kept {
		w.remove(i, now)
	}
	if !w.crashCounted {
		// The items to keep still count as on trial, so that the others aren't taken for the cause.
		w.trial = trial
		c.countCrash(w)
	}
	w.trial = nil
	for _, i := range w.sortedItems(anyItem) {
		c.logLostRun(i, now)
		c.release(i)
	}
}

// keepForNextProcess places the items on the worker again that its next process may run. Unless the report lists them, it
// orders stops of those whose start may still be carried out: the process refuses the start once it has confirmed one.
func (c *Core) keepForNextProcess(w *worker, kept []*item, report *infra.WorkerReport) {
	for _, i := range kept {
		i.processUncertain, i.reported, i.survived, i.stopConfirmedAt = true, false, false, 0
		i.resetProgress()
		w.add(i)
		if !lists(report, i) && (i.stopping || c.clock() < i.unansweredUntil) {
			c.orderStop(i)
		}
	}
}

// awaitLateAck pauses a restarted worker while an acknowledgement to its earlier process may still reach it.
func (c *Core) awaitLateAck(w *worker, report *infra.WorkerReport) {
	now := c.clock()
	if report == nil {
		// A renewal may be in progress.
		w.loseAck(now)
	}
	w.ackedEnd, w.sentAck = 0, 0
	if now < w.ackUnansweredUntil {
		w.pauseUntil(w.ackUnansweredUntil)
		c.logger.WithFields(logrus.Fields{"event": "worker_paused", "worker": w.entry.ID, "paused_ms": (w.ackUnansweredUntil - now).Milliseconds()}).Warn(
			"restarted worker gets no new work until no acknowledgement of its earlier process's run ends can reach it")
	}
}

// lists reports whether the report lists the item's current run, as active or as ended.
func lists(report *infra.WorkerReport, i *item) bool {
	if report == nil {
		return false
	}
	id := i.id()
	return slices.ContainsFunc(report.Running, func(r infra.ActiveRun) bool { return r.Item == id && r.Run == i.run }) ||
		slices.ContainsFunc(report.Ended, func(e infra.EndedRun) bool { return e.Item == id && e.Run == i.run })
}

// mayRunInNextProcess reports whether the next process of the item's worker may run the item although the report of
// that process, requested at sentAt, doesn't list it. Without a report, only runs that the earlier process had listed
// are known to have ended.
func (i *item) mayRunInNextProcess(report *infra.WorkerReport, sentAt, now time.Duration) bool {
	if i.mayStillBegin(now) {
		return true
	}
	if report == nil {
		return !i.reported
	}
	return i.startConfirmedAt > sentAt
}

// findInNextProcess notes that a report of the worker's next process lists the item. That report confirms the start on
// the clock of the next process.
func (i *item) findInNextProcess() {
	if i.processUncertain {
		i.processUncertain, i.undecidedCrash, i.startConfirmedAt = false, nil, 0
	}
}

// loseAck notes that the acknowledgement of the renewal in progress, if it carries one, may still be carried out.
func (w *worker) loseAck(now time.Duration) {
	if w.sentAck > 0 {
		w.ackUnansweredUntil = now + maxCallDelay
	}
}

// longestLease returns how long a lease may last that a worker grants now, whatever end its order names.
func (c *Core) longestLease() time.Duration {
	return time.Duration(float64(max(c.options.Lease, c.options.MaxLease))/minClockRate) + leaseEndMargin
}

// deferCrash notes the crash of the process that may have run the item. It counts unless the next process lists the
// run.
func (c *Core) deferCrash(i *item) {
	w := i.worker
	if c.leavesByPlan(w) || i.processUncertain || w.blamesTrialBeside(i) {
		return
	}
	c.setUndecidedCrash(i, &undecidedCrash{worker: w.entry.ID, run: i.run, onTrial: w.onTrial(i) && w.trial.isolated, late: i.survived, reported: i.reported})
}

// countDeferredCrash counts the crash that deferCrash noted, if there is one: the next process doesn't run the item. It
// reports whether there was one.
func (c *Core) countDeferredCrash(i *item) bool {
	if !i.processUncertain {
		return false
	}
	crash := i.takeUndecidedCrash(i.run)
	if crash == nil {
		return false
	}
	kind := crashPossible
	switch {
	case crash.late:
		kind = crashLate
	case crash.reported || i.startConfirmedAt > 0:
		kind = crashKnown
	}
	c.addCrash(i, crash.worker, kind, crash.onTrial)
	return true
}
