package scheduler

import (
	"slices"
	"time"

	"turmericyoke/internal/infra"
)

const (
	// coldPenalty is the penalty of a cold worker in score. It exceeds the sum of all other penalties, so that cold workers
	// are chosen only if no warm one has room.
	coldPenalty = 32.0
	// warmupPenaltyPerSecond is added for each second that a worker is still cold. The difference of 8 s costs as much as a
	// remote rack: both multiply the run time of an item.
	warmupPenaltyPerSecond = 0.5
)

// observeWarmup computes until when the worker is cold from a new entry of the list, before the entry is applied. The time
// counts down from when an entry was read first: the list may show the same entry again.
func (w *worker) observeWarmup(entry infra.WorkerEntry, now time.Duration) {
	switch {
	case entry.WarmupLeft <= 0:
		w.warmAt = 0
	case w.warmAt == 0 || entry.WarmupLeft != w.entry.WarmupLeft || entry.StartUnixMs != w.entry.StartUnixMs:
		w.warmAt = now + entry.WarmupLeft
	}
}

// isCold reports whether the worker is still slow after its start.
func (w *worker) isCold(now time.Duration) bool { return now < w.warmAt }

// warmupPenalty is the penalty of the worker in score: the colder it is, the higher.
func (w *worker) warmupPenalty(now time.Duration) float64 {
	if !w.isCold(now) {
		return 0
	}
	return coldPenalty + warmupPenaltyPerSecond*(w.warmAt-now).Seconds()
}

// admitCold adds the cold workers to those that may get new work.
func (p *candidatePool) admitCold() {
	for _, w := range p.cold {
		p.add(w)
	}
	p.cold = p.cold[:0]
	p.tooLarge, p.tooLargeForTrials = nil, nil
}

// planOnColdWorkers places the work for which no warm worker of its pool has capacity, the least urgent first: urgent work
// would take several times as long there, and is the first to get what becomes free on warm workers. A pool that has only
// cold workers has used them already.
func (c *Core) planOnColdWorkers(held bool, now time.Duration) {
	opened := map[*candidatePool]bool{}
	for _, waiting := range c.waiting {
		if pool := waiting.candidates; pool != nil && len(pool.cold) > 0 {
			pool.admitCold()
			pool.checkStartQueues()
			opened[pool] = true
		}
	}
	if len(opened) == 0 {
		return
	}
	for _, placeable := range slices.Backward(c.placeableJobs(held)) {
		if opened[placeable.pool] && !placeable.pool.excludes(placeable.leastNeed) {
			c.planJob(placeable.job, placeable.pool, false, now)
		}
	}
}
