package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

const (
	// greyStreak is how many runs in a row may fail on a worker before it is paused, for firstGreyPause
	// and then twice as long with each further one, up to greyPause. A worker that fails all at once
	// looks free, and would draw work that others would do.
	greyStreak       = 2
	firstGreyPause   = 500 * time.Millisecond
	greyPause        = 4 * time.Second
	maxGreyDoublings = 5
	// atWorkPercent is what a lasting work item shows when it is at work.
	atWorkPercent = 100
)

// HoldFailed notes that a hold had no success.
func (c *Core) HoldFailed(id string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return
	}
	w.failing++
	if w.failing == 1 {
		c.logger.WithFields(logrus.Fields{"event": "worker_lost", "worker": id, "kind": string(infra.KindOf(err)), "items": len(w.items)}).WithError(err).Warn("worker doesn't answer")
	}
	switch infra.KindOf(err) {
	case infra.Fenced:
		c.deposed("hold", id)
	case infra.WorkerReplaced:
		// Another worker answers at the address, so this one has ended.
		c.end(w)
	}
	c.poke()
}

func (c *Core) deposed(op, id string) {
	if !c.fenced {
		c.logger.WithFields(logrus.Fields{"event": "fenced", "op": op, "at": id, "term": c.term}).Warn("a higher token was seen; this term is over")
	}
	c.fenced = true
	c.poke()
}

// Report takes a worker's answer to a hold that was sent at the given time.
func (c *Core) Report(id string, report infra.WorkerReport, sent time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.workers[id]
	if w == nil {
		return
	}
	now := c.clock()
	if report.StartUnixMs > 0 && w.born > 0 && report.StartUnixMs != w.born {
		c.reborn(w, report.StartUnixMs)
	}
	if report.StartUnixMs > 0 {
		w.born = report.StartUnixMs
	}
	if w.failing > 0 {
		c.logger.WithFields(logrus.Fields{"event": "worker_regained", "worker": id, "failures": w.failing, "items": len(w.items)}).Info("worker answers again")
	}
	if !w.known {
		c.poke()
	}
	w.failing, w.contact, w.known, w.gone = 0, now, true, false
	w.clockMs, w.clockAt = report.ClockMs, now
	listed := make(map[*item]bool, len(report.Running)+len(report.Ended))
	for _, row := range report.Running {
		c.takeRunning(w, row, listed, now)
	}
	for _, row := range report.Ended {
		c.takeEnded(w, row, listed, now)
	}
	if !report.Partial {
		c.takeAbsent(w, listed, sent)
	}
	c.pace(w, now)
	if w.handled > w.seen {
		c.poke()
	}
}

func (c *Core) takeRunning(w *worker, row infra.ActiveRun, listed map[*item]bool, now time.Duration) {
	i := c.find(row.Item)
	if i != nil && !i.step.job.over() && c.unrecorded(i, row.Run) && (i.state == itemWaiting || i.inherited && row.Run > i.run) {
		// An earlier term started it and its record was lost. The recorded run has ended: an item runs
		// once at a time, and its end is counted when its worker lists it.
		c.release(i)
		i.run, i.placed = row.Run, now
		w.leaseEnd = max(w.leaseEnd, c.inheritedLease())
		c.place(i, w)
		c.touch(i.step.job)
	}
	if i == nil || i.worker != w || i.run != row.Run {
		// Nobody waits for this run: it was given up, or its job is over and forgotten.
		c.orders = append(c.orders, Order{Kind: OrderStop, Worker: w.ref(), Item: row.Item, Run: row.Run})
		c.poke()
		return
	}
	listed[i] = true
	i.listed, i.inherited = true, false
	if i.answered == 0 {
		i.answered = now
	}
	if row.Checkpoint != "" {
		i.checkpoint = row.Checkpoint
	}
	if row.ProgressPercent > i.percent || i.progressed == 0 {
		i.progressed = now
	}
	i.percent, i.load, i.atWork = row.ProgressPercent, row.Load, row.ProgressPercent >= atWorkPercent
	if i.step.job.over() && !i.stopping {
		c.stop(i)
	}
}

// unrecorded reports whether an earlier term began the run and its record was lost.
func (c *Core) unrecorded(i *item, run int64) bool {
	return i.step.job.inherited && run > i.accounted && run <= (c.term-1)*runsPerTerm
}

