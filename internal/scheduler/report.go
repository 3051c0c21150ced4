package scheduler

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

const (
	// failurePauseThreshold is the number of consecutive failed runs after which a worker is paused, at
	// first for minFailurePause and twice as long after each further failure, up to maxFailurePause. A
	// worker that fails every run immediately looks idle, and would attract work that others could do.
	// maxFailurePauseDoublings keeps the doubling from overflowing.
	failurePauseThreshold    = 2
	minFailurePause          = 500 * time.Millisecond
	maxFailurePause          = 4 * time.Second
	maxFailurePauseDoublings = 5
	// availablePercent is the progress that a worker reports for a lasting item that is in service.
	availablePercent = 100
)

// RenewalFailed handles a failed lease renewal of a worker.
func (c *Core) RenewalFailed(id string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return
	}
	if infra.KindOf(err) == infra.RelayFailed {
		c.noteZoneUnanswered(w)
		// The worker may have got the renewal, and isn't blamed for the missing response.
		w.loseAck(c.clock())
		w.sentAck, w.renewalInterrupted = 0, true
		return
	}
	w.failedRenewals++
	w.renewalRefused = infra.KindOf(err) == infra.Refused
	c.noteZoneOutcome(w, infra.KindOf(err))
	if infra.KindOf(err) == infra.Unknown {
		w.loseAck(c.clock())
		c.noteUnanswered(w)
	}
	w.sentAck = 0
	if w.failedRenewals == 1 {
		c.logLoss(w, err)
	}
	switch infra.KindOf(err) {
	case infra.Fenced:
		c.markFenced("hold", id)
	case infra.WorkerReplaced:
		// Another worker process responds at the address. This one has ended unless it has moved to another address.
		if w.renewalAddress == w.entry.Address {
			c.endWorker(w)
		}
	}
	c.wakeUp()
}

// markFenced records that the worker or host with the ID refused the call op because it has seen a higher
// fencing token, so that this term ends.
func (c *Core) markFenced(op, id string) {
	if !c.fenced {
		c.logger.WithFields(logrus.Fields{"event": "fenced", "op": op, "at": id, "term": c.term}).Warn("call refused: a higher fencing token was seen; this term ends")
	}
	c.fenced = true
	c.wakeUp()
}

// ApplyReport applies a worker's response to a lease renewal that was sent at sentAt.
func (c *Core) ApplyReport(id string, report infra.WorkerReport, sentAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return
	}
	if sentAt < w.restartSeenAt {
		// The report may be one of the process before the restart.
		return
	}
	now := c.clock()
	c.noteZoneReport(w, now)
	if report.StartUnixMs > 0 && w.startedUnixMs > 0 && report.StartUnixMs != w.startedUnixMs {
		c.resetRestartedWorker(w, report.StartUnixMs, &report, sentAt)
	}
	if report.StartUnixMs > 0 {
		w.startedUnixMs = report.StartUnixMs
	}
	w.ackedEnd, w.sentAck = max(w.ackedEnd, w.sentAck), 0
	if w.failedRenewals > 0 {
		w.noteResponse(now - sentAt)
		c.logger.WithFields(logrus.Fields{"event": "worker_regained", "worker": id, "failures": w.failedRenewals, "items": len(w.items)}).Info("worker responds to lease renewals again")
	}
	if !w.hasReported {
		c.noteSettled(id)
		c.wakeUp()
	}
	unwatched, knownEnd := sentAt-w.lastReportAt, w.appliedEnd
	w.failedRenewals, w.renewalInterrupted, w.lastReportAt, w.reportSentAt, w.hasReported = 0, false, now, sentAt, true
	w.ended, w.crashCounted, w.mayReturn = false, false, false
	w.clockMs, w.clockReadAt = report.ClockMs, now
	w.clearStrayRuns()
	listed := make(map[*item]bool, len(report.Running)+len(report.Ended))
	for _, running := range report.Running {
		c.applyRunning(w, running, listed, now)
	}
	for _, end := range report.Ended {
		c.applyEnd(w, end, listed, now)
	}
	if w.appliedEnd > knownEnd {
		c.observeEnds(w, unwatched)
	}
	w.lapsedItems = nil
	if !report.Partial {
		c.settleUnlistedLateStarts(w, &report, sentAt)
		c.releaseAbsent(w, listed, sentAt)
	}
	c.stopLateStarts(w, now)
	c.adjustPace(w, now)
	if w.appliedEnd > w.durableEnd || w.reserved {
		c.wakeUp()
	}
}

