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
	lines   map[string]*line
	waiting int
}

// line returns the line of the team, and adds it if needed.
func (p *poolQueue) line(team string, share int) *line {
	l, ok := p.lines[team]
	if !ok {
		l = &line{team: team}
		p.lines[team] = l
	}
	l.share = uint64(max(share, 1))
	return l
}

// dropIdle forgets a line that neither waits nor runs.
func (p *poolQueue) dropIdle(l *line) {
	if l.waiting == 0 && l.running == 0 {
		delete(p.lines, l.team)
	}
}

// enter queues w. When the queue is full the team furthest above its share loses its newest request.
func (p *poolQueue) enter(w *waiter, again bool) {
	l := p.line(w.request.Team, w.request.Share)
	if again {
		l.pushFront(w)
	} else {
		l.pushBack(w)
	}
	p.waiting++
	p.queue.bytes.Add(w.bytes)
	for p.waiting > p.queue.limits.Waiting || p.queue.bytes.Load() > p.queue.limits.Bytes {
		if !p.shedOne() {
			return
		}
	}
}

func (p *poolQueue) leave(w *waiter) {
	l := w.line
	l.remove(w)
	p.waiting--
	p.queue.bytes.Add(-w.bytes)
	p.dropIdle(l)
}

func (p *poolQueue) shedOne() bool {
	p.refreshUsage()
	var victim *line
	for _, l := range p.lines {
		if l.waiting > 0 && (victim == nil || l.above(victim)) {
			victim = l
		}
	}
	if victim == nil {
		return false
	}
	w := victim.last
	w.request.Shortage = pipe.Shortage{Free: 0, Needed: 1}
	w.shed = fault.New(fault.QueueFull, "the queue of pool %s is full and team %s is furthest above its share", p.name, victim.team)
	p.leave(w)
	w.ready <- struct{}{}
	return true
}

func (p *poolQueue) refreshUsage() {
	for _, l := range p.lines {
		l.elsewhere = p.queue.elsewhere.RunningElsewhere(p.name, l.team)
	}
}

// pump places waiting requests, lowest usage in proportion to share first, until nothing more has a place.
func (p *poolQueue) pump() {
	if p.waiting == 0 {
		return
	}
	p.refreshUsage()
	for _, l := range p.lines {
		l.blocked = false
	}
	for {
		l := p.pick()
		if l == nil {
			return
		}
		if !p.placeFirst(l) {
			p.noteNoSlot()
			return
		}
	}
}

// noteNoSlot notes that the lines that the scan didn't block wait for a slot.
func (p *poolQueue) noteNoSlot() {
	for _, l := range p.lines {
		if !l.blocked {
			l.reason = NoSlot
		}
	}
}

// pick returns the line to serve next, or nil.
func (p *poolQueue) pick() *line {
	var best *line
	for _, l := range p.lines {
		if l.first == nil || l.blocked {
			continue
		}
		if best == nil || l.below(best) {
			best = l
		}
	}
	return best
}

// placeFirst places the first request of l, and reports whether others may still have a place.
func (p *poolQueue) placeFirst(l *line) bool {
	w := l.first
	verdict := p.queue.placer.Place(w.request)
	switch verdict {
	case Placed:
		p.count(l, w.request)
		p.leave(w)
		w.ready <- struct{}{}
		return true
	case NoSlot:
		return false
	}
	l.blocked, l.reason = true, verdict
	return true
}

// count notes a placed request. The gateway that accepted a request counts it, wherever it runs:
// so the count of what it forwarded is exact and doesn't lag behind by an exchange.
func (p *poolQueue) count(l *line, r *pipe.Request) {
	if !r.Forwarded {
		l.running++
	}
}

// placeAtOnce places a request that may not wait.
func (p *poolQueue) placeAtOnce(r *pipe.Request) PlaceResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	verdict := p.queue.placer.Place(r)
	if verdict == Placed {
		p.count(p.line(r.Team, r.Share), r)
	}
	return verdict
}

// ended notes the end of a request that this gateway accepted.
func (p *poolQueue) ended(team string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.lines[team]
	if !ok || l.running == 0 {
		return
	}
	l.running--
	p.dropIdle(l)
}