func (c *Core) takeEnded(w *worker, row infra.EndedRun, listed map[*item]bool, now time.Duration) {
	i := c.find(row.Item)
	if i != nil && i.worker == w && i.run == row.Run {
		listed[i] = true
	}
	if row.Sequence <= w.handled {
		return
	}
	w.handled = row.Sequence
	if i == nil {
		return
	}
	current := i.worker == w && i.run == row.Run
	if !current && !i.dropGhost(w.entry.ID, row.Run) && row.Cause != infra.EndDone && !c.unrecorded(i, row.Run) {
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
		c.itemDone(w, i, row, current, now)
	case infra.EndFailed:
		c.itemFailed(w, i, row, current, now)
	default:
		c.logger.WithFields(logrus.Fields{"event": "run_ended", "item": row.Item.String(), "run": row.Run, "worker": w.entry.ID, "cause": string(row.Cause)}).Info("run ended before it was done")
		if current {
			c.release(i)
		}
	}
	c.touch(i.step.job)
}

func (i *item) dropGhost(worker string, run int64) bool {
	for at, g := range i.ghosts {
		if g.worker == worker && g.run == run {
			i.ghosts = append(i.ghosts[:at], i.ghosts[at+1:]...)
			return true
		}
	}
	return false
}

func (c *Core) itemDone(w *worker, i *item, row infra.EndedRun, current bool, now time.Duration) {
	w.streak, w.stragglerPause = 0, 0
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
			c.stop(member)
			if member.step.def.Gang {
				c.release(member)
			}
		}
		if member.state != itemDone {
			member.state = itemDone
			member.step.done++
		}
	}
	c.finishIfDone(i.step.job, now)
}

// finishIfDone completes the job when all its items are done.
func (c *Core) finishIfDone(j *job, now time.Duration) {
	if j.over() {
		return
	}
	for _, step := range j.steps {
		if step.done < len(step.items) {
			return
		}
	}
	j.completed, j.ended = true, now
	c.metrics.completed(now - j.accepted)
	c.logger.WithFields(logrus.Fields{"event": "job_completed", "job": j.def.ID, "queue": j.def.Queue.Name, "customer": j.def.Customer,
		"took_ms": (now - j.accepted).Milliseconds()}).Info("job completed")
	c.touch(j)
}

func (c *Core) itemFailed(w *worker, i *item, row infra.EndedRun, current bool, now time.Duration) {
	w.streak++
	if w.streak >= greyStreak {
		w.pausedTo = now + min(greyPause, firstGreyPause<<min(w.streak-greyStreak, maxGreyDoublings))
		c.logger.WithFields(logrus.Fields{"event": "worker_paused", "worker": w.entry.ID, "failed_in_a_row": w.streak}).Warn("worker fails what it starts")
	}
	i.failures++
	i.avoid, i.failedAt = w, now
	j := i.step.job
	c.logger.WithFields(logrus.Fields{"event": "run_failed", "item": row.Item.String(), "run": row.Run, "worker": w.entry.ID, "failures": i.failures}).Info("run failed")
	if current {
		c.release(i)
	}
	if j.over() || i.step.def.Lasting || j.def.Queue.MaxAttempts <= 0 || i.failures < j.def.Queue.MaxAttempts || i.state == itemDone {
		return
	}
	j.failed, j.ended = true, now
	c.logger.WithFields(logrus.Fields{"event": "job_failed", "job": j.def.ID, "queue": j.def.Queue.Name, "item": row.Item.String(), "failures": i.failures}).Warn("a work item failed too often")
	c.stopJob(j)
	c.touch(j)
}

// takeAbsent releases items that the worker certainly doesn't run: those whose start or stop it
// answered before the hold was sent, and those of earlier terms, whose late orders it refuses now.
func (c *Core) takeAbsent(w *worker, listed map[*item]bool, sent time.Duration) {
	for i := range w.items {
		if listed[i] {
			continue
		}
		answered := i.answered > 0 && i.answered < sent
		stopped := i.stopAnswered > 0 && i.stopAnswered < sent
		if !answered && !stopped && !i.inherited {
			continue
		}
		c.logger.WithFields(logrus.Fields{"event": "run_absent", "item": i.id().String(), "run": i.run, "worker": w.entry.ID, "inherited": i.inherited, "stopped": stopped}).Info("worker doesn't list the run")
		c.release(i)
	}
}
