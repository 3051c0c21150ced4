package scheduler

import (
	"slices"

	"turmericyoke/internal/work"
)

// candidatePool holds the workers of a pool that may get new work in one planning cycle. When a pool is full,
// hundreds of jobs wait, and most cycles can place few of them or none. The pool therefore keeps what the cycle
// has learnt of its free capacity, so that a waiting work item usually costs a comparison instead of a pass over
// all workers.
type candidatePool struct {
	workers []*worker
	// maxFree is the largest free amount of each resource on any worker, as of the start of the cycle. Within a
	// cycle free capacity only shrinks, except for what a gang that couldn't be placed gives back.
	maxFree work.Resources
	// tooLarge holds the needs that fitted on no worker in this cycle.
	tooLarge []work.Resources
	// startQueuesFull is set if all workers are in availability zones whose start queues are full.
	startQueuesFull bool
	// separateStarts is set if starts of different jobs should be kept apart, see startSeparationTime.
	separateStarts bool
	// otherWork is set while work waits in the pool that needs no trial.
	otherWork bool
	// overdue is set while a suspect has waited for longer than maxTrialDelay.
	overdue bool
	// probes are further workers that get no work but trials, see mayProbe.
	probes []*worker
	// cold are further workers that get only work for which the others have no capacity, see planOnColdWorkers.
	cold []*worker
	// zones is the result of zoneCapacities.
	zones []zoneCapacity
	// onTrial is the number of further workers of the pool, on which trials of earlier cycles are in progress.
	onTrial int
	// tooLargeForTrials holds the needs of suspects that fitted on no worker that admits a trial in this cycle.
	tooLargeForTrials []work.Resources
}

func (p *candidatePool) add(w *worker) {
	p.workers = append(p.workers, w)
	free := w.freeCapacity()
	p.maxFree = work.Resources{
		CPUMilli: max(p.maxFree.CPUMilli, free.CPUMilli), MemoryMiB: max(p.maxFree.MemoryMiB, free.MemoryMiB), Accelerators: max(p.maxFree.Accelerators, free.Accelerators),
	}
}

// excludes reports whether no worker can take an item with the need in this cycle.
func (p *candidatePool) excludes(need work.Resources) bool {
	if p.startQueuesFull || !need.Fits(p.maxFree) {
		return true
	}
	return containsFitting(p.tooLarge, need)
}

// containsFitting reports whether one of the known needs fits into the given one.
func containsFitting(known []work.Resources, need work.Resources) bool {
	return slices.ContainsFunc(known, func(k work.Resources) bool { return k.Fits(need) })
}

// size returns the number of workers. It is 0 for a nil pool.
func (p *candidatePool) size() int {
	if p == nil {
		return 0
	}
	return len(p.workers) + len(p.cold)
}

// withinCapacity reports whether the runs on the worker are known to need no more than its capacity, which shrinks
// and grows. A worker for which this doesn't hold gets no work, not even work that needs nothing of what it lacks.
func (w *worker) withinCapacity() bool {
	free := w.freeCapacity()
	return w.unknownRuns == 0 && free.CPUMilli >= 0 && free.MemoryMiB >= 0 && free.Accelerators >= 0
}
