package scheduler

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/work"
)

const (
	// LeaderLease is how long after its last confirmed append a term may still send orders that extend
	// leases. Together with the lease it is how long running work outlives an outage of the log, and
	// how long a new term waits for work on workers that it can't reach.
	LeaderLease = 2 * time.Second
	// minClockRate is how much slower than true a worker's clock may be: the platform allows 2%.
	minClockRate = 0.975
	// leaseEndMargin is added to the computed end of a lease for the granularity of clocks.
	leaseEndMargin = 100 * time.Millisecond
	// fullPacePercent is the pace of a filling item at its start, in percent.
	fullPacePercent = 100
	// logStallTimeout is how long an append may take before new jobs are turned away: a slow log takes up to
	// half a second, and a job that waits for one that is down can't be told apart from an accepted one.
	logStallTimeout = 700 * time.Millisecond
	// runsPerTerm spaces the run numbers of terms, so that they rise without a record of each start.
	runsPerTerm = 10000
)

// Options are the settings of a Core.
type Options struct {
	// Lease is how long a worker keeps what it runs after it heard from the scheduler.
	Lease time.Duration
	// EndedJobRetention is how long the state of an ended job is shown.
	EndedJobRetention time.Duration
	// HostOrderDelay is how long a new term waits before it orders hosts to move or go down, so that
	// two holders don't take turns.
	HostOrderDelay time.Duration
	// HostMoveTime is how long a host does nothing when it changes its pool.
	HostMoveTime time.Duration
}

// Outcome answers a submission or cancellation.
type Outcome struct {
	Kind OutcomeKind
	// RetryAfter is when a rejected job may be tried again.
	RetryAfter time.Duration
	// Reason says in a word why a job was rejected.
	Reason string
}

// OutcomeKind is the closed list of outcomes.
type OutcomeKind uint8

const (
	// OutcomeDone: the job is accepted or cancelled, and that is durable.
	OutcomeDone OutcomeKind = iota
	// OutcomeRejected: the job isn't accepted and never runs.
	OutcomeRejected
	// OutcomeNotFound: there is no such job.
	OutcomeNotFound
	// OutcomeUnknown: the term ended before the outcome was durable.
	OutcomeUnknown
	// OutcomeUnavailable: the log doesn't take the outcome, so that nothing was done.
	OutcomeUnavailable
)

// JobState is what callers are shown of a job.
type JobState string

// States of jobs.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobCompleted JobState = "completed"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
)

// OrderKind is what a worker is told to do.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// Order is an order to a worker. Starts are sent at once, while the batch that records them is
// written; stops and paces are sent with them. A later term asks all workers what they run before
// it starts anything of a job that it inherited, so that a start whose record was lost is found.
type Order struct {
	Kind   OrderKind
	Worker infra.WorkerRef
	Item   work.ItemID
	Run    int64
	// Spec and Checkpoint are those of starts, Percent that of paces.
	Spec       string
	Checkpoint string
	Percent    int
	// Needs advice: the start needs a ticket of the advice service.
	NeedsAdvice bool
}

// Batch is what must become durable together, with its effects.
type Batch struct {
	Records     []infra.Record
	Orders      []Order
	changedJobs []*job
	waiters     []chan<- Outcome
	durableEnds map[*worker]int64
	droppedJobs []string
}

// Core is the state of the scheduler in one term.
type Core struct {
	mu        sync.Mutex
	clock     boottime.Clock
	wall      func() time.Time
	term      int64
	startedAt time.Duration
	// startedUnixMs is the wall time of started in Unix milliseconds; workers born later have no earlier work.
	startedUnixMs int64
	options       Options
	logger        *logrus.Entry

	config *work.Config
	// queuePools maps the queues of config to their pools.
	queuePools map[string]string
	jobs       map[string]*job
	activeJobs map[*job]struct{}
	workers    map[string]*worker
	// customerUsage is what each customer has running.
	customerUsage map[string]work.Resources

	dirtyJobs map[*job]struct{}
	// pendingOrders are sent with the next batch.
	pendingOrders []Order
	waiters       []chan<- Outcome
	droppedJobs   []string
	// extraRecords are written besides those of dirty jobs.
	extraRecords []infra.Record
	// appendStartedAt is since when the batch under way waits for the log; 0 when none does.
	appendStartedAt time.Duration
	// fenced is set when a worker or host has seen a higher token.
	fenced bool
	closed bool

	poolStates   map[string]*poolState
	hosts        hostState
	peakForecast turns
	// offeredJobs are jobs whose work was counted as offered, so that retries of rejected ones count once.
	offeredJobs map[string]time.Duration
	wake        chan struct{}
	metrics     *Metrics
}

