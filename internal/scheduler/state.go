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
	step  *stepRun
	index int
	state itemState

	// worker is where a placed item runs or may run.
	worker *worker
	run    int64
	// accounted is the last run of earlier terms whose end is in the record that this term read.
	accounted int64
	// runs counts the runs of this term.
	runs       int64
	failures   int
	checkpoint string
	// avoid is the worker on which the last run failed or took far too long; failedAt is when it failed.
	avoid    *worker
	failedAt time.Duration
	// ghosts are earlier runs whose lease lapsed unseen; their ends may still be reported.
	ghosts []ghost

	// inherited placements were made in an earlier term.
	inherited bool
	// answered is when the worker confirmed the start; 0 before.
	answered time.Duration
	// listed is set once the worker listed the run.
	listed bool
	placed time.Duration
	// stopping is set once a stop was decided; stopSent and stopAnswered are the times of the last order.
	stopping     bool
	stopSent     time.Duration
	stopAnswered time.Duration
	// atWork tells whether a lasting item was at work when last reported.
	atWork bool
	// percent and progressed tell how far the run is and when that last rose.
	percent    int
	progressed time.Duration
	load       int64
	// pace is the ordered share of a filling item, in percent.
	pace     int
	paceSent time.Duration
}

// ghost is a run that was given up without its end being known.
type ghost struct {
	worker string
	run    int64
}

// id names the item.
func (i *item) id() work.ItemID {
	return work.ItemID{Job: i.step.job.def.ID, Occurrence: i.step.occurrence, Step: i.step.number, Index: i.index}
}

// stepRun is a step of one occurrence of a job.
type stepRun struct {
	job        *job
	occurrence int
	number     int
	def        *work.Step
	items      []*item
	done       int
	// rack is where the items of a step with SameRack run; empty while none does.
	rack string
}

// onWorker counts the items that are placed on the worker.
func (s *stepRun) onWorker(w *worker) int {
	n := 0
	for _, i := range s.items {
		if i.worker == w {
			n++
		}
	}
	return n
}

// count counts the items in the state.
func (s *stepRun) count(state itemState) int {
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
	// shownCompleted and shownFailed follow completed and failed once these are durable.
	shownCompleted bool
	shownFailed    bool
	shownCancelled bool
	begun          bool
	// steps holds the steps of occurrence k at k * len(def.Steps).
	steps    []*stepRun
	accepted time.Duration
	ended    time.Duration
	// ahead is by how many steps its customer was ahead of its share when the job came.
	ahead int
}

func newJob(def *work.Job) *job {
	j := &job{def: def}
	for k := range def.Occurrences() {
		for number := range def.Steps {
			step := &stepRun{job: j, occurrence: k, number: number, def: &def.Steps[number]}
			for index := range step.def.Count {
				step.items = append(step.items, &item{step: step, index: index, pace: fullPace})
			}
			j.steps = append(j.steps, step)
		}
	}
	return j
}

// over reports whether nothing of the job is to be started any more.
func (j *job) over() bool { return j.cancelled || j.failed || j.completed }

// stepOf returns the step, or nil for numbers that the job doesn't have.
func (j *job) stepOf(occurrence, number int) *stepRun {
	at := occurrence*len(j.def.Steps) + number
	if number >= len(j.def.Steps) || at >= len(j.steps) {
		return nil
	}
	return j.steps[at]
}

// ready reports whether the items of the step may start.
func (j *job) ready(s *stepRun, wall time.Time) bool {
	if j.over() || wall.Before(j.def.DueAt(s.occurrence)) {
		return false
	}
	for _, before := range s.def.After {
		if earlier := j.stepOf(s.occurrence, before); earlier != nil && earlier.done < len(earlier.items) {
			return false
		}
	}
	return true
}

// worker is a worker of the fleet as this term knows it.
type worker struct {
	entry infra.WorkerEntry
	rack  string
	// born is that of the last report or entry; 0 when unknown.
	born int64
	// listed is set while the platform lists the worker.
	listed bool
	// known is set once it reported under this term's token, so that all that it runs is known.
	known bool
	// gone workers have ended; another one may have their address.
	gone bool

	items map[*item]struct{}
	used  work.Resources

	// clockMs is the worker's clock as reported, clockAt when the report arrived.
	clockMs int64
	clockAt time.Duration
	// leaseEnd is when everything that was ever ordered there has certainly lapsed.
	leaseEnd time.Duration
	// handled is the highest number of an end that was taken into the state, seen the highest durable one.
	handled int64
	seen    int64
	// contact is when the last report arrived, probed when the last failed hold was sent.
	contact  time.Duration
	failing  int
	pausedTo time.Duration
	// stragglerPause is how long the worker was last paused for stragglers.
	stragglerPause time.Duration
	// streak counts failed runs since the last one that was done.
	streak int
	// cordoned workers get no new work since their host is to go down or move.
	cordoned bool
	// vacating workers get no new work since their host is wanted elsewhere.
	vacating bool
	// calm is since when the serving items are well below their targets.
	calm time.Duration
	// added is when this term first heard of the worker.
	added time.Duration
	// wake tells the link that there is something to ask for.
	wake chan struct{}
}

func newWorker(entry infra.WorkerEntry) *worker {
	return &worker{entry: entry, born: entry.StartUnixMs, rack: rackOf(entry.Labels), items: map[*item]struct{}{}, wake: make(chan struct{}, 1)}
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

// free is the capacity without what is placed.
func (w *worker) free() work.Resources { return w.entry.Capacity.Minus(w.used) }

// lastingMilli is what lasting work takes of the worker's capacity, in thousandths of a core.
func (w *worker) lastingMilli() int64 {
	milli := int64(0)
	for i := range w.items {
		if i.step.def.Lasting {
			milli += i.step.need().CPUMilli
		}
	}
	return milli
}

// need is what the item takes of a worker.
func (s *stepRun) need() work.Resources {
	need := s.def.Need
	if s.def.Filling {
		need.CPUMilli = 0
	}
	return need
}

func (w *worker) nudge() {
	periodic.Wake(w.wake)
}
