// Package scheduler decides which workers run the work items of accepted jobs. Core is the state of one
// term. Requests of callers, reports of workers and timers change it. Collect plans on it and returns
// the changes as a batch. Acceptances and cancellations are reported to callers, and run ends are
// acknowledged to workers, only once the batch is durable. Starts are sent to workers then as well, and other orders
// while the batch is being written. Core does no I/O itself.
package scheduler

import (
	"time"

	"turmericyoke/internal/overload"
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
	// formerRuns are runs that were released before their end was known, of which workers may still report the ends, and
	// runs of earlier terms whose ends this term has counted.
	formerRuns []formerRun

	// inherited is set while the placement is one of an earlier term and no report has listed the run.
	inherited bool
	// startQueued is set while the start waits in the start queue of the worker's zone.
	startQueued bool
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

// formerRun identifies a run that isn't placed any more.
type formerRun struct {
	worker string
	run    int64
	// counted is set if the end of the run has been counted. A worker that was dropped and is listed again reports its
	// unacknowledged ends once more.
	counted bool
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
	// homeZone is where the work items are placed while there is room; empty before the first placement, and if home zones
	// aren't enabled.
	homeZone string
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
	// beyondShare is set if the customer sent the job beyond its share. It is known only in the term that accepted the job.
	beyondShare bool
	// delayExplained is set once it was logged that the job gives way to others.
	delayExplained bool
	// sizeClass is the class of the job by its size; 0 if the order by cost doesn't count it.
	sizeClass overload.SizeClass
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
	// kept are the predictions that the job keeps if run times are predicted by kind. total and remaining follow from them.
	kept keptPredictions
	// forecast is what was predicted when this term accepted the job.
	forecast forecast
	// supply is the entry of the supplyCache that includes the job's work; nil if none does.
	supply *poolSupply
	// waitingWork are the core-seconds of the waiting items as of the last computation of the supply.
	waitingWork float64
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
