package placement

import "container/heap"

// cursor is a position in a bucket: the next job to consider.
type cursor struct {
	bucket *Bucket
	next   int
	key    cursorKey
}

// cursorKey orders cursors by the rank of the next job, the weighted dominant share of its team, and the age
// of the job. For overdue and aged jobs the share is 0, so that only their age counts.
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

// cursorHeap is a heap of cursors with the lowest key first; it implements heap.Interface.
type cursorHeap struct{ items []*cursor }

func (h *cursorHeap) Len() int           { return len(h.items) }
func (h *cursorHeap) Less(i, j int) bool { return h.items[i].key.less(h.items[j].key) }
func (h *cursorHeap) Swap(i, j int)      { h.items[i], h.items[j] = h.items[j], h.items[i] }
func (h *cursorHeap) Push(x any)         { h.items = append(h.items, x.(*cursor)) }
func (h *cursorHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

// initCursors adds a cursor for each bucket that has a job which may be placed.
func (p *poolCycle) initCursors() {
	for i := range p.pool.Buckets {
		c := &cursor{bucket: &p.pool.Buckets[i]}
		if p.skipUnplaceable(c) {
			c.key = p.keyOf(c)
			p.cursors.items = append(p.cursors.items, c)
		}
	}
	heap.Init(&p.cursors)
}

// keyOf returns the current key of a cursor. It changes as the plan adds starts to the team's usage.
func (p *poolCycle) keyOf(c *cursor) cursorKey {
	job := c.bucket.Jobs[c.next]
	key := cursorKey{rank: p.rankOf(job, c.bucket.Class), age: job.SubmitOffset}
	if key.rank != rankOverdue && key.rank != rankAged {
		key.share = p.weightedDominantShare(c.bucket.Team)
	}
	return key
}

// advance places the cursor's job, if possible, and moves the cursor to the next job that may be placed. It
// returns false at the end of the bucket.
func (p *poolCycle) advance(c *cursor) bool {
	p.tryPlace(c)
	c.next++
	if !p.skipUnplaceable(c) {
		return false
	}
	c.key = p.keyOf(c)
	return true
}

// skipUnplaceable moves the cursor past jobs that certainly can't start in this cycle, so that they don't block
// the jobs behind them. Jobs that may reserve a worker or preempt aren't skipped. It returns false at the end
// of the bucket, or when the team has no units left.
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

// mayReserveOrPreempt reports whether a job that fits on no worker may still reserve a worker or preempt in
// this cycle.
func (p *poolCycle) mayReserveOrPreempt(rank, team int, s shape) bool {
	switch {
	case rank <= rankUrgent && p.mayFindVictims(team, s):
		return true
	case rank == rankOverdue || rank == rankAged:
		return p.reservations < p.maxReservations()
	}
	return false
}

// tryPlace starts the cursor's job. If the job fits nowhere, it preempts or reserves a worker for it where the
// job's rank permits.
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
