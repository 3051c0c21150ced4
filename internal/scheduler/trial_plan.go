package scheduler

import (
	"cmp"
	"slices"
	"time"

	"turmericyoke/internal/work"
)

// Suspects are placed before other work, those first that have waited longest, on workers without pending starts. For
// those that find none, workers are reserved, which get no other start until a trial has begun there. Trials and
// reserved workers leave half of a pool's workers to other work that waits, so that it isn't held up.

// jobOnHold is a job with suspects that wait for a trial.
type jobOnHold struct {
	job *job
	// oldest is the suspect that has waited longest.
	oldest *item
}

// jobsOnHold returns the jobs with suspects that wait for a trial, those first whose suspects have waited longest.
func (c *Core) jobsOnHold() []jobOnHold {
	if len(c.suspects) == 0 {
		return nil
	}
	oldest := map[*job]*item{}
	wallTime := c.wallClock()
	for i := range c.suspects {
		j := i.step.job
		if !j.durable || !c.waitsAsSuspect(i, wallTime) {
			continue
		}
		if other := oldest[j]; other == nil || i.waitedLonger(other) {
			oldest[j] = i
		}
	}
	jobs := make([]jobOnHold, 0, len(oldest))
	for j, i := range oldest {
		jobs = append(jobs, jobOnHold{job: j, oldest: i})
	}
	slices.SortFunc(jobs, func(a, b jobOnHold) int {
		return cmp.Or(cmp.Compare(a.oldest.waitingSince, b.oldest.waitingSince), cmp.Compare(a.job.def.ID, b.job.def.ID))
	})
	return jobs
}

// planTrials starts suspects on trial, and reserves workers for those that can't start yet. poolFor returns the
// workers that may run a job, or nil.
func (c *Core) planTrials(poolFor func(*job) *candidatePool, now time.Duration) {
	clear(c.jobsOnHoldByPool)
	holds := c.jobsOnHold()
	if len(holds) == 0 {
		c.reserveWorkers(nil, now)
		return
	}
	waiting := map[*candidatePool][]*item{}
	wallTime := c.wallClock()
	c.findOtherWork(poolFor, wallTime)
	for _, hold := range holds {
		pool := poolFor(hold.job)
		if pool != nil && now-hold.oldest.waitingSince > maxTrialDelay && c.withinLimit(hold.oldest) {
			pool.overdue = true
		}
		if pool != nil && (pool.freeTrials(now) > 0 || len(pool.probes) > 0) {
			c.planJob(hold.job, pool, true, now)
		}
		if !c.waitsAsSuspect(hold.oldest, wallTime) || !c.withinLimit(hold.oldest) {
			continue
		}
		c.jobsOnHoldByPool[c.poolOf(hold.job)]++
		if pool != nil {
			waiting[pool] = append(waiting[pool], hold.oldest)
		}
	}
	c.reserveWorkers(waiting, now)
}

// findOtherWork notes in which pools work waits that needs no trial.
func (c *Core) findOtherWork(poolFor func(*job) *candidatePool, wallTime time.Time) {
	for _, waiting := range c.waiting {
		for _, r := range waiting.readyJobs() {
			if pool := poolFor(r.job); pool != nil && !pool.otherWork {
				pool.otherWork = r.job.hasOtherWork(wallTime)
			}
		}
	}
}

// mayProbe reports whether a suspect may start on trial on a worker that is paused after a start that wasn't confirmed.
// Other work isn't held up by that, since it doesn't start there, and the suspects don't wait until the pauses are over.
func (c *Core) mayProbe(w *worker, now time.Duration) bool {
	return w.available() && now < w.pausedUntil && w.pausedUntil == w.probeUntil && w.withinCapacity() && c.mayRelyOnCapacity(w, now)
}

