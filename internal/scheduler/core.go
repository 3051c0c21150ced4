package scheduler

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/policy"
	"turmericyoke/internal/work"
)

const (
	// LeaderLease is how long after its last confirmed append to the log a term may still extend worker
	// leases. LeaderLease plus the worker lease bounds how long running work survives an outage of the
	// log, and how long a new term waits before it reschedules work from workers that it can't reach.
	LeaderLease = 2 * time.Second
	// minClockRate is the lowest rate of a worker's clock relative to real time. The platform allows
	// clocks to be 2% slow.
	minClockRate = 0.975
	// leaseEndMargin is added to the computed end of a lease to cover clock granularity.
	leaseEndMargin = 100 * time.Millisecond
	// fullPacePercent is the initial pace of a filling item.
	fullPacePercent = 100
	// logStallTimeout is how long an append may take before new jobs are rejected. A slow log takes up to
	// half a second. While the log is down, a caller can't tell whether its job was accepted.
	logStallTimeout = 700 * time.Millisecond
	// jobExpiryInterval is the interval at which jobs are checked for the end of their retention, and
	// workerCheckInterval the interval at which the runs of all workers are checked for unconfirmed stops,
	// stragglers and draining workers. Both checks pass over everything that the core keeps.
	jobExpiryInterval   = time.Second
	workerCheckInterval = 50 * time.Millisecond
	// maxDelay is how late this process may be before new jobs are rejected. Several such delays add up in the
	// time of a submission, of which callers wait for 3 s.
	maxDelay = 250 * time.Millisecond
	// firstReportTime is how long a term that has loaded its state waits for the first reports of the workers, even if
	// loading took longer than the leases of earlier terms.
	firstReportTime = 2 * time.Second
	// runsPerTerm is the range of run numbers reserved for each term. It keeps the run numbers of an item
	// increasing across terms even if the record of a start was lost.
	runsPerTerm = 10000
)

// Options are the settings of a Core.
type Options struct {
	// Lease is how long a worker keeps its runs after the last renewal by the scheduler.
	Lease time.Duration
	// MaxLease is the longest lease that workers grant: they shorten longer ones.
	MaxLease time.Duration
	// EntryInterval is the interval at which workers write their entries in the list of workers; 0 if it is unknown.
	EntryInterval time.Duration
	// EndedJobRetention is how long the state of a finished job can be queried.
	EndedJobRetention time.Duration
	// HostOrderDelay is how long after an order by an earlier term a new term waits before it orders the
	// same host, so that two schedulers don't alternate as the host's controller.
	HostOrderDelay time.Duration
	// HostMoveTime is how long a host is unavailable while it moves to another pool.
	HostMoveTime time.Duration
	// Advice is set if there is an advice service.
	Advice bool
	// MaxRecordBytes limits the records of the log, see infra.Record.Size; 0 means no limit.
	MaxRecordBytes int
	// MaxStateBytes limits the size of the state of all jobs in memory; 0 means no limit.
	MaxStateBytes int64
	// Policy holds the rules that operators chose for the deployment.
	Policy policy.Policy
}

// OrderKind is the action that an order requests.
type OrderKind uint8

// Kinds of orders.
const (
	OrderStart OrderKind = iota
	OrderStop
	OrderPace
)

// Order is an order to a worker. A start is sent once its record is durable, other orders while the batch is still being
// written to the log. Earlier releases sent starts at once, so that a run may exist although its record was lost. To find such
// runs, a new term asks all workers what they run before it starts items of a job from an earlier term.
type Order struct {
	Kind   OrderKind
	Worker infra.WorkerRef
	// Zone is the availability zone of the worker. It is set for OrderStart.
	Zone string
	Item work.ItemID
	Run  int64
	// Spec and Checkpoint are set for OrderStart, Percent for OrderPace.
	Spec       string
	Checkpoint string
	Percent    int
	// process is worker.restarts at the time of an OrderStop. A stop that an earlier process confirmed says nothing
	// about the next one.
	process int
	// Ticket is the permission of the advice service for an OrderStart, valid until TicketValidUntil. It is empty if the
	// start needs none.
	Ticket           string
	TicketValidUntil time.Duration
}

