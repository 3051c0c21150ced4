package scheduler

import "time"

// awaitsConfirmation reports whether this term has placed the item, and knows neither that the run has begun nor that an
// attempt to start it had no response.
func (i *item) awaitsConfirmation() bool {
	return i.state == itemPlaced && !i.inherited && i.startConfirmedAt == 0 && !i.reported && i.unansweredUntil == 0
}

// lateStartRecords returns the records of the item's late starts, the oldest first.
func (c *Core) lateStartRecords(i *item) []lateStartRecord {
	if i.state == itemDone || len(c.lateStarts) == 0 && i.unansweredUntil == 0 {
		return nil
	}
	var records []lateStartRecord
	now, wallTime := c.clock(), c.wallClock()
	add := func(w *worker, run int64, until time.Duration) {
		if now < until && !c.isOutOfReach(w) {
			records = append(records, lateStartRecord{Occurrence: i.step.occurrence, Step: i.step.number, Index: i.index, Run: run, Worker: w.entry.ID,
				UntilUnixMs: wallTime.Add(until - now).UnixMilli()})
		}
	}
	for _, s := range c.lateStarts[i.id()] {
		add(s.worker, s.run, s.until)
	}
	if i.state == itemPlaced {
		add(i.worker, i.run, i.unansweredUntil)
	}
	return records
}

// restoreLateStart restores a start without a response of an earlier term. That of the recorded run may still be that of
// the present placement. Whether the worker's present process refuses any other one isn't known before it has reported: what
// the earlier term knew of may have been another process.
func (c *Core) restoreLateStart(i *item, record lateStartRecord, now time.Duration) {
	if record.Worker == "" {
		// A start is sent to a worker: the record is one of another writer.
		return
	}
	left := c.lateCallTimeLeft(record.UntilUnixMs)
	if left == 0 {
		return
	}
	w := c.recordedWorker(record.Worker, now)
	if i.worker == w && i.run == record.Run {
		i.unansweredUntil = now + left
		return
	}
	c.addLateStart(w, lateStart{item: i.id(), run: record.Run, until: now + left, unverified: true})
}

// lateCallTimeLeft returns how long a call of an earlier term may still be carried out, by the time that a record gives for
// its end. The clock of the earlier term may be behind.
func (c *Core) lateCallTimeLeft(untilUnixMs int64) time.Duration {
	// The difference is limited before the addition, since it is that of any two times.
	return max(0, min(maxCallDelay, time.UnixMilli(untilUnixMs).Sub(c.wallClock()))+maxClockSkew)
}

// knownByLateStart reports whether all that this term knows of the worker is a late start in a record. It may have ended long
// before the term began.
func (w *worker) knownByLateStart() bool { return !w.recordedItems && w.entry.Address == "" }
