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
	// SelfLease is how long after its last confirmed append a term may still send orders that extend
	// leases. Together with the lease it is how long running work outlives an outage of the log, and
	// how long a new term waits for work on workers that it can't reach.
	SelfLease = 2 * time.Second
	// clockDrift is how much slower than true a worker's clock may be: the platform allows 2%.
	clockDrift = 0.975
	// lapseMargin is added to the computed end of a lease for the granularity of clocks.
	lapseMargin = 100 * time.Millisecond
	// fullPace is the pace of a filling item at its start, in percent.
	fullPace = 100
	// logStalled is how long an append may take before new jobs are turned away: a slow log takes up to
	// half a second, and a job that waits for one that is down can't be told apart from an accepted one.
	logStalled = 700 * time.Millisecond
	// runsPerTerm spaces the run numbers of terms, so that they rise without a record of each start.
	runsPerTerm = 10000
)

// Options are the settings of a Core.
type Options struct {
	// Lease is how long a worker keeps what it runs after it heard from the scheduler.
	Lease time.Duration
	// KeepEnded is how long the state of an ended job is shown.
	KeepEnded time.Duration
	// HostOrderDelay is how long a new term waits before it orders hosts to move or go down, so that
	// two holders don't take turns.
	HostOrderDelay time.Duration
	// MoveTime is how long a host does nothing when it changes its pool.
	MoveTime time.Duration
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
	// Done: the job is accepted or cancelled, and that is durable.
	Done OutcomeKind = iota
	// Rejected: the job isn't accepted and never runs.
	Rejected
	// NotFound: there is no such job.
	NotFound
	// Undecided: the term ended before the outcome was durable.
	Undecided
	// Unavailable: the log doesn't take the outcome, so that nothing was done.
	Unavailable
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
	Records []infra.Record
	Orders  []Order
	jobs    []*job
	waiters []chan<- Outcome
	seen    map[*worker]int64
	dropped []string
}

// Core is the state of the scheduler in one term.
type Core struct {
	mu      sync.Mutex
	clock   boottime.Clock
	wall    func() time.Time
	term    int64
	started time.Duration
	// startedMs is the wall time of started in Unix milliseconds; workers born later have no earlier work.
	startedMs int64
	options   Options
	logger    *logrus.Entry

	config *work.Config
	// queuePools maps the queues of config to their pools.
	queuePools map[string]string
	jobs       map[string]*job
	active     map[*job]struct{}
	workers    map[string]*worker
	// used is what each customer has running.
	used map[string]work.Resources

	dirty map[*job]struct{}
	// orders are sent with the next batch.
	orders  []Order
	waiters []chan<- Outcome
	dropped []string
	// records are written besides those of dirty jobs.
	records []infra.Record
	// appending is since when the batch under way waits for the log; 0 when none does.
	appending time.Duration
	// fenced is set when a worker or host has seen a higher token.
	fenced bool
	closed bool

	pools map[string]*poolState
	hosts hostState
	turns turns
	// offeredJobs are jobs whose work was counted as offered, so that retries of rejected ones count once.
	offeredJobs map[string]time.Duration
	kick        chan struct{}
	metrics     *Metrics
}

// New returns the core of a term.
func New(term int64, options Options, clock boottime.Clock, wall func() time.Time, logger *logrus.Entry, metrics *Metrics) *Core {
	return &Core{
		clock: clock, wall: wall, term: term, started: clock(), startedMs: wall().UnixMilli(), options: options, logger: logger, metrics: metrics,
		jobs: map[string]*job{}, active: map[*job]struct{}{}, workers: map[string]*worker{}, used: map[string]work.Resources{},
		dirty: map[*job]struct{}{}, pools: map[string]*poolState{}, kick: make(chan struct{}, 1), hosts: newHostState(),
		turns: newTurns(), offeredJobs: map[string]time.Duration{},
	}
}

// Kick returns a channel that gets a value when there may be something to plan or to make durable.
func (c *Core) Kick() <-chan struct{} { return c.kick }

func (c *Core) poke() {
	periodic.Wake(c.kick)
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
		c.poke()
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
			c.dropped = append(c.dropped, id)
			continue
		}
		c.restore(entry, now)
	}
	c.logger.WithFields(logrus.Fields{"event": "state_loaded", "jobs": len(c.jobs), "active": len(c.active), "term": c.term}).Info("jobs of earlier terms are loaded")
}

// restore rebuilds a job from its records.
func (c *Core) restore(entry *stored, now time.Duration) {
	j := newJob(entry.def)
	p := entry.progress
	j.durable, j.definitionWritten, j.begun, j.inherited = true, true, p.Begun, true
	j.cancelled, j.failed, j.completed = p.Cancelled, p.Failed, p.Completed
	j.shownCancelled, j.shownFailed, j.shownCompleted = p.Cancelled, p.Failed, p.Completed
	j.accepted = now - max(0, c.wall().Sub(j.def.Accepted))
	j.ended = now
	c.jobs[j.def.ID] = j
	for _, record := range p.Items {
		step := j.stepOf(record.Occurrence, record.Step)
		if step == nil || record.Index >= len(step.items) {
			continue
		}
		c.restoreItem(step.items[record.Index], record, now)
	}
	if !j.over() || j.placed() > 0 {
		c.active[j] = struct{}{}
	}
}

