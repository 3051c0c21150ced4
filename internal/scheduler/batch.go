package scheduler

import (
	"maps"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/infra"
)

// Batch holds records that become durable in one append, the orders to send, and the effects to apply
// once the append is confirmed.
type Batch struct {
	Records []infra.Record
	// Orders are sent while the records are being written. They hold no starts.
	Orders []Order
	// starts are sent once the batch is durable: the next term has to know of each start that a worker may carry out, and of the
	// crashes that were counted before it.
	starts []Order
	// changedJobs are the jobs whose records the batch contains.
	changedJobs []*job
	// tombstones are those that the batch contains, by the IDs of their jobs.
	tombstones map[string]*tombstone
	// waiters get OutcomeDone once the batch is durable.
	waiters []jobWaiter
	// durableEnds maps workers to their highest run end whose effect the batch makes durable.
	durableEnds map[*worker]processEnd
	// fleetRecords is fleetState.records at the time of the batch.
	fleetRecords int64
}

// jobWaiter waits for records of a job to become durable.
type jobWaiter struct {
	job      *job
	outcomes chan<- Outcome
}

// processEnd is the number of a run end that a process of a worker reported. process is worker.restarts at that time.
type processEnd struct {
	number  int64
	process int
}

// Collect drops expired state, plans, and returns the changes since the last call as a batch. The batch
// is empty if nothing changed.
func (c *Core) Collect() Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.dropExpired(now)
	c.maintainOccurrences(now)
	c.plan(now)
	c.observeSuspects(now)
	batch := Batch{durableEnds: map[*worker]processEnd{}, Records: c.pendingRecords, fleetRecords: c.fleet.records}
	c.pendingRecords = nil
	// A job may have been submitted under an ID whose earlier records are deleted.
	batch.Records = append(batch.Records, c.deletions...)
	tombstoneRecords, tombstones := c.tombstoneRecords()
	batch.Records, batch.tombstones = append(batch.Records, tombstoneRecords...), tombstones
	encoder := jobEncoder{maxValueBytes: c.maxValueBytes(), checkpointOmitted: c.noteOmittedCheckpoint, lateStarts: c.lateStartRecords, atMs: c.wallClock().UnixMilli()}
	for _, j := range c.sortedDirtyJobs() {
		if j.definitionRejected {
			c.answerWaitersOf(j, j.unrecordedOutcome())
			c.answerSubmitters(j, j.unrecordedOutcome())
			continue
		}
		records, err := encoder.encodeJob(j, !j.definitionWritten)
		if err != nil {
			c.logger.WithFields(logrus.Fields{"event": "job_unencodable", "job": j.def.ID}).WithError(err).Error("can't encode the records of a job; this change isn't recorded")
			c.answerWaitersOf(j, Outcome{Kind: OutcomeUnknown})
			c.answerSubmitters(j, Outcome{Kind: OutcomeUnknown})
			continue
		}
		j.definitionWritten = true
		for _, submitter := range j.submitters {
			c.waiters = append(c.waiters, jobWaiter{j, submitter})
		}
		j.submitters = nil
		batch.Records = append(batch.Records, records...)
		batch.changedJobs = append(batch.changedJobs, j)
	}
	for w := range c.workersToAck {
		if w.appliedEnd <= w.durableEnd || c.workers[w.entry.ID] != w {
			delete(c.workersToAck, w)
			continue
		}
		batch.durableEnds[w] = processEnd{number: w.appliedEnd, process: w.restarts}
	}
	batch.Orders, batch.starts, batch.waiters = c.pendingOrders, c.plannedStarts, c.waiters
	c.answersInAppend, c.nextAnswers = append(c.answersInAppend, c.nextAnswers...), nil
	if len(batch.Records) > 0 {
		c.appendStartedAt = now
	}
	clear(c.dirtyJobs)
	c.pendingOrders, c.plannedStarts, c.waiters, c.deletions = nil, nil, nil, nil
	return batch
}

// answerWaitersOf sends the outcome to those who wait for a record of the job that the next batch doesn't contain.
func (c *Core) answerWaitersOf(j *job, outcome Outcome) {
	c.waiters = slices.DeleteFunc(c.waiters, func(waiter jobWaiter) bool {
		if waiter.job == j {
			waiter.outcomes <- outcome
		}
		return waiter.job == j
	})
}

// sortedDirtyJobs returns the jobs that have changed since the last batch, sorted by ID.
func (c *Core) sortedDirtyJobs() []*job {
	return slices.SortedFunc(maps.Keys(c.dirtyJobs), func(a, b *job) int { return strings.Compare(a.def.ID, b.def.ID) })
}

// Committed applies the effects of a batch that is durable but for the rejected records, which the log never accepts: it
// makes job states visible to callers, marks run ends for acknowledgement to workers, and sends the outcomes to waiters. It
// returns the starts of the batch that the caller has to send now.
func (c *Core) Committed(batch *Batch, rejected ...infra.Record) (starts []Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The log confirms nothing if it refuses all records.
	confirmed := len(rejected) == 0 || len(rejected) < len(batch.Records)
	if confirmed && c.appendStartedAt > 0 {
		c.confirmedAt = c.appendStartedAt
	}
	c.appendStartedAt = 0
	unrecorded := c.failUnrecordable(rejected)
	for _, j := range batch.changedJobs {
		j.durable = j.durable || !unrecorded[j]
	}
	for _, j := range batch.changedJobs {
		// If the job changed again after this batch was collected, its state becomes visible with the
		// batch that records the later change.
		if _, pending := c.dirtyJobs[j]; !pending && !unrecorded[j] {
			j.visibleCompleted, j.visibleFailed, j.visibleCancelled = j.completed, j.failed, j.cancelled
		}
	}
	starts = c.releaseStarts(batch.starts)
	c.fleet.noteDurable(batch.fleetRecords)
	for w, end := range batch.durableEnds {
		// If a record was rejected, the ends wait for the next batch, which records that its job has failed.
		if len(unrecorded) == 0 && end.process == w.restarts && end.number <= w.appliedEnd {
			w.durableEnd = end.number
			w.wakeRenewalLoop()
		}
	}
	for _, waiter := range batch.waiters {
		if unrecorded[waiter.job] {
			waiter.outcomes <- waiter.job.unrecordedOutcome()
		} else {
			waiter.outcomes <- Outcome{Kind: OutcomeDone}
		}
	}
	c.commitTombstones(batch.tombstones, rejected)
	if confirmed {
		c.sendConfirmed()
	}
	return starts
}

// Abandon closes the core when the batch may not have become durable. Callers that wait for this batch
// get OutcomeUnknown. Jobs that no batch contains yet are lost with the core, so that their callers get
// OutcomeTermOver.
func (c *Core) Abandon(batch *Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.metrics.unansweredRuns(0, 0)
	waiting := append(batch.waiters, c.waiters...)
	c.waiters = nil
	for _, waiter := range waiting {
		waiter.outcomes <- Outcome{Kind: OutcomeUnknown}
	}
	for j := range c.dirtyJobs {
		c.answerSubmitters(j, Outcome{Kind: OutcomeTermOver})
	}
	c.failAnswers(Outcome{Kind: OutcomeTermOver})
}