// chooseProbe returns the worker for a waiting suspect among those that get no work but trials, or nil. It joins the
// trial of its job, or begins one where every run is known, so that a crash shows its cause.
func (c *Core) chooseProbe(i *item, pool *candidatePool, now time.Duration) *worker {
	if !c.withinLimit(i) {
		return nil
	}
	need := i.step.reservation()
	excluded := i.excludedWorker(now, len(pool.workers)+len(pool.probes))
	var best *worker
	for _, w := range pool.probes {
		if w == excluded || !w.satisfies(i.step) || !i.step.granted(w, now) || !need.Fits(w.freeCapacity()) || !w.admits(i, true, now) || w.trial == nil && w.unreportedItems > 0 {
			continue
		}
		if w.trial != nil {
			return w
		}
		if best == nil || freeFraction(w.freeCapacity(), w.entry.Capacity) > freeFraction(best.freeCapacity(), best.entry.Capacity) {
			best = w
		}
	}
	return best
}

// reserveWorkers reserves workers for the waiting suspects of each pool, and ends the reservations of the last cycle.
func (c *Core) reserveWorkers(waiting map[*candidatePool][]*item, now time.Duration) {
	for _, w := range c.formerlyReserved {
		w.wasReserved = false
	}
	for _, w := range c.reserved {
		w.wasReserved, w.reserved = true, false
	}
	c.reserved, c.formerlyReserved = c.formerlyReserved[:0], c.reserved
	for pool, items := range waiting {
		c.reserved = append(c.reserved, pool.reserve(items, now)...)
	}
}

// maxTrialDelay is how long a suspect may wait before trials may take more than half of a pool's workers.
const maxTrialDelay = 1500 * time.Millisecond

// maxTrials returns how many of the pool's workers may have trials or be reserved: half of them while other work
// waits and no suspect is overdue, and otherwise all but one, which can start other work at once.
func (p *candidatePool) maxTrials() int {
	total := p.onTrial + len(p.workers)
	if p.otherWork && !p.overdue {
		return max(1, total/2)
	}
	return max(1, total-1)
}

// freeTrials returns how many workers without a trial may get one. A single worker takes trials and other work in
// turn.
func (p *candidatePool) freeTrials(now time.Duration) int {
	trials := p.onTrial
	for _, w := range p.workers {
		if w.trial != nil {
			trials++
		}
	}
	if trials == 0 && len(p.workers) == 1 && p.workers[0].trialEndedAt > 0 && now-p.workers[0].trialEndedAt < trialTime {
		return 0
	}
	return max(0, p.maxTrials()-trials)
}

// reserve reserves a worker for each of the waiting suspects, in their order, while there are any that may get a
// trial. It returns these workers.
func (p *candidatePool) reserve(waiting []*item, now time.Duration) []*worker {
	var reserved []*worker
	free := p.freeTrials(now)
	for _, i := range waiting {
		if free == 0 {
			break
		}
		if w := p.bestToReserve(i, now); w != nil {
			w.reserved = true
			reserved = append(reserved, w)
			free--
		}
	}
	return reserved
}

// bestToReserve returns the worker that is expected to be able to start the suspect first, or nil.
func (p *candidatePool) bestToReserve(i *item, now time.Duration) *worker {
	var best *worker
	need := i.step.reservation()
	for _, w := range p.workers {
		if w.trial != nil || w.reserved || !w.satisfies(i.step) || !i.step.granted(w, now) || !need.Fits(w.entry.Capacity) {
			continue
		}
		if best == nil || compareForTrial(w, best, need, now) < 0 {
			best = w
		}
	}
	return best
}

// compareForTrial compares two workers by how soon they can start a suspect: those come first that were reserved
// before, that have room, that have fewest pending starts, and that have most free capacity.
func compareForTrial(a, b *worker, need work.Resources, now time.Duration) int {
	return cmp.Or(compareBool(!a.wasReserved, !b.wasReserved),
		compareBool(!need.Fits(a.freeCapacity()), !need.Fits(b.freeCapacity())),
		cmp.Compare(a.pendingStarts(now), b.pendingStarts(now)),
		cmp.Compare(freeFraction(b.freeCapacity(), b.entry.Capacity), freeFraction(a.freeCapacity(), a.entry.Capacity)))
}
