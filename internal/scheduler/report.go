package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

const (
	// failurePauseThreshold is how many runs in a row may fail on a worker before it is paused, for firstGreyPause
	// and then twice as long with each further one, up to greyPause. A worker that fails all at once
	// looks free, and would draw work that others would do.
	failurePauseThreshold    = 2
	minFailurePause          = 500 * time.Millisecond
	maxFailurePause          = 4 * time.Second
	maxFailurePauseDoublings = 5
	// availablePercent is what a lasting work item shows when it is at work.
	availablePercent = 100
)

// HoldFailed notes that a hold had no success.
func (c *Core) HoldFailed(id string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return
	}
	w.failedHolds++
	if w.failedHolds == 1 {
		c.logger.WithFields(logrus.Fields{"event": "worker_lost", "worker": id, "kind": string(infra.KindOf(err)), "items": len(w.items)}).WithError(err).Warn("worker doesn't answer")
	}
	switch infra.KindOf(err) {
	case infra.Fenced:
		c.markFenced("hold", id)
	case infra.Reborn:
		// Another worker answers at the address, so this one has ended.
		c.endWorker(w)
	}
	c.wakeUp()
}

func (c *Core) markFenced(op, id string) {
	if !c.fenced {
		c.logger.WithFields(logrus.Fields{"event": "fenced", "op": op, "at": id, "term": c.term}).Warn("a higher token was seen; this term is over")
	}
	c.fenced = true
	c.wakeUp()
}

// ApplyReport takes a worker's answer to a hold that was sent at the given time.
func (c *Core) ApplyReport(id string, report infra.WorkerReport, sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return
	}
	now := c.clock()
	if report.Born > 0 && w.startedUnixMs > 0 && report.Born != w.startedUnixMs {
		c.resetRestartedWorker(w, report.Born)
	}
	if report.Born > 0 {
		w.startedUnixMs = report.Born
	}
	if w.failedHolds > 0 {
		c.logger.WithFields(logrus.Fields{"event": "worker_regained", "worker": id, "failures": w.failedHolds, "items": len(w.items)}).Info("worker answers again")
	}
	if !w.hasReported {
		c.wakeUp()
	}
	w.failedHolds, w.lastReportAt, w.hasReported, w.ended = 0, now, true, false
	w.clockMs, w.clockReadAt = report.ClockMs, now
	listed := make(map[*item]bool, len(report.Running)+len(report.Ended))
	for _, row := range report.Running {
		c.applyRunning(w, row, listed, now)
	}
	for _, row := range report.Ended {
		c.applyEnd(w, row, listed, now)
	}
	if !report.Partial {
		c.releaseAbsent(w, listed, sent)
	}
	c.pace(w, now)
	if w.appliedEnd > w.durableEnd {
		c.wakeUp()
	}
}

func (c *Core) applyRunning(w *worker, row infra.Running, listed map[*item]bool, now time.Duration) {
	i := c.findItem(row.Item)
	if i != nil && !i.step.job.finished() && c.isUnrecordedRun(i, row.Run) && (i.state == itemWaiting || i.inherited && row.Run > i.run) {
		// An earlier term started it and its record was lost. The recorded run has ended: an item runs
		// once at a time, and its end is counted when its worker lists it.
		c.release(i)
		i.run, i.placedAt = row.Run, now
		w.leaseEnd = max(w.leaseEnd, c.inheritedLeaseEnd())
		c.place(i, w)
		c.markDirty(i.step.job)
	}
	if i == nil || i.worker != w || i.run != row.Run {
		// Nobody waits for this run: it was given up, or its job is over and forgotten.
		c.pendingOrders = append(c.pendingOrders, Order{Kind: OrderStop, Worker: w.ref(), Item: row.Item, Run: row.Run})
		c.wakeUp()
		return
	}
	listed[i] = true
	i.reported, i.inherited = true, false
	if i.startConfirmedAt == 0 {
		i.startConfirmedAt = now
	}
	if row.Checkpoint != "" {
		i.checkpoint = row.Checkpoint
	}
	if row.Percent > i.progressPercent || i.progressedAt == 0 {
		i.progressedAt = now
	}
	i.progressPercent, i.load, i.available = row.Percent, row.Load, row.Percent >= availablePercent
	if i.step.job.finished() && !i.stopping {
		c.orderStop(i)
	}
}

// isUnrecordedRun reports whether an earlier term began the run and its record was lost.
func (c *Core) isUnrecordedRun(i *item, run int64) bool {
	return i.step.job.inherited && run > i.lastAccountedRun && run <= (c.term-1)*runsPerTerm
}

