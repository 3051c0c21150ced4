// Package scheduler decides which work items of accepted jobs run where. Core is the state of one
// term: callers, workers' reports and timers change it, Collect plans on it and takes what must
// become durable, and the effects of a batch (answers to callers, orders to workers) are released
// only after that. Core does no input or output itself.
package scheduler

import (
	"time"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/work"
)

// itemState is what a work item does.
type itemState uint8

const (
	itemWaiting itemState = iota
	// itemPlaced work items run on a worker, or may run there.
	itemPlaced
	itemDone
)

// item is a work item.
type item struct {
	step  *stepInstance
	index int
	state itemState

	// worker is where a placed item runs or may run.
	worker *worker
	run    int64
	// lastAccountedRun is the last run of earlier terms whose end is in the record that this term read.
	lastAccountedRun int64
	// termRuns counts the runs of this term.
	termRuns   int64
	failures   int
	checkpoint string
	// avoidedWorker is the worker on which the last run failed or took far too long; failedAt is when it failed.
	avoidedWorker *worker
	failedAt      time.Duration
	// unresolvedRuns are earlier runs whose lease lapsed unseen; their ends may still be reported.
	unresolvedRuns []unresolvedRun

	// inherited placements were made in an earlier term.
	inherited bool
	// startConfirmedAt is when the worker confirmed the start; 0 before.
	startConfirmedAt time.Duration
	// reported is set once the worker listed the run.
	reported bool
	placedAt time.Duration
	// stopping is set once a stop was decided; stopSent and stopAnswered are the times of the last order.
	stopping        bool
	stopOrderedAt   time.Duration
	stopConfirmedAt time.Duration
	// available tells whether a lasting item was at work when last reported.
	available bool
	// progressPercent and progressed tell how far the run is and when that last rose.
	progressPercent int
	progressedAt    time.Duration
	load            int64
	// pacePercent is the ordered share of a filling item, in percent.
	pacePercent   int
	paceOrderedAt time.Duration
}

// unresolvedRun is a run that was given up without its end being known.
type unresolvedRun struct {
	worker string
	run    int64
}

// id names the item.
func (i *item) id() work.ItemID {
	return work.ItemID{Job: i.step.job.def.ID, Occurrence: i.step.occurrence, Step: i.step.number, Index: i.index}
}

// stepInstance is a step of one occurrence of a job.
type stepInstance struct {
	job        *job
	occurrence int
	number     int
	def        *work.Step
	items      []*item
	doneCount  int
	// rack is where the items of a step with SameRack run; empty while none does.
	rack string
}

// countOnWorker counts the items that are placed on the worker.
func (s *stepInstance) countOnWorker(w *worker) int {
	n := 0
	for _, i := range s.items {
		if i.worker == w {
			n++
		}
	}
	return n
}

// countInState counts the items in the state.
func (s *stepInstance) countInState(state itemState) int {
	n := 0
	for _, i := range s.items {
		if i.state == state {
			n++
		}
	}
	return n
}

// job is an accepted job.
type job struct {
	def *work.Job
	// durable is set once the acceptance is in the log.
	durable bool
	// inherited jobs were accepted in an earlier term.
	inherited bool
	// definitionWritten is set once the definition was given to a batch.
	definitionWritten bool
	cancelled         bool
	failed            bool
	completed         bool
	// visibleCompleted and shownFailed follow completed and failed once these are durable.
	visibleCompleted bool
	visibleFailed    bool
	visibleCancelled bool
	begun            bool
	// steps holds the steps of occurrence k at k * len(def.Steps).
	steps      []*stepInstance
	acceptedAt time.Duration
	endedAt    time.Duration
	// stepsAhead is by how many steps its customer was ahead of its share when the job came.
	stepsAhead int
}

