package scheduler

import "time"

// Filling work slows down the serving work on the same worker, by amounts that change within seconds. It
// is stopped as soon as the reported tail latency of a serving item comes near its target, well before the
// target is exceeded. Its pace is raised again in increments after the tail latencies have been low for
// raiseDelay.
const (
	// throttleThreshold is the fraction of its target above which a tail latency stops filling work;
	// below raiseThreshold, the pace may be raised again.
	throttleThreshold = 0.75
	raiseThreshold    = 0.5
	// raiseDelay is how long all serving items must be below raiseThreshold before each increment.
	raiseDelay = 1500 * time.Millisecond
	// paceIncrement is by how much the pace is raised each time, in percentage points.
	paceIncrement = 25
	// paceRepeatDelay is how long after an order to stop filling work the order is repeated, if the tail
	// latency is still too high.
	paceRepeatDelay = time.Second
)

// adjustPace sets the pace of the worker's filling items after a report of the worker.
func (c *Core) adjustPace(w *worker, now time.Duration) {
	worstTailRatio := 0.0
	for i := range w.items {
		if target := i.step.def.TailTarget; target > 0 && !i.step.def.Filling && i.reported {
			worstTailRatio = max(worstTailRatio, float64(i.load)/float64(target.Milliseconds()))
		}
	}
	if worstTailRatio >= raiseThreshold {
		w.lowLatencySince = 0
	} else if w.lowLatencySince == 0 {
		w.lowLatencySince = now
	}
	raise := w.lowLatencySince > 0 && now-w.lowLatencySince >= raiseDelay
	if raise {
		w.lowLatencySince = now
	}
	for _, i := range w.sortedItems(func(i *item) bool { return i.step.def.Filling && !i.stopping && i.startConfirmedAt > 0 }) {
		switch {
		case worstTailRatio > throttleThreshold && (i.pacePercent > 0 || now-i.paceOrderedAt > paceRepeatDelay):
			c.setPace(i, 0, now)
		case raise && i.pacePercent < fullPacePercent:
			c.setPace(i, min(fullPacePercent, i.pacePercent+paceIncrement), now)
		}
	}
}

// setPace orders the item's worker to run it at the given percentage of its full speed.
func (c *Core) setPace(i *item, percent int, now time.Duration) {
	i.pacePercent, i.paceOrderedAt = percent, now
	c.pendingOrders = append(c.pendingOrders, Order{Kind: OrderPace, Worker: i.worker.ref(), Item: i.id(), Run: i.run, Percent: percent})
	c.wakeUp()
}
