// Package follower reads the fleet stream, from the log or from peers, and folds it into state.
package follower

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/periodic"
	"turmericyoke/internal/proposer"
)

// Log is the platform's log; connect's LogServiceClient implements it.
type Log interface {
	Read(context.Context, *v1.ReadRequest) (*v1.ReadResponse, error)
}

// PeerClient is what a follower asks of another controller; connect's ControllerServiceClient
// implements it.
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

// Config is what a follower needs.
type Config struct {
	Name        string
	Incarnation string
	// Zone is the availability zone of the controller; its peers there are asked first.
	Zone   string
	Log    Log
	Peers  []Peer
	Logger *logrus.Entry
}

// Follower holds the fleet state of one process. It only moves forward.
type Follower struct {
	cfg   Config
	peers []*peer

	mu    sync.RWMutex
	state *fold.State
	ring  ring
	// changed is closed and replaced when the state or the health changes.
	changed chan struct{}
	// stopped is the error that ended folding for good.
	stopped *fault.Error
	// problem is the last error that the follower can recover from; nil while all is well.
	problem *fault.Error
	// freshAt is a moment at which the state included the head of the log.
	freshAt time.Time
	// logReadAt is when the log last answered.
	logReadAt time.Time
	// logHead is the head at that moment.
	logHead int64
	ready   readiness

	// source is the peer that is relayed from; only the relay loop uses it.
	source *peer
	// searched is set after a search among all peers that found none that reaches the log; only the
	// relay loop uses it.
	searched bool

	cache snapshotCache

	// waiting counts the callers of Outcome that wait for a record, and wanted holds a token after
	// one of them began to.
	waiting atomic.Int64
	wanted  chan struct{}
}

// New returns a follower without state; Run starts it.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, peers: orderPeers(cfg), changed: make(chan struct{}), wanted: make(chan struct{}, 1)}
}

// Run follows the stream until ctx ends. A follower that had to stop keeps its last state.
func (f *Follower) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return f.hearPeers(ctx) })
	group.Go(func() error {
		if err := f.load(ctx); err != nil {
			return err
		}
		inner, ctx := errgroup.WithContext(ctx)
		inner.Go(func() error { return f.followLog(ctx) })
		inner.Go(func() error { return f.relay(ctx) })
		return inner.Wait()
	})
	return group.Wait()
}

// Read calls use with the state under a read lock, and returns false when there is none yet.
func (f *Follower) Read(use func(*fold.State)) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.state == nil {
		return false
	}
	use(f.state)
	return true
}

// Changed returns a channel that is closed at the next change of the state or of the health. Take
// it before reading the state.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// Offset returns the offset of the last folded record, or 0.
func (f *Follower) Offset() int64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.offset()
}

// Wait returns once the offset is above after, or with the error of ctx.
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

// Outcome implements proposer.Fold.
func (f *Follower) Outcome(ctx context.Context, incarnation string, seq uint64, offset int64) (proposer.Outcome, fold.Verdict, error) {
	for {
		f.mu.RLock()
		changed := f.changed
		outcome, verdict, known := f.outcome(incarnation, seq, offset)
		stopped := f.stopped
		f.mu.RUnlock()
		switch {
		case known:
			return outcome, verdict, nil
		case stopped != nil:
			return outcome, verdict, stopped
		}
		if err := f.awaitRecord(ctx, changed); err != nil {
			return outcome, verdict, err
		}
	}
}

// awaitRecord waits for a change, during which reads of the log aren't spaced.
func (f *Follower) awaitRecord(ctx context.Context, changed <-chan struct{}) error {
	f.waiting.Add(1)
	defer f.waiting.Add(-1)
	periodic.Wake(f.wanted)
	select {
	case <-changed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// outcome needs the lock.
func (f *Follower) outcome(incarnation string, seq uint64, offset int64) (proposer.Outcome, fold.Verdict, bool) {
	if f.state == nil {
		return proposer.OutcomeNotFound, fold.Verdict{}, offset == 0
	}
	if verdict, kept := f.state.VerdictOf(incarnation, seq); kept {
		return proposer.OutcomeDecided, verdict, true
	}
	if f.state.LastSeq(incarnation) >= seq {
		return proposer.OutcomeVerdictDropped, fold.Verdict{}, true
	}
	// A join under an incarnation that has ended is a duplicate from its first copy on.
	if verdict, kept := f.state.DuplicateVerdictOf(incarnation, seq); kept {
		return proposer.OutcomeDecided, verdict, true
	}
	return proposer.OutcomeNotFound, fold.Verdict{}, f.state.Offset() >= offset
}

// Freshness returns the age of the last read that reached the log's head, own or relayed. It is an
// upper bound, and false when there was no such read.
func (f *Follower) Freshness() (time.Duration, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.freshness()
}

func (f *Follower) freshness() (time.Duration, bool) {
	if f.freshAt.IsZero() {
		return 0, false
	}
	return time.Since(f.freshAt), true
}

// Err returns the error that stopped the follower, else the one that it tries to recover from.
func (f *Follower) Err() *fault.Error {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.stopped != nil {
		return f.stopped
	}
	return f.problem
}

// Lag returns the records between the log's head, as the log last answered, and the state. Known
// is false before the log's first answer.
func (f *Follower) Lag() (records int64, known bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return max(f.logHead-f.offset(), 0), !f.logReadAt.IsZero()
}

// Stopped reports whether folding has ended for good.
func (f *Follower) Stopped() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.stopped != nil
}

// offset needs the lock.
func (f *Follower) offset() int64 {
	if f.state == nil {
		return 0
	}
	return f.state.Offset()
}
