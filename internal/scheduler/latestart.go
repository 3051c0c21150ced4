package scheduler

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// lateStart is a start without a response whose item has been released. A process that starts under the worker's ID may
// still carry it out.
//
// What makes a process refuse the start is known to that process only: that it has stopped or ended the run, or has seen
// the token of a later term. The item may therefore run elsewhere only while the present process of the worker is known to
// refuse the start and to live. Once that isn't certain, the run elsewhere is stopped, and the item waits: until the next
// process refuses the start as well, until the host lists another worker, or until no late call can arrive any more.
type lateStart struct {
	item   work.ItemID
	worker *worker
	run    int64
	// until is until when the start may be carried out.
	until time.Duration
	// stopOrderedAt is when a stop of the run was last sent to the worker's present process, and stopConfirmedAt when that
	// process confirmed one; 0 before that.
	stopOrderedAt, stopConfirmedAt time.Duration
	// refused is set once the present process is known to refuse the start, and not to run what it started.
	refused bool
	// unverified is set for a start of an earlier term until a report or a restart of the worker tells whether its present
	// process refuses it. The item waits until then, and a run of it elsewhere goes on, as the earlier term had decided.
	unverified bool
	// holdLogged is set once it was logged that the item waits.
	holdLogged bool
}

const (
	// maxMissedRenewals is the number of failed lease renewals in a row from which on a worker with late starts may have
	// ended. Workers that leave starts unanswered leave renewals unanswered as well, while they run on.
	maxMissedRenewals = 3
	// entryDelay is how much older than Options.EntryInterval the newest entry of a living worker may be when it is read: the
	// list is read every 150 ms, and a slow store takes a few hundred milliseconds.
	entryDelay = 500 * time.Millisecond
)

// StartUnanswered notes that an attempt to send the start had no response.
func (c *Core) StartUnanswered(order *Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, i := c.workers[order.Worker.ID], c.findItem(order.Item)
	switch {
	case w == nil:
	case i != nil && i.worker == w && i.run == order.Run:
		i.unansweredUntil = c.clock() + maxCallDelay
	default:
		c.addReleasedStart(w, order)
	}
}

// addReleasedStart adds the late start of an order without a response whose item had been released before.
func (c *Core) addReleasedStart(w *worker, order *Order) {
	added := c.addLateStart(w, lateStart{item: order.Item, run: order.Run, until: c.clock() + maxCallDelay})
	if i := c.findItem(order.Item); added && i != nil {
		c.markItemDirty(i)
	}
}

// mayStillBegin reports whether an attempt to start the item's run may still be carried out by its worker.
func (i *item) mayStillBegin(now time.Duration) bool {
	return i.startInFlight || now < i.unansweredUntil
}

// mayStartLate reports whether the item's run may still begin although its worker has ended, or its lease has lapsed: a
// process that starts under the worker's ID would carry out a start that had no response.
func (c *Core) mayStartLate(i *item, now time.Duration) bool {
	w := i.worker
	if c.isOutOfReach(w) {
		return false
	}
	until := i.unansweredUntil
	if i.processUncertain && !w.ended && until > 0 {
		// The start names a lease end on the clock of the process before the restart.
		until += c.longestLease()
	}
	return i.startInFlight || now < until
}

// isOutOfReach reports whether no order can reach the worker any more: its host or its address belongs to another one.
func (c *Core) isOutOfReach(w *worker) bool { return w.ended && !w.mayReturn || c.isReplaced(w) }

// isReplaced reports whether the worker's host lists another worker.
func (c *Core) isReplaced(w *worker) bool {
	host, known := c.fleet.hosts[w.host]
	return known && host.WorkerID != "" && host.WorkerID != w.entry.ID
}

// keepLateStart keeps the item's start if it may still be carried out after the release of the item from the worker.
func (c *Core) keepLateStart(i *item, w *worker) {
	if c.isOutOfReach(w) {
		return
	}
	now, until, refused := c.clock(), i.unansweredUntil, i.knownToProcess()
	if i.startInFlight && refused {
		// The attempt in progress may have no response.
		until = now + maxCallDelay
	}
	if i.inherited && w.hasReported {
		// The process that has reported to this term refuses starts of earlier terms.
		refused = true
	}
	if now < until {
		c.addLateStart(w, lateStart{item: i.id(), run: i.run, until: until, refused: refused})
	}
}

