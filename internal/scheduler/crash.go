package scheduler

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

// Some work items crash each worker that starts them, with all other runs there. A crash makes suspects of the items
// that had just started on the worker. The suspects of a job start on trial: for trialTime their worker gets no other
// start, so that another crash in that time is caused by one of them. An item that is hit by another crash on trial, or
// by too many crashes otherwise, is given up.
const (
	// trialTime is how long after its confirmed start a suspect must run before other items may start beside it. A run
	// that has lasted so long counts as a late crash only.
	trialTime = 300 * time.Millisecond
	// maxTrialCrashes is the number of known crashes after which an item is given up if the last one was on trial: the
	// users' rules allow it after two.
	maxTrialCrashes = 2
	// maxCrashes is the number of known crashes after which an item is given up whether it was on trial or not.
	maxCrashes = 3
	// maxUncertainCrashes is the number of crashes of all kinds after which an item is given up. The users' rules allow
	// five starts; one is left for a crash that isn't counted because the term ended.
	maxUncertainCrashes = 4
	// crashFreeTime is how long a lasting item must have been in service before earlier crashes no longer count.
	// Over its lifetime, such an item may meet many crashes that it didn't cause.
	crashFreeTime = 5 * time.Second
)

// startSeparationTime is how long after a crash in a pool the starts of different jobs are kept on different workers
// there, where there is room: the next crash then makes suspects of the items of fewer jobs.
const startSeparationTime = 10 * time.Second

// hasRecentCrash reports whether a crash was counted against a work item in the pool within startSeparationTime.
func (c *Core) hasRecentCrash(pool string, now time.Duration) bool {
	crashedAt := c.statsOf(pool).crashedAt
	return crashedAt > 0 && now-crashedAt < startSeparationTime
}

// startsOtherJob reports whether an item of another job has just started on the worker, so that a crash would make a
// suspect of it.
func (w *worker) startsOtherJob(j *job, now time.Duration) bool {
	return w.lastStartJob != nil && w.lastStartJob != j && now-w.lastStartAt < trialTime
}

// crashKind says how sure it is that a run of a work item was the cause of the crash of its worker.
type crashKind uint8

const (
	// crashKnown: the run had just begun.
	crashKnown crashKind = iota
	// crashPossible: it isn't certain that the run had begun.
	crashPossible
	// crashLate: a report had listed the run trialTime after its start.
	crashLate
)

// crashCounts are the crashes of workers with a run of a work item, by kind.
type crashCounts struct {
	known, possible, late int
}

// add counts a crash.
func (n *crashCounts) add(kind crashKind) {
	switch kind {
	case crashKnown:
		n.known++
	case crashPossible:
		n.possible++
	case crashLate:
		n.late++
	}
}

// sum returns the number of crashes of all kinds.
func (n *crashCounts) sum() int { return n.known + n.possible + n.late }

// undecidedCrash is the crash of a worker while the start of a run was being sent to it.
type undecidedCrash struct {
	worker  string
	run     int64
	onTrial bool
	// reported is set if a report had listed the run, and late if it did so trialTime after the start.
	reported, late bool
}

// suspect reports whether a worker crashed when the item had, or may have, just started there, and the item hasn't
// survived a trial since its last crash.
func (i *item) suspect() bool {
	return i.crashes.known+i.crashes.possible > 0 && i.crashes.sum() > i.clearedCrashes
}

// confirmStart notes that the placed item's run has begun, unless that is already known.
func (i *item) confirmStart(now time.Duration) {
	i.step.job.begun = true
	if i.startConfirmedAt == 0 {
		i.startConfirmedAt = now
		i.startClockMs = i.worker.clockMs + (now - i.worker.clockReadAt).Milliseconds()
	}
}

// observeSurvival ends the trial of an item that a report has just listed, and clears the crashes of a lasting item
// that has long been in service. The age of the run is that on the worker's clock: the report may have been delayed.
func (c *Core) observeSurvival(i *item) {
	age := time.Duration(i.worker.clockMs-i.startClockMs) * time.Millisecond
	if age >= trialTime {
		i.survived, i.clearedCrashes = true, i.crashes.sum()
		if i.worker.endTrial(i, c.clock()) {
			c.wakeUp()
		}
	}
	if i.step.def.Lasting && i.available && i.crashes.sum() > 0 && age >= crashFreeTime {
		i.crashes, i.clearedCrashes, i.givenUp = crashCounts{}, 0, false
		c.markItemDirty(i)
	}
}

// leavesByPlan reports whether the end of the worker process is expected, so that it isn't a crash: the worker
// drains, or its host goes down or moves, perhaps by an order of an earlier term. Such workers get no starts, so that
// this bounds what isn't counted.
func (c *Core) leavesByPlan(w *worker) bool {
	if w.entry.Draining || w.cordoned {
		return true
	}
	host, known := c.fleet.hosts[w.host]
	return known && (host.State == infra.HostMaintenance || host.State == infra.HostMoving || host.Pool != w.entry.Pool && w.entry.Pool != "")
}

