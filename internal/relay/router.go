package relay

import (
	"context"
	"hash/fnv"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"turmericyoke/internal/boottime"
	"turmericyoke/internal/infra"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/work"
)

const (
	// maxRelayDelay bounds how long a call may wait for its turn in this process and at the relay. Workers respond within
	// a few milliseconds, and an order has a time limit of 0.3 s.
	maxRelayDelay = 200 * time.Millisecond
	// orderTimeLimit and renewalTimeLimit are at least the adapter's time limits of calls without one of their own.
	orderTimeLimit   = 400 * time.Millisecond
	renewalTimeLimit = 800 * time.Millisecond
	// otherPathTime is how long calls to a worker keep to the other path, by a relay or direct, after one had no response:
	// a partition may cut off the worker from one of the two processes only.
	otherPathTime = 3 * time.Second
	// unlistedTime is how long calls to a worker are direct that the relay hasn't got in its list yet.
	unlistedTime = 2 * listInterval
	// behindTime is how long a relay gets no calls after it had one that it couldn't send in time.
	behindTime = 500 * time.Millisecond
)

// Router calls workers through relays while the load is worth it, and itself otherwise. It implements infra.Workers.
type Router struct {
	// Direct calls workers from this process.
	Direct infra.Workers
	Self   infra.Member
	// Peers returns the other entry processes, as far as they are known.
	Peers func() []infra.Member
	// Clock also advances while the host is suspended.
	Clock  boottime.Clock
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Logger *logrus.Entry

	counters counters
	// links are the links that are open.
	links        atomic.Pointer[[]*link]
	linksChanged chan struct{}

	// load, and the calls that it has observed until observedAt, belong to maintain.
	load          load
	observedCalls int64
	observedAt    time.Duration
	// opening are the attempts to open links.
	opening sync.WaitGroup

	mu sync.Mutex
	// opened are links that aren't in links yet.
	opened []*link
	// otherPath tells, for workers that left a call unanswered, which path their calls take meanwhile.
	otherPath map[string]pathChoice
	// retryAt is when a connection to a relay may be tried again, by the relay's name.
	retryAt map[string]time.Duration
	// connecting holds the names of relays to which a connection is being opened.
	connecting map[string]bool
}

// pathChoice is the path of the calls to a worker for some time.
type pathChoice struct {
	direct bool
	until  time.Duration
	// blamed is the link of the call that wasn't answered, until a direct call has shown whether the worker is well.
	blamed *link
}

// NewRouter returns a router without links. Run opens them.
func NewRouter(direct infra.Workers, self infra.Member, peers func() []infra.Member, clock boottime.Clock, logger *logrus.Entry) *Router {
	dialer := &net.Dialer{}
	r := &Router{Direct: direct, Self: self, Peers: peers, Clock: clock, Logger: logger, linksChanged: make(chan struct{}, 1),
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp4", address)
		},
		load: load{cpuMilli: self.CPUMilli}, observedAt: clock(),
		otherPath: map[string]pathChoice{}, retryAt: map[string]time.Duration{}, connecting: map[string]bool{}}
	r.links.Store(&[]*link{})
	return r
}

// hashOf returns a hash of the text.
func hashOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text)) // A hash never returns an error.
	return hash.Sum64()
}

// mixHashes returns a hash of two hashes.
func mixHashes(a, b uint64) uint64 {
	const odd = 0x9e3779b97f4a7c15
	mixed := (a ^ b>>32 ^ b<<32) * odd
	mixed ^= mixed >> 29
	return mixed * odd
}

// linkFor returns the link for the calls to a worker, or nil if this process is to make the call itself. Each worker keeps
// its relay as long as that is there: it is the one with the highest hash of both names, in the availability zone of the
// worker if there is one.
func (r *Router) linkFor(worker infra.WorkerRef, now time.Duration) *link {
	links := *r.links.Load()
	if len(links) == 0 || r.prefersDirect(worker.ID, now) {
		return nil
	}
	var best *link
	var bestScore uint64
	bestNear := false
	workerHash := hashOf(worker.ID)
	for _, l := range links {
		if !l.usable(now) {
			continue
		}
		near, score := l.relay.Zone == worker.Zone, mixHashes(l.hash, workerHash)
		if best == nil || near && !bestNear || near == bestNear && score > bestScore {
			best, bestScore, bestNear = l, score, near
		}
	}
	return best
}

// othersBehind reports whether most relays other than that of l are behind with reading their calls, so that the cause is
// this host and not a relay. One other relay shows nothing, since it may be the one at fault.
func (r *Router) othersBehind(l *link, now time.Duration) bool {
	others, behind := 0, 0
	for _, other := range *r.links.Load() {
		if other == l {
			continue
		}
		others++
		if other.isBehind(now) {
			behind++
		}
	}
	return behind >= 2 && 2*behind > others
}

// forgetPaths forgets the choices that have run out, for example of workers that have left.
func (r *Router) forgetPaths(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.otherPath, func(_ string, choice pathChoice) bool { return now >= choice.until })
}

// prefersDirect reports whether the calls to the worker are direct for the time being.
func (r *Router) prefersDirect(worker string, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	choice, chosen := r.otherPath[worker]
	return chosen && choice.direct && now < choice.until
}