func (c *Core) applyEnd(w *worker, row infra.Ended, listed map[*item]bool, now time.Duration) {
	i := c.findItem(row.Item)
	if i != nil && i.worker == w && i.run == row.Run {
		listed[i] = true
	}
	if row.Number <= w.appliedEnd {
		return
	}
	w.appliedEnd = row.Number
	if i == nil {
		return
	}
	current := i.worker == w && i.run == row.Run
	if !current && !i.removeUnresolvedRun(w.entry.ID, row.Run) && row.Cause != infra.EndDone && !c.isUnrecordedRun(i, row.Run) {
		return
	}
	// The record of the item names the last run that is accounted for, so that a later term doesn't
	// count this one again.
	i.run = max(i.run, row.Run)
	if row.Checkpoint != "" && i.state != itemDone {
		i.checkpoint = row.Checkpoint
	}
	c.metrics.ended(row.Cause)
	switch row.Cause {
	case infra.EndDone:
		c.completeItem(w, i, row, current, now)
	case infra.EndFailed:
		c.failItem(w, i, row, current, now)
	default:
		c.logger.WithFields(logrus.Fields{"event": "run_ended", "item": row.Item.String(), "run": row.Run, "worker": w.entry.ID, "cause": string(row.Cause)}).Info("run ended before it was done")
		if current {
			c.release(i)
		}
	}
	c.markDirty(i.step.job)
}

func (i *item) removeUnresolvedRun(worker string, run int64) bool {
	for at, g := range i.unresolvedRuns {
		if g.worker == worker && g.run == run {
			i.unresolvedRuns = append(i.unresolvedRuns[:at], i.unresolvedRuns[at+1:]...)
			return true
		}
	}
	return false
}

func (c *Core) completeItem(w *worker, i *item, row infra.Ended, current bool, now time.Duration) {
	w.consecutiveFailures, w.lastStragglerPause = 0, 0
	if i.step.def.Lasting {
		// Lasting work isn't done before its job is cancelled.
		if current {
			c.release(i)
		}
		return
	}
	if current {
		c.learn(i, now)
	}
	members := []*item{i}
	if i.step.def.Gang {
		members = i.step.items
	}
	for _, member := range members {
		if member.state == itemDone {
			continue
		}
		if member == i && current {
			c.release(i)
		} else if member.state == itemPlaced {
			c.orderStop(member)
			if member.step.def.Gang {
				c.release(member)
			}
		}
		if member.state != itemDone {
			member.state = itemDone
			member.step.doneCount++
		}
	}
	c.completeJobIfDone(i.step.job, now)
}

// completeJobIfDone completes the job when all its items are done.
func (c *Core) completeJobIfDone(j *job, now time.Duration) {
	if j.finished() {
		return
	}
	for _, step := range j.steps {
		if step.doneCount < len(step.items) {
			return
		}
	}
	j.completed, j.endedAt = true, now
	c.metrics.completed(now - j.acceptedAt)
	c.logger.WithFields(logrus.Fields{"event": "job_completed", "job": j.def.ID, "queue": j.def.Queue.Name, "customer": j.def.Customer,
		"took_ms": (now - j.acceptedAt).Milliseconds()}).Info("job completed")
	c.markDirty(j)
}

func (c *Core) failItem(w *worker, i *item, row infra.Ended, current bool, now time.Duration) {
	w.consecutiveFailures++
	if w.consecutiveFailures >= failurePauseThreshold {
		w.pausedUntil = now + min(maxFailurePause, minFailurePause<<min(w.consecutiveFailures-failurePauseThreshold, maxFailurePauseDoublings))
		c.logger.WithFields(logrus.Fields{"event": "worker_paused", "worker": w.entry.ID, "failed_in_a_row": w.consecutiveFailures}).Warn("worker fails what it starts")
	}
	i.failures++
	i.avoidedWorker, i.failedAt = w, now
	j := i.step.job
	c.logger.WithFields(logrus.Fields{"event": "run_failed", "item": row.Item.String(), "run": row.Run, "worker": w.entry.ID, "failures": i.failures}).Info("run failed")
	if current {
		c.release(i)
	}
	if j.finished() || i.step.def.Lasting || j.def.Queue.MaxAttempts <= 0 || i.failures < j.def.Queue.MaxAttempts || i.state == itemDone {
		return
	}
	j.failed, j.endedAt = true, now
	c.logger.WithFields(logrus.Fields{"event": "job_failed", "job": j.def.ID, "queue": j.def.Queue.Name, "item": row.Item.String(), "failures": i.failures}).Warn("a work item failed too often")
	c.orderJobStops(j)
	c.markDirty(j)
}

// releaseAbsent releases items that the worker certainly doesn't run: those whose start or stop it
// answered before the hold was sent, and those of earlier terms, whose late orders it refuses now.
func (c *Core) releaseAbsent(w *worker, listed map[*item]bool, sent time.Duration) {
	for i := range w.items {
		if listed[i] {
			continue
		}
		answered := i.startConfirmedAt > 0 && i.startConfirmedAt < sent
		stopped := i.stopConfirmedAt > 0 && i.stopConfirmedAt < sent
		if !answered && !stopped && !i.inherited {
			continue
		}
		c.logger.WithFields(logrus.Fields{"event": "run_absent", "item": i.id().String(), "run": i.run, "worker": w.entry.ID, "inherited": i.inherited, "stopped": stopped}).Info("worker doesn't list the run")
		c.release(i)
	}
}
