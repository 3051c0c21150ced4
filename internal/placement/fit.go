package placement

import "slices"

// shape is the size of a waiting job as declared and as estimated.
type shape struct {
	declared Vector
	estimate Vector
}

func shapeOf(job *WaitingJob, ratio Ratio) shape {
	return shape{declared: job.Declared, estimate: ratio.Estimate(job.Declared)}
}

// on returns the decided size on a worker. An estimate above the capacity doesn't keep a job from
// an idle worker that can hold what it declares.
func (s shape) on(capacity Vector) Vector { return s.estimate.Min(capacity) }

// atLeast reports whether s fits only where other fits.
func (s shape) atLeast(other shape) bool {
	for i := range s.declared {
		if s.declared[i] < other.declared[i] || s.estimate[i] < other.estimate[i] {
			return false
		}
	}
	return true
}

// maxUnfit bounds the remembered sizes: few shapes occur, and comparing is done for each waiting job.
const maxUnfit = 16

func (p *poolCycle) knownUnfit(s shape) bool {
	for i := range p.unfit {
		if s.atLeast(p.unfit[i]) {
			return true
		}
	}
	return false
}

func (p *poolCycle) noteUnfit(s shape) {
	if p.knownUnfit(s) {
		return
	}
	p.unfit = slices.DeleteFunc(p.unfit, func(larger shape) bool { return larger.atLeast(s) })
	if len(p.unfit) < maxUnfit {
		p.unfit = append(p.unfit, s)
	}
}

// bestFit returns the worker on which the job leaves the least room, so that large jobs find
// whole workers. Workers that failed the job are taken only when no other could ever hold it.
func (p *poolCycle) bestFit(job *WaitingJob, s shape) (int, bool) {
	if p.knownUnfit(s) {
		return -1, false
	}
	avoid := job.Avoid
	if len(avoid) > 0 && !p.holdable(s, avoid) {
		avoid = nil
	}
	best, lowest := -1, 0.0
	for i := range p.pool.Workers {
		if p.limit[i] <= 0 || p.reserved[i] {
			continue
		}
		w := &p.pool.Workers[i]
		if !s.declared.Fits(w.Capacity) || !s.on(w.Capacity).Fits(p.free[i]) || slices.Contains(avoid, w.Name) {
			continue
		}
		if score := leftover(p.free[i], s, w.Capacity); best < 0 || score < lowest {
			best, lowest = i, score
		}
	}
	return best, best >= 0
}

// holdable reports whether a worker outside avoid has the capacity for the job.
func (p *poolCycle) holdable(s shape, avoid []string) bool {
	for i := range p.pool.Workers {
		w := &p.pool.Workers[i]
		if s.declared.Fits(w.Capacity) && !slices.Contains(avoid, w.Name) {
			return true
		}
	}
	return false
}

// leftover scores the room that stays on the worker, from 0; jobs without accelerators stay off
// workers that have free ones where possible.
func leftover(free Vector, s shape, capacity Vector) float64 {
	left := free.Minus(s.on(capacity))
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

// reserve keeps one worker free for an aged job: the one that lacks the least. The choice is made
// anew in each cycle; a reserved worker only empties, so it stays the best one or a better one is found.
func (p *poolCycle) reserve(job *WaitingJob, s shape) {
	if p.reservations >= p.maxReservations() {
		return
	}
	best, lowest := -1, 0.0
	for i := range p.pool.Workers {
		w := &p.pool.Workers[i]
		if p.reserved[i] || p.limit[i] <= 0 || !s.declared.Fits(w.Capacity) || slices.Contains(job.Avoid, w.Name) {
			continue
		}
		if lack := lacking(p.free[i], s.on(w.Capacity), w.Capacity); best < 0 || lack < lowest {
			best, lowest = i, lack
		}
	}
	if best >= 0 {
		p.reserved[best] = true
		p.reservations++
	}
}

func (p *poolCycle) maxReservations() int {
	return max(1, int(p.options.ReservedPart*float64(len(p.pool.Workers))))
}

// lacking returns the largest part of a resource that has to become free.
func lacking(free, size, capacity Vector) float64 {
	lack := 0.0
	for i := range size {
		if capacity[i] > 0 && size[i] > free[i] {
			lack = max(lack, float64(size[i]-free[i])/float64(capacity[i]))
		}
	}
	return lack
}
