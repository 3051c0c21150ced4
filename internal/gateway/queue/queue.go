// Package queue holds requests until a right and a slot or peer are available for them. The queue is bounded,
// serves teams in proportion to their shares, and sheds load by share when it is full.
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

// Results of a Placer.
const (
	// Placed means that the request has a right, and a slot or peer to run on.
	Placed PlaceResult = iota
	// NoSlot means that no request of the pool can be placed now, since no slot is free.
	NoSlot
	// NoOtherEndpoint means that no endpoint has a free slot, except possibly the one on the request's excluded
	// host.
	NoOtherEndpoint
	// NoRight means that no right of the team is free.
	NoRight
	// NoLease means that this gateway may not run the request, since its lease has lapsed, and that it wasn't
	// placed on a peer.
	NoLease
)

// Placer acquires a right and a slot or peer for a request together, or neither.
type Placer interface {
	Place(r *pipe.Request) PlaceResult
}

// FleetUsage returns the usage of the teams on other gateways.
type FleetUsage interface {
	// RunningElsewhere returns the smoothed number of requests that other gateways report as running.
	RunningElsewhere(pool, team string) float64
}

// Limits are the limits of the queue.
type Limits struct {
	// Waiting is the maximum number of waiting requests in one pool.
	Waiting int
	// Bytes is the maximum total size of the bodies of all waiting requests.
	Bytes int64
}

// retryInterval is the interval at which Run tries to place all waiting requests. New rights, the end of an
// endpoint's pause and new reports of peers may allow a placement without a call of PlaceWaiting.
const retryInterval = 20 * time.Millisecond

// Queue holds the waiting requests of all pools. Its methods are safe for concurrent use.
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
func New(limits Limits, placer Placer, fleetUsage FleetUsage, now func() time.Time) *Queue {
	q := &Queue{limits: limits, placer: placer, fleetUsage: fleetUsage, now: now, pools: map[string]*poolQueue{}}
	q.waiterPool.New = func() any { return &waiter{ready: make(chan struct{}, 1)} }
	return q
}

// poolQueue returns the queue of a pool, which it creates if needed. It is called only with the names of
// configured pools, so the map is bounded.
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

// AwaitPlacement waits until r is placed, or returns why it wasn't. requeued is set for a request that returns
// after a failed attempt. It is queued before the other requests of its team.
func (q *Queue) AwaitPlacement(r *pipe.Request, requeued bool) *fault.Error {
	p := q.poolQueue(r.PoolName)
	if r.Forwarded && r.RightHeld {
		return q.placeOrRefuse(p, r)
	}
	w := q.waiterPool.Get().(*waiter)
	w.request, w.bytes, w.shedFault = r, int64(len(r.HTTPRequest.Body())), nil
	p.mu.Lock()
	p.enqueue(w, requeued)
	p.placeWaiting()
	p.mu.Unlock()
	err := q.await(p, w)
	w.request = nil
	q.waiterPool.Put(w)
	return err
}

// placeOrRefuse places r at once or refuses it: the forwarding gateway holds a right for r, and waiting requests
// must not hold rights.
func (q *Queue) placeOrRefuse(p *poolQueue, r *pipe.Request) *fault.Error {
	if result := p.placeNow(r); result != Placed {
		return refusalFault(r, result)
	}
	return nil
}

// await waits until w is placed or shed, its queue deadline passes, or its caller disconnects.
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

// withdraw removes w from the queue and returns the fault for the reason it waited. If w was placed or shed
// in the meantime, that result counts instead.
func (q *Queue) withdraw(p *poolQueue, w *waiter, faultFor func(reason PlaceResult) *fault.Error) *fault.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.queue != nil {
		reason := w.queue.reason
		p.dequeue(w)
		return faultFor(reason)
	}
	<-w.ready
	return w.shedFault
}

func callerGoneFault(PlaceResult) *fault.Error {
	return fault.New(fault.CallerGone, "the caller left while the request waited")
}

func refusalFault(r *pipe.Request, result PlaceResult) *fault.Error {
	r.Shortage = pipe.Shortage{Free: 0, Needed: 1}
	switch result {
	case NoRight:
		return fault.New(fault.TeamLimit, "no right of team %s became free in time", r.Team)
	case NoLease:
		return fault.New(fault.LeaseLapsed, "the lease of the gateway isn't valid")
	}
	return fault.New(fault.QueueTimeout, "no slot of pool %s became free in time", r.PoolName)
}

// AttemptEnded records that a placed request no longer runs. It must be called before the slot of r is released, so
// that the usage no longer includes r when the next request for the slot is chosen.
func (q *Queue) AttemptEnded(r *pipe.Request) {
	if !r.Forwarded {
		q.poolQueue(r.PoolName).countEnded(r.Team)
	}
}

// PlaceWaiting tries to place the waiting requests of the pool.
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

// Run tries to place all waiting requests at each retryInterval, until ctx ends.
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

// Load is the load of one team in one pool on this gateway.
type Load struct {
	Pool, Team       string
	Share            uint64
	Running, Waiting uint64
}

// Loads returns the loads of the teams that the queue holds, in all pools.
func (q *Queue) Loads() []Load {
	var loads []Load
	for _, p := range q.allPools() {
		p.mu.Lock()
		for _, tq := range p.teams {
			loads = append(loads, Load{Pool: p.name, Team: tq.team, Share: tq.share, Running: tq.running, Waiting: tq.waiting})
		}
		p.mu.Unlock()
	}
	return loads
}

// Waiting returns the number of waiting requests of all pools.
func (q *Queue) Waiting() int {
	total := 0
	for _, p := range q.allPools() {
		p.mu.Lock()
		total += p.waiting
		p.mu.Unlock()
	}
	return total
}
