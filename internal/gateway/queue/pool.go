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

	mu      sync.Mutex
	teams   map[string]*teamQueue
	waiting int
}

// queueOf returns the line of the team, and adds it if needed.
func (p *poolQueue) queueOf(team string, share int) *teamQueue {
	l, ok := p.teams[team]
	if !ok {
		l = &teamQueue{team: team}
		p.teams[team] = l
	}
	l.share = uint64(max(share, 1))
	return l
}

// removeIfIdle forgets a line that neither waits nor runs.
func (p *poolQueue) removeIfIdle(l *teamQueue) {
	if l.waiting == 0 && l.running == 0 {
		delete(p.teams, l.team)
	}
}

// enqueue queues w. When the queue is full the team furthest above its share loses its newest request.
func (p *poolQueue) enqueue(w *waiter, again bool) {
	l := p.queueOf(w.request.Team, w.request.Share)
	if again {
		l.pushFront(w)
	} else {
		l.pushBack(w)
	}
	p.waiting++
	p.queue.waitingBytes.Add(w.bytes)
	for p.waiting > p.queue.limits.Waiting || p.queue.waitingBytes.Load() > p.queue.limits.Bytes {
		if !p.shedOne() {
			return
		}
	}
}

func (p *poolQueue) dequeue(w *waiter) {
	l := w.queue
	l.remove(w)
	p.waiting--
	p.queue.waitingBytes.Add(-w.bytes)
	p.removeIfIdle(l)
}

func (p *poolQueue) shedOne() bool {
	p.refreshUsage()
	var victim *teamQueue
	for _, l := range p.teams {
		if l.waiting > 0 && (victim == nil || l.shedBefore(victim)) {
			victim = l
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

func (p *poolQueue) refreshUsage() {
	for _, l := range p.teams {
		l.runningElsewhere = p.queue.fleetUsage.RunningElsewhere(p.name, l.team)
	}
}

// placeWaiting places waiting requests, lowest usage in proportion to share first, until nothing more has a place.
func (p *poolQueue) placeWaiting() {
	if p.waiting == 0 {
		return
	}
	p.refreshUsage()
	for _, l := range p.teams {
		l.blocked = false
	}
	for {
		l := p.nextTeam()
		if l == nil {
			return
		}
		if !p.placeFirst(l) {
			p.setNoSlotReason()
			return
		}
	}
}

// setNoSlotReason notes that the lines that the scan didn't block wait for a slot.
func (p *poolQueue) setNoSlotReason() {
	for _, l := range p.teams {
		if !l.blocked {
			l.reason = NoSlot
		}
	}
}

// nextTeam returns the line to serve next, or nil.
func (p *poolQueue) nextTeam() *teamQueue {
	var best *teamQueue
	for _, l := range p.teams {
		if l.first == nil || l.blocked {
			continue
		}
		if best == nil || l.servedBefore(best) {
			best = l
		}
	}
	return best
}

// placeFirst places the first request of l, and reports whether others may still have a place.
func (p *poolQueue) placeFirst(l *teamQueue) bool {
	w := l.first
	verdict := p.queue.placer.Place(w.request)
	switch verdict {
	case Placed:
		p.countRunning(l, w.request)
		p.dequeue(w)
		w.ready <- struct{}{}
		return true
	case NoSlot:
		return false
	}
	l.blocked, l.reason = true, verdict
	return true
}

// countRunning notes a placed request. The gateway that accepted a request counts it, wherever it runs:
// so the count of what it forwarded is exact and doesn't lag behind by an exchange.
func (p *poolQueue) countRunning(l *teamQueue, r *pipe.Request) {
	if !r.Forwarded {
		l.running++
	}
}

// placeNow places a request that may not wait.
func (p *poolQueue) placeNow(r *pipe.Request) PlaceResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	verdict := p.queue.placer.Place(r)
	if verdict == Placed {
		p.countRunning(p.queueOf(r.Team, r.Share), r)
	}
	return verdict
}

// countEnded notes the end of a request that this gateway accepted.
func (p *poolQueue) countEnded(team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.teams[team]
	if !ok || l.running == 0 {
		return
	}
	l.running--
	p.removeIfIdle(l)
}