// New returns the core of a term.
func New(term int64, options Options, clock boottime.Clock, wall func() time.Time, logger *logrus.Entry, metrics *Metrics) *Core {
	return &Core{
		clock: clock, wall: wall, term: term, startedAt: clock(), startedUnixMs: wall().UnixMilli(), options: options, logger: logger, metrics: metrics,
		jobs: map[string]*job{}, activeJobs: map[*job]struct{}{}, workers: map[string]*worker{}, customerUsage: map[string]work.Resources{},
		dirtyJobs: map[*job]struct{}{}, poolStates: map[string]*poolState{}, wake: make(chan struct{}, 1), hosts: newHostState(),
		peakForecast: newTurns(), offeredJobs: map[string]time.Duration{},
	}
}

// Wakeups returns a channel that gets a value when there may be something to plan or to make durable.
func (c *Core) Wakeups() <-chan struct{} { return c.wake }

func (c *Core) wakeUp() {
	periodic.Wake(c.wake)
}

// SetConfig takes a newer configuration.
func (c *Core) SetConfig(config *work.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil || config.Version > c.config.Version {
		c.config = config
		c.queuePools = make(map[string]string, len(config.Queues))
		for i := range config.Queues {
			// Of queues with one name the first counts.
			if name := config.Queues[i].Name; c.queuePools[name] == "" {
				c.queuePools[name] = config.Queues[i].Pool
			}
		}
		c.wakeUp()
	}
}

// Load takes the jobs that earlier terms left in the log.
func (c *Core) Load(records []infra.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	jobs, unreadable := decodeJobs(records)
	for _, key := range unreadable {
		c.logger.WithFields(logrus.Fields{"event": "job_record_skipped", "key": key}).Error("record of a job can't be read")
	}
	now := c.clock()
	for id, entry := range jobs {
		if entry.def == nil {
			c.droppedJobs = append(c.droppedJobs, id)
			continue
		}
		c.restoreJob(entry, now)
	}
	c.logger.WithFields(logrus.Fields{"event": "state_loaded", "jobs": len(c.jobs), "active": len(c.activeJobs), "term": c.term}).Info("jobs of earlier terms are loaded")
}

// restoreJob rebuilds a job from its records.
func (c *Core) restoreJob(entry *storedJob, now time.Duration) {
	j := newJob(entry.def)
	p := entry.progress
	j.durable, j.definitionWritten, j.begun, j.inherited = true, true, p.Begun, true
	j.cancelled, j.failed, j.completed = p.Cancelled, p.Failed, p.Completed
	j.visibleCancelled, j.visibleFailed, j.visibleCompleted = p.Cancelled, p.Failed, p.Completed
	j.acceptedAt = now - max(0, c.wall().Sub(j.def.Accepted))
	j.endedAt = now
	c.jobs[j.def.ID] = j
	for _, record := range p.Items {
		step := j.stepAt(record.Occurrence, record.Step)
		if step == nil || record.Index >= len(step.items) {
			continue
		}
		c.restoreItem(step.items[record.Index], record, now)
	}
	if !j.finished() || j.placedCount() > 0 {
		c.activeJobs[j] = struct{}{}
	}
}

func (c *Core) restoreItem(i *item, record itemRecord, now time.Duration) {
	i.failures, i.checkpoint, i.run, i.lastAccountedRun = record.Failures, record.Checkpoint, record.Run, record.Run
	switch record.State {
	case itemDone:
		i.state = itemDone
		i.step.doneCount++
	case itemPlaced:
		// The end of the recorded run is still to be accounted for.
		i.inherited, i.placedAt, i.lastAccountedRun = true, now, record.Run-1
		w := c.workers[record.Worker]
		if w == nil {
			w = newWorker(infra.WorkerEntry{ID: record.Worker})
			w.leaseEnd, w.addedAt, w.lastReportAt = c.inheritedLeaseEnd(), now, now
			c.workers[record.Worker] = w
		}
		c.place(i, w)
	}
}

// inheritedLeaseEnd is when everything that earlier terms ordered has certainly lapsed: their self-lease
// may have begun just before this term's claim.
func (c *Core) inheritedLeaseEnd() time.Duration {
	lease := time.Duration(float64(c.options.Lease) / minClockRate)
	return c.startedAt + LeaderLease + lease + 2*leaseEndMargin
}

// placedCount counts the items that run or may run.
func (j *job) placedCount() int {
	n := 0
	for _, step := range j.steps {
		n += step.countInState(itemPlaced)
	}
	return n
}

// place books the item on the worker.
func (c *Core) place(i *item, w *worker) {
	i.state, i.worker = itemPlaced, w
	w.items[i] = struct{}{}
	w.used = w.used.Plus(i.step.reservation())
	customer := i.step.job.def.Customer
	c.customerUsage[customer] = c.customerUsage[customer].Plus(i.step.def.Need)
	if i.step.def.SameRack && i.step.rack == "" {
		i.step.rack = w.rack
	}
}

