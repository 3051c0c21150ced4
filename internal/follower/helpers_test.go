package follower

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/document"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold"
	"turmericyoke/internal/proposer"
	"turmericyoke/internal/standin/fleetdoc"
	"turmericyoke/internal/standin/logsvc"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/telemetry"
)

// peerLink is the client through which peers call a controller. Its connection can be cut.
type peerLink struct {
	*Follower
	mu  sync.Mutex
	cut bool
	// tailCalls and statusCalls count the calls of Tail and Status that were answered.
	tailCalls   atomic.Int64
	statusCalls atomic.Int64
	// maxStatusCalls is the number of calls of Status after which further ones aren't answered; 0 for no limit.
	maxStatusCalls int64
	// wrongHash makes Tail return a wrong state hash.
	wrongHash atomic.Bool
	// failFetchState makes FetchState return an error.
	failFetchState atomic.Bool
}

func (l *peerLink) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *peerLink) checkConnection() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return errors.New("connection is cut")
	}
	return nil
}

func (l *peerLink) Tail(_ context.Context, request *v1.TailRequest) (*v1.TailResponse, error) {
	if err := l.checkConnection(); err != nil {
		return nil, err
	}
	l.tailCalls.Add(1)
	response, err := l.Follower.Tail(request)
	if err == nil && l.wrongHash.Load() {
		response.StateHash = make([]byte, len(response.StateHash))
	}
	return response, err
}

func (l *peerLink) FetchState(context.Context, *v1.FetchStateRequest) (*v1.FetchStateResponse, error) {
	if err := l.checkConnection(); err != nil {
		return nil, err
	}
	if l.failFetchState.Load() {
		return nil, errors.New("state can't be fetched")
	}
	return l.Follower.FetchState()
}

func (l *peerLink) Status(ctx context.Context, _ *v1.StatusRequest) (*v1.StatusResponse, error) {
	if err := l.checkConnection(); err != nil {
		return nil, err
	}
	if calls := l.statusCalls.Add(1); l.maxStatusCalls > 0 && calls > l.maxStatusCalls {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return l.Follower.Status(), nil
}

// controllerLog is one controller's connection to the log, which can be cut.
type controllerLog struct {
	*logsvc.Log
	mu    sync.Mutex
	cut   bool
	reads atomic.Int64
}

func (l *controllerLog) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *controllerLog) Read(ctx context.Context, request *v1.ReadRequest) (*v1.ReadResponse, error) {
	l.reads.Add(1)
	l.mu.Lock()
	log := l.Log
	l.mu.Unlock()
	response, err := log.Read(ctx, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return nil, errors.New("connection is cut")
	}
	return response, err
}

// controller is a follower with its proposer.
type controller struct {
	*peerLink
	log      *controllerLog
	proposer *proposer.Proposer
	stop     context.CancelFunc
}

// fleet is a set of controllers that share one log.
type fleet struct {
	t   *testing.T
	ctx context.Context
	log *logsvc.Log
	// incarnationCount is the number of controllers made so far, each with its own incarnation.
	incarnationCount int
}

// start makes a controller and runs it.
func (f *fleet) start(name, zone string, logCut bool, peers ...*controller) *controller {
	c := f.newController(name, zone, logCut, peers...)
	f.runController(c)
	return c
}

func (f *fleet) newController(name, zone string, logCut bool, peers ...*controller) *controller {
	f.incarnationCount++
	c := &controller{log: &controllerLog{Log: f.log, cut: logCut}}
	cfg := Config{Name: name, Zone: zone, Log: c.log, Logger: telemetry.NewLogger(io.Discard, name, zone)}
	for i, p := range peers {
		cfg.Peers = append(cfg.Peers, Peer{Name: fmt.Sprintf("peer-%d", i), Zone: p.cfg.Zone, Client: p.peerLink})
	}
	c.peerLink = &peerLink{Follower: New(cfg)}
	c.proposer = proposer.New(name, fmt.Sprintf("%04d", f.incarnationCount), f.log, c.Follower)
	return c
}

func (f *fleet) runController(c *controller) {
	ctx, cancel := context.WithCancel(f.ctx)
	c.stop = cancel
	go func() { _ = c.Run(ctx) }()
	go func() { _ = c.proposer.Run(ctx) }()
}

// runFleet calls body in a synctest bubble, which has a fake clock, and then ends all controllers.
func runFleet(t *testing.T, body func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		body(&fleet{t: t, ctx: ctx, log: logsvc.New()})
	})
}

// join makes the controller a member of the fleet.
func (f *fleet) join(c *controller) {
	record := &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{Zone: "zone-00", Address: "10.0.0.1:1", Role: v1.Role_ROLE_CONTROLLER}}}
	verdict, err := c.proposer.Propose(f.ctx, record)
	assert.NilError(f.t, err)
	assert.Assert(f.t, verdict.Accepted, verdict.Detail)
}

// publish proposes a change set that sets the failure buffer to the next version, and repeats this on the new
// version after each version conflict.
func (f *fleet) publish(c *controller) {
	for {
		var set *v1.ChangeSet
		c.Read(func(state *fold.State) {
			next := *fleetdoc.New(fleetdoc.Size{Hosts: 4, Teams: 1, Pools: 1, Zones: 1})
			next.Policy.FailureBuffer = int(state.Version()) + 1
			set = changeSet(f.t, state, &next)
		})
		verdict, err := c.proposer.Propose(f.ctx, &v1.Record{Payload: &v1.Record_ChangeSet{ChangeSet: set}})
		assert.NilError(f.t, err)
		if verdict.Accepted {
			return
		}
		assert.Equal(f.t, verdict.Kind, fault.VersionConflict, verdict.Detail)
	}
}

func changeSet(t *testing.T, state *fold.State, next *structs.Document) *v1.ChangeSet {
	set, err := document.NewChangeSet("set", "ada", "", state.Version(), state.Document(), next)
	assert.NilError(t, err)
	return set
}

func (c *controller) hash() string {
	hash := ""
	c.Read(func(state *fold.State) { hash = fmt.Sprintf("%x", state.Hash()) })
	return hash
}

// advance advances the fake clock of the bubble.
func advance(duration time.Duration) {
	<-time.After(duration)
	synctest.Wait()
}