// applyRunning applies one entry of a worker's list of running work. If the item is placed on the worker
// with this run, it is added to listed.
func (c *Core) applyRunning(w *worker, running infra.ActiveRun, listed map[*item]bool, now time.Duration) {
	i := c.reportedItem(running.Item)
	if i != nil && !i.step.job.finished() && c.isUnrecordedRun(i, running.Run) && (i.state == itemWaiting || i.inherited && running.Run > i.run) {
		// An earlier term started this run, and the record of the start was lost. The recorded run must
		// have ended, since an item never has two runs at the same time. Its end is counted when its worker
		// lists it.
		c.release(i)
		i.run, i.placedAt = running.Run, now
		w.leaseEnd = max(w.leaseEnd, c.inheritedLeaseEnd())
		c.place(i, w)
		c.markItemDirty(i)
	}
	if i == nil || i.worker != w || i.run != running.Run {
		// The run isn't the item's current one. Either the item was released from this worker, or the job
		// has finished and its records were deleted. It counts until the worker doesn't list it any more.
		c.addStrayRun(w, i)
		w.settleLateStarts(running.Item, running.Run)
		c.pendingOrders = append(c.pendingOrders, stopOrder(w, running.Item, running.Run))
		c.wakeUp()
		return
	}
	listed[i] = true
	w.settleLateStarts(running.Item, running.Run)
	if !i.reported {
		w.unreportedItems--
	}
	i.findInNextProcess()
	if i.inherited {
		// The start has been carried out.
		i.unansweredUntil = 0
	}
	c.confirmStart(i, now)
	i.reported, i.inherited, i.awaitsReportSince = true, false, 0
	if running.Checkpoint != "" {
		i.checkpoint = running.Checkpoint
	}
	if running.ProgressPercent > i.progressPercent || i.progressedAt == 0 {
		i.progressedAt = now
	}
	i.progressPercent, i.load, i.available = running.ProgressPercent, running.Load, running.ProgressPercent >= availablePercent
	c.observeSurvival(i)
	if i.step.job.finished() && !i.stopping {
		c.orderStop(i)
	}
}

// isUnrecordedRun reports whether an earlier term started the run, and neither the records that this term loaded nor the
// ends that it has counted account for its end. Its start may be missing from the records as well. Ends of several such runs
// may be reported in any order.
func (c *Core) isUnrecordedRun(i *item, run int64) bool {
	return i.step.job.inherited && run > i.lastAccountedRun && c.isOfEarlierTerm(run) && !i.hasCountedRun(run)
}

// isOfEarlierTerm reports whether an earlier term started the run.
func (c *Core) isOfEarlierTerm(run int64) bool { return run <= (c.term-1)*runsPerTerm }

