package scheduler

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

// Some work items crash each worker that starts them, with all other runs there. Every run on a crashed worker
// makes its item a suspect. A suspect starts on trial: for trialTime its worker gets no other start, so that
// another crash in that time is the suspect's. An item that crashes a worker again on trial, or that too many
// crashes hit otherwise, is given up.
const (
	// trialTime is how long after its confirmed start a suspect must run before other items may start beside it.
	// The platform's crashing items end their worker within some milliseconds of the start.
	trialTime = 300 * time.Millisecond
	// maxTrialCrashes is the number of crashes after which an item is given up if the last one was on trial: the
	// users' rules allow it after two.
	maxTrialCrashes = 2
	// maxCrashes is the number after which an item is given up whether it was on trial or not. After three crashes
	// the users' rules allow two more starts, which are left for crashes that become known late.
	maxCrashes = 3
	// maxPossibleCrashes also counts crashes of workers on which it isn't certain that the run had begun. It is
	// higher than maxCrashes, since these alone are no cause to give up an item.
	maxPossibleCrashes = 4
	// crashFreeTime is how long a lasting item must have been in service before earlier crashes no longer count.
	// Over its lifetime, such an item may meet many crashes that it didn't cause.
	crashFreeTime = 5 * time.Second
)

// crashCounts are the crashes of workers with a run of a work item.
type crashCounts struct {
	// known counts the crashes after a confirmed start, and possible those of which it isn't certain that the
	// run had begun.
	known, possible int
}

// undecidedCrash is the crash of a worker while the start of a run was being sent to it.
type undecidedCrash struct {
	worker  *worker
	run     int64
	onTrial bool
}

// suspect reports whether a worker may have crashed because of the item.
func (i *item) suspect() bool { return i.crashes != crashCounts{} }

// admits reports whether the worker may get a start of the item: no suspect is on trial there and, if the item is
// a suspect itself, reports have listed all runs there. The items of a gang start together and are on trial together.
func (w *worker) admits(i *item) bool {
	if w.trial != nil {
		return false
	}
	return !i.suspect() || w.unreportedItems == 0 || i.step.def.Gang && w.unreportedItems == i.step.countOnWorker(w)
}

// beginTrial puts the item on trial at its worker if it is a suspect.
func (i *item) beginTrial() {
	if i.suspect() && i.worker.trial == nil {
		i.worker.trial = i
	}
}

// onTrial reports whether the placed item is on trial, alone or with the other items of its gang.
func (i *item) onTrial() bool {
	trial := i.worker.trial
	return trial == i || trial != nil && i.step.def.Gang && trial.step == i.step
}

// observeSurvival ends the trial of an item that a report has just listed, and clears the crashes of a lasting item
// that has long been in service.
func (c *Core) observeSurvival(i *item, now time.Duration) {
	age := now - i.startConfirmedAt
	if i.worker.trial == i && age >= trialTime {
		i.worker.trial = nil
		c.wakeUp()
	}
	if i.step.def.Lasting && i.available && i.suspect() && age >= crashFreeTime {
		i.crashes, i.givenUp = crashCounts{}, false
		c.markDirty(i.step.job)
	}
}

// leavesByPlan reports whether the end of the worker process is expected, so that it isn't a crash: the worker
// drains, or its host goes down or moves, perhaps by an order of an earlier term.
func (c *Core) leavesByPlan(w *worker) bool {
	if w.entry.Draining || w.cordoned {
		return true
	}
	host, known := c.fleet.hosts[w.host]
	return known && (host.State == infra.HostMaintenance || host.State == infra.HostMoving || host.Pool != w.entry.Pool && w.entry.Pool != "")
}

// countCrash counts the crash of a worker against the items with runs on it. It must be called before these are
// released. If an item was on trial, the others there are taken to be sound.
func (c *Core) countCrash(w *worker) {
	lapsed := w.lapsedItems
	w.lapsedItems = nil
	if c.leavesByPlan(w) {
		return
	}
	for i := range w.items {
		onTrial := i.onTrial()
		switch {
		case w.trial != nil && !onTrial:
		case i.startConfirmedAt > 0 || i.reported:
			c.addCrash(i, w, crashCounts{known: 1}, onTrial)
		case i.inherited || i.stopping:
			c.addCrash(i, w, crashCounts{possible: 1}, onTrial)
		default:
			// The outcome of the start decides.
			i.undecidedCrash = &undecidedCrash{worker: w, run: i.run, onTrial: onTrial}
		}
	}
	for _, i := range lapsed {
		// The run has probably ended with its lease, before the crash. Its item is only put on trial.
		if i.hasUnresolvedRun(w.entry.ID) && !i.suspect() {
			c.addCrash(i, w, crashCounts{possible: 1}, false)
		}
	}
}

// decideCrash counts an undecided crash if, by the outcome of the start, the run began or may have begun.
func (c *Core) decideCrash(i *item, order *Order, err error, uncertain bool) {
	crash := i.undecidedCrash
	if crash == nil || crash.run != order.Run {
		return
	}
	i.undecidedCrash = nil
	switch kind := infra.KindOf(err); {
	case kind == "":
		c.addCrash(i, crash.worker, crashCounts{known: 1}, crash.onTrial)
	case uncertain || kind == infra.Unknown:
		c.addCrash(i, crash.worker, crashCounts{possible: 1}, crash.onTrial)
	}
}

// addCrash adds a crash of the worker to those of the item, and gives the item up if it has had too many.
func (c *Core) addCrash(i *item, w *worker, crash crashCounts, onTrial bool) {
	j := i.step.job
	if j.finished() || i.state == itemDone {
		return
	}
	i.crashes.known += crash.known
	i.crashes.possible += crash.possible
	c.metrics.crashCounted(onTrial)
	c.logger.WithFields(logrus.Fields{"event": "run_crashed", "item": i.id().String(), "worker": w.entry.ID, "on_trial": onTrial,
		"crashes": i.crashes.known, "possible": i.crashes.possible}).Info("worker crashed with a run of the work item; the item may be the cause")
	c.markDirty(j)
	if i.crashes.known >= maxCrashes || onTrial && i.crashes.known >= maxTrialCrashes || i.crashes.known+i.crashes.possible >= maxPossibleCrashes {
		c.giveUp(i)
	}
}

// giveUp ends the starts of an item. The other items of a lasting step remain in service, so that its job fails only
// when all items are given up; any other job fails at once.
func (c *Core) giveUp(i *item) {
	i.givenUp = true
	c.logger.WithFields(logrus.Fields{"event": "item_given_up", "item": i.id().String(), "crashes": i.crashes.known}).Warn("work item crashes the workers that start it; it isn't started any more")
	for _, step := range i.step.job.steps {
		if i.step.def.Lasting && slices.ContainsFunc(step.items, func(other *item) bool { return !other.givenUp && other.state != itemDone }) {
			return
		}
	}
	c.failJob(i, failedByCrashes)
}
