package placement

import "slices"

// shape is the size of a waiting job as declared and as estimated.
type shape struct {
	declared Vector
	estimate Vector
}

func shapeOf(job *WaitingJob, ratio UsageRatio) shape {
	return shape{declared: job.Declared, estimate: ratio.Estimate(job.Declared)}
}

// sizeOn returns the decided size on a worker. An estimate above the capacity doesn't keep a job from
// an idle worker that can hold what it declares.
func (s shape) sizeOn(capacity Vector) Vector { return s.estimate.Min(capacity) }

// atLeast reports whether s fits only where other fits.
func (s shape) atLeast(other shape) bool {
	for i := range s.declared {
		if s.declared[i] < other.declared[i] || s.estimate[i] < other.estimate[i] {
			return false
		}
	}
	return true
}

// maxUnplaceableShapes bounds the remembered sizes: few shapes occur, and comparing is done for each waiting job.
const maxUnplaceableShapes = 16

func (p *poolCycle) knownUnplaceable(s shape) bool {
	for i := range p.unplaceable {
		if s.atLeast(p.unplaceable[i]) {
			return true
		}
	}
	return false
}

func (p *poolCycle) recordUnplaceable(s shape) {
	if p.knownUnplaceable(s) {
		return
	}
	p.unplaceable = slices.DeleteFunc(p.unplaceable, func(larger shape) bool { return larger.atLeast(s) })
	if len(p.unplaceable) < maxUnplaceableShapes {
		p.unplaceable = append(p.unplaceable, s)
	}
}

// bestFit returns the worker on which the job leaves the least room, so that large jobs find
// whole workers. Workers that failed the job are taken only when no other could ever hold it.
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

// hasCapableWorker reports whether a worker outside avoid has the capacity for the job.
func (p *poolCycle) hasCapableWorker(s shape, avoid []string) bool {
	for i := range p.pool.Workers {
		w := &p.pool.Workers[i]
		if s.declared.Fits(w.Capacity) && !slices.Contains(avoid, w.Name) {
			return true
		}
	}
	return false
}

// leftoverScore scores the room that stays on the worker, from 0; jobs without accelerators stay off
// workers that have free ones where possible.
func leftoverScore(free Vector, s shape, capacity Vector) float64 {
	left := free.Minus(s.sizeOn(capacity))
	score := 0.0
	for i := range left {
		if capacity[i] > 0 {
			score += float64(left[i]) / float64(capacity[i])
		}
	}
	if s.declared[Accelerators] == 0 && free[Accelerators] > 0 {
		score += float64(len(left))
	}
	return score
}

// reserveWorker keeps one worker free for an aged job: the one that lacks the least. The choice is made
// anew in each cycle; a reserved worker only empties, so it stays the best one or a better one is found.
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
		if lack := shortfall(p.free[i], s.sizeOn(w.Capacity), w.Capacity); best < 0 || lack < lowest {
			best, lowest = i, lack
		}
	}
	if best >= 0 {
		p.reserved[best] = true
		p.reservations++
	}
}

func (p *poolCycle) maxReservations() int {
	return max(1, int(p.options.MaxReservedFraction*float64(len(p.pool.Workers))))
}

// shortfall returns the largest part of a resource that has to become free.
func shortfall(free, size, capacity Vector) float64 {
	lack := 0.0
	for i := range size {
		if capacity[i] > 0 && size[i] > free[i] {
			lack = max(lack, float64(size[i]-free[i])/float64(capacity[i]))
		}
	}
	return lack
}
