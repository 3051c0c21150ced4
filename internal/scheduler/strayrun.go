package scheduler

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/work"
)

// A stray run is one that a worker lists although its item isn't placed there: the start was carried out after the item had
// been released. It is stopped, and its item starts nowhere until the worker doesn't list the run any more, or has ended, or
// the lease of the run has lapsed.

// addStrayRun counts a listed run of an item that isn't placed on the worker; the item is nil if it isn't known.
func (c *Core) addStrayRun(w *worker, i *item) {
	if i == nil {
		w.unknownRuns++
		return
	}
	w.strayNeed = w.strayNeed.Plus(i.step.reservation())
	w.strayItems = append(w.strayItems, i)
	// The start may have named any lease, which applies to all runs of the worker.
	w.leaseEnd = max(w.leaseEnd, c.clock()+c.longestLease())
	c.strayWorkers[w] = struct{}{}
	if i.state == itemWaiting && !i.step.job.finished() {
		c.logger.WithFields(logrus.Fields{"event": "item_held", "item": i.id().String(), "stray_worker": w.entry.ID}).Info("work item waits for the end of a run that a worker lists although the item isn't placed there")
	}
}

// clearStrayRuns drops what the last report told of stray runs.
func (w *worker) clearStrayRuns() {
	w.strayNeed, w.unknownRuns, w.strayItems = work.Resources{}, 0, nil
}

// hasStrayRuns reports whether the last report listed runs of items that aren't placed on the worker.
func (w *worker) hasStrayRuns() bool { return w.unknownRuns > 0 || len(w.strayItems) > 0 }

// mayRunStrays reports whether the stray runs that the worker has listed may be active.
func (w *worker) mayRunStrays(now time.Duration) bool {
	return len(w.strayItems) > 0 && !w.ended && now <= w.leaseEnd
}

// mayRunAsStray reports whether a stray run of the item may be active. Copies of a speculative item may run at the same time.
func (c *Core) mayRunAsStray(i *item, now time.Duration) bool {
	if i.step.def.Speculative {
		return false
	}
	for w := range c.strayWorkers {
		if w.mayRunStrays(now) && slices.Contains(w.strayItems, i) {
			return true
		}
	}
	return false
}

// holdStrayItems holds the items of which a stray run may be active.
func (c *Core) holdStrayItems(now time.Duration) {
	for w := range c.strayWorkers {
		if !w.mayRunStrays(now) {
			delete(c.strayWorkers, w)
			continue
		}
		for _, i := range w.strayItems {
			if !i.step.def.Speculative {
				c.heldItems[i] = struct{}{}
			}
		}
	}
}