// release takes the item off its worker; it then waits, unless it is done.
func (c *Core) release(i *item) {
	w := i.worker
	if w == nil {
		return
	}
	delete(w.items, i)
	w.used = w.used.Minus(i.step.reservation())
	customer := i.step.job.def.Customer
	c.customerUsage[customer] = c.customerUsage[customer].Minus(i.step.def.Need)
	i.worker, i.inherited, i.startConfirmedAt, i.reported = nil, false, 0, false
	i.stopping, i.stopOrderedAt, i.stopConfirmedAt, i.available = false, 0, 0, false
	i.progressPercent, i.progressedAt, i.load, i.pacePercent, i.paceOrderedAt = 0, 0, 0, fullPacePercent, 0
	if i.state == itemPlaced {
		i.state = itemWaiting
	}
	if i.step.def.SameRack && i.step.countInState(itemPlaced) == 0 {
		i.step.rack = ""
	}
	c.markDirty(i.step.job)
}

// markDirty marks the job for the next batch.
func (c *Core) markDirty(j *job) {
	c.dirtyJobs[j] = struct{}{}
	c.wakeUp()
}

// Collect plans, and takes what must become durable with its effects. The batch is empty when nothing changed.
func (c *Core) Collect() Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.dropExpired(now)
	c.plan(now)
	batch := Batch{durableEnds: map[*worker]int64{}, Records: c.extraRecords}
	c.extraRecords = nil
	for j := range c.dirtyJobs {
		records, err := encodeJob(j, !j.definitionWritten)
		if err != nil {
			c.logger.WithFields(logrus.Fields{"event": "job_unencodable", "job": j.def.ID}).WithError(err).Error("job can't be encoded")
			continue
		}
		j.definitionWritten = true
		batch.Records = append(batch.Records, records...)
		batch.changedJobs = append(batch.changedJobs, j)
	}
	for _, id := range c.droppedJobs {
		batch.Records = append(batch.Records, infra.Record{Key: definitionPrefix + id}, infra.Record{Key: progressPrefix + id})
	}
	for _, w := range c.workers {
		if w.appliedEnd > w.durableEnd {
			batch.durableEnds[w] = w.appliedEnd
		}
	}
	batch.Orders, batch.waiters, batch.droppedJobs = c.pendingOrders, c.waiters, c.droppedJobs
	if len(batch.Records) > 0 {
		c.appendStartedAt = now
	}
	clear(c.dirtyJobs)
	c.pendingOrders, c.waiters, c.droppedJobs = nil, nil, nil
	return batch
}

// Empty reports whether the batch has no effects.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.Orders) == 0 && len(b.waiters) == 0 && len(b.durableEnds) == 0
}

// Committed releases the effects of a durable batch but for its orders, which the caller sends.
func (c *Core) Committed(batch *Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendStartedAt = 0
	for _, j := range batch.changedJobs {
		j.durable = true
	}
	for _, j := range batch.changedJobs {
		// A later change may already have made the job over; it is shown after its own batch.
		if _, pending := c.dirtyJobs[j]; !pending {
			j.visibleCompleted, j.visibleFailed, j.visibleCancelled = j.completed, j.failed, j.cancelled
		}
	}
	for w, seen := range batch.durableEnds {
		if seen <= w.appliedEnd {
			w.durableEnd = seen
			w.wakeHoldLoop()
		}
	}
	for _, waiter := range batch.waiters {
		waiter <- Outcome{Kind: OutcomeDone}
	}
}

// Abandon answers those whose batch didn't become durable, and everyone after it.
func (c *Core) Abandon(batch *Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	waiting := append(batch.waiters, c.waiters...)
	c.waiters = nil
	for _, waiter := range waiting {
		waiter <- Outcome{Kind: OutcomeUnknown}
	}
}

// Fenced reports whether someone with a higher token was seen.
func (c *Core) Fenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fenced
}

// dropExpired gives up what certainly lapsed, and forgets jobs that ended long ago.
func (c *Core) dropExpired(now time.Duration) {
	for id, w := range c.workers {
		if len(w.items) > 0 && (w.ended || now > w.leaseEnd) {
			c.releaseAllItems(w, now)
		}
		if len(w.items) == 0 && !w.listed && (w.ended || now > w.leaseEnd) {
			w.ended = true
			delete(c.workers, id)
			w.wakeHoldLoop()
		}
	}
	for j := range c.activeJobs {
		if j.finished() && j.placedCount() == 0 {
			delete(c.activeJobs, j)
			j.endedAt = now
		}
	}
	for id, j := range c.jobs {
		if _, busy := c.activeJobs[j]; !busy && j.finished() && now-j.endedAt > c.options.EndedJobRetention {
			delete(c.jobs, id)
			c.droppedJobs = append(c.droppedJobs, id)
		}
	}
}

// releaseAllItems takes everything off a worker whose lease has lapsed or that has ended.
func (c *Core) releaseAllItems(w *worker, now time.Duration) {
	if len(w.items) == 0 {
		return
	}
	c.logger.WithFields(logrus.Fields{"event": "worker_lapsed", "worker": w.entry.ID, "items": len(w.items), "gone": w.ended,
		"silent_ms": (now - w.lastReportAt).Milliseconds()}).Warn("work of a lost worker waits again")
	for i := range w.items {
		i.unresolvedRuns = append(i.unresolvedRuns, unresolvedRun{worker: w.entry.ID, run: i.run})
		c.release(i)
	}
}
