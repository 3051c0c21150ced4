package scheduler

import "time"

// Filling work slows down the serving work on the same worker, by amounts that change within seconds. It
// is stopped as soon as the reported tail latency of a serving item comes near its target, well before the
// target is exceeded. Its pace is raised again step by step after the tail latencies have been low for a while.
const (
	// throttleThreshold is the fraction of its target above which a tail latency stops filling work;
	// below calmThreshold, the pace may be raised again.
	throttleThreshold = 0.75
	calmThreshold     = 0.5
	// calmDuration is how long all serving items must be below calmThreshold before each increment.
	calmDuration = 1500 * time.Millisecond
	// paceIncrement is by how much the pace is raised at once, in percent.
	paceIncrement = 25
	// paceRepeatDelay is how long after an order to stop filling work the order is repeated, if the tail
	// latency is still too high.
	paceRepeatDelay = time.Second
)

// adjustPace sets the pace of the worker's filling items after a report of the worker.
func (c *Core) adjustPace(w *worker, now time.Duration) {
	worstTail := 0.0
	for i := range w.items {
		if target := i.step.def.TailTarget; target > 0 && !i.step.def.Filling && i.listed {
			worstTail = max(worstTail, float64(i.load)/float64(target.Milliseconds()))
		}
	}
	if worstTail >= calmThreshold {
		w.calm = 0
	} else if w.calm == 0 {
		w.calm = now
	}
	raise := w.calm > 0 && now-w.calm >= calmDuration
	if raise {
		w.calm = now
	}
	for i := range w.items {
		if !i.step.def.Filling || i.stopping || i.answered == 0 {
			continue
		}
		switch {
		case worstTail > throttleThreshold && (i.pace > 0 || now-i.paceSent > paceRepeatDelay):
			c.setPace(i, 0, now)
		case raise && i.pace < fullPace:
			c.setPace(i, min(fullPace, i.pace+paceIncrement), now)
		}
	}
}

// setPace orders a new pace of a filling item from its worker.
func (c *Core) setPace(i *item, percent int, now time.Duration) {
	i.pace, i.paceSent = percent, now
	c.orders = append(c.orders, Order{Kind: OrderPace, Worker: i.worker.ref(), Item: i.id(), Run: i.run, Percent: percent})
	c.poke()
}