// Core is the state of the scheduler in one term.
type Core struct {
	mu        sync.Mutex
	clock     boottime.Clock
	wallClock func() time.Time
	term      int64
	// startedAt is when the earlier terms were known to be fenced at the log, and loadedAt when the state was read.
	startedAt, loadedAt time.Duration
	// startedUnixMs is the wall time of startedAt in Unix milliseconds. A worker that started later can't run
	// work of earlier terms, unless it restarted under the ID that it had.
	startedUnixMs int64
	options       Options
	logger        *logrus.Entry

	config *work.Config
	// queuePools maps the names of the queues in config to their pools.
	queuePools map[string]string
	jobs       map[string]*job
	activeJobs map[*job]struct{}
	// startQueues holds the start queue of each availability zone.
	startQueues map[string]*startQueue
	// recurring holds the jobs of which occurrences may have to be created or dropped, see maintainOccurrences.
	recurring map[*job]struct{}
	// memoryUsed is the estimated size of the state of all jobs, in bytes.
	memoryUsed int64
	// nextOccurrenceCheck is when the check of occurrenceCheckInterval is due.
	nextOccurrenceCheck time.Duration
	// waiting holds the jobs that may have work items to place, by pool.
	waiting map[string]*waitingJobs
	// reorder sets the keys of the ready jobs of a pool that don't last; nil for the order by slack. cost is its state.
	reorder func(waiting *waitingJobs, now time.Duration)
	cost    costOrder
	// placeable is the result of placeableJobs.
	placeable []placeableJob
	workers   map[string]*worker
	// workerLists holds the same workers, sorted by ID.
	workerLists workerLists
	// reserved are the workers with reserved set, and formerlyReserved those with wasReserved set.
	reserved, formerlyReserved []*worker
	// workersToAck holds the workers with run ends that may not be durable yet.
	workersToAck map[*worker]struct{}
	// workersListedAt is when the last successful read of the list of workers was requested whose entries count as
	// current; 0 before the first one. listReadAt is when the last one of all was, and listSettledAt is from when on
	// entries count as current again after an outage of the store.
	workersListedAt, listReadAt, listSettledAt time.Duration
	// examinedWorkers is the number of workers that the last planning cycle considered for work items.
	examinedWorkers int64
	// customerUsage is the sum of the resources of each customer's placed items.
	customerUsage map[string]work.Resources

	// lateStarts holds the late starts of each item that has any.
	lateStarts map[work.ItemID][]*lateStart
	// heldItems holds the items of which a late start may be carried out, or that a worker runs although they aren't placed on
	// it.
	heldItems map[*item]struct{}
	// strayWorkers holds the workers whose last report listed such runs, and perhaps others.
	strayWorkers map[*worker]struct{}
	// suspects holds the suspects, and perhaps items that were suspects.
	suspects map[*item]struct{}
	// jobsOnHoldByPool is the number of jobs in each pool of which suspects wait for a trial.
	jobsOnHoldByPool map[string]int

	// dirtyJobs changed since the last batch.
	dirtyJobs map[*job]struct{}
	// pendingOrders are sent with the next batch, and plannedStarts once it is durable.
	pendingOrders, plannedStarts []Order
	// waiters get their outcome once the next batch is durable.
	waiters []jobWaiter
	// deletions are the records that delete those of jobs that are no longer kept, for the next batch.
	deletions []infra.Record
	// pendingRecords are records of waves and host orders for the next batch.
	pendingRecords []infra.Record
	// appendStartedAt is when the append in progress began; 0 if none is in progress. confirmedAt is a time at which the
	// term was certainly not fenced: the last confirmed append began later, or at that time.
	appendStartedAt, confirmedAt time.Duration
	// answersInAppend wait for the append in progress, and nextAnswers for one that begins later.
	answersInAppend, nextAnswers []pendingAnswer
	tombstones                   tombstones
	// fenced is set when a worker or host refused a call because it has seen a higher fencing token.
	fenced bool
	// delay is how late this process has recently been, see ObserveDelay.
	delay time.Duration
	// closed is set by Abandon. The core then takes no further submissions or cancellations.
	closed bool

	statsByPool map[string]*poolStats
	// runTimes predicts run times by kind of work; nil if they are predicted by pool.
	runTimes    *runTimeModel
	fleet       fleetState
	peakTracker peakTracker
	evacuations zoneEvacuations
	// nextJobExpiry and nextWorkerCheck are when the checks of jobExpiryInterval and workerCheckInterval are due, and
	// nextWorkerExpiry is when a worker may have to be dropped, or its items released.
	nextJobExpiry, nextWorkerCheck, nextWorkerExpiry time.Duration
	// settledWorkers holds the IDs of the workers of which noteSettled was told. It outlasts their entries in workers:
	// the list of hosts may show a worker that has ended for a while, and the list of workers may have a late entry.
	settledWorkers map[string]bool
	// jobsHeldSince is since when jobs have been held back because workers may run unrecorded work; 0 if none are.
	jobsHeldSince time.Duration
	// nextSuspectsObservation is when the suspects are counted again.
	nextSuspectsObservation time.Duration
	// zones finds availability zones that are lost.
	zones zoneWatch
	// supply caches what admission needs to know of the pools.
	supply supplyCache
	// offeredJobs maps job IDs to the time at which they were first submitted to this term. Retries of
	// rejected jobs are thus counted once.
	offeredJobs map[string]time.Duration
	wake        chan struct{}
	// adviceRequests are the requests to the advice service that the last planning cycle found due, the most urgent first.
	adviceRequests []AdviceRequest
	adviceWake     chan struct{}
	// startsAwaitingAdvice and startsWithoutGrant are the numbers of work items for which the last planning cycle found
	// room, but only on workers about which the advice service hasn't answered yet, or of which it grants none.
	startsAwaitingAdvice, startsWithoutGrant int
	metrics                                  *Metrics
}

