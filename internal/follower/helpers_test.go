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

// link is a controller as its peers reach it.
type link struct {
	*Follower
	mu  sync.Mutex
	cut bool
	// tails counts the tails that were served, and wrongHash makes them carry another hash.
	tails     atomic.Int64
	asked     atomic.Int64
	wrongHash atomic.Bool
	noState   atomic.Bool
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) pass() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return errors.New("cut off")
	}
	return nil
}

func (l *link) Tail(_ context.Context, request *v1.TailRequest) (*v1.TailResponse, error) {
	if err := l.pass(); err != nil {
		return nil, err
	}
	l.tails.Add(1)
	response, err := l.Follower.Tail(request)
	if err == nil && l.wrongHash.Load() {
		response.StateHash = make([]byte, len(response.StateHash))
	}
	return response, err
}

func (l *link) FetchState(context.Context, *v1.FetchStateRequest) (*v1.FetchStateResponse, error) {
	if err := l.pass(); err != nil {
		return nil, err
	}
	if l.noState.Load() {
		return nil, errors.New("state can't be fetched")
	}
	return l.Follower.FetchState()
}

func (l *link) Status(context.Context, *v1.StatusRequest) (*v1.StatusResponse, error) {
	if err := l.pass(); err != nil {
		return nil, err
	}
	l.asked.Add(1)
	return l.Follower.Status(), nil
}

// ownLog is the log as one controller reaches it.
type ownLog struct {
	*logsvc.Log
	mu    sync.Mutex
	cut   bool
	reads atomic.Int64
}

func (l *ownLog) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *ownLog) Read(ctx context.Context, request *v1.ReadRequest) (*v1.ReadResponse, error) {
	l.reads.Add(1)
	l.mu.Lock()
	log := l.Log
	l.mu.Unlock()
	response, err := log.Read(ctx, request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return nil, errors.New("cut off")
	}
	return response, err
}

// controller is one follower with its proposer.
type controller struct {
	*link
	log      *ownLog
	proposer *proposer.Proposer
	stop     context.CancelFunc
}

// fleet runs controllers over one log.
type fleet struct {
	t   *testing.T
	ctx context.Context
	log *logsvc.Log
	// lives counts process lifetimes.
	lives int
}

func (f *fleet) start(name, zone string, logCut bool, peers ...*controller) *controller {
	c := f.make(name, zone, logCut, peers...)
	f.run(c)
	return c
}

func (f *fleet) make(name, zone string, logCut bool, peers ...*controller) *controller {
	f.lives++
	c := &controller{log: &ownLog{Log: f.log, cut: logCut}}
	cfg := Config{Name: name, Zone: zone, Log: c.log, Logger: telemetry.NewLogger(io.Discard, name, zone)}
	for i, p := range peers {
		cfg.Peers = append(cfg.Peers, Peer{Name: fmt.Sprintf("peer-%d", i), Zone: p.cfg.Zone, Client: p.link})
	}
	c.link = &link{Follower: New(cfg)}
	c.proposer = proposer.New(name, fmt.Sprintf("%04d", f.lives), f.log, c.Follower)
	return c
}

func (f *fleet) run(c *controller) {
	ctx, cancel := context.WithCancel(f.ctx)
	c.stop = cancel
	go func() { _ = c.Run(ctx) }()
	go func() { _ = c.proposer.Run(ctx) }()
}

// run calls body in a bubble with its own clock, and ends all controllers after it.
func run(t *testing.T, body func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		body(&fleet{t: t, ctx: ctx, log: logsvc.New()})
	})
}

func (f *fleet) join(c *controller) {
	record := &v1.Record{Payload: &v1.Record_Join{Join: &v1.Join{Zone: "zone-00", Address: "10.0.0.1:1", Role: v1.Role_ROLE_CONTROLLER}}}
	verdict, err := c.proposer.Propose(f.ctx, record)
	assert.NilError(f.t, err)
	assert.Assert(f.t, verdict.Accepted, verdict.Detail)
}

// publish raises the failure buffer by one until the change is accepted.
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

// pass lets time pass in the bubble.
func pass(span time.Duration) {
	<-time.After(span)
	synctest.Wait()
}
