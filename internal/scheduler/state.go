// Package scheduler decides which workers run the work items of accepted jobs. Core is the state of one
// term. Requests of callers, reports of workers and timers change it. Collect plans on it and returns
// the changes as a batch. Acceptances and cancellations are reported to callers, and run ends are
// acknowledged to workers, only once the batch is durable; orders to workers are sent while it is being
// written. Core does no I/O itself.
package scheduler

import (
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/work"
)

// itemState is the scheduling state of a work item. Its values are stored in the log.
type itemState uint8

const (
	// itemWaiting: the item has no worker.
	itemWaiting itemState = iota
	// itemPlaced: the item runs or may run on a worker.
	itemPlaced
	// itemDone: the item succeeded.
	itemDone
	// itemStates is the number of states.
	itemStates
)

// item is the scheduling state of one work item.
type item struct {
	step  *stepInstance
	index int
	state itemState

	// worker is where a placed item runs or may run; nil if the item isn't placed.
	worker *worker
	// run is the number of the latest run, across terms.
	run int64
	// lastAccountedRun is the last run of earlier terms whose end is included in the record that this
	// term loaded.
	lastAccountedRun int64
	// termRuns is the number of runs started in this term.
	termRuns   int64
	failures   int
	checkpoint string
	// crashes are the crashes of workers with a run of the item; undecidedCrash is one that isn't counted yet, or nil.
	crashes        crashCounts
	undecidedCrash *undecidedCrash
	// clearedCrashes is the number of crashes after which a run of the item survived in this term.
	clearedCrashes int
	// waitingSince is when the item was last released, or loaded by this term.
	waitingSince time.Duration
	// givenUp is set when the item isn't started any more because of its crashes.
	givenUp bool
	// avoidedWorker is the worker on which the last run failed or was a straggler; failedAt is when a run
	// last failed.
	avoidedWorker *worker
	failedAt      time.Duration
	// unresolvedRuns are earlier runs that were released before their end was known. Workers may still report
	// their ends.
	unresolvedRuns []unresolvedRun

	// inherited is set while the placement is one of an earlier term and no report has listed the run.
	inherited bool
	// startSent is set once a lease was granted for the start, so that it may have been sent.
	startSent bool
	// startInFlight is set while a start is being sent and its outcome isn't known.
	startInFlight bool
	// unansweredUntil is until when an attempt to start the run that had no response may still be carried out.
	unansweredUntil time.Duration
	// awaitsReportSince is since when a report has to tell whether the run of a lasting item is there whose start had no
	// response; 0 if that is known or doesn't matter.
	awaitsReportSince time.Duration
	// startConfirmedAt is when the worker confirmed the start; 0 before that.
	startConfirmedAt time.Duration
	// startClockMs is about the time of the worker's clock at startConfirmedAt.
	startClockMs int64
	// reported is set once a report of the worker has listed the run.
	reported bool
	// survived is set once a report has listed the run trialTime after its confirmed start.
	survived bool
	// processUncertain is set when the worker has restarted under the same ID, until a report of its next process tells
	// whether that one runs the item.
	processUncertain bool
	placedAt         time.Duration
	// stopping is set once a stop has been ordered. stopRequestedAt and stopOrderedAt are when the first and the last
	// stop were ordered, and stopConfirmedAt is when the worker confirmed a stop.
	stopping        bool
	stopRequestedAt time.Duration
	stopOrderedAt   time.Duration
	stopConfirmedAt time.Duration
	// available is set if the last report showed the run at 100%. For a lasting item this means that it
	// is in service.
	available bool
	// progressPercent is the last reported progress of the run; progressedAt is when it last rose.
	progressPercent int
	progressedAt    time.Duration
	// load is the reported load, see infra.ActiveRun.Load.
	load int64
	// pacePercent is the ordered pace of a filling item.
	pacePercent   int
	paceOrderedAt time.Duration
}

// unresolvedRun identifies a run that was released from its worker before its end was known.
type unresolvedRun struct {
	worker string
	run    int64
}

// resetProgress drops what reports have told of the item's run.
func (i *item) resetProgress() {
	i.available, i.progressPercent, i.progressedAt, i.load, i.pacePercent, i.paceOrderedAt = false, 0, 0, 0, fullPacePercent, 0
}