func (c *Core) restoreItem(i *item, record itemRecord, now time.Duration) {
	i.failures, i.checkpoint, i.run, i.accounted = record.Failures, record.Checkpoint, record.Run, record.Run
	switch record.State {
	case itemDone:
		i.state = itemDone
		i.step.done++
	case itemPlaced:
		// The end of the recorded run is still to be accounted for.
		i.inherited, i.placed, i.accounted = true, now, record.Run-1
		w := c.workers[record.Worker]
		if w == nil {
			w = newWorker(infra.WorkerEntry{ID: record.Worker})
			w.leaseEnd, w.added, w.contact = c.inheritedLease(), now, now
			c.workers[record.Worker] = w
		}
		c.place(i, w)
	}
}

// inheritedLease is when everything that earlier terms ordered has certainly lapsed: their self-lease
// may have begun just before this term's claim.
func (c *Core) inheritedLease() time.Duration {
	lease := time.Duration(float64(c.options.Lease) / clockDrift)
	return c.started + SelfLease + lease + 2*lapseMargin
}

// placed counts the items that run or may run.
func (j *job) placed() int {
	n := 0
	for _, step := range j.steps {
		n += step.count(itemPlaced)
	}
	return n
}

// place books the item on the worker.
func (c *Core) place(i *item, w *worker) {
	i.state, i.worker = itemPlaced, w
	w.items[i] = struct{}{}
	w.used = w.used.Plus(i.step.need())
	customer := i.step.job.def.Customer
	c.used[customer] = c.used[customer].Plus(i.step.def.Need)
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
	w.used = w.used.Minus(i.step.need())
	customer := i.step.job.def.Customer
	c.used[customer] = c.used[customer].Minus(i.step.def.Need)
	i.worker, i.inherited, i.answered, i.listed = nil, false, 0, false
	i.stopping, i.stopSent, i.stopAnswered, i.atWork = false, 0, 0, false
	i.percent, i.progressed, i.load, i.pace, i.paceSent = 0, 0, 0, fullPace, 0
	if i.state == itemPlaced {
		i.state = itemWaiting
	}
	if i.step.def.SameRack && i.step.count(itemPlaced) == 0 {
		i.step.rack = ""
	}
	c.touch(i.step.job)
}

// touch marks the job for the next batch.
func (c *Core) touch(j *job) {
	c.dirty[j] = struct{}{}
	c.poke()
}

// Collect plans, and takes what must become durable with its effects. The batch is empty when nothing changed.
func (c *Core) Collect() Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.expire(now)
	c.plan(now)
	batch := Batch{seen: map[*worker]int64{}, Records: c.records}
	c.records = nil
	for j := range c.dirty {
		records, err := encodeJob(j, !j.definitionWritten)
		if err != nil {
			c.logger.WithFields(logrus.Fields{"event": "job_unencodable", "job": j.def.ID}).WithError(err).Error("job can't be encoded")
			continue
		}
		j.definitionWritten = true
		batch.Records = append(batch.Records, records...)
		batch.jobs = append(batch.jobs, j)
	}
	for _, id := range c.dropped {
		batch.Records = append(batch.Records, infra.Record{Key: definitionPrefix + id}, infra.Record{Key: progressPrefix + id})
	}
	for _, w := range c.workers {
		if w.handled > w.seen {
			batch.seen[w] = w.handled
		}
	}
	batch.Orders, batch.waiters, batch.dropped = c.orders, c.waiters, c.dropped
	if len(batch.Records) > 0 {
		c.appending = now
	}
	clear(c.dirty)
	c.orders, c.waiters, c.dropped = nil, nil, nil
	return batch
}

// Empty reports whether the batch has no effects.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.Orders) == 0 && len(b.waiters) == 0 && len(b.seen) == 0
}

// Committed releases the effects of a durable batch but for its orders, which the caller sends.
func (c *Core) Committed(batch *Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appending = 0
	for _, j := range batch.jobs {
		j.durable = true
	}
	for _, j := range batch.jobs {
		// A later change may already have made the job over; it is shown after its own batch.
		if _, pending := c.dirty[j]; !pending {
			j.shownCompleted, j.shownFailed, j.shownCancelled = j.completed, j.failed, j.cancelled
		}
	}
	for w, seen := range batch.seen {
		if seen <= w.handled {
			w.seen = seen
			w.nudge()
		}
	}
	for _, waiter := range batch.waiters {
		waiter <- Outcome{Kind: Done}
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
		waiter <- Outcome{Kind: Undecided}
	}
}

// Fenced reports whether someone with a higher token was seen.
func (c *Core) Fenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fenced
}

// expire gives up what certainly lapsed, and forgets jobs that ended long ago.
func (c *Core) expire(now time.Duration) {
	for id, w := range c.workers {
		if len(w.items) > 0 && (w.gone || now > w.leaseEnd) {
			c.giveUp(w, now)
		}
		if len(w.items) == 0 && !w.listed && (w.gone || now > w.leaseEnd) {
			w.gone = true
			delete(c.workers, id)
			w.nudge()
		}
	}
	for j := range c.active {
		if j.over() && j.placed() == 0 {
			delete(c.active, j)
			j.ended = now
		}
	}
	for id, j := range c.jobs {
		if _, busy := c.active[j]; !busy && j.over() && now-j.ended > c.options.KeepEnded {
			delete(c.jobs, id)
			c.dropped = append(c.dropped, id)
		}
	}
}

// giveUp takes everything off a worker whose lease has lapsed or that has ended.
func (c *Core) giveUp(w *worker, now time.Duration) {
	if len(w.items) == 0 {
		return
	}
	c.logger.WithFields(logrus.Fields{"event": "worker_lapsed", "worker": w.entry.ID, "items": len(w.items), "gone": w.gone,
		"silent_ms": (now - w.contact).Milliseconds()}).Warn("work of a lost worker waits again")
	for i := range w.items {
		i.ghosts = append(i.ghosts, ghost{worker: w.entry.ID, run: i.run})
		c.release(i)
	}
}