// applyEnd applies one entry of a worker's list of run ends, unless it was applied before. If the item is
// placed on the worker with this run, it is added to listed.
func (c *Core) applyEnd(w *worker, end infra.EndedRun, listed map[*item]bool, now time.Duration) {
	i := c.reportedItem(end.Item)
	if i != nil && i.worker == w && i.run == end.Run {
		listed[i] = true
	}
	if end.Sequence <= w.appliedEnd {
		return
	}
	w.appliedEnd = end.Sequence
	c.workersToAck[w] = struct{}{}
	// The release of the item keeps a start without a response, which the process refuses from now on.
	defer w.settleLateStarts(end.Item, end.Run)
	if i == nil {
		return
	}
	current := i.worker == w && i.run == end.Run
	// A success always counts. Any other end counts only if it is that of the current run, of an unresolved
	// run, or of an unrecorded run of an earlier term.
	unresolved, unrecorded := i.removeUnresolvedRun(w.entry.ID, end.Run), c.isUnrecordedRun(i, end.Run)
	if !current && !unresolved && end.Cause != infra.EndDone && !unrecorded {
		return
	}
	if unrecorded {
		i.formerRuns = append(i.formerRuns, formerRun{worker: w.entry.ID, run: end.Run, counted: true})
	}
	// The item's record holds the last run whose end is accounted for, so that a later term doesn't count
	// this end again.
	i.run = max(i.run, end.Run)
	i.step.job.begun = true
	if end.Checkpoint != "" && i.state != itemDone {
		i.checkpoint = end.Checkpoint
	}
	c.metrics.runEnded(end.Cause)
	switch end.Cause {
	case infra.EndDone:
		c.completeItem(w, i, end, current, now)
	case infra.EndFailed:
		c.failItem(w, i, end, current, now)
	default:
		c.logger.WithFields(logrus.Fields{"event": "run_ended", "item": end.Item.String(), "run": end.Run, "worker": w.entry.ID, "cause": string(end.Cause)}).Info("run ended without completing its item")
		if current {
			c.release(i)
		}
	}
	c.markItemDirty(i)
}

// hasUnresolvedRun reports whether an unresolved run of the item is one on the worker.
func (i *item) hasUnresolvedRun(worker string) bool {
	return slices.ContainsFunc(i.formerRuns, func(r formerRun) bool { return !r.counted && r.worker == worker })
}

// hasCountedRun reports whether this term has counted the end of the run, which an earlier term started.
func (i *item) hasCountedRun(run int64) bool {
	return slices.ContainsFunc(i.formerRuns, func(r formerRun) bool { return r.counted && r.run == run })
}

// removeUnresolvedRun removes the run from the item's unresolved runs, and reports whether it was there. It may be there more
// than once: an unrecorded run is placed again when a report lists it after its worker's lease has lapsed.
func (i *item) removeUnresolvedRun(worker string, run int64) bool {
	count := len(i.formerRuns)
	i.formerRuns = slices.DeleteFunc(i.formerRuns, func(r formerRun) bool { return !r.counted && r.worker == worker && r.run == run })
	return len(i.formerRuns) < count
}

// completeItem handles the success of a run. The success of one member of a gang completes all members.
// current reports whether the item is placed on w with this run.
func (c *Core) completeItem(w *worker, i *item, end infra.EndedRun, current bool, now time.Duration) {
	w.consecutiveFailures, w.lastStragglerPause = 0, 0
	if i.step.def.Lasting {
		// A lasting item runs until its job is cancelled, so a success doesn't complete it.
		if current {
			c.release(i)
		}
		return
	}
	if current {
		c.observeRunTime(i, now)
		c.release(i)
	}
	if i.step.def.Gang {
		c.completeGang(i.step)
	} else if i.state != itemDone {
		if i.state == itemPlaced {
			c.orderStop(i)
		}
		i.setState(itemDone)
	}
	c.completeJobIfDone(i.step.job, now)
}

// completeGang completes all items of a gang, and stops those whose runs haven't ended.
func (c *Core) completeGang(step *stepInstance) {
	for _, member := range step.items {
		if member.state == itemDone {
			continue
		}
		if member.state == itemPlaced {
			c.orderStop(member)
		}
		member.setState(itemDone)
	}
}

// completeJobIfDone completes the job if all its items are done.
func (c *Core) completeJobIfDone(j *job, now time.Duration) {
	if j.finished() {
		return
	}
	if !j.allDone() {
		return
	}
	j.completed, j.endedAt = true, now
	c.noteServed(j, now)
	c.metrics.jobCompleted(now - j.acceptedAt)
	c.logger.WithFields(logrus.Fields{"event": "job_completed", "job": j.def.ID, "queue": j.def.Queue.Name, "customer": j.def.Customer,
		"took_ms": (now - j.acceptedAt).Milliseconds()}).WithFields(c.observeBand(j, now)).Info("job completed")
	c.markDirty(j)
}

