// Package follower reads the fleet stream from the log, or from other controllers while the log can't be
// reached, and folds it into the fleet state.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/boottime"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/proposer"
)

// Log is the platform's log; connect's LogServiceClient implements it.
type Log interface {
	Read(context.Context, *v1.ReadRequest) (*v1.ReadResponse, error)
}

// PeerClient is the set of calls that a follower makes to another controller; connect's
// ControllerServiceClient implements it.
type PeerClient interface {
	Tail(context.Context, *v1.TailRequest) (*v1.TailResponse, error)
	FetchState(context.Context, *v1.FetchStateRequest) (*v1.FetchStateResponse, error)
	Status(context.Context, *v1.StatusRequest) (*v1.StatusResponse, error)
}

// Peer is another controller.
type Peer struct {
	Name   string
	Zone   string
	Client PeerClient
}

// Config holds the identity and the dependencies of a follower.
type Config struct {
	Name        string
	Incarnation string
	// Zone is the availability zone of the controller. Peers in the same zone are asked first.
	Zone   string
	Log    Log
	Peers  []Peer
	Logger *logrus.Entry
	// BootClock also advances while the host is suspended, so that the state ages. It is nil if the host is never
	// suspended.
	BootClock boottime.Clock
}

// Follower holds the fleet state of one process. The offset of the state never decreases. It is safe for
// concurrent use.
type Follower struct {
	cfg   Config
	peers []*peer

	mu            sync.RWMutex
	state         *fold.State
	recentRecords recordBuffer
	// changed is closed and replaced when the state or the health of the follower changes.
	changed chan struct{}
	// stopErr is the error that ended folding for the rest of the process, or nil.
	stopErr *fault.Error
	// recoverableErr is the last error from which the follower can still recover, or nil once it has.
	recoverableErr *fault.Error
	// freshAsOf is the latest time of the clock at which the state is known to have included the head of the log, if
	// freshKnown is set.
	freshAsOf  time.Duration
	freshKnown bool
	// clock is the boot clock, or the time since the follower was made.
	clock boottime.Clock
	// logAnsweredAt is the time of the log's last response.
	logAnsweredAt time.Time
	// logHead is the head offset in that response.
	logHead   int64
	readiness startupReadiness

	// relaySource is the peer from which records are pulled while the log is silent. Only the relay loop
	// accesses it.
	relaySource *peer
	// searchedAllPeers is set after a search of all peers for a source, until a pull succeeds or the log
	// responds again. Only the relay loop accesses it.
	searchedAllPeers bool

	stateCache encodedStateCache

	// outcomeWaiters is the number of calls of Outcome that are waiting for a record. waiterAdded has a
	// buffer of one and receives a value when such a wait begins.
	outcomeWaiters atomic.Int64
	waiterAdded    chan struct{}
}

// New returns a follower without a state. Run loads one.
func New(cfg Config) *Follower {
	clock := cfg.BootClock
	if clock == nil {
		madeAt := time.Now()
		clock = func() time.Duration { return time.Since(madeAt) }
	}
	return &Follower{cfg: cfg, peers: orderPeers(cfg), changed: make(chan struct{}), waiterAdded: make(chan struct{}, 1), clock: clock}
}

// Run follows the stream until ctx ends. If folding has to stop because of an error, the last state stays
// readable.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.collectPeerOffsets(ctx) })
	group.Go(func() error {
		if err := f.loadInitialState(ctx); err != nil {
			return err
		}
		followGroup, ctx := errgroup.WithContext(ctx)
		followGroup.Go(func() error { return f.followLog(ctx) })
		followGroup.Go(func() error { return f.relay(ctx) })
		return followGroup.Wait()
	})
	return group.Wait()
}

// Read calls visit with the state under a read lock, and returns false if no state has been loaded yet.
func (f *Follower) Read(visit func(*fold.State)) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.state == nil {
		return false
	}
	visit(f.state)
	return true
}

// Changed returns a channel that is closed at the next change of the state or of the follower's health. To
// miss no change, call Changed before reading the state.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Offset returns the offset of the last folded record, or 0 if there is no state yet.
func (f *Follower) Offset() int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.offsetLocked()
}

// Wait waits until the offset is above after, or ctx ends, and returns the current offset.
func (f *Follower) Wait(ctx context.Context, after int64) (int64, error) {
	for {
		changed := f.Changed()
		if offset := f.Offset(); offset > after {
			return offset, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return f.Offset(), ctx.Err()
		}
	}
}

// Outcome implements proposer.OutcomeSource.
func (f *Follower) Outcome(ctx context.Context, incarnation string, seq uint64, offset int64) (proposer.Outcome, fold.Verdict, error) {
	for {
		f.mu.RLock()
		changed := f.changed
		outcome, verdict, known := f.outcomeLocked(incarnation, seq, offset)
		stopErr := f.stopErr
		f.mu.RUnlock()
		switch {
		case known:
			return outcome, verdict, nil
		case stopErr != nil:
			return outcome, verdict, stopErr
		}
		if err := f.waitForChange(ctx, changed); err != nil {
			return outcome, verdict, err
		}
	}
}

// waitForChange waits until changed is closed. Meanwhile the log is read without delays between reads.
func (f *Follower) waitForChange(ctx context.Context, changed <-chan struct{}) error {
	f.outcomeWaiters.Add(1)
	defer f.outcomeWaiters.Add(-1)
	periodic.Wake(f.waiterAdded)
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// outcomeLocked returns what the state shows about a proposal, and true if that answers Outcome. f.mu must
// be held.
func (f *Follower) outcomeLocked(incarnation string, seq uint64, offset int64) (proposer.Outcome, fold.Verdict, bool) {
	if f.state == nil {
		return proposer.OutcomeNotFound, fold.Verdict{}, offset == 0
	}
	if verdict, kept := f.state.VerdictOf(incarnation, seq); kept {
		return proposer.OutcomeDecided, verdict, true
	}
	if f.state.LastSeq(incarnation) >= seq {
		return proposer.OutcomeVerdictDropped, fold.Verdict{}, true
	}
	// If the incarnation of a Join has already ended, even its first copy is rejected as a duplicate.
	if verdict, kept := f.state.DuplicateVerdictOf(incarnation, seq); kept {
		return proposer.OutcomeDecided, verdict, true
	}
	return proposer.OutcomeNotFound, fold.Verdict{}, f.state.Offset() >= offset
}

// Freshness returns an upper bound on the time since the state last included the head of the log, which
// was read from the log itself or through a peer. It returns false if the state never included it.
func (f *Follower) Freshness() (time.Duration, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.freshnessLocked()
}

// freshnessLocked implements Freshness. f.mu must be held.
func (f *Follower) freshnessLocked() (time.Duration, bool) {
	if !f.freshKnown {
		return 0, false
	}
	return f.clock() - f.freshAsOf, true
}

// Err returns the error that stopped the follower, or else the one from which it is trying to recover.
func (f *Follower) Err() *fault.Error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.stopErr != nil {
		return f.stopErr
	}
	return f.recoverableErr
}

// Lag returns the number of records between the state and the head of the log, according to the log's last
// response. It returns false if the log hasn't responded yet.
func (f *Follower) Lag() (records int64, known bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return max(f.logHead-f.offsetLocked(), 0), !f.logAnsweredAt.IsZero()
}

// Stopped reports whether an error has ended folding for the rest of the process.
func (f *Follower) Stopped() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.stopErr != nil
}

// offsetLocked implements Offset. f.mu must be held.
func (f *Follower) offsetLocked() int64 {
	if f.state == nil {
		return 0
	}
	return f.state.Offset()
}
