package wave_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/controller/fleet"
	"turmericyoke/internal/controller/hosts"
	"turmericyoke/internal/controller/move"
	"turmericyoke/internal/controller/wave"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/standin/hostsvc"
	"turmericyoke/internal/structs"
)

// sim is a fleet with the fold's section as its log, the stand-in of the platform and controllers.
type sim struct {
	t        *testing.T
	doc      *structs.Document
	platform *hostsvc.Service

	mu      sync.Mutex
	state   *inventory.State
	offset  int64
	logDown bool
	// unsettled counts the appends that still take effect without an answer.
	unsettled int
	demand    map[string]float64
	drained   map[string]time.Time
}

func newSim(t *testing.T, doc *structs.Document, reboot time.Duration) *sim {
	s := &sim{t: t, doc: doc, state: inventory.New(), demand: map[string]float64{}, drained: map[string]time.Time{}}
	assert.Assert(t, s.state.CheckDocument(doc) == nil)
	s.state.AdoptDocument(doc)
	var machines []hostsvc.Host
	for _, h := range doc.Hosts {
		machines = append(machines, hostsvc.Host{Name: h.Name, Zone: h.Zone, Rack: h.Rack, Pool: h.Pool})
	}
	s.platform = hostsvc.New(hostsvc.Options{
		ListLag: 30 * time.Second, RebootTime: reboot, AssignTime: 20 * time.Second, Running: s.running, OnChange: s.changed,
	}, machines)
	return s
}

// changed notes since when a host is drained. What runs on a host that restarts is gone.
func (s *sim) changed(h hostsvc.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !h.Draining {
		delete(s.drained, h.Name)
	} else if _, known := s.drained[h.Name]; !known {
		s.drained[h.Name] = time.Now()
	}
}

// running is 3 on a host that takes work, and on a draining one until its requests have ended.
func (s *sim) running(host string) (uint64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, draining := s.drained[host]
	rest := time.Duration(10+len(host)*7%40) * time.Second
	if draining && time.Since(since) >= rest {
		return 0, 0
	}
	return 3, 3
}

// propose appends to the log and folds the record. After each accepted stop the budget must hold.
func (s *sim) propose(record *v1.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logDown {
		return fault.New(fault.LogUnavailable, "log is down")
	}
	s.offset++
	env := structs.Envelope{Offset: s.offset}
	var err *fault.Error
	switch p := record.GetPayload().(type) {
	case *v1.Record_Grant:
		err = s.state.Grant(env, p.Grant)
		s.checkBudget(err, p.Grant.GetHost())
	case *v1.Record_Move:
		err = s.state.Move(env, p.Move)
		s.checkBudget(err, p.Move.GetHost())
	case *v1.Record_HostDown:
		err = s.state.HostDown(env, p.HostDown)
	case *v1.Record_HostBack:
		err = s.state.HostBack(env, p.HostBack)
	case *v1.Record_WaveControl:
		err = s.state.WaveControl(env, p.WaveControl)
	}
	if s.unsettled > 0 {
		s.unsettled--
		return fault.New(fault.AppendUnsettled, "the answer of the append was lost")
	}
	if err != nil {
		return err
	}
	return nil
}

// checkBudget counts by a full scan, independently of the section's counters.
func (s *sim) checkBudget(err *fault.Error, name string) {
	if err != nil {
		return
	}
	host, _ := s.state.Host(name)
	pool, available, down := s.state.Pools[host.Pool], 0, 0
	for _, other := range s.state.Hosts() {
		if other.Pool != host.Pool {
			continue
		}
		if other.Phase == inventory.PhaseServing {
			available++
		} else if other.Zone == host.Zone {
			down++
		}
	}
	if available < pool.MinAvailable || (pool.MaxUnavailablePerZone > 0 && down > pool.MaxUnavailablePerZone) {
		s.t.Errorf("offset %d: stop of %s breaks the budget of pool %s: %d available, %d down in zone %s",
			s.offset, name, host.Pool, available, down, host.Zone)
	}
}

// controller is one controller; it is killed by its context at a chosen call.
type controller struct {
	*hostsvc.Service
	sim  *sim
	rank int
	// dieAt is the number of the call at which the controller dies; 0 never. The call takes effect
	// only when dieAfter is set.
	dieAt    int
	dieAfter bool
	// lag is the age of the state that the controller reads.
	lag time.Duration

	mu     sync.Mutex
	calls  int
	kill   context.CancelFunc
	copied time.Time
	state  *inventory.State
	up     bool
	offset int64
}

func (c *controller) Rank(string) (int, bool) { return c.rank, true }

func (c *controller) Slots(pool string) (float64, bool) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	demand, known := c.sim.demand[pool]
	return demand, known
}

