package placement

import "container/heap"

// cursor is a position in a bucket.
type cursor struct {
	bucket *Bucket
	next   int
	key    cursorKey
}

// cursorKey orders cursors by rank, share and age. Overdue and aged jobs have share 0.
type cursorKey struct {
	rank  int
	share float64
	age   int64
}

func (k cursorKey) less(other cursorKey) bool {
	if k.rank != other.rank {
		return k.rank < other.rank
	}
	if k.share != other.share {
		return k.share < other.share
	}
	return k.age < other.age
}

type cursorHeap struct{ cursors []*cursor }

func (h *cursorHeap) Len() int           { return len(h.cursors) }
func (h *cursorHeap) Less(i, j int) bool { return h.cursors[i].key.less(h.cursors[j].key) }
func (h *cursorHeap) Swap(i, j int)      { h.cursors[i], h.cursors[j] = h.cursors[j], h.cursors[i] }
func (h *cursorHeap) Push(x any)         { h.cursors = append(h.cursors, x.(*cursor)) }
func (h *cursorHeap) Pop() any {
	last := h.cursors[len(h.cursors)-1]
	h.cursors = h.cursors[:len(h.cursors)-1]
	return last
}

func (p *poolCycle) initCursors() {
	for i := range p.pool.Buckets {
		c := &cursor{bucket: &p.pool.Buckets[i]}
		if p.skipUnplaceable(c) {
			c.key = p.keyOf(c)
			p.cursors.cursors = append(p.cursors.cursors, c)
		}
	}
	heap.Init(&p.cursors)
}

// keyOf returns the current key of a cursor; the share changes as the plan grows.
func (p *poolCycle) keyOf(c *cursor) cursorKey {
	job := c.bucket.Jobs[c.next]
	key := cursorKey{rank: p.rankOf(job, c.bucket.Class), age: job.SubmitOffset}
	if key.rank != rankOverdue && key.rank != rankAged {
		key.share = p.weightedDominantShare(c.bucket.Team)
	}
	return key
}

// advance places the cursor's job, if possible, and moves on to the next one that may be placed.
// It returns false at the end of the bucket.
func (p *poolCycle) advance(c *cursor) bool {
	p.tryPlace(c)
	c.next++
	if !p.skipUnplaceable(c) {
		return false
	}
	c.key = p.keyOf(c)
	return true
}

// skipUnplaceable moves the cursor past jobs that surely can't start in this cycle, so that they
// hold up nobody. Jobs that may reserve or preempt aren't skipped.
func (p *poolCycle) skipUnplaceable(c *cursor) bool {
	for ; c.next < len(c.bucket.Jobs); c.next++ {
		if p.freeUnits[c.bucket.Team] == 0 {
			return false
		}
		job := c.bucket.Jobs[c.next]
		if job.Units > p.freeUnits[c.bucket.Team] || p.claimed[job.Job] {
			continue
		}
		s := shapeOf(job, c.bucket.Ratio)
		if !p.knownUnplaceable(s) || p.mayReserveOrPreempt(p.rankOf(job, c.bucket.Class), c.bucket.Team, s) {
			return true
		}
	}
	return false
}

// mayReserveOrPreempt reports whether a job that fits nowhere may still reserve or preempt in this cycle.
func (p *poolCycle) mayReserveOrPreempt(rank, team int, s shape) bool {
	switch {
	case rank <= rankUrgent && p.mayFindVictims(team, s):
		return true
	case rank == rankOverdue || rank == rankAged:
		return p.reservations < p.maxReservations()
	}
	return false
}

// tryPlace starts the cursor's job, or keeps or makes room for it where its rank permits.
func (p *poolCycle) tryPlace(c *cursor) {
	job := c.bucket.Jobs[c.next]
	if job.Units > p.freeUnits[c.bucket.Team] {
		return
	}
	s := shapeOf(job, c.bucket.Ratio)
	rank := p.rankOf(job, c.bucket.Class)
	if worker, found := p.bestFit(job, s); found {
		p.start(job, c.bucket.Team, worker, s.sizeOn(p.pool.Workers[worker].Capacity), rank <= rankUrgent)
		return
	}
	if len(job.Avoid) == 0 {
		p.recordUnplaceable(s)
	}
	if rank <= rankUrgent && p.preempt(job, c.bucket.Team, s) {
		return
	}
	if rank == rankOverdue || rank == rankAged {
		p.reserveWorker(job, s)
	}
}
