package scheduler

import (
	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

// UpdateWorkers takes changes of the platform's list, and returns the workers that are new.
func (c *Core) UpdateWorkers(update infra.WorkerUpdate) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.poke()
	if update.Full {
		for _, w := range c.workers {
			w.listed = false
		}
	}
	var added []string
	for _, entry := range update.Entries {
		if c.takeEntry(entry) {
			added = append(added, entry.ID)
		}
	}
	for _, id := range update.Removed {
		if w := c.workers[id]; w != nil {
			w.listed = false
			w.nudge()
			c.logger.WithFields(logrus.Fields{"event": "worker_unlisted", "worker": id, "items": len(w.items)}).Info("worker left the list")
		}
	}
	return added
}

// takeEntry takes an entry and reports whether its worker is new.
func (c *Core) takeEntry(entry infra.WorkerEntry) bool {
	w := c.workers[entry.ID]
	if w == nil {
		w = newWorker(entry)
		w.listed, w.added, w.contact = true, c.clock(), c.clock()
		c.workers[entry.ID] = w
		c.logger.WithFields(logrus.Fields{"event": "worker_listed", "worker": entry.ID, "pool": entry.Pool, "zone": entry.Zone, "rack": w.rack}).Info("worker is new")
		return true
	}
	added := w.entry.Address == "" || (w.gone && !w.listed)
	if entry.StartUnixMs > 0 && w.born > 0 && entry.StartUnixMs > w.born {
		c.reborn(w, entry.StartUnixMs)
	}
	if entry.Draining && !w.entry.Draining {
		c.logger.WithFields(logrus.Fields{"event": "worker_draining", "worker": entry.ID, "items": len(w.items), "leaves_in_ms": entry.MinTimeLeft.Milliseconds()}).Info("worker drains")
	}
	w.entry, w.rack, w.listed = entry, rackOf(entry.Labels), true
	w.nudge()
	return added
}

// reborn forgets what ran in the worker's earlier life.
func (c *Core) reborn(w *worker, born int64) {
	c.logger.WithFields(logrus.Fields{"event": "worker_reborn", "worker": w.entry.ID, "born": born, "items": len(w.items)}).Warn("worker started again under its ID")
	for i := range w.items {
		c.release(i)
	}
	w.born, w.handled, w.seen, w.known, w.gone = born, 0, 0, false, false
	w.clockMs, w.leaseEnd, w.streak = 0, 0, 0
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

// end notes that a worker's life is over.
func (c *Core) end(w *worker) {
	w.gone, w.listed = true, false
	c.giveUp(w, c.clock())
	w.nudge()
}