// id returns the item's ID.
func (i *item) id() work.ItemID {
	return work.ItemID{Job: i.step.job.def.ID, Occurrence: i.step.occurrence, Step: i.step.number, Index: i.index}
}

// stepInstance is one step in one occurrence of a job.
type stepInstance struct {
	job        *job
	occurrence int
	number     int
	def        *work.Step
	items      []*item
	// stateCounts is the number of items in each state.
	stateCounts [itemStates]int
	// rack is the rack of the first placed item of a step with SameRack; empty while no item is placed.
	rack string
	// advice is nil unless the items start only with a ticket of the advice service.
	advice *stepAdvice
	// firstItem is the number of items in the earlier steps of an occurrence.
	firstItem int
}

// countOnWorker returns the number of items that are placed on the worker.
func (s *stepInstance) countOnWorker(w *worker) int {
	n := 0
	for _, i := range s.items {
		if i.worker == w {
			n++
		}
	}
	return n
}

// countInState returns the number of items in the state.
func (s *stepInstance) countInState(state itemState) int { return s.stateCounts[state] }

// done reports whether all items of the step are done.
func (s *stepInstance) done() bool { return s.stateCounts[itemDone] == len(s.items) }

// setState changes the item's state, and the counts of its step and its job.
func (i *item) setState(state itemState) {
	step := i.step
	waited, wasDone := step.countInState(itemWaiting) > 0, step.done()
	step.stateCounts[i.state]--
	step.stateCounts[state]++
	if waits := state == itemWaiting; waits != (i.state == itemWaiting) {
		i.adjustWaiting(waits)
	}
	if waited != (step.countInState(itemWaiting) > 0) || wasDone != step.done() {
		step.job.openStepsChanged = true
	}
	if i.state == itemPlaced {
		i.step.job.placedCount--
	}
	if state == itemPlaced {
		i.step.job.placedCount++
	}
	i.state = state
	step.job.noteChanged(i)
	if state == itemDone && i.step.done() {
		i.step.job.remaining = nil
	}
}

// job is an accepted job and its scheduling state.
type job struct {
	def *work.Job
	// durable is set once the acceptance is in the log.
	durable bool
	// inherited is set for jobs that were accepted in an earlier term.
	inherited bool
	// definitionWritten is set once a batch contains the record of the definition.
	definitionWritten bool
	// submitters wait for the acceptance, until a batch contains the record of the definition.
	submitters []chan<- Outcome
	// booked is the time by which the job moved its customer's booked time forward.
	booked    time.Duration
	cancelled bool
	failed    bool
	completed bool
	// visibleCompleted, visibleFailed and visibleCancelled are the states that callers see. They are set to
	// completed, failed and cancelled once these are durable.
	visibleCompleted bool
	visibleFailed    bool
	visibleCancelled bool
	// started is set once the start of any item has been ordered, and begun once a worker has confirmed a start, or listed a
	// run or its end: an order may be refused.
	started, begun bool
	// occurrences are those with state, sorted by their numbers, and steps all steps of the first one, then those of the
	// second, and so on.
	occurrences []occurrenceState
	steps       []*stepInstance
	// done tells which occurrences are done.
	done doneOccurrences
	// needsAdvice is set if the work items start only with a ticket of the advice service.
	needsAdvice bool
	// reserved is set while there is room in memory for at least one occurrence, and memoryUsed is the room that the job
	// takes.
	reserved   bool
	memoryUsed int64
	// trimmed is set once the state of a finished job has been dropped.
	trimmed bool
	// delayLogged is set once it was logged that an occurrence finds no room in memory.
	delayLogged bool
	acceptedAt  time.Duration
	// offeredAt is when the job was first submitted to this term, or accepted in an earlier one. Its deadline
	// counts from then: its caller may have been turned away before.
	offeredAt time.Duration
	endedAt   time.Duration
	// overuseLevel is the customer's overuse level at submission.
	overuseLevel int
	// placedCount is the number of items that run or may run.
	placedCount int
	// keptOpenSteps is what openSteps returns; it is out of date if openStepsChanged is set.
	keptOpenSteps    []*stepInstance
	openStepsChanged bool
	// firstDue is when the first occurrence of the open steps is due, and leastNeed the least amount of each resource that
	// an item of theirs reserves. Both are as of the last call of openSteps.
	firstDue  time.Time
	leastNeed work.Resources
	// listedAsWaiting is set while the job is among Core.waiting.
	listedAsWaiting bool
	// stats are the statistics of the job's pool; nil until they are first needed.
	stats *poolStats
	// total and remaining are the cached work of all steps of one occurrence, and of the unfinished steps of the
	// last one; nil if they have to be computed.
	total, remaining *declaredWork
	// supply is the entry of the supplyCache that includes the job's work; nil if none does.
	supply *poolSupply
	// itemCount is the number of work items, and occurrenceItems that of one occurrence.
	itemCount, occurrenceItems int
	// changedGroups holds the groups of work items that have changed since they were last encoded, and recordedGroups those
	// that may be in the log. Both are used only if the job is grouped.
	changedGroups, recordedGroups map[int]bool
	// unrecordable is set when the log has refused a record of the job for good, and definitionRejected if that was its
	// definition. The job has failed then.
	unrecordable, definitionRejected bool
	// checkpointOmitted is set once a checkpoint was too long to be recorded.
	checkpointOmitted bool
}

