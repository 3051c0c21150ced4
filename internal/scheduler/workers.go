package scheduler

import (
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

// UpdateWorkers takes changes of the platform's list, and returns the workers that are new.
func (c *Core) UpdateWorkers(update infra.WorkerUpdate) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.wakeUp()
	if update.Reset {
		for _, w := range c.workers {
			w.listed = false
		}
	}
	var added []string
	for _, entry := range update.Entries {
		if c.applyEntry(entry) {
			added = append(added, entry.ID)
		}
	}
	for _, id := range update.Gone {
		if w := c.workers[id]; w != nil {
			w.listed = false
			w.wakeHoldLoop()
			c.logger.WithFields(logrus.Fields{"event": "worker_unlisted", "worker": id, "items": len(w.items)}).Info("worker left the list")
		}
	}
	return added
}

// applyEntry takes an entry and reports whether its worker is new.
func (c *Core) applyEntry(entry infra.WorkerEntry) bool {
	w := c.workers[entry.ID]
	if w == nil {
		w = newWorker(entry)
		w.listed, w.addedAt, w.lastReportAt = true, c.clock(), c.clock()
		c.workers[entry.ID] = w
		c.logger.WithFields(logrus.Fields{"event": "worker_listed", "worker": entry.ID, "pool": entry.Pool, "zone": entry.Zone, "rack": w.rack}).Info("worker is new")
		return true
	}
	added := w.entry.Address == "" || (w.ended && !w.listed)
	if entry.Born > 0 && w.startedUnixMs > 0 && entry.Born > w.startedUnixMs {
		c.resetRestartedWorker(w, entry.Born)
	}
	if entry.Draining && !w.entry.Draining {
		c.logger.WithFields(logrus.Fields{"event": "worker_draining", "worker": entry.ID, "items": len(w.items), "leaves_in_ms": entry.LeavesIn.Milliseconds()}).Info("worker drains")
	}
	w.entry, w.rack, w.listed = entry, rackOf(entry.Labels), true
	w.wakeHoldLoop()
	return added
}

// resetRestartedWorker forgets what ran in the worker's earlier life.
func (c *Core) resetRestartedWorker(w *worker, born int64) {
	c.logger.WithFields(logrus.Fields{"event": "worker_reborn", "worker": w.entry.ID, "born": born, "items": len(w.items)}).Warn("worker started again under its ID")
	for i := range w.items {
		c.release(i)
	}
	w.startedUnixMs, w.appliedEnd, w.durableEnd, w.hasReported, w.ended = born, 0, 0, false, false
	w.clockMs, w.leaseEnd, w.consecutiveFailures = 0, 0, 0
}

// WorkerIDs returns the IDs of all workers.
func (c *Core) WorkerIDs() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	return ids
}

// endWorker notes that a worker's life is over.
func (c *Core) endWorker(w *worker) {
	w.ended, w.listed = true, false
	c.releaseAllItems(w, c.clock())
	w.wakeHoldLoop()
}
