package scheduler

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

const (
	// refusedStartPause is how long a worker gets no new work after it refused a start, and noCapacityPause
	// after it refused one for lack of capacity.
	refusedStartPause = time.Second
	noCapacityPause   = 200 * time.Millisecond
	// stopRetryPause is how long a stop may stay unconfirmed before it is ordered again. Within that time the session
	// repeats a stop without a response.
	stopRetryPause = time.Second
	// maxCallDelay is how long after its time limit a call without a response may still be carried out. The platform
	// speaks of seconds; its fault drills delay calls by up to 12 s.
	maxCallDelay = 12500 * time.Millisecond
)

// orderStop orders the stop of a placed item. It is safe even if the start hasn't reached the worker yet,
// since a worker refuses a start that arrives after the stop of the same run.
func (c *Core) orderStop(i *item) {
	if !i.stopping {
		i.stopRequestedAt = c.clock()
	}
	i.stopping, i.stopOrderedAt = true, c.clock()
	c.pendingOrders = append(c.pendingOrders, stopOrder(i.worker, i.id(), i.run))
	c.wakeUp()
}

// stopOrder returns the order to stop a run on the worker.
func stopOrder(w *worker, id work.ItemID, run int64) Order {
	return Order{Kind: OrderStop, Worker: w.ref(), Item: id, Run: run, process: w.restarts}
}

// orderJobStops orders the stop of all placed items of the job.
func (c *Core) orderJobStops(j *job) {
	for _, step := range j.steps {
		for _, i := range step.items {
			if i.state == itemPlaced && !i.stopping {
				c.orderStop(i)
			}
		}
	}
}

// itemToStart returns the item of a start if it is still placed on the order's worker with that run and isn't to be stopped; nil
// otherwise.
func (c *Core) itemToStart(order *Order) *item {
	i := c.findItem(order.Item)
	if i == nil || i.worker == nil || i.worker != c.workers[order.Worker.ID] || i.run != order.Run || i.stopping {
		return nil
	}
	return i
}

// releaseStarts returns the starts to send of those whose records are durable now. The append may have taken long: starts whose
// items have been released or stopped, and those to workers that get no new work any more, aren't sent.
func (c *Core) releaseStarts(orders []Order) []Order {
	now := c.clock()
	return slices.DeleteFunc(orders, func(order Order) bool {
		i := c.itemToStart(&order)
		if i == nil || !i.worker.available() {
			c.startNotSent(&order)
			return true
		}
		i.placedAt = now
		if i.worker.onTrial(i) {
			i.worker.trial.releasedAt = now
		}
		return false
	})
}

// ApplyStartResult applies the result of a start. uncertain is set when an earlier attempt had no response,
// so that the start may have taken effect even if the last attempt was refused.
func (c *Core) ApplyStartResult(order *Order, err error, uncertain bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	w, i := c.workers[order.Worker.ID], c.findItem(order.Item)
	kind := infra.KindOf(err)
	if w != nil {
		c.noteZoneOutcome(w, kind)
	}
	if i == nil || w == nil || i.worker != w || i.run != order.Run {
		if (kind == infra.Unknown || uncertain) && w != nil {
			c.addReleasedStart(w, order)
		}
		if i != nil {
			c.decideCrash(i, order, err, uncertain)
		}
		return
	}
	i.startInFlight = false
	if kind == infra.Unknown || uncertain && i.unansweredUntil == 0 {
		// The attempts that StartUnanswered doesn't tell of were lost with their relays, and may have reached the worker.
		i.unansweredUntil = now + maxCallDelay
	}
	c.metrics.startResult(kind)
	if w.ended {
		c.applyStartResultOfEndedWorker(i, order, err, uncertain)
		return
	}
	if kind != "" {
		c.logger.WithFields(logrus.Fields{"event": "start_unsuccessful", "item": order.Item.String(), "run": order.Run, "worker": w.entry.ID,
			"kind": string(kind), "uncertain": uncertain}).WithError(err).Info("start of a run wasn't confirmed")
	}
	switch kind {
	case "", infra.Superseded:
		if i.processUncertain {
			// An earlier confirmation was by the process before the restart.
			i.startConfirmedAt = 0
		}
		c.confirmStart(i, now)
		w.unconfirmedPause = 0
		// If the worker has just restarted, the start's lease end on the earlier process's clock is far ahead.
		w.leaseEnd = max(w.leaseEnd, now+c.longestLease())
		w.wakeRenewalLoop()
		return
	case infra.Fenced:
		c.markFenced("start", w.entry.ID)
		return
	case infra.WorkerReplaced:
		if w.entry.Address == order.Worker.Address {
			c.endWorker(w)
			c.decideCrash(i, order, err, uncertain)
			return
		}
	case infra.NoCapacity:
		w.pauseUntil(now + noCapacityPause)
	case infra.NotGranted:
		c.rejectTicket(i, w, now)
	case infra.Unavailable, infra.Refused:
		w.pauseUntil(now + refusedStartPause)
	}
	if uncertain || kind == infra.Unknown {
		w.pauseUnconfirmed(now)
		if !i.reported && !i.stopping {
			c.stopUnanswered(i, now)
			// The run may begin seconds later or never. The worker gets no trial until it is known to have ended.
			if w.endTrial(i, now) {
				c.wakeUp()
			}
		}
		return
	}
	i.takeUndecidedCrash(i.run)
	c.release(i)
	c.stopOtherMembers(i)
}