// noteChanged adds the item's group to the changed ones.
func (j *job) noteChanged(i *item) {
	if j.grouped() {
		j.changedGroups[i.group()] = true
	}
}

// allItems returns the items of all steps.
func (j *job) allItems() []*item {
	count := 0
	for _, step := range j.steps {
		count += len(step.items)
	}
	items := make([]*item, 0, count)
	for _, step := range j.steps {
		items = append(items, step.items...)
	}
	return items
}

// newJob returns a job. The occurrences of a recurring one have no state yet.
func newJob(def *work.Job) *job {
	j := newJobWithoutState(def)
	if def.Recurrence.Times == 0 {
		j.createOccurrence(0)
	}
	return j
}

// newJobWithoutState returns a job without the state of any occurrence.
func newJobWithoutState(def *work.Job) *job {
	j := &job{def: def, openStepsChanged: true}
	for n := range def.Steps {
		j.occurrenceItems += def.Steps[n].Count
	}
	if j.itemCount = j.occurrenceItems * def.Occurrences(); j.grouped() {
		j.changedGroups, j.recordedGroups = map[int]bool{}, map[int]bool{}
	}
	return j
}

// finished reports whether the job is cancelled, failed or completed, so that no more runs are started.
func (j *job) finished() bool { return j.cancelled || j.failed || j.completed }

// stepAt returns a step of an occurrence, or nil if the job doesn't have it or it has no state. The numbers may come from
// a report or a record.
func (j *job) stepAt(occurrence, number int) *stepInstance {
	position, exists := j.findOccurrence(occurrence)
	if !exists || number < 0 || number >= len(j.def.Steps) {
		return nil
	}
	return j.occurrences[position].steps[number]
}

// itemAt returns an item of a step of an occurrence, or nil if the job doesn't have it or it has no state.
func (j *job) itemAt(occurrence, number, index int) *item {
	step := j.stepAt(occurrence, number)
	if step == nil || index < 0 || index >= len(step.items) {
		return nil
	}
	return step.items[index]
}

// openSteps returns the steps with waiting items that may start once their occurrence is due. The result is valid
// until the next call.
func (j *job) openSteps() []*stepInstance {
	if j.finished() {
		return nil
	}
	if j.openStepsChanged {
		j.openStepsChanged = false
		j.keptOpenSteps = j.keptOpenSteps[:0]
		for _, step := range j.steps {
			if step.countInState(itemWaiting) > 0 && j.dependenciesDone(step) {
				j.addOpenStep(step)
			}
		}
	}
	return j.keptOpenSteps
}

// addOpenStep adds an open step to those that openSteps returns.
func (j *job) addOpenStep(step *stepInstance) {
	due, need := j.def.DueAt(step.occurrence), step.reservation()
	if len(j.keptOpenSteps) == 0 {
		j.firstDue, j.leastNeed = due, need
	} else {
		if due.Before(j.firstDue) {
			j.firstDue = due
		}
		j.leastNeed = work.Resources{CPUMilli: min(need.CPUMilli, j.leastNeed.CPUMilli), MemoryMiB: min(need.MemoryMiB, j.leastNeed.MemoryMiB), Accelerators: min(need.Accelerators, j.leastNeed.Accelerators)}
	}
	j.keptOpenSteps = append(j.keptOpenSteps, step)
}

