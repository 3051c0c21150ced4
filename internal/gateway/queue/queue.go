// Package queue holds requests until they have a right and a place. It is bounded, serves teams by
// share, and sheds load by share.
package queue

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"turmericyoke/internal/fault"
	"turmericyoke/internal/gateway/pipe"
)

// PlaceResult is the result of an attempt to place a request.
type PlaceResult uint8

// Verdicts of a Placer.
const (
	// Placed means that the request has a right and a place.
	Placed PlaceResult = iota
	// NoSlot means that no request of the pool has a place now.
	NoSlot
	// NoOtherEndpoint means that only the endpoint that the request avoids has a free slot.
	NoOtherEndpoint
	// NoRight means that no right of the team is free.
	NoRight
	// NoLease means that this gateway may admit nothing and no peer takes the request.
	NoLease
)

// Placer takes a right and a place for a request together, or neither.
type Placer interface {
	Place(r *pipe.Request) PlaceResult
}

// FleetUsage knows what the rest of the fleet runs.
type FleetUsage interface {
	RunningElsewhere(pool, team string) float64
}

// Limits bound the queue.
type Limits struct {
	// Waiting bounds the requests that wait in one pool.
	Waiting int
	// Bytes bounds the bodies of all waiting requests.
	Bytes int64
}

// retryInterval is the interval at which waiting requests are tried again without an event. Rights that
// arrive, pauses of endpoints that end and loads of peers make room without one.
const retryInterval = 20 * time.Millisecond

// Queue is the queue filter.
type Queue struct {
	limits       Limits
	placer       Placer
	fleetUsage   FleetUsage
	now          func() time.Time
	waitingBytes atomic.Int64
	waiterPool   sync.Pool

	mu    sync.RWMutex
	pools map[string]*poolQueue
}

// New returns an empty queue.
func New(limits Limits, placer Placer, elsewhere FleetUsage, now func() time.Time) *Queue {
	q := &Queue{limits: limits, placer: placer, fleetUsage: elsewhere, now: now, pools: map[string]*poolQueue{}}
	q.waiterPool.New = func() any { return &waiter{ready: make(chan struct{}, 1)} }
	return q
}

// poolQueue returns the queue of a pool. Only names of declared pools reach it, so the map is bounded.
func (q *Queue) poolQueue(name string) *poolQueue {
	q.mu.RLock()
	p, ok := q.pools[name]
	q.mu.RUnlock()
	if ok {
		return p
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if p, ok = q.pools[name]; !ok {
		p = &poolQueue{queue: q, name: name, teams: map[string]*teamQueue{}}
		q.pools[name] = p
	}
	return p
}

// Enter waits until r has a placement, and returns why it got none. A request that comes back
// after an attempt goes before the others of its team.
func (q *Queue) Enter(r *pipe.Request, again bool) *fault.Error {
	p := q.poolQueue(r.PoolName)
	if r.Forwarded && r.RightHeld {
		return q.enterNow(p, r)
	}
	w := q.waiterPool.Get().(*waiter)
	w.request, w.bytes, w.shedFault = r, int64(len(r.In.Body())), nil
	p.mu.Lock()
	p.enqueue(w, again)
	p.placeWaiting()
	p.mu.Unlock()
	err := q.await(p, w)
	w.request = nil
	q.waiterPool.Put(w)
	return err
}

// enterNow places r without a wait, since its sender holds a right and waiting requests hold none.
func (q *Queue) enterNow(p *poolQueue, r *pipe.Request) *fault.Error {
	if verdict := p.placeNow(r); verdict != Placed {
		return refusalFault(r, verdict)
	}
	return nil
}

func (q *Queue) await(p *poolQueue, w *waiter) *fault.Error {
	select {
	case <-w.ready:
		return w.shedFault
	default:
	}
	timer := time.NewTimer(w.request.QueueDeadline.Sub(q.now()))
	defer timer.Stop()
	select {
	case <-w.ready:
		return w.shedFault
	case <-timer.C:
		return q.withdraw(p, w, func(reason PlaceResult) *fault.Error { return refusalFault(w.request, reason) })
	case <-w.request.Ctx.Done():
		return q.withdraw(p, w, callerGoneFault)
	}
}

// withdraw takes w out of the queue, unless it was placed or shed at the same moment.
func (q *Queue) withdraw(p *poolQueue, w *waiter, answer func(reason PlaceResult) *fault.Error) *fault.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.queue != nil {
		reason := w.queue.reason
		p.dequeue(w)
		return answer(reason)
	}
	<-w.ready
	return w.shedFault
}

func callerGoneFault(PlaceResult) *fault.Error {
	return fault.New(fault.CallerGone, "the caller left while the request waited")
}

func refusalFault(r *pipe.Request, verdict PlaceResult) *fault.Error {
	r.Shortage = pipe.Shortage{Free: 0, Needed: 1}
	switch verdict {
	case NoRight:
		return fault.New(fault.TeamLimit, "no right of team %s became free in time", r.Team)
	case NoLease:
		return fault.New(fault.LeaseLapsed, "the lease of the gateway isn't valid")
	}
	return fault.New(fault.QueueTimeout, "no slot of pool %s became free in time", r.PoolName)
}

// Ended notes that a placed request no longer runs. The caller gives its slot back afterwards,
// so that the next request is picked by usage without it.
func (q *Queue) Ended(r *pipe.Request) {
	if !r.Forwarded {
		q.poolQueue(r.PoolName).countEnded(r.Team)
	}
}

// PlaceWaiting tries the waiting requests of the pool again.
func (q *Queue) PlaceWaiting(pool string) {
	q.mu.RLock()
	p, ok := q.pools[pool]
	q.mu.RUnlock()
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placeWaiting()
}

// Run tries all waiting requests again at each tick, until ctx ends.
func (q *Queue) Run(ctx context.Context) error {
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, p := range q.allPools() {
				q.PlaceWaiting(p.name)
			}
		}
	}
}

func (q *Queue) allPools() []*poolQueue {
	q.mu.RLock()
	defer q.mu.RUnlock()
	pools := make([]*poolQueue, 0, len(q.pools))
	for _, p := range q.pools {
		pools = append(pools, p)
	}
	return pools
}

// Load is what one team has on this gateway in one pool.
type Load struct {
	Pool, Team       string
	Share            uint64
	Running, Waiting uint64
}

// Loads returns the loads that aren't zero.
func (q *Queue) Loads() []Load {
	var loads []Load
	for _, p := range q.allPools() {
		p.mu.Lock()
		for _, l := range p.teams {
			loads = append(loads, Load{Pool: p.name, Team: l.team, Share: l.share, Running: l.running, Waiting: l.waiting})
		}
		p.mu.Unlock()
	}
	return loads
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int {
	total := 0
	for _, p := range q.allPools() {
		p.mu.Lock()
		total += p.waiting
		p.mu.Unlock()
	}
	return total
}
