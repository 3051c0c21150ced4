package scheduler

import "time"

// evacuationTime is how long before a draining worker may leave its lasting items are stopped whatever their budgets
// are. An item that is still there when the worker leaves starts again only after its lease.
const evacuationTime = 2 * time.Second

// checkWorkers checks the runs of all workers for unconfirmed starts and stops and for stragglers, and stops lasting
// work on draining workers. It passes over the workers, and over the runs that may need an order, in the order of their IDs.
func (c *Core) checkWorkers(now time.Duration) {
	c.checkZones(now)
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
				c.evacuate(i, now)
			case c.stopStraggler(i, now):
				stragglers++
			}
		}
		w.pauseForStragglers(stragglers, now)
		w.dropUnansweredStarts(now)
	}
	c.moveFromEvacuatedZones(now)
	c.metrics.unansweredRuns(unanswered.count, unanswered.oldest)
}

// evacuate stops an item on a draining worker if it is lasting, so that it starts on another before the worker leaves.
// While there is time, it keeps to the availability budget of the item's step: a stop of another item may still be on
// its way.
func (c *Core) evacuate(i *item, now time.Duration) {
	if !i.step.def.Lasting || i.stopping || i.startConfirmedAt == 0 {
		return
	}
	if now < i.worker.leavesAt-evacuationTime && !c.mayStop(i) {
		return
	}
	c.orderStop(i)
}