// stopUnanswered orders the stop of a run whose start had no response. A lasting item may be in service by now, while others
// of its step are away: it is stopped only if a report shows that the run isn't there.
func (c *Core) stopUnanswered(i *item, now time.Duration) {
	if !i.step.def.Lasting || i.step.def.Gang {
		c.orderStop(i)
		return
	}
	i.awaitsReportSince = now
	i.worker.wakeRenewalLoop()
}

// StartNotSent releases the item of a start that was never sent, so that it waits again.
func (c *Core) StartNotSent(order *Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startNotSent(order)
}

func (c *Core) startNotSent(order *Order) {
	i := c.findItem(order.Item)
	if i == nil {
		return
	}
	// The run hasn't begun, so that a crash of its worker doesn't count.
	i.takeUndecidedCrash(order.Run)
	if i.worker != nil && i.run == order.Run {
		i.startInFlight = false
	}
	if i.worker != nil && i.worker.entry.ID == order.Worker.ID && i.run == order.Run && i.startConfirmedAt == 0 && !i.stopping {
		c.release(i)
		c.stopOtherMembers(i)
	}
}

// stopOtherMembers orders the stop of the other members of the item's gang if it has one. They would wait for the item
// and then end without having done any work.
func (c *Core) stopOtherMembers(i *item) {
	if !i.step.def.Gang {
		return
	}
	for _, member := range i.step.items {
		if member.state == itemPlaced && !member.stopping {
			c.orderStop(member)
		}
	}
}

// ApplyStopResult applies the result of a stop. retryStop orders a stop that wasn't confirmed again.
func (c *Core) ApplyStopResult(order *Order, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, i := c.workers[order.Worker.ID], c.findItem(order.Item)
	if w == nil {
		return
	}
	switch infra.KindOf(err) {
	case infra.Fenced:
		c.markFenced("stop", w.entry.ID)
		return
	case infra.WorkerReplaced:
		if w.entry.Address == order.Worker.Address {
			c.endWorker(w)
		}
		return
	}
	if err != nil || order.process != w.restarts {
		return
	}
	w.confirmLateStop(order, c.clock())
	if i != nil && i.worker == w && i.run == order.Run {
		if i.stopConfirmedAt == 0 {
			c.metrics.stageEnded(stageStop, c.clock()-i.stopRequestedAt)
		}
		i.stopConfirmedAt = c.clock()
		w.wakeRenewalLoop()
	}
}

// retryStop repeats the stop of a placed item if it wasn't confirmed within stopRetryPause, and the last lease renewal of
// its worker succeeded.
func (c *Core) retryStop(i *item, now time.Duration) {
	if i.stopping && i.stopConfirmedAt == 0 && now-i.stopOrderedAt > stopRetryPause && i.worker.failedRenewals == 0 {
		c.orderStop(i)
	}
}