// New returns a Core for the given term. It may serve requests once an append of the term is confirmed that begins after
// this call.
func New(term int64, options Options, clock boottime.Clock, wallClock func() time.Time, logger *logrus.Entry, metrics *Metrics) *Core {
	c := &Core{
		clock: clock, wallClock: wallClock, term: term, startedAt: clock(), confirmedAt: clock(), startedUnixMs: wallClock().UnixMilli(), options: options, logger: logger, metrics: metrics,
		jobs: map[string]*job{}, activeJobs: map[*job]struct{}{}, startQueues: map[string]*startQueue{}, recurring: map[*job]struct{}{}, waiting: map[string]*waitingJobs{}, workers: map[string]*worker{}, workerLists: workerLists{byPool: map[string][]*worker{}}, workersToAck: map[*worker]struct{}{}, customerUsage: map[string]work.Resources{}, lateStarts: map[work.ItemID][]*lateStart{}, heldItems: map[*item]struct{}{}, strayWorkers: map[*worker]struct{}{}, suspects: map[*item]struct{}{}, jobsOnHoldByPool: map[string]int{},
		dirtyJobs: map[*job]struct{}{}, statsByPool: map[string]*poolStats{}, wake: make(chan struct{}, 1), adviceWake: make(chan struct{}, 1), fleet: newFleetState(),
		peakTracker: newPeakTracker(), offeredJobs: map[string]time.Duration{}, tombstones: newTombstones(), supply: supplyCache{expiresAt: -1}, evacuations: zoneEvacuations{}, runTimes: newRunTimeModel(&options),
	}
	if options.Policy.Overload.ByCost() {
		c.reorder = c.rankByCost
	}
	return c
}

// Wakeups returns a channel that receives a value when Collect may have something to do.
func (c *Core) Wakeups() <-chan struct{} { return c.wake }

