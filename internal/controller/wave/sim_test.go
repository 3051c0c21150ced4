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

// simulation is a fleet with the fold's section as its log, the stand-in of the platform and controllers.
type simulation struct {
	t        *testing.T
	doc      *structs.Document
	platform *hostsvc.Service

	mu      sync.Mutex
	state   *inventory.State
	offset  int64
	logDown bool
	// unansweredAppends counts the appends that still take effect without an answer.
	unansweredAppends int
	demand            map[string]float64
	drainingSince     map[string]time.Time
}

func newSimulation(t *testing.T, doc *structs.Document, reboot time.Duration) *simulation {
	s := &simulation{t: t, doc: doc, state: inventory.New(), demand: map[string]float64{}, drainingSince: map[string]time.Time{}}
	assert.Assert(t, s.state.CheckDocument(doc) == nil)
	s.state.AdoptDocument(doc)
	var machines []hostsvc.Host
	for _, h := range doc.Hosts {
		machines = append(machines, hostsvc.Host{Name: h.Name, Zone: h.Zone, Rack: h.Rack, Pool: h.Pool})
	}
	s.platform = hostsvc.New(hostsvc.Options{
		ListLag: 30 * time.Second, RebootTime: reboot, AssignTime: 20 * time.Second, Running: s.runningOn, Changed: s.hostChanged,
	}, machines)
	return s
}

// hostChanged notes since when a host is drained. What runs on a host that restarts is gone.
func (s *simulation) hostChanged(h hostsvc.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !h.Draining {
		delete(s.drainingSince, h.Name)
	} else if _, known := s.drainingSince[h.Name]; !known {
		s.drainingSince[h.Name] = time.Now()
	}
}

// runningOn is 3 on a host that takes work, and on a draining one until its requests have ended.
func (s *simulation) runningOn(host string) (uint64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, draining := s.drainingSince[host]
	rest := time.Duration(10+len(host)*7%40) * time.Second
	if draining && time.Since(since) >= rest {
		return 0, 0
	}
	return 3, 3
}

// propose appends to the log and folds the record. After each accepted stop the budget must hold.
func (s *simulation) propose(record *v1.Record) error {
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
	if s.unansweredAppends > 0 {
		s.unansweredAppends--
		return fault.New(fault.AppendUnsettled, "the answer of the append was lost")
	}
	if err != nil {
		return err
	}
	return nil
}

// checkBudget counts by a full scan, independently of the section's counters.
func (s *simulation) checkBudget(err *fault.Error, name string) {
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

// simController is one controller; it is killed by its context at a chosen call.
type simController struct {
	*hostsvc.Service
	sim  *simulation
	rank int
	// killAtCall is the number of the call at which the controller dies; 0 never. The call takes effect
	// only when dieAfter is set.
	killAtCall      int
	killAfterEffect bool
	// stateAge is the age of the state that the controller reads.
	stateAge time.Duration

	mu           sync.Mutex
	calls        int
	kill         context.CancelFunc
	copiedAt     time.Time
	state        *inventory.State
	logReachable bool
	offset       int64
}

func (c *simController) Rank(string) (int, bool) { return c.rank, true }

func (c *simController) Slots(pool string) (float64, bool) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	demand, known := c.sim.demand[pool]
	return demand, known
}

func (c *simController) Read(read func(fleet.View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == nil || time.Since(c.copiedAt) >= c.stateAge {
		c.refresh()
	}
	read(fleet.View{Document: c.sim.doc, Inventory: c.state, LogReachable: c.logReachable})
}

func (c *simController) refresh() {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	if c.state == nil || c.offset != c.sim.offset {
		c.state, c.offset = c.sim.state.Clone(), c.sim.offset
	}
	c.logReachable, c.copiedAt = !c.sim.logDown, time.Now()
}

// countCall counts a call and reports whether it takes effect and is answered.
func (c *simController) countCall(ctx context.Context) (effect, answer bool) {
	if ctx.Err() != nil {
		return false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.killAtCall == 0 || c.calls < c.killAtCall {
		return true, true
	}
	c.kill()
	return c.calls == c.killAtCall && c.killAfterEffect, false
}

func (c *simController) Propose(ctx context.Context, record *v1.Record) error {
	effect, answer := c.countCall(ctx)
	if !effect {
		return fault.New(fault.LogUnavailable, "controller is dead")
	}
	err := c.sim.propose(record)
	if !answer {
		return fault.New(fault.AppendUnsettled, "controller is dead")
	}
	return err
}

func (c *simController) countedCall(ctx context.Context, call func() (*v1.HostResponse, error)) (*v1.HostResponse, error) {
	effect, answer := c.countCall(ctx)
	if !effect {
		return nil, context.Canceled
	}
	response, err := call()
	if !answer {
		return nil, context.Canceled
	}
	return response, err
}

func (c *simController) Drain(ctx context.Context, r *v1.HostRequest) (*v1.HostResponse, error) {
	return c.countedCall(ctx, func() (*v1.HostResponse, error) { return c.Service.Drain(ctx, r) })
}

func (c *simController) Undrain(ctx context.Context, r *v1.HostRequest) (*v1.HostResponse, error) {
	return c.countedCall(ctx, func() (*v1.HostResponse, error) { return c.Service.Undrain(ctx, r) })
}

func (c *simController) Reboot(ctx context.Context, r *v1.HostRequest) (*v1.HostResponse, error) {
	return c.countedCall(ctx, func() (*v1.HostResponse, error) { return c.Service.Reboot(ctx, r) })
}

func (c *simController) Assign(ctx context.Context, r *v1.AssignRequest) (*v1.HostResponse, error) {
	return c.countedCall(ctx, func() (*v1.HostResponse, error) { return c.Service.Assign(ctx, r) })
}

// start runs the loops of a controller until it is killed or the context ends.
func (c *simController) start(ctx context.Context) {
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

func (s *simulation) startControllers(ctx context.Context, count int, change func(*simController)) {
	for rank := range count {
		c := &simController{Service: s.platform, sim: s, rank: rank, stateAge: time.Duration(rank) * time.Second}
		if change != nil {
			change(c)
		}
		c.start(ctx)
	}
}

func (s *simulation) wave(name string) inventory.Wave {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.state.Waves[name]
}

// awaitCondition lets time pass until the condition holds, and reports whether it did within the limit.
func (s *simulation) awaitCondition(limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Second) {
		if done() {
			return true
		}
	}
	return done()
}

// newFleet declares hosts in racks of four over three zones, in pools of equal size.
func newFleet(hosts, pools, parallel int) *structs.Document {
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