func newJob(def *work.Job) *job {
	j := &job{def: def}
	for k := range def.Occurrences() {
		for number := range def.Steps {
			step := &stepInstance{job: j, occurrence: k, number: number, def: &def.Steps[number]}
			for index := range step.def.Count {
				step.items = append(step.items, &item{step: step, index: index, pacePercent: fullPacePercent})
			}
			j.steps = append(j.steps, step)
		}
	}
	return j
}

// finished reports whether nothing of the job is to be started any more.
func (j *job) finished() bool { return j.cancelled || j.failed || j.completed }

// stepAt returns the step, or nil for numbers that the job doesn't have.
func (j *job) stepAt(occurrence, number int) *stepInstance {
	at := occurrence*len(j.def.Steps) + number
	if number >= len(j.def.Steps) || at >= len(j.steps) {
		return nil
	}
	return j.steps[at]
}

// stepReady reports whether the items of the step may start.
func (j *job) stepReady(s *stepInstance, wall time.Time) bool {
	if j.finished() || wall.Before(j.def.Due(s.occurrence)) {
		return false
	}
	for _, before := range s.def.After {
		if earlier := j.stepAt(s.occurrence, before); earlier != nil && earlier.doneCount < len(earlier.items) {
			return false
		}
	}
	return true
}

// worker is a worker of the fleet as this term knows it.
type worker struct {
	entry infra.WorkerEntry
	rack  string
	// startedUnixMs is that of the last report or entry; 0 when unknown.
	startedUnixMs int64
	// listed is set while the platform lists the worker.
	listed bool
	// hasReported is set once it reported under this term's token, so that all that it runs is known.
	hasReported bool
	// ended workers have ended; another one may have their address.
	ended bool

	items map[*item]struct{}
	used  work.Resources

	// clockMs is the worker's clock as reported, clockAt when the report arrived.
	clockMs     int64
	clockReadAt time.Duration
	// leaseEnd is when everything that was ever ordered there has certainly lapsed.
	leaseEnd time.Duration
	// appliedEnd is the highest number of an end that was taken into the state, seen the highest durable one.
	appliedEnd int64
	durableEnd int64
	// lastReportAt is when the last report arrived, probed when the last failed hold was sent.
	lastReportAt time.Duration
	failedHolds  int
	pausedUntil  time.Duration
	// lastStragglerPause is how long the worker was last paused for stragglers.
	lastStragglerPause time.Duration
	// consecutiveFailures counts failed runs since the last one that was done.
	consecutiveFailures int
	// cordoned workers get no new work since their host is to go down or move.
	cordoned bool
	// vacating workers get no new work since their host is wanted elsewhere.
	vacating bool
	// calmSince is since when the serving items are well below their targets.
	calmSince time.Duration
	// addedAt is when this term first heard of the worker.
	addedAt time.Duration
	// wake tells the link that there is something to ask for.
	wake chan struct{}
}

func newWorker(entry infra.WorkerEntry) *worker {
	return &worker{entry: entry, startedUnixMs: entry.Born, rack: rackOf(entry.Labels), items: map[*item]struct{}{}, wake: make(chan struct{}, 1)}
}

// rackOf returns the last label: a worker's labels are its kind and its rack.
func rackOf(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

func (w *worker) ref() infra.WorkerRef {
	return infra.WorkerRef{ID: w.entry.ID, Address: w.entry.Address}
}

// freeCapacity is the capacity without what is placed.
func (w *worker) freeCapacity() work.Resources { return w.entry.Capacity.Minus(w.used) }

// lastingCPUMilli is what lasting work takes of the worker's capacity, in thousandths of a core.
func (w *worker) lastingCPUMilli() int64 {
	milli := int64(0)
	for i := range w.items {
		if i.step.def.Lasting {
			milli += i.step.reservation().CPUMilli
		}
	}
	return milli
}

// reservation is what the item takes of a worker.
func (s *stepInstance) reservation() work.Resources {
	need := s.def.Need
	if s.def.Filling {
		need.CPUMilli = 0
	}
	return need
}

func (w *worker) wakeHoldLoop() {
	periodic.Wake(w.wake)
}
