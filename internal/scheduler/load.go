package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

// Load restores jobs of earlier terms from the newest records of the log. It drops each record once it is decoded, and what
// was decoded of a job once the job is restored, so that memory never holds all of two of these forms.
func (c *Core) Load(records []infra.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.loadTombstones(records, now)
	jobs, unreadable := decodeJobs(records)
	for _, key := range unreadable {
		c.logger.WithFields(logrus.Fields{"event": "job_record_skipped", "key": key}).Error("can't decode the record of a job; skipping it")
	}
	c.loadedAt = now
	for _, id := range loadOrder(jobs) {
		switch entry := jobs[id]; {
		case entry.def != nil:
			c.restoreJob(entry, now)
		case !entry.unreadable:
			c.deleteRecords(id, slices.Collect(maps.Keys(entry.groups)))
		}
		delete(jobs, id)
	}
	c.logger.WithFields(logrus.Fields{"event": "state_loaded", "jobs": len(c.jobs), "active": len(c.activeJobs), "term": c.term}).Info("loaded jobs of earlier terms")
}

// restoreJob rebuilds a job from its records.
func (c *Core) restoreJob(entry *storedJob, now time.Duration) {
	j := newJobWithoutState(entry.def)
	c.applyAdvicePolicy(j)
	progress := entry.progress
	j.durable, j.definitionWritten, j.started, j.begun, j.inherited = true, true, progress.Begun, progress.Begun, true
	if c.tombstones.byID[j.def.ID] != nil && !progress.Failed && !progress.Completed && !progress.Cancelled {
		// The term that added the job ended before it had recorded that it is cancelled.
		progress.Cancelled = true
		c.markDirty(j)
	}
	j.cancelled, j.failed, j.completed = progress.Cancelled, progress.Failed, progress.Completed
	j.visibleCancelled, j.visibleFailed, j.visibleCompleted = progress.Cancelled, progress.Failed, progress.Completed
	j.acceptedAt = now - max(0, c.wallClock().Sub(j.def.Accepted))
	j.offeredAt = j.acceptedAt
	j.endedAt = now
	j.restoreDone(&progress)
	records := entry.itemRecords(j.groupOf)
	for n := range records {
		c.restoreItems(j, &records[n], now)
	}
	j.reserved = len(j.occurrences) > 0 || c.hasMemoryFor(definitionBytes(j.def)+occurrenceBytes(j.def))
	c.addJob(j)
	c.createOccurrences(j)
	for n := range records {
		c.restoreIncidents(j, &records[n], now)
	}
	c.updateMemory(j)
	j.restoreGroups(entry)
	for _, step := range j.steps {
		c.completeRestoredGang(step)
	}
	// The term may have ended after the records of the last work items and before that of the job.
	c.completeJobIfDone(j, now)
	if !j.finished() || j.placedCount > 0 {
		c.activeJobs[j] = struct{}{}
		c.addWaiting(j)
	}
}

// restoreItems restores the states of the work items in the record.
func (c *Core) restoreItems(j *job, records *progressRecord, now time.Duration) {
	unconfirmed := map[int]bool{}
	for _, position := range records.Unconfirmed {
		unconfirmed[position] = true
	}
	for n, record := range records.Items {
		j.started = j.started || record.Run > 0
		j.begun = j.begun || record.State == itemDone || record.Failures > 0 || record.Checkpoint != ""
		i := j.recordedItem(record.Occurrence, record.Step, record.Index, record.State)
		if i == nil {
			continue
		}
		c.restoreItem(i, record, now)
		if unconfirmed[n] {
			i.unansweredUntil = now + c.lateCallTimeLeft(records.AtMs+maxCallDelay.Milliseconds())
		}
	}
}

// restoreIncidents restores the crashes and the late starts in the record.
func (c *Core) restoreIncidents(j *job, records *progressRecord, now time.Duration) {
	for _, record := range records.Crashes {
		if i := j.recordedItem(record.Occurrence, record.Step, record.Index, itemWaiting); i != nil {
			i.crashes, i.givenUp, i.waitingSince = crashCounts{known: record.Known, possible: record.Possible, late: record.Late}, record.GivenUp, now
			c.suspects[i] = struct{}{}
		}
	}
	for _, record := range records.LateStarts {
		if i := j.recordedItem(record.Occurrence, record.Step, record.Index, itemWaiting); i != nil {
			c.restoreLateStart(i, record, now)
		}
	}
}

// completeRestoredGang completes a restored gang of which an item is done, which stands for all of them: the term may have
// ended between the records of the items.
func (c *Core) completeRestoredGang(step *stepInstance) {
	if !step.def.Gang || step.def.Lasting || step.countInState(itemDone) == 0 || step.done() {
		return
	}
	c.completeGang(step)
	c.markDirty(step.job)
}

// restoreItem restores an item from its record.
func (c *Core) restoreItem(i *item, record itemRecord, now time.Duration) {
	i.failures, i.checkpoint, i.run, i.lastAccountedRun = record.Failures, record.Checkpoint, record.Run, record.Run
	switch record.State {
	case itemDone:
		i.setState(itemDone)
	case itemPlaced:
		if record.Worker == "" {
			// An item is placed on a worker: the record is one of another writer.
			return
		}
		// The recorded run has no known end yet, so only the runs before it are accounted for.
		i.inherited, i.placedAt, i.lastAccountedRun = true, now, record.Run-1
		w := c.recordedWorker(record.Worker, now)
		w.recordedItems = true
		c.place(i, w)
	}
}

// recordedWorker returns the worker of a record. If it isn't known yet, it is added with the longest lease that an earlier
// term may have granted.
func (c *Core) recordedWorker(id string, now time.Duration) *worker {
	w := c.workers[id]
	if w == nil {
		w = newWorker(infra.WorkerEntry{ID: id})
		w.leaseEnd, w.addedAt, w.lastReportAt = c.inheritedLeaseEnd(), now, now
		c.addWorker(w)
	}
	return w
}

// inheritedLeaseEnd returns when every lease granted by earlier terms has certainly lapsed. The last confirmed
// append of an earlier term, from which LeaderLease counts, may have been sent just before it was fenced. It is
// never before the workers have had firstReportTime to report: they may have ends that nobody has acknowledged yet.
func (c *Core) inheritedLeaseEnd() time.Duration {
	lease := time.Duration(float64(c.options.Lease) / minClockRate)
	return max(c.startedAt+LeaderLease+lease+2*leaseEndMargin, c.loadedAt+firstReportTime)
}
