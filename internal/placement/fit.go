package placement

import "slices"

// shape is the size of a waiting job: the declared size, and the estimate from its team's usage ratio.
type shape struct {
	declared Vector
	estimate Vector
}

func shapeOf(job *WaitingJob, ratio UsageRatio) shape {
	return shape{declared: job.Declared, estimate: ratio.Estimate(job.Declared)}
}

// sizeOn returns the size to allocate on a worker with the capacity. The estimate is limited to the capacity,
// so that a job whose declared size fits can start on an idle worker even if its estimate is larger.
func (s shape) sizeOn(capacity Vector) Vector { return s.estimate.Min(capacity) }

// atLeast reports whether s is at least as large as other in each resource, so that it fits only where other
// fits.
func (s shape) atLeast(other shape) bool {
	for i := range s.declared {
		if s.declared[i] < other.declared[i] || s.estimate[i] < other.estimate[i] {
			return false
		}
	}
	return true
}

// maxUnplaceableShapes bounds the shapes that are remembered as unplaceable. Few different shapes occur, and
// each waiting job is compared with all of them.
const maxUnplaceableShapes = 16

// knownUnplaceable reports whether a shape that is no larger was already found to fit on no worker.
func (p *poolCycle) knownUnplaceable(s shape) bool {
	for i := range p.unplaceable {
		if s.atLeast(p.unplaceable[i]) {
			return true
		}
	}
	return false
}

// recordUnplaceable remembers that the shape fits on no worker. It replaces the larger shapes, which it
// implies.
func (p *poolCycle) recordUnplaceable(s shape) {
	if p.knownUnplaceable(s) {
		return
	}
	p.unplaceable = slices.DeleteFunc(p.unplaceable, func(known shape) bool { return known.atLeast(s) })
	if len(p.unplaceable) < maxUnplaceableShapes {
		p.unplaceable = append(p.unplaceable, s)
	}
}

// bestFit returns the index of the worker on which the job leaves the least free capacity, so that whole
// workers stay free for large jobs. Workers on which the job failed are used only when no other worker has
// the capacity for it.
func (p *poolCycle) bestFit(job *WaitingJob, s shape) (int, bool) {
	if p.knownUnplaceable(s) {
		return -1, false
	}
	avoid := job.Avoid
	if len(avoid) > 0 && !p.hasCapableWorker(s, avoid) {
		avoid = nil
	}
	best, lowest := -1, 0.0
	for i := range p.pool.Workers {
		if p.startsLeft[i] <= 0 || p.reserved[i] {
			continue
		}
		w := &p.pool.Workers[i]
		if !s.declared.Fits(w.Capacity) || !s.sizeOn(w.Capacity).Fits(p.free[i]) || slices.Contains(avoid, w.Name) {
			continue
		}
		if score := leftoverScore(p.free[i], s, w.Capacity); best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	return best, best >= 0
}

// hasCapableWorker reports whether a worker that isn't in avoid has the capacity for the declared size, free
// or not.
func (p *poolCycle) hasCapableWorker(s shape, avoid []string) bool {
	for i := range p.pool.Workers {
		w := &p.pool.Workers[i]
		if s.declared.Fits(w.Capacity) && !slices.Contains(avoid, w.Name) {
			return true
		}
	}
	return false
}

// leftoverScore returns the sum of the fractions of each resource that the job would leave free on the
// worker; lower is better, and 0 is an exact fit. A worker with free accelerators gets a penalty for jobs
// without accelerators, so that they use other workers where possible.
func leftoverScore(free Vector, s shape, capacity Vector) float64 {
	remaining := free.Minus(s.sizeOn(capacity))
	score := 0.0
	for i := range remaining {
		if capacity[i] > 0 {
			score += float64(remaining[i]) / float64(capacity[i])
		}
	}
	if s.declared[Accelerators] == 0 && free[Accelerators] > 0 {
		score += float64(len(remaining))
	}
	return score
}

// reserveWorker reserves the worker with the smallest shortfall for an aged job. The choice is made again in
// each cycle. Since no jobs start on a reserved worker, its shortfall only decreases: it stays the best choice
// unless a better worker is found.
func (p *poolCycle) reserveWorker(job *WaitingJob, s shape) {
	if p.reservations >= p.maxReservations() {
		return
	}
	best, lowest := -1, 0.0
	for i := range p.pool.Workers {
		w := &p.pool.Workers[i]
		if p.reserved[i] || p.startsLeft[i] <= 0 || !s.declared.Fits(w.Capacity) || slices.Contains(job.Avoid, w.Name) {
			continue
		}
		if missing := shortfall(p.free[i], s.sizeOn(w.Capacity), w.Capacity); best < 0 || missing < lowest {
			best, lowest = i, missing
		}
	}
	if best >= 0 {
		p.reserved[best] = true
		p.reservations++
	}
}

// maxReservations returns the number of workers that may be reserved in the pool.
func (p *poolCycle) maxReservations() int {
	return max(1, int(p.options.MaxReservedFraction*float64(len(p.pool.Workers))))
}

// shortfall returns the capacity that has to become free before the size fits: the largest fraction over all
// resources.
func shortfall(free, size, capacity Vector) float64 {
	largest := 0.0
	for i := range size {
		if capacity[i] > 0 && size[i] > free[i] {
			largest = max(largest, float64(size[i]-free[i])/float64(capacity[i]))
		}
	}
	return largest
}
