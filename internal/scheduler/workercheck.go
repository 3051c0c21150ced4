package scheduler

import "time"

// checkWorkers checks the runs of all workers for unconfirmed starts and stops and for stragglers, and stops lasting
// work on draining workers. It passes over the workers, and over the runs that may need an order, in the order of their IDs.
func (c *Core) checkWorkers(now time.Duration) {
	var unanswered unansweredRuns
	for _, w := range c.sortedWorkers() {
		c.stopLateStarts(w, now)
		if len(w.items) == 0 {
			continue
		}
		for i := range w.items {
			unanswered.observe(i, now)
		}
		stragglers := 0
		for _, i := range w.sortedItems(func(i *item) bool { return i.stopping || w.entry.Draining || c.isStraggler(i, now) }) {
			c.retryStop(i, now)
			switch {
			case w.failedRenewals > 0:
			case w.entry.Draining:
				c.evacuate(i)
			case c.stopStraggler(i, now):
				stragglers++
			}
		}
		w.pauseForStragglers(stragglers, now)
		w.dropUnansweredStarts(now)
	}
	c.metrics.unansweredRuns(unanswered.count, unanswered.oldest)
}

// evacuate stops an item on a draining worker if it is lasting, so that it starts on another before the worker leaves.
func (c *Core) evacuate(i *item) {
	if i.step.def.Lasting && !i.stopping && i.startConfirmedAt > 0 {
		c.orderStop(i)
	}
}