// failItem handles the failure of a run: it pauses a worker with consecutive failures, and fails the job
// if the item has used up its attempts. current reports whether the item is placed on w with this run.
func (c *Core) failItem(w *worker, i *item, end infra.EndedRun, current bool, now time.Duration) {
	w.consecutiveFailures++
	if w.consecutiveFailures >= failurePauseThreshold {
		pause := min(maxFailurePause, minFailurePause<<min(w.consecutiveFailures-failurePauseThreshold, maxFailurePauseDoublings))
		w.pauseUntil(now + pause)
		c.logger.WithFields(logrus.Fields{"event": "worker_paused", "worker": w.entry.ID, "failed_in_a_row": w.consecutiveFailures}).Warn("consecutive runs failed on the worker; it gets no new work until its pause ends")
	}
	i.failures++
	i.avoidedWorker, i.failedAt = w, now
	j := i.step.job
	c.logger.WithFields(logrus.Fields{"event": "run_failed", "item": end.Item.String(), "run": end.Run, "worker": w.entry.ID, "failures": i.failures}).Info("run failed")
	if current {
		c.release(i)
	}
	if j.finished() || i.step.def.Lasting || j.def.Queue.MaxAttempts <= 0 || i.failures < j.def.Queue.MaxAttempts || i.state == itemDone {
		return
	}
	c.failJob(i, failedByAttempts)
}

// Causes of the failure of a job, for logs and metrics.
const (
	// failedByAttempts: runs of a work item failed as often as its queue allows.
	failedByAttempts = "attempts"
	// failedByCrashes: workers crashed with runs of a work item.
	failedByCrashes = "crashes"
	// failedByRecord: the log never accepts a record of the job.
	failedByRecord = "unrecordable"
)

// failJob fails the job of the item for the given cause, and stops its runs.
func (c *Core) failJob(i *item, cause string) {
	j := i.step.job
	c.logger.WithFields(logrus.Fields{"event": "job_failed", "job": j.def.ID, "queue": j.def.Queue.Name, "item": i.id().String(), "cause": cause,
		"failures": i.failures, "crashes": i.crashes.sum()}).Warn("job failed: one of its work items isn't started any more")
	c.endAsFailed(j, cause)
}

// endAsFailed ends the job as failed for the given cause, and stops its runs.
func (c *Core) endAsFailed(j *job, cause string) {
	j.failed, j.endedAt = true, c.clock()
	c.metrics.jobFailed(cause)
	c.orderJobStops(j)
	c.markDirty(j)
}

// releaseAbsent releases placed items that the worker neither lists nor can still start. These are items
// whose start or stop the worker confirmed before the lease renewal was sent, and items placed by earlier
// terms, whose delayed orders the worker now refuses.
func (c *Core) releaseAbsent(w *worker, listed map[*item]bool, sentAt time.Duration) {
	for _, i := range w.sortedItems(func(i *item) bool { return !listed[i] }) {
		if i.awaitsReportSince > 0 && i.awaitsReportSince < sentAt && !i.stopping {
			i.awaitsReportSince = 0
			c.orderStop(i)
			continue
		}
		// The next process of a restarted worker may still carry out an attempt that had no response.
		pending := i.processUncertain && i.mayStillBegin(c.clock())
		started := i.startConfirmedAt > 0 && i.startConfirmedAt < sentAt && !pending
		stopped := i.stopConfirmedAt > 0 && i.stopConfirmedAt < sentAt
		if !started && !stopped && !i.inherited {
			continue
		}
		if !c.countDeferredCrash(i) && i.inherited && !i.processUncertain && w.startedUnixMs > c.startedUnixMs {
			// The run ended with an earlier process of the worker, in a restart that this term hasn't seen.
			c.addCrash(i, w.entry.ID, crashPossible, false)
		}
		if stopped {
			c.metrics.stageEnded(stageAbsence, c.clock()-i.stopConfirmedAt)
		}
		c.logger.WithFields(logrus.Fields{"event": "run_absent", "item": i.id().String(), "run": i.run, "worker": w.entry.ID, "inherited": i.inherited, "stopped": stopped}).Info("worker doesn't list the run any more; the work item waits again")
		c.release(i)
	}
}
