package scheduler

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/work"
)

// plan stops runs that have to end or to move to another worker, and places waiting work items on workers.
func (c *Core) plan(now time.Duration) {
	if c.config == nil || c.fenced {
		return
	}
	c.advanceRunTimes(now)
	c.adviceRequests, c.startsAwaitingAdvice, c.startsWithoutGrant = nil, 0, 0
	defer c.publishAdviceRequests()
	if now >= c.nextWorkerCheck {
		c.nextWorkerCheck = now + workerCheckInterval
		c.checkWorkers(now)
	}
	c.holdLateItems(now)
	ready := c.rankWaiting(now)
	if ready == 0 {
		c.logHeldJobs(0, now)
		clear(c.jobsOnHoldByPool)
		c.reserveWorkers(nil, now)
		return
	}
	c.examinedWorkers = 0
	defer func() { c.metrics.workersExamined(c.examinedWorkers) }()
	held := c.mayHaveUnrecordedRuns(now)
	c.logHeldJobs(c.countHeld(held), now)
	poolFor := func(j *job) *candidatePool {
		if j.inherited && held {
			return nil
		}
		return c.candidatesFor(j)
	}
	c.findCandidates(now)
	c.planTrials(poolFor, now)
	for _, placeable := range c.placeableJobs(held) {
		if !placeable.pool.excludes(placeable.leastNeed) {
			c.planJob(placeable.job, placeable.pool, false, now)
		}
	}
	c.planOnColdWorkers(held, now)
}

// countHeld returns the number of ready jobs that are held back if inherited jobs are.
func (c *Core) countHeld(inheritedHeld bool) int {
	n := 0
	if !inheritedHeld {
		return n
	}
	for _, waiting := range c.waiting {
		for _, r := range waiting.readyJobs() {
			if r.job.inherited {
				n++
			}
		}
	}
	return n
}

// poolOf returns the pool that runs the job: the current pool of its queue or, if the queue has been
// removed, the pool at the time of acceptance.
func (c *Core) poolOf(j *job) string {
	if pool, known := c.queuePools[j.def.Queue.Name]; known {
		return pool
	}
	return j.def.Queue.Pool
}

// findCandidates finds the workers that may get new work, sorted by ID, for each pool with ready jobs.
func (c *Core) findCandidates(now time.Duration) {
	for name, waiting := range c.waiting {
		waiting.candidates = nil
		if waiting.ready > 0 {
			waiting.candidates = c.candidatesOf(name, &waiting.candidateBuffer, now)
		}
	}
}

// candidatesFor returns the workers that may get work of the job in this cycle; nil if there are none.
func (c *Core) candidatesFor(j *job) *candidatePool {
	if waiting := c.waiting[c.poolOf(j)]; waiting != nil {
		return waiting.candidates
	}
	return nil
}

// candidatesOf sets pool to the workers of the named pool that may get new work, sorted by ID, and returns it; nil if
// there are none.
func (c *Core) candidatesOf(name string, pool *candidatePool, now time.Duration) *candidatePool {
	*pool = candidatePool{workers: pool.workers[:0], probes: pool.probes[:0], cold: pool.cold[:0], tooLarge: pool.tooLarge[:0], tooLargeForTrials: pool.tooLargeForTrials[:0], separateStarts: c.hasRecentCrash(name, now)}
	for _, w := range c.workerLists.byPool[name] {
		probe := c.mayProbe(w, now)
		switch {
		case probe && w.trial == nil:
			pool.probes = append(pool.probes, w)
		case probe || !c.isCandidate(w, now):
		case w.trial == nil && w.isCold(now):
			pool.cold = append(pool.cold, w)
		case w.trial == nil:
			pool.add(w)
		default:
			pool.onTrial++
		}
	}
	if len(pool.workers) == 0 {
		pool.admitCold()
	}
	if len(pool.workers)+len(pool.probes)+pool.onTrial == 0 {
		return nil
	}
	if len(pool.workers) > 0 {
		pool.checkStartQueues()
	}
	return pool
}

// isCandidate reports whether the worker may get new work, apart from trials.
func (c *Core) isCandidate(w *worker, now time.Duration) bool {
	return w.schedulable(now) && w.withinCapacity() && c.mayRelyOnCapacity(w, now)
}

// schedulable reports whether the worker may get new work.
func (w *worker) schedulable(now time.Duration) bool {
	return w.available() && now >= w.pausedUntil
}

// available reports whether the worker may get new work if it isn't paused.
func (w *worker) available() bool {
	return w.listed && w.hasReported && !w.leaves() && !w.vacating && !w.inLostZone && w.failedRenewals == 0
}

// leaves reports whether the worker has ended, drains, is in an evacuated zone, or is on a host that is about to go down or
// to move.
func (w *worker) leaves() bool { return w.ended || w.entry.Draining || w.cordoned || w.evacuated }