// knownToProcess reports whether the present process of the item's worker has started or stopped the item's run, so that it
// refuses further starts of it.
func (i *item) knownToProcess() bool {
	return i.stopConfirmedAt > 0 || i.reported || i.startConfirmedAt > 0 && !i.processUncertain
}

// addLateStart adds a late start of the worker, or extends its time if it is known. It reports whether it is new. A later
// term learns of it from the records of the item.
func (c *Core) addLateStart(w *worker, added lateStart) bool {
	for _, s := range w.lateStarts {
		if s.item == added.item && s.run == added.run {
			s.until = max(s.until, added.until)
			return false
		}
	}
	added.worker = w
	w.lateStarts = append(w.lateStarts, &added)
	c.lateStarts[added.item] = append(c.lateStarts[added.item], &added)
	return true
}

// dropLateStarts drops the late starts that can't be carried out any more.
func (c *Core) dropLateStarts(now time.Duration) {
	if len(c.lateStarts) == 0 {
		return
	}
	over := func(s *lateStart) bool { return now >= s.until }
	for _, w := range c.sortedWorkers() {
		w.lateStarts = slices.DeleteFunc(w.lateStarts, over)
	}
	for id, starts := range c.lateStarts {
		if starts = slices.DeleteFunc(starts, over); len(starts) == 0 {
			delete(c.lateStarts, id)
		} else {
			c.lateStarts[id] = starts
		}
	}
}

// hasLateStarts reports whether a process under the worker's ID may carry out a start whose item has been released.
func (w *worker) hasLateStarts(now time.Duration) bool {
	return slices.ContainsFunc(w.lateStarts, func(s *lateStart) bool { return now < s.until })
}

// hasOpenLateStarts reports whether the worker has a late start of an item that isn't done.
func (c *Core) hasOpenLateStarts(w *worker) bool {
	now := c.clock()
	return slices.ContainsFunc(w.lateStarts, func(s *lateStart) bool {
		i := c.findItem(s.item)
		return now < s.until && i != nil && i.state != itemDone && !i.step.job.finished()
	})
}

// holdLateItems finds the items that plan must not start: those of which a late start may be carried out, whose runs on other
// workers it stops, until it is certain again that the start is refused; and those of which a stray run may be active.
func (c *Core) holdLateItems(now time.Duration) {
	clear(c.heldItems)
	c.holdStrayItems(now)
	if len(c.lateStarts) == 0 {
		return
	}
	for _, w := range c.sortedWorkers() {
		if len(w.lateStarts) == 0 || c.isOutOfReach(w) {
			continue
		}
		uncertain := c.mayHaveRestarted(w, now)
		for _, s := range w.lateStarts {
			if now < s.until && (uncertain || !s.refused) {
				c.holdLateItem(w, s, uncertain || !s.unverified, now)
			}
		}
	}
}

// holdLateItem holds the item of a late start that the worker may carry out, and stops its run elsewhere if stop is set. Copies
// of a speculative item may run at the same time.
func (c *Core) holdLateItem(w *worker, s *lateStart, stop bool, now time.Duration) {
	i := c.findItem(s.item)
	if i == nil || i.worker == w || i.step.def.Speculative || i.step.job.finished() {
		return
	}
	logger := func(event string) *logrus.Entry {
		return c.logger.WithFields(logrus.Fields{"event": event, "item": s.item.String(), "late_run": s.run, "late_worker": w.entry.ID, "ended": w.ended,
			"failed_renewals": w.failedRenewals, "restarts": w.restarts, "left_ms": (s.until - now).Milliseconds()})
	}
	switch {
	case i.state == itemWaiting:
		c.heldItems[i] = struct{}{}
		if !s.holdLogged {
			s.holdLogged = true
			logger("item_held").Info("work item waits: a worker may have restarted, and would then carry out an earlier start of it")
		}
	case i.state != itemPlaced || i.stopping || !stop:
	case i.step.def.Lasting && !i.awaitsStart() && !c.mayStop(i):
		// The stop would break the availability budget for certain, and the late start may never be carried out. The item may be
		// at work although no report has shown it yet.
	default:
		logger("run_stopped_for_late_start").WithFields(logrus.Fields{"run": i.run, "worker": i.worker.entry.ID}).Warn(
			"stopping the run: another worker may have restarted, and would then carry out an earlier start of the work item")
		c.orderStop(i)
		c.stopOtherMembers(i)
	}
}

