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

// simulation is a fleet with several controllers on a stand-in of the platform. The inventory section of the
// fold takes the place of the log: each proposal is folded at once.
type simulation struct {
	t        *testing.T
	doc      *structs.Document
	platform *hostsvc.Service

	mu      sync.Mutex
	state   *inventory.State
	offset  int64
	logDown bool
	// unansweredAppends is the number of next appends that take effect but return an error, as if the answer
	// were lost.
	unansweredAppends int
	demand            map[string]float64
	drainingSince     map[string]time.Time
}

// newSimulation returns the simulation of the document's fleet, in which a reboot takes the given time.
func newSimulation(t *testing.T, doc *structs.Document, reboot time.Duration) *simulation {
	s := &simulation{t: t, doc: doc, state: inventory.New(), demand: map[string]float64{}, drainingSince: map[string]time.Time{}}
	assert.Assert(t, s.state.CheckDocument(doc) == nil)
	s.state.AdoptDocument(doc)
	var machines []hostsvc.Host
	for _, host := range doc.Hosts {
		machines = append(machines, hostsvc.Host{Name: host.Name, Zone: host.Zone, Rack: host.Rack, Pool: host.Pool})
	}
	s.platform = hostsvc.New(hostsvc.Options{
		ListLag: 30 * time.Second, RebootTime: reboot, AssignTime: 20 * time.Second, Running: s.runningOn, OnChange: s.hostChanged,
	}, machines)
	return s
}

// hostChanged records since when the host is draining. The record is removed when the host is undrained or
// restarts.
func (s *simulation) hostChanged(host hostsvc.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !host.Draining {
		delete(s.drainingSince, host.Name)
	} else if _, known := s.drainingSince[host.Name]; !known {
		s.drainingSince[host.Name] = time.Now()
	}
}

// runningOn returns the running requests and the busy slots of the host. Both are 3 until the host has been
// draining for the duration of its requests, and 0 after that.
func (s *simulation) runningOn(host string) (uint64, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since, draining := s.drainingSince[host]
	requestTime := time.Duration(10+len(host)*7%40) * time.Second
	if draining && time.Since(since) >= requestTime {
		return 0, 0
	}
	return 3, 3
}

// propose folds the record. It fails the test if an accepted stop exceeds the budget of the host's pool.
func (s *simulation) propose(record *v1.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logDown {
		return fault.New(fault.LogUnavailable, "the simulated log is down")
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

// checkBudget checks the budget of the stopped host's pool by a full scan of the hosts, independently of the
// counters in the inventory state.
func (s *simulation) checkBudget(err *fault.Error, name string) {
	if err != nil {
		return
	}
	host, _ := s.state.Host(name)
	pool, available, unavailableInZone := s.state.Pools[host.Pool], 0, 0
	for _, other := range s.state.Hosts() {
		if other.Pool != host.Pool {
			continue
		}
		if other.Phase == inventory.PhaseServing {
			available++
		} else if other.Zone == host.Zone {
			unavailableInZone++
		}
	}
	if available < pool.MinAvailable || (pool.MaxUnavailablePerZone > 0 && unavailableInZone > pool.MaxUnavailablePerZone) {
		s.t.Errorf("offset %d: the stop of %s exceeds the budget of pool %s: %d available, %d unavailable in zone %s",
			s.offset, name, host.Pool, available, unavailableInZone, host.Zone)
	}
}

// simController runs the loops of one controller and connects them to the simulation. It can be killed at a
// chosen call of the platform or the log; killing it cancels the context of its loops.
type simController struct {
	*hostsvc.Service
	sim  *simulation
	rank int
	// killAtCall is the number of the call at which the controller is killed, or 0 for never. The call itself
	// takes effect only if killAfterEffect is set.
	killAtCall      int
	killAfterEffect bool
	// maxStateAge is how old the state may be that the controller reads.
	maxStateAge time.Duration

	mu           sync.Mutex
	calls        int
	kill         context.CancelFunc
	copiedAt     time.Time
	state        *inventory.State
	logReachable bool
	offset       int64
}

func (c *simController) Rank(string) (int, bool) { return c.rank, true }

// Slots implements the move loop's source of demand.
func (c *simController) Slots(pool string) (float64, bool) {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	demand, known := c.sim.demand[pool]
	return demand, known
}

// Read passes the controller's copy of the state, which is refreshed once it is older than maxStateAge.
func (c *simController) Read(use func(fleet.View)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == nil || time.Since(c.copiedAt) >= c.maxStateAge {
		c.refresh()
	}
	use(fleet.View{Document: c.sim.doc, Inventory: c.state, LogReachable: c.logReachable})
}

// refresh copies the state of the simulation.
func (c *simController) refresh() {
	c.sim.mu.Lock()
	defer c.sim.mu.Unlock()
	if c.state == nil || c.offset != c.sim.offset {
		c.state, c.offset = c.sim.state.Clone(), c.sim.offset
	}
	c.logReachable, c.copiedAt = !c.sim.logDown, time.Now()
}

// countCall counts a call and kills the controller at the chosen call. It reports whether the call takes
// effect and whether the controller gets its answer.
func (c *simController) countCall(ctx context.Context) (takesEffect, answered bool) {
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
	takesEffect, answered := c.countCall(ctx)
	if !takesEffect {
		return fault.New(fault.LogUnavailable, "the controller was killed before the append")
	}
	err := c.sim.propose(record)
	if !answered {
		return fault.New(fault.AppendUnsettled, "the controller was killed before the answer to the append")
	}
	return err
}

// countedCall makes a call of the platform unless the controller has been killed before it. The answer is
// lost if the controller is killed at this call.
func (c *simController) countedCall(ctx context.Context, call func() (*v1.HostResponse, error)) (*v1.HostResponse, error) {
	takesEffect, answered := c.countCall(ctx)
	if !takesEffect {
		return nil, context.Canceled
	}
	response, err := call()
	if !answered {
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

// start runs the loops for waves, hosts and moves until the controller is killed or the context ends.
func (c *simController) start(ctx context.Context) {
	ctx, c.kill = context.WithCancel(ctx)
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	deps := fleet.Dependencies{Reader: c, Proposer: c, Ranker: c, Platform: c, Log: logger}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return wave.New(deps).Run(ctx) })
	group.Go(func() error { return hosts.New(deps).Run(ctx) })
	group.Go(func() error { return move.New(deps, c).Run(ctx) })
	go func() { _ = group.Wait() }()
}

// startControllers starts controllers with the ranks from 0 to count-1. The state that a controller reads
// lags by one second for each rank. A configure function may change each controller before it starts.
func (s *simulation) startControllers(ctx context.Context, count int, configure func(*simController)) {
	for rank := range count {
		c := &simController{Service: s.platform, sim: s, rank: rank, maxStateAge: time.Duration(rank) * time.Second}
		if configure != nil {
			configure(c)
		}
		c.start(ctx)
	}
}

// wave returns a copy of the named wave.
func (s *simulation) wave(name string) inventory.Wave {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.state.Waves[name]
}

// awaitCondition waits in simulated time until the condition holds, and reports whether it did within the
// limit.
func (s *simulation) awaitCondition(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Second) {
		if condition() {
			return true
		}
	}
	return condition()
}

// newFleet returns the document of a fleet with racks of four hosts in three zones and pools of equal size.
// Each pool has a wave that stops the given number of hosts in parallel.
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