// isDue reports whether the occurrence of the step is due.
func (j *job) isDue(s *stepInstance, wallTime time.Time) bool {
	return !wallTime.Before(j.def.DueAt(s.occurrence))
}

// stepReady reports whether the items of the step may start: the occurrence is due, and the steps on
// which this one depends are done.
func (j *job) stepReady(s *stepInstance, wallTime time.Time) bool {
	return !j.finished() && j.isDue(s, wallTime) && j.dependenciesDone(s)
}

// dependenciesDone reports whether the steps on which this one depends are done.
func (j *job) dependenciesDone(s *stepInstance) bool {
	for _, number := range s.def.After {
		if dependency := j.stepAt(s.occurrence, number); dependency != nil && !dependency.done() {
			return false
		}
	}
	return true
}

// worker is what this term knows of a worker of the fleet.
type worker struct {
	entry infra.WorkerEntry
	rack  string
	// startedUnixMs is the start time of the worker process according to the last report or list entry,
	// in Unix milliseconds; 0 if unknown.
	startedUnixMs int64
	// host is the host that last listed the worker; empty if none has.
	host string
	// listed is set while the platform lists the worker.
	listed bool
	// hasReported is set once the worker has reported to this term. From then on the worker
	// refuses orders of earlier terms, so that all of its runs are known.
	hasReported bool
	// ended is set once the worker process is known to have ended. Another worker may then have its
	// address.
	ended bool
	// crashCounted is set once the end of the present process has been counted. An outdated entry of the list of workers
	// may show the worker again after that.
	crashCounted bool
	// mayReturn is set for an ended worker that may restart under its ID: neither its host nor its address is known to
	// belong to another worker.
	mayReturn bool
	// restarts is the number of restarts under the same ID that this term has seen.
	restarts int
	// lateStarts are the starts without a response whose items have been released.
	lateStarts []lateStart

	items map[*item]struct{}
	used  work.Resources
	// strayNeed is what the runs need that the last report listed although their items aren't placed on the
	// worker, and unknownRuns is the number of listed runs of which the item isn't known either.
	strayNeed   work.Resources
	unknownRuns int
	// unreportedItems is the number of items that no report has listed since they were placed.
	unreportedItems int
	// lastStartJob and lastStartAt are the job and the time of the last start that was ordered.
	lastStartJob *job
	lastStartAt  time.Duration
	// trial is the trial in progress on the worker, or nil.
	trial *trial
	// trialEndedAt is when the last trial on the worker ended that had begun; 0 if there was none.
	trialEndedAt time.Duration
	// reserved workers get no starts but those of trials; wasReserved is set if the worker was reserved in the cycle
	// before.
	reserved, wasReserved bool
	// lapsedItems are the items that were released because the lease lapsed while nothing was known of the worker,
	// without those that had survived a trial.
	lapsedItems []*item
	// lastingItems is the number of lasting items on the worker, and lastingCPUMilli the processor capacity that
	// they reserve, in thousandths of a core.
	lastingItems    int
	lastingCPUMilli int64

	// clockMs is the worker's clock in its last report, and clockReadAt is when that report arrived.
	clockMs     int64
	clockReadAt time.Duration
	// leaseEnd is when every lease granted to the worker has certainly lapsed, on the scheduler's clock.
	leaseEnd time.Duration
	// appliedEnd is the highest number of a reported run end that was applied to the state; durableEnd is
	// the highest one whose effect is durable.
	appliedEnd int64
	durableEnd int64
	// ackedEnd is the highest end that the process has confirmed to have forgotten, and sentAck the acknowledgement
	// that the renewal in progress carries; 0 if it carries none.
	ackedEnd, sentAck int64
	// ackUnansweredUntil is until when an acknowledgement without a response may still be carried out.
	ackUnansweredUntil time.Duration
	// restartSeenAt is when this term last found that the worker had restarted under the same ID; 0 if it didn't.
	restartSeenAt time.Duration
	// lastReportAt is when the last report arrived, or when the worker was added if there was none.
	lastReportAt time.Duration
	// reportSentAt is when the lease renewal was sent to which the last report is the response.
	reportSentAt time.Duration
	// unansweredAt is when a call to the worker last had no response; 0 if all had.
	unansweredAt time.Duration
	// unconfirmedPause is the length of the last pause for a start that wasn't confirmed; 0 after a confirmed one.
	unconfirmedPause time.Duration
	// failedRenewals is the number of lease renewals that failed since the last report.
	failedRenewals int
	// pausedUntil is when the worker may get new work again. Until probeUntil a suspect may start there on trial: a start
	// that wasn't confirmed is the only reason for the pause.
	pausedUntil, probeUntil time.Duration
	// lastStragglerPause is the length of the last pause for stragglers; 0 after a successful run.
	lastStragglerPause time.Duration
	// consecutiveFailures is the number of failed runs since the last successful one.
	consecutiveFailures int
	// cordoned workers get no new work because their host is about to go down or to move.
	cordoned bool
	// vacating workers get no new work because their host is needed in another pool.
	vacating bool
	// lowLatencySince is since when the tail latencies of the serving items have been below raiseThreshold, or
	// when the pace was last raised during that time; 0 if they aren't.
	lowLatencySince time.Duration
	// addedAt is when this term first learned of the worker.
	addedAt time.Duration
	// renewalAddress is the address to which the last lease renewal was sent.
	renewalAddress string
	// wake ends the pause before the worker's next lease renewal.
	wake chan struct{}
}

