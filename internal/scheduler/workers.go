package scheduler

import (
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

// UpdateWorkers applies changes of the platform's list of workers, and returns the IDs of new workers.
func (c *Core) UpdateWorkers(update infra.WorkerUpdate) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.wakeUp()
	c.nextWorkerExpiry = 0
	if update.Full {
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
	for _, id := range update.Removed {
		if w := c.workers[id]; w != nil {
			w.listed = false
			w.wakeRenewalLoop()
			c.logger.WithFields(logrus.Fields{"event": "worker_unlisted", "worker": id, "items": len(w.items)}).Info("worker left the platform's list")
		}
	}
	return added
}

// applyEntry applies an entry of the list. It reports whether the worker is new, had no address so far, or
// had ended and left the list.
func (c *Core) applyEntry(entry infra.WorkerEntry) bool {
	w := c.workers[entry.ID]
	if w == nil {
		w = newWorker(entry)
		w.listed, w.addedAt, w.lastReportAt = true, c.clock(), c.clock()
		w.leavesAt = w.addedAt + entry.MinTimeLeft
		w.observeWarmup(entry, w.addedAt)
		c.addWorker(w)
		c.logger.WithFields(logrus.Fields{"event": "worker_listed", "worker": entry.ID, "pool": entry.Pool, "zone": entry.Zone, "rack": w.rack}).Info("new worker in the platform's list")
		return true
	}
	added := w.entry.Address == "" || (w.ended && !w.listed)
	if entry.StartUnixMs > 0 && w.startedUnixMs > 0 && entry.StartUnixMs > w.startedUnixMs {
		c.resetRestartedWorker(w, entry.StartUnixMs, nil, c.clock())
	}
	w.observeEntryClock(entry, c.clock())
	if w.ended {
		// The process that writes the entry lives.
		w.ended, w.mayReturn, w.hasReported = false, false, false
	}
	if entry.Draining && !w.entry.Draining {
		c.logger.WithFields(logrus.Fields{"event": "worker_draining", "worker": entry.ID, "items": len(w.items), "leaves_in_ms": entry.MinTimeLeft.Milliseconds()}).Info("worker is draining; it gets no new work")
	}
	if w.listed && entry.Capacity != w.entry.Capacity {
		c.logger.WithFields(logrus.Fields{"event": "worker_capacity_changed", "worker": entry.ID, "cpu_milli": entry.Capacity.CPUMilli, "memory_mib": entry.Capacity.MemoryMiB,
			"accelerators": entry.Capacity.Accelerators, "used_cpu_milli": w.used.CPUMilli}).Info("capacity of the worker changed")
	}
	if entry.Draining {
		w.observeTimeLeft(entry, c.clock())
	}
	w.observeWarmup(entry, c.clock())
	moved := entry.Pool != w.entry.Pool
	if moved {
		c.workerLists.remove(w)
	}
	w.entry, w.rack, w.listed = entry, rackOf(entry.Labels), true
	c.setStartQueue(w)
	if moved {
		c.workerLists.add(w)
	}
	w.wakeRenewalLoop()
	return added
}

// observeTimeLeft computes when a draining worker may leave at the earliest from a new entry of the list. An entry may be
// older than the one before it.
func (w *worker) observeTimeLeft(entry infra.WorkerEntry, now time.Duration) {
	leavesAt := now + entry.MinTimeLeft
	if w.entry.Draining {
		leavesAt = min(leavesAt, w.leavesAt)
	}
	w.leavesAt = leavesAt
}

// observeEntryClock computes from a new entry of the list when the process that wrote it was alive. An entry may arrive late:
// its clock is compared with that of the last report.
func (w *worker) observeEntryClock(entry infra.WorkerEntry, now time.Duration) {
	if entry.ClockMs == 0 || w.clockMs == 0 || entry.StartUnixMs != w.startedUnixMs {
		return
	}
	// The clock of an odd entry may be any number.
	elapsedMs := max(-w.clockReadAt.Milliseconds(), min(entry.ClockMs-w.clockMs, (now-w.clockReadAt).Milliseconds()))
	w.livedAt = max(w.livedAt, w.clockReadAt+time.Duration(elapsedMs)*time.Millisecond)
}

// addWorker adds a worker that wasn't known.
func (c *Core) addWorker(w *worker) {
	c.setStartQueue(w)
	c.workers[w.entry.ID] = w
	c.workerLists.add(w)
}

// removeWorker removes a worker that has ended and isn't listed any more.
func (c *Core) removeWorker(w *worker) {
	delete(c.workers, w.entry.ID)
	c.workerLists.remove(w)
}

// sortedWorkers returns all workers, sorted by ID. The result is valid until a worker is added or removed.
func (c *Core) sortedWorkers() []*worker { return c.workerLists.all }

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

// endWorker marks a worker as ended and releases its items. Its host or its address belongs to another worker now, so
// that no order can reach it any more.
func (c *Core) endWorker(w *worker) {
	w.mayReturn = false
	c.endProcess(w)
}

// endReturningWorker marks a worker as ended that may restart under its ID, and releases the items that it can't start
// then.
func (c *Core) endReturningWorker(w *worker) {
	w.mayReturn = true
	c.endProcess(w)
}

func (c *Core) endProcess(w *worker) {
	if !w.crashCounted {
		c.countCrash(w)
	}
	w.ended, w.crashCounted, w.listed = true, true, false
	c.nextWorkerExpiry = 0
	c.releaseAllItems(w, c.clock())
	w.wakeRenewalLoop()
}
