package queue

import (
	"sync"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// poolQueue holds the waiting requests of one pool.
type poolQueue struct {
	queue *Queue
	name  string

	mu    sync.Mutex
	teams map[string]*teamQueue
	// waiting is the number of waiting requests of all teams.
	waiting int
}

// queueOf returns the queue of the team, which it creates if needed, and sets its share.
func (p *poolQueue) queueOf(team string, share int) *teamQueue {
	q, ok := p.teams[team]
	if !ok {
		q = &teamQueue{team: team}
		p.teams[team] = q
	}
	q.share = uint64(max(share, 1))
	return q
}

// removeIfIdle deletes the queue of a team that has no waiting and no running requests.
func (p *poolQueue) removeIfIdle(q *teamQueue) {
	if q.waiting == 0 && q.running == 0 {
		delete(p.teams, q.team)
	}
}

// enqueue adds w at the back of its team's queue, or at the front if it is requeued. While the queue is full,
// the newest request of the team furthest above its share is shed.
func (p *poolQueue) enqueue(w *waiter, requeued bool) {
	q := p.queueOf(w.request.Team, w.request.Share)
	if requeued {
		q.pushFront(w)
	} else {
		q.pushBack(w)
	}
	p.waiting++
	p.queue.waitingBytes.Add(w.bytes)
	for p.waiting > p.queue.limits.Waiting || p.queue.waitingBytes.Load() > p.queue.limits.Bytes {
		if !p.shedOne() {
			return
		}
	}
}

// dequeue removes w, which was placed, shed or withdrawn.
func (p *poolQueue) dequeue(w *waiter) {
	q := w.queue
	q.remove(w)
	p.waiting--
	p.queue.waitingBytes.Add(-w.bytes)
	p.removeIfIdle(q)
}

// shedOne refuses the newest request of the team furthest above its share. It returns false if no request
// waits.
func (p *poolQueue) shedOne() bool {
	p.refreshUsage()
	var victim *teamQueue
	for _, q := range p.teams {
		if q.waiting > 0 && (victim == nil || q.shedBefore(victim)) {
			victim = q
		}
	}
	if victim == nil {
		return false
	}
	w := victim.last
	w.request.Shortage = pipe.Shortage{Free: 0, Needed: 1}
	w.shedFault = fault.New(fault.QueueFull, "the queue of pool %s is full and team %s is furthest above its share", p.name, victim.team)
	p.dequeue(w)
	w.ready <- struct{}{}
	return true
}

// refreshUsage updates the numbers of requests that run on other gateways.
func (p *poolQueue) refreshUsage() {
	for _, q := range p.teams {
		q.runningElsewhere = p.queue.fleetUsage.RunningElsewhere(p.name, q.team)
	}
}

// placeWaiting places waiting requests, those of the team with the lowest usage in proportion to its share
// first, until no more can be placed.
func (p *poolQueue) placeWaiting() {
	if p.waiting == 0 {
		return
	}
	p.refreshUsage()
	for _, q := range p.teams {
		q.blocked = false
	}
	for {
		q := p.nextTeam()
		if q == nil {
			return
		}
		if !p.placeFirst(q) {
			p.setNoSlotReason()
			return
		}
	}
}

// setNoSlotReason records, for the teams that the scan didn't block for another reason, that they wait for
// a slot.
func (p *poolQueue) setNoSlotReason() {
	for _, q := range p.teams {
		if !q.blocked {
			q.reason = NoSlot
		}
	}
}

// nextTeam returns the queue of the team to serve next, or nil if all are empty or blocked.
func (p *poolQueue) nextTeam() *teamQueue {
	var best *teamQueue
	for _, q := range p.teams {
		if q.first == nil || q.blocked {
			continue
		}
		if best == nil || q.servedBefore(best) {
			best = q
		}
	}
	return best
}

// placeFirst tries to place the first request of q, and reports whether requests of other teams may still be
// placed.
func (p *poolQueue) placeFirst(q *teamQueue) bool {
	w := q.first
	result := p.queue.placer.Place(w.request)
	switch result {
	case Placed:
		p.countRunning(q, w.request)
		p.dequeue(w)
		w.ready <- struct{}{}
		return true
	case NoSlot:
		return false
	}
	q.blocked, q.reason = true, result
	return true
}

// countRunning counts a placed request as running. The gateway that accepted a request from the caller counts
// it, wherever it runs, so that its count of forwarded requests is exact and not as old as the last report
// of the peer.
func (p *poolQueue) countRunning(q *teamQueue, r *pipe.Request) {
	if !r.Forwarded {
		q.running++
	}
}

// placeNow tries to place a request that must not wait.
func (p *poolQueue) placeNow(r *pipe.Request) PlaceResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := p.queue.placer.Place(r)
	if result == Placed {
		p.countRunning(p.queueOf(r.Team, r.Share), r)
	}
	return result
}

// countEnded records that a request of the team that this gateway accepted no longer runs.
func (p *poolQueue) countEnded(team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q, ok := p.teams[team]
	if !ok || q.running == 0 {
		return
	}
	q.running--
	p.removeIfIdle(q)
}