// planJob places the waiting work items of the job whose steps are ready to start: those that need a trial if trials
// is set, and the others otherwise.
func (c *Core) planJob(j *job, pool *candidatePool, trials bool, now time.Duration) {
	wallTime := c.wallClock()
	c.setHomeZone(j, pool)
	for _, step := range j.openSteps() {
		switch {
		case !j.isDue(step, wallTime):
		case !step.def.Gang:
			c.planStep(step, pool, trials, now)
		case step.hasSuspects() == trials:
			c.planGang(step, pool, now)
		}
	}
}

// planStep places the waiting work items of the step that need a trial if trials is set, and the others otherwise.
func (c *Core) planStep(step *stepInstance, pool *candidatePool, trials bool, now time.Duration) {
	if !trials && pool.excludes(step.reservation()) {
		return
	}
	placed, asked := 0, false
	for _, i := range step.items {
		if i.state != itemWaiting || i.givenUp || i.suspect() != trials || c.isHeld(i) {
			continue
		}
		w := c.chooseWorker(i, pool, now)
		if w == nil && trials {
			w = c.chooseProbe(i, pool, now)
		}
		if w == nil {
			if step.advice != nil && !asked {
				c.requestAdvice(i, pool, now)
				asked = true
			}
			// The other items of the step have the same needs. None of them can be placed either,
			// unless workers were excluded for this item only.
			if i.avoidedWorker == nil {
				break
			}
			continue
		}
		c.placeAndStart(i, w, now)
		placed++
		if w.startQueue.isFull() {
			pool.checkStartQueues()
		}
	}
	if placed > 0 {
		c.logger.WithFields(logrus.Fields{"event": "items_placed", "job": step.job.def.ID, "occurrence": step.occurrence, "step": step.number,
			"placed": placed, "waiting": step.countInState(itemWaiting), "age_ms": (now - step.job.acceptedAt).Milliseconds(), "on_trial": trials}).Info("work items placed")
	}
}

// planGang places and starts all items of a gang, or none.
func (c *Core) planGang(step *stepInstance, pool *candidatePool, now time.Duration) {
	if !step.gangMayStart() || slices.ContainsFunc(step.items, c.isHeld) {
		return
	}
	if !c.placeGang(step, pool, now) {
		for _, i := range step.items {
			if i.worker != nil {
				c.unplace(i)
			}
		}
		// What the gang had taken is free again.
		pool.tooLarge, pool.tooLargeForTrials = nil, nil
		return
	}
	maxRuns, checkpoint := int64(0), step.items[0].checkpoint
	for _, i := range step.items {
		maxRuns = max(maxRuns, i.termRuns)
	}
	for _, i := range step.items {
		i.termRuns, i.checkpoint = maxRuns, checkpoint
		c.orderStart(i, now)
	}
}

// gangMayStart reports whether all items of a gang wait. The ends of a run come one after the other, and the worker of an
// item may not have listed its end yet.
func (s *stepInstance) gangMayStart() bool {
	return s.countInState(itemWaiting) == len(s.items) && !s.hasGivenUp()
}

// placeGang places the items of a gang. It reports whether there was room for all of them.
func (c *Core) placeGang(step *stepInstance, pool *candidatePool, now time.Duration) bool {
	for _, i := range step.items {
		w := c.chooseWorker(i, pool, now)
		if w == nil {
			if step.advice != nil {
				c.requestAdvice(i, pool, now)
			}
			return false
		}
		i.placedAt = now
		c.place(i, w)
	}
	return true
}

// placeAndStart places the item on the worker and orders its start.
func (c *Core) placeAndStart(i *item, w *worker, now time.Duration) {
	c.place(i, w)
	c.orderStart(i, now)
}

// orderStart gives a placed item its next run number, and orders its start.
func (c *Core) orderStart(i *item, now time.Duration) {
	i.termRuns++
	i.run = (c.term-1)*runsPerTerm + i.termRuns
	i.placedAt, i.progressedAt = now, now
	i.beginTrial(now)
	c.enterStartQueue(i, now)
	c.metrics.placedByZone(i.step, i.worker)
	j := i.step.job
	i.worker.lastStartJob, i.worker.lastStartAt = j, now
	c.observeFirstStart(j, now)
	j.started = true
	order := Order{Kind: OrderStart, Worker: i.worker.ref(), Zone: i.worker.entry.Zone, Item: i.id(), Run: i.run, Spec: j.def.Spec, Checkpoint: i.checkpoint}
	if i.step.advice != nil {
		answer, _ := i.step.adviceFor(i.worker, now)
		order.Ticket, order.TicketValidUntil = answer.ticket, answer.validUntil
	}
	c.plannedStarts = append(c.plannedStarts, order)
	c.markItemDirty(i)
}