func newWorker(entry infra.WorkerEntry) *worker {
	return &worker{entry: entry, renewalAddress: entry.Address, startedUnixMs: entry.StartUnixMs, rack: rackOf(entry.Labels), items: map[*item]struct{}{}, wake: make(chan struct{}, 1)}
}

// rackOf returns the last label, which is the rack: a worker's labels are its kind and its rack.
func rackOf(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

func (w *worker) ref() infra.WorkerRef {
	return infra.WorkerRef{ID: w.entry.ID, Address: w.entry.Address}
}

// freeCapacity returns the capacity that neither placed items nor stray runs reserve. It is negative if the
// capacity shrank below that.
func (w *worker) freeCapacity() work.Resources {
	return w.entry.Capacity.Minus(w.used).Minus(w.strayNeed)
}

// addStrayRun counts a listed run of an item that isn't placed on the worker; the item is nil if it isn't known.
func (w *worker) addStrayRun(i *item) {
	if i == nil {
		w.unknownRuns++
		return
	}
	w.strayNeed = w.strayNeed.Plus(i.step.reservation())
}

// hasStrayRuns reports whether the last report listed runs of items that aren't placed on the worker.
func (w *worker) hasStrayRuns() bool { return w.unknownRuns > 0 || w.strayNeed != (work.Resources{}) }

// hasLasting reports whether a lasting item is placed on the worker.
func (w *worker) hasLasting() bool { return w.lastingItems > 0 }

// add adds a placed item and reserves its resources.
func (w *worker) add(i *item) {
	w.items[i] = struct{}{}
	w.used = w.used.Plus(i.step.reservation())
	w.unreportedItems++
	if i.step.def.Lasting {
		w.lastingItems++
		w.lastingCPUMilli += i.step.reservation().CPUMilli
	}
}

// remove removes an item and frees its resources.
func (w *worker) remove(i *item, now time.Duration) {
	delete(w.items, i)
	w.used = w.used.Minus(i.step.reservation())
	if !i.reported {
		w.unreportedItems--
	}
	w.endTrial(i, now)
	if i.step.def.Lasting {
		w.lastingItems--
		w.lastingCPUMilli -= i.step.reservation().CPUMilli
	}
}

// reservation returns the resources that each item of the step reserves on its worker. Filling items use
// idle processor time and reserve none.
func (s *stepInstance) reservation() work.Resources {
	reserved := s.def.Need
	if s.def.Filling {
		reserved.CPUMilli = 0
	}
	return reserved
}

func (w *worker) wakeRenewalLoop() {
	periodic.Wake(w.wake)
}