func (c *controller) Read(read func(fleet.View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == nil || time.Since(c.copied) >= c.lag {
		c.refresh()
	}
	read(fleet.View{Document: c.sim.doc, Inventory: c.state, LogReachable: c.up})
}

func (c *controller) refresh() {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	if c.state == nil || c.offset != c.sim.offset {
		c.state, c.offset = c.sim.state.Clone(), c.sim.offset
	}
	c.up, c.copied = !c.sim.logDown, time.Now()
}

// step counts a call and reports whether it takes effect and is answered.
func (c *controller) step(ctx context.Context) (effect, answer bool) {
	if ctx.Err() != nil {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.dieAt == 0 || c.calls < c.dieAt {
		return true, true
	}
	c.kill()
	return c.calls == c.dieAt && c.dieAfter, false
}

func (c *controller) Propose(ctx context.Context, record *v1.Record) error {
	effect, answer := c.step(ctx)
	if !effect {
		return fault.New(fault.LogUnavailable, "controller is dead")
	}
	err := c.sim.propose(record)
	if !answer {
		return fault.New(fault.AppendUnsettled, "controller is dead")
	}
	return err
}

func (c *controller) on(ctx context.Context, call func() (*v1.HostResponse, error)) (*v1.HostResponse, error) {
	effect, answer := c.step(ctx)
	if !effect {
		return nil, context.Canceled
	}
	response, err := call()
	if !answer {
		return nil, context.Canceled
	}
	return response, err
}

func (c *controller) Drain(ctx context.Context, r *v1.HostRequest) (*v1.HostResponse, error) {
	return c.on(ctx, func() (*v1.HostResponse, error) { return c.Service.Drain(ctx, r) })
}

func (c *controller) Undrain(ctx context.Context, r *v1.HostRequest) (*v1.HostResponse, error) {
	return c.on(ctx, func() (*v1.HostResponse, error) { return c.Service.Undrain(ctx, r) })
}

func (c *controller) Reboot(ctx context.Context, r *v1.HostRequest) (*v1.HostResponse, error) {
	return c.on(ctx, func() (*v1.HostResponse, error) { return c.Service.Reboot(ctx, r) })
}

func (c *controller) Assign(ctx context.Context, r *v1.AssignRequest) (*v1.HostResponse, error) {
	return c.on(ctx, func() (*v1.HostResponse, error) { return c.Service.Assign(ctx, r) })
}

// start runs the loops of a controller until it is killed or the context ends.
func (c *controller) start(ctx context.Context) {
	ctx, c.kill = context.WithCancel(ctx)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	deps := fleet.Deps{Reader: c, Proposer: c, Ranker: c, Platform: c, Log: logger}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return wave.New(deps).Run(ctx) })
	group.Go(func() error { return hosts.New(deps).Run(ctx) })
	group.Go(func() error { return move.New(deps, c).Run(ctx) })
	go func() { _ = group.Wait() }()
}

func (s *sim) controllers(ctx context.Context, count int, change func(*controller)) {
	for rank := range count {
		c := &controller{Service: s.platform, sim: s, rank: rank, lag: time.Duration(rank) * time.Second}
		if change != nil {
			change(c)
		}
		c.start(ctx)
	}
}

func (s *sim) wave(name string) inventory.Wave {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.state.Waves[name]
}

// await lets time pass until the condition holds, and reports whether it did within the limit.
func (s *sim) await(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Second) {
		if done() {
			return true
		}
	}
	return done()
}

// simFleet declares hosts in racks of four over three zones, in pools of equal size.
func simFleet(hosts, pools, parallel int) *structs.Document {
	doc := &structs.Document{Policy: structs.Policy{TargetUtilisation: 0.7}}
	for i := range pools {
		doc.Pools = append(doc.Pools, structs.Pool{Name: fmt.Sprintf("p%d", i), Spare: i == pools-1, MinAvailable: hosts / pools * 6 / 10, MaxUnavailablePerZone: parallel})
		doc.Waves = append(doc.Waves, structs.Wave{
			Name: fmt.Sprintf("w%d", i), Pool: fmt.Sprintf("p%d", i), MaxParallel: parallel, MaxPerRack: 2,
			CanaryCount: 1, PauseAfterFailures: 3, HostTimeout: structs.Duration(20 * time.Minute),
		})
	}
	for i := range hosts {
		doc.Hosts = append(doc.Hosts, structs.Host{
			Name: fmt.Sprintf("h%04d", i), Zone: fmt.Sprintf("z%d", i/4%3), Rack: fmt.Sprintf("r%d", i/4), Pool: fmt.Sprintf("p%d", i%pools), Slots: 8,
		})
	}
	return doc
}