// isHeld reports whether the item must not start anywhere, see holdLateItems.
func (c *Core) isHeld(i *item) bool {
	_, held := c.heldItems[i]
	return held
}

// mayHaveRestarted reports whether the process of the worker that this term knows may have ended: it doesn't respond and its
// next entry in the list is overdue, or its host doesn't list it.
func (c *Core) mayHaveRestarted(w *worker, now time.Duration) bool {
	unlisted := len(c.fleet.hosts) > 0 && c.fleet.byWorker[w.entry.ID] == ""
	return w.ended || w.failedRenewals >= maxMissedRenewals && !c.livesByEntry(w, now) || unlisted && (w.host != "" || w.knownByLateStart())
}

// livesByEntry reports whether the process of a worker that leaves renewals unanswered lives as far as its entries in the list
// tell: since its last sign of life, the next entry isn't overdue. A process that refuses connections has ended.
func (c *Core) livesByEntry(w *worker, now time.Duration) bool {
	return !w.renewalRefused && w.livedAt > 0 && now-max(w.livedAt, w.lastReportAt) <= c.options.EntryInterval+entryDelay
}

// stopLateStarts sends stops of late starts to a worker whose present process isn't known to refuse them: it knows nothing
// of stops that an earlier one has confirmed.
func (c *Core) stopLateStarts(w *worker, now time.Duration) {
	if w.ended || w.failedRenewals > 0 {
		return
	}
	for _, s := range w.lateStarts {
		if s.refused || s.stopConfirmedAt > 0 || now >= s.until || s.stopOrderedAt > 0 && now-s.stopOrderedAt <= stopRetryPause {
			continue
		}
		s.stopOrderedAt = now
		c.pendingOrders = append(c.pendingOrders, stopOrder(w, s.item, s.run))
		c.wakeUp()
	}
}

// confirmLateStop notes that the worker's present process has confirmed the stop of a late start. It may have begun the run
// before, so that the start counts as refused only once a report shows that the run isn't there.
func (w *worker) confirmLateStop(order *Order, now time.Duration) {
	for _, s := range w.lateStarts {
		if s.item == order.Item && s.run <= order.Run {
			s.stopConfirmedAt = now
			w.wakeRenewalLoop()
		}
	}
}

// settleUnlistedLateStarts notes which late starts the worker's present process refuses, by a report that was requested at
// sentAt and doesn't list runs of their items: those whose stops it had confirmed, and those of earlier terms, since it has
// seen the token of this term.
func (c *Core) settleUnlistedLateStarts(w *worker, report *infra.WorkerReport, sentAt time.Duration) {
	for _, s := range w.lateStarts {
		stopped := s.stopConfirmedAt > 0 && s.stopConfirmedAt < sentAt
		if s.refused || !stopped && !c.isOfEarlierTerm(s.run) {
			continue
		}
		s.unverified, s.refused = false, !slices.ContainsFunc(report.Running, func(r infra.ActiveRun) bool { return r.Item == s.item })
	}
}

// settleLateStarts notes that the worker's present process runs or has ended the item's run, so that it refuses late
// starts of that run and of earlier ones.
func (w *worker) settleLateStarts(id work.ItemID, run int64) {
	for _, s := range w.lateStarts {
		if s.item == id && s.run <= run {
			s.unverified, s.refused = false, true
		}
	}
}

// applyStartResultOfEndedWorker applies the result of a start that was being sent when its worker was found to have
// ended. The item is released unless the start may have reached a process that isn't known yet.
func (c *Core) applyStartResultOfEndedWorker(i *item, order *Order, err error, uncertain bool) {
	c.decideCrash(i, order, err, uncertain)
	switch infra.KindOf(err) {
	case "":
		i.unansweredUntil = c.clock() + maxCallDelay
	case infra.WorkerReplaced:
		i.worker.mayReturn = false
	}
	if i.worker != nil && !c.mayStartLate(i, c.clock()) {
		c.release(i)
		c.stopOtherMembers(i)
	}
}