// Penalties of a worker in score; the worker with the lowest score is chosen. A rack other than that of
// the data, or of the step's other items, costs more than any difference in free capacity, since it
// multiplies the run time.
const (
	remoteRackPenalty    = 4.0
	avoidedWorkerPenalty = 8.0
	mixedWorkPenalty     = 2.0
	maintenancePenalty   = 1.0
	unresponsivePenalty  = 3.0
	// newTrialPenalty keeps the suspects of a job together, so that fewer workers have trials.
	newTrialPenalty = 1.5
	// mixedStartPenalty keeps the starts of different jobs apart while workers of the pool crash.
	mixedStartPenalty = 1.5
)

// chooseWorker returns the worker for a waiting item, or nil if no worker has enough free capacity or the
// customer's limit is reached.
func (c *Core) chooseWorker(i *item, pool *candidatePool, now time.Duration) *worker {
	step := i.step
	need := step.reservation()
	needsTrial := i.needsTrial()
	if pool.excludes(need) || needsTrial && containsFitting(pool.tooLargeForTrials, need) || !c.withinLimit(i) {
		return nil
	}
	freeTrials := 0
	if needsTrial {
		freeTrials = pool.freeTrials(now)
	}
	excluded := i.excludedWorker(now, len(pool.workers))
	var best *worker
	bestScore := 0.0
	fits := false
	for _, w := range pool.workers {
		c.examinedWorkers++
		if !need.Fits(w.freeCapacity()) || !w.admits(i, needsTrial, now) || needsTrial && w.trial == nil && freeTrials == 0 {
			continue
		}
		fits = true
		if w == excluded || w.startQueue.isFull() || !w.satisfies(step) || step.advice != nil && !step.granted(w, now) {
			continue
		}
		score := c.score(i, w, now)
		if pool.separateStarts && w.startsOtherJob(step.job, now) {
			score += mixedStartPenalty
		}
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	switch {
	case fits:
	case needsTrial:
		pool.tooLargeForTrials = append(pool.tooLargeForTrials, need)
	default:
		pool.tooLarge = append(pool.tooLarge, need)
	}
	return best
}

// withinLimit reports whether the item's customer may run it beside the customer's placed items.
func (c *Core) withinLimit(i *item) bool {
	customer := i.step.job.def.Customer
	limit, ok := c.config.Customers[customer]
	return !ok || c.customerUsage[customer].Plus(i.step.def.Need).Fits(limit.EffectiveLimit())
}

// exclusionTime is how long after a failed run a work item may not run on the same worker.
const exclusionTime = 1500 * time.Millisecond

// excludedWorker returns the worker that may not run the item now: the one on which it failed recently, unless
// the pool has no other. Otherwise a healthy item could use up its attempts on a worker that fails every run.
func (i *item) excludedWorker(now time.Duration, workers int) *worker {
	if i.failedAt == 0 || workers < 2 || now-i.failedAt > exclusionTime {
		return nil
	}
	return i.avoidedWorker
}

// satisfies reports whether the worker has the label that the step requires, and may run another item of the
// step under the step's limit per host.
func (w *worker) satisfies(step *stepInstance) bool {
	if step.def.Label != "" && !slices.Contains(w.entry.Labels, step.def.Label) {
		return false
	}
	return step.def.MaxPerHost <= 0 || step.countOnWorker(w) < step.def.MaxPerHost
}

// score rates a worker for an item; the lowest score is the best.
func (c *Core) score(i *item, w *worker, now time.Duration) float64 {
	step := i.step
	score := step.homeZonePenalty(w)
	if step.def.DataRack != "" && step.def.DataRack != w.rack {
		score += remoteRackPenalty
	}
	if step.def.SameRack && step.rack != "" && step.rack != w.rack {
		score += remoteRackPenalty
	}
	if w.unresponsive(now) {
		score += unresponsivePenalty
	}
	if i.avoidedWorker == w {
		score += avoidedWorkerPenalty
	}
	score += w.warmupPenalty(now)
	if step.def.Lasting && c.fleet.awaitsMaintenance(w.entry.ID) {
		score += maintenancePenalty
	}
	// Work is packed on few workers, and lasting work is kept apart from other work: this leaves whole
	// hosts free to move to other pools, and room for large work items.
	free := freeFraction(w.freeCapacity(), w.entry.Capacity)
	if i.suspect() {
		// The fewer runs there are on the worker, the fewer are lost if the item crashes it.
		free = -free
		if w.trial == nil {
			score += newTrialPenalty
		}
	}
	if step.def.Lasting != w.hasLasting() {
		score += mixedWorkPenalty
	}
	return score + free + w.slownessPenalty
}

// freeFraction returns the free fraction of the scarcer of processor and memory.
func freeFraction(free, capacity work.Resources) float64 {
	cpu, memory := 1.0, 1.0
	if capacity.CPUMilli > 0 {
		cpu = float64(free.CPUMilli) / float64(capacity.CPUMilli)
	}
	if capacity.MemoryMiB > 0 {
		memory = float64(free.MemoryMiB) / float64(capacity.MemoryMiB)
	}
	return min(cpu, memory)
}