// wakeUp sends a value to Wakeups, unless one is already waiting there.
func (c *Core) wakeUp() {
	periodic.Wake(c.wake)
}

// SetConfig applies the configuration if it is newer than the current one.
func (c *Core) SetConfig(config *work.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.config == nil || config.Version > c.config.Version {
		c.config = config
		c.queuePools = make(map[string]string, len(config.Queues))
		for i := range config.Queues {
			// If several queues have the same name, the first one counts.
			if name := config.Queues[i].Name; c.queuePools[name] == "" {
				c.queuePools[name] = config.Queues[i].Pool
			}
		}
		c.regroupWaiting()
		c.wakeUp()
	}
}

// EarlierTermsFenced notes that the earlier terms are fenced at the log. Until then they extend leases and start work, so
// that this term counts from now on.
func (c *Core) EarlierTermsFenced() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startedAt, c.startedUnixMs = c.clock(), c.wallClock().UnixMilli()
}

// LastConfirmation returns the term, and the time since the last append began that was confirmed.
func (c *Core) LastConfirmation() (term int64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term, c.clock() - c.confirmedAt
}

// place assigns the item to the worker and reserves its resources.
func (c *Core) place(i *item, w *worker) {
	i.setState(itemPlaced)
	i.addPlaced()
	i.worker = w
	w.add(i)
	customer := i.step.job.def.Customer
	c.customerUsage[customer] = c.customerUsage[customer].Plus(i.step.def.Need)
	if i.step.def.SameRack && i.step.rack == "" {
		i.step.rack = w.rack
	}
}

// release removes the item from its worker and frees its resources. A placed item waits again; an item
// that is done stays done.
func (c *Core) release(i *item) {
	w := i.worker
	if w == nil {
		return
	}
	c.logSlowAnswers(i, c.clock())
	c.keepLateStart(i, w)
	c.unplace(i)
	i.startInFlight, i.unansweredUntil, i.awaitsReportSince = false, 0, 0
	i.inherited, i.startSent, i.startConfirmedAt, i.startClockMs, i.reported, i.survived, i.processUncertain = false, false, 0, 0, false, false, false
	i.stopping, i.stopRequestedAt, i.stopOrderedAt, i.stopConfirmedAt = false, 0, 0, 0
	i.resetProgress()
	i.waitingSince = c.clock()
	c.markItemDirty(i)
}

// unplace takes the item from its worker and frees its resources. By itself, it undoes place for an item that hasn't been
// ordered to start.
func (c *Core) unplace(i *item) {
	c.leaveStartQueue(i)
	i.removePlaced(c.clock())
	i.worker.remove(i, c.clock())
	i.worker = nil
	customer := i.step.job.def.Customer
	c.customerUsage[customer] = c.customerUsage[customer].Minus(i.step.def.Need)
	if i.state == itemPlaced {
		i.setState(itemWaiting)
	}
	if i.step.def.SameRack && i.step.countInState(itemPlaced) == 0 {
		i.step.rack = ""
	}
}

// markItemDirty adds the records of the item and its job to the next batch.
func (c *Core) markItemDirty(i *item) {
	i.step.job.noteChanged(i)
	c.markDirty(i.step.job)
}

// markDirty adds the job's records to the next batch, and the job to those that may have work items to place.
func (c *Core) markDirty(j *job) {
	c.dirtyJobs[j] = struct{}{}
	c.addWaiting(j)
	c.wakeUp()
}

// ObserveDelay records how late a periodic check of this process began. A process that has more to do than its
// host can bear falls behind. Its submissions then reach their callers' time limits, so that callers can't tell
// whether their jobs were accepted; jobs are rejected instead until it has caught up.
func (c *Core) ObserveDelay(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = max(delay, c.delay/2)
}

// Size returns the number of workers and unfinished jobs.
func (c *Core) Size() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.workers) + len(c.activeJobs)
}

// Fenced reports whether a worker or host has seen a higher fencing token than this term's.
func (c *Core) Fenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fenced
}