// noteOutcome makes the next calls to a worker take the other path after one that the worker hasn't answered. via is the
// link of the call, or nil if it was direct.
func (r *Router) noteOutcome(worker string, via *link, kind infra.ErrorKind, now time.Duration) {
	unanswered := kind == infra.Unknown || kind == infra.Refused
	if via != nil && !unanswered {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	choice, chosen := r.otherPath[worker]
	switch {
	case unanswered:
		r.otherPath[worker] = pathChoice{direct: via != nil, until: now + otherPathTime, blamed: via}
	case chosen && choice.blamed != nil:
		choice.blamed.blame(now)
		choice.blamed = nil
		r.otherPath[worker] = choice
	}
}

// noteNotSent keeps calls from a relay that couldn't send one in time, and a worker's from relays that don't know it.
func (r *Router) noteNotSent(l *link, worker string, why reason, now time.Duration) {
	switch why {
	case reasonExpired, reasonBusy:
		l.behindUntil.Store(int64(now + behindTime))
	case reasonUnlisted:
		r.mu.Lock()
		defer r.mu.Unlock()
		r.otherPath[worker] = pathChoice{direct: true, until: now + unlistedTime}
	}
}

// relayed makes a call through a relay. It returns false if the call wasn't sent and this process is to make it.
func (r *Router) relayed(ctx context.Context, m *call, timeLimit time.Duration) (outcome, error, bool) {
	now := r.Clock()
	r.counters.calls.Add(1)
	l := r.linkFor(m.Worker, now)
	if l == nil {
		return outcome{}, nil, false
	}
	sendWithin := maxRelayDelay
	if limit, limited := infra.SendLimit(ctx); limited {
		sendWithin = min(sendWithin, limit)
	}
	if deadline, ok := ctx.Deadline(); ok {
		m.TimeLimit = time.Until(deadline)
		timeLimit = min(timeLimit, m.TimeLimit)
		sendWithin = min(sendWithin, m.TimeLimit)
	}
	result := l.call(ctx, m, sendWithin, timeLimit)
	r.counters.resolved(&result)
	switch result.fate {
	case fateKnown:
		r.noteOutcome(m.Worker.ID, l, result.outcome.Kind, now)
		return result.outcome, result.outcome.err(), true
	case fateUnknown:
		if ctx.Err() != nil {
			// The caller's time limit has passed, as it may in a direct call.
			r.noteOutcome(m.Worker.ID, l, infra.Unknown, now)
			return outcome{}, &infra.Error{Kind: infra.Unknown, Op: "relay", Cause: result.cause}, true
		}
		return outcome{}, &infra.Error{Kind: infra.RelayFailed, Op: "relay", Detail: l.relay.Name, Cause: result.cause}, true
	}
	r.noteNotSent(l, m.Worker.ID, result.reason, now)
	return outcome{}, nil, false
}

// errTooLate is the outcome of a call that a relay didn't send, and that must not be sent any more.
var errTooLate = &infra.Error{Kind: infra.Refused, Op: "relay", Detail: "the relay didn't send the call, and it must not be sent any more"}

// do makes a call through a relay or, if it wasn't sent there, directly.
func (r *Router) do(ctx context.Context, worker infra.WorkerRef, m call, timeLimit time.Duration) (outcome, error) {
	m.Worker = worker
	begunAt := r.Clock()
	result, err, made := r.relayed(ctx, &m, timeLimit)
	if made {
		return result, err
	}
	if limit, limited := infra.SendLimit(ctx); limited && r.Clock()-begunAt > limit {
		return outcome{}, errTooLate
	}
	r.counters.direct.Add(1)
	result, err = m.send(ctx, r.Direct)
	if len(*r.links.Load()) > 0 {
		r.noteOutcome(worker.ID, nil, infra.KindOf(err), r.Clock())
	}
	return result, err
}

// Start implements infra.Workers.
func (r *Router) Start(ctx context.Context, worker infra.WorkerRef, order infra.StartOrder) (int64, error) {
	result, err := r.do(ctx, worker, call{Kind: callStart, Order: order}, orderTimeLimit)
	return result.ClockMs, err
}

// Stop implements infra.Workers.
func (r *Router) Stop(ctx context.Context, worker infra.WorkerRef, item work.ItemID, run, token int64) (int64, error) {
	result, err := r.do(ctx, worker, call{Kind: callStop, Order: infra.StartOrder{Item: item, Run: run, Token: token}}, orderTimeLimit)
	return result.ClockMs, err
}

// SetPace implements infra.Workers.
func (r *Router) SetPace(ctx context.Context, worker infra.WorkerRef, item work.ItemID, run int64, percent int, token int64) (int64, error) {
	result, err := r.do(ctx, worker, call{Kind: callPace, Order: infra.StartOrder{Item: item, Run: run, Token: token}, Percent: percent}, orderTimeLimit)
	return result.ClockMs, err
}

// RenewLease implements infra.Workers.
func (r *Router) RenewLease(ctx context.Context, worker infra.WorkerRef, request infra.LeaseRenewal) (infra.WorkerReport, error) {
	result, err := r.do(ctx, worker, call{Kind: callRenewal, Renewal: request}, request.Wait+max(renewalTimeLimit, request.ResponseTime))
	return result.Report, err
}

// Run opens and closes links as the load and the list of entry processes change, until ctx ends.
func (r *Router) Run(ctx context.Context) {
	for ctx.Err() == nil {
		r.maintain(ctx)
		_ = periodic.Wait(ctx, maintainInterval, r.linksChanged)
	}
	r.opening.Wait()
	for _, l := range append(r.takeOpened(), *r.links.Swap(&[]*link{})...) {
		l.close(ctx.Err())
	}
}

// Log logs the use of relays every usageLogInterval until ctx ends, if there was any.
func (r *Router) Log(ctx context.Context) {
	before := r.Usage()
	for periodic.Pause(ctx, usageLogInterval) == nil {
		usage := r.Usage()
		if relays := len(*r.links.Load()); relays > 0 {
			r.Logger.WithFields(usage.fields(before)).WithField("relays", relays).Info("calls to workers through relays")
		}
		before = usage
	}
}