// countCrash counts the crash of a worker against the items with runs on it. It must be called before these are
// released. If items were on trial, the others there are taken to be sound.
func (c *Core) countCrash(w *worker) {
	lapsed := w.lapsedItems
	w.lapsedItems = nil
	if c.leavesByPlan(w) {
		return
	}
	// An earlier term may have ordered the host away.
	uncertain := c.clock() < c.fleet.heldBackUntil[w.host]
	for _, i := range w.sortedItems(anyItem) {
		onTrial := w.onTrial(i) && w.trial.isolated
		switch {
		case i.processUncertain:
			c.countDeferredCrash(i)
		case w.blamesTrialBeside(i):
		case i.survived:
			c.addCrash(i, w.entry.ID, crashLate, false)
		case !uncertain && (i.startConfirmedAt > 0 || i.reported):
			c.addCrash(i, w.entry.ID, crashKnown, onTrial)
		case uncertain || i.inherited || i.stopping:
			c.addCrash(i, w.entry.ID, crashPossible, onTrial)
		default:
			// The outcome of the start decides.
			c.setUndecidedCrash(i, &undecidedCrash{worker: w.entry.ID, run: i.run, onTrial: onTrial})
		}
	}
	for _, i := range lapsed {
		// The run may have ended with its lease, before the crash.
		if i.hasUnresolvedRun(w.entry.ID) {
			c.addCrash(i, w.entry.ID, crashPossible, false)
		}
	}
}

// setUndecidedCrash sets the undecided crash of the item. An earlier one that is still undecided counts as possible.
func (c *Core) setUndecidedCrash(i *item, crash *undecidedCrash) {
	earlier := i.undecidedCrash
	i.undecidedCrash = crash
	if earlier != nil {
		c.addCrash(i, earlier.worker, crashPossible, earlier.onTrial)
	}
}

// takeUndecidedCrash removes the undecided crash of the run, and returns it; nil if there is none.
func (i *item) takeUndecidedCrash(run int64) *undecidedCrash {
	crash := i.undecidedCrash
	if crash == nil || crash.run != run {
		return nil
	}
	i.undecidedCrash = nil
	return crash
}

// decideCrash counts an undecided crash if, by the outcome of the start, the run began or may have begun.
func (c *Core) decideCrash(i *item, order *Order, err error, uncertain bool) {
	crash := i.takeUndecidedCrash(order.Run)
	if crash == nil {
		return
	}
	switch kind := infra.KindOf(err); {
	case kind == "":
		c.addCrash(i, crash.worker, crashKnown, crash.onTrial)
	case uncertain || kind == infra.Unknown:
		c.addCrash(i, crash.worker, crashPossible, crash.onTrial)
	}
}

// addCrash adds a crash of the worker to those of the item, and gives the item up if it has had too many.
func (c *Core) addCrash(i *item, worker string, kind crashKind, onTrial bool) {
	j := i.step.job
	if j.finished() || i.state == itemDone {
		return
	}
	i.crashes.add(kind)
	c.statsOf(c.poolOf(j)).crashedAt = c.clock()
	c.suspects[i] = struct{}{}
	c.metrics.crashCounted(onTrial)
	c.logger.WithFields(logrus.Fields{"event": "run_crashed", "item": i.id().String(), "worker": worker, "on_trial": onTrial,
		"crashes": i.crashes.known, "possible": i.crashes.possible, "late": i.crashes.late}).Info("worker crashed with a run of the work item; the item may be the cause")
	c.markItemDirty(i)
	if i.crashes.known >= maxCrashes || onTrial && i.crashes.known >= maxTrialCrashes || i.crashes.sum() >= maxUncertainCrashes {
		c.giveUp(i)
	}
}

// giveUp ends the starts of an item. The other items of a lasting step remain in service, so that its job fails only
// when all items are given up; any other job fails at once.
func (c *Core) giveUp(i *item) {
	i.givenUp = true
	c.logger.WithFields(logrus.Fields{"event": "item_given_up", "item": i.id().String(), "crashes": i.crashes.sum()}).Warn("work item crashes the workers that start it; it isn't started any more")
	if i.step.def.Lasting && i.step.job.hasItemsLeft() {
		return
	}
	c.failJob(i, failedByCrashes)
}

// hasGivenUp reports whether an item of the step was given up.
func (s *stepInstance) hasGivenUp() bool {
	return slices.ContainsFunc(s.items, func(i *item) bool { return i.givenUp })
}

// hasItemsLeft reports whether an item of the job is neither done nor given up. A gang without one of its items never works.
func (j *job) hasItemsLeft() bool {
	return slices.ContainsFunc(j.steps, func(s *stepInstance) bool {
		return !(s.def.Gang && s.hasGivenUp()) && slices.ContainsFunc(s.items, func(i *item) bool { return !i.givenUp && i.state != itemDone })
	})
}
