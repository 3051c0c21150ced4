package schedule

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fault"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/fold/jobs"
	"turmericyoke/internal/standin/workersvc"
	"turmericyoke/internal/structs"
	"turmericyoke/internal/telemetry"
)

// fakeFold is a log and a fold in one: a proposal takes effect after the latency.
type fakeFold struct {
	mu       sync.Mutex
	latency  time.Duration
	lose     func() bool
	offset   int64
	doc      *structs.Document
	jobs     *jobs.State
	hosts    []inventory.Host
	limit    map[string]uint64
	reserved map[string]uint64
	down     bool
}

func (f *fakeFold) Offset() int64               { return f.offset }
func (f *fakeFold) Document() *structs.Document { return f.doc }
func (f *fakeFold) Jobs() *jobs.State           { return f.jobs }
func (f *fakeFold) Hosts() []inventory.Host     { return f.hosts }
func (f *fakeFold) Unallocated(t string) uint64 { return f.limit[t] - f.reserved[t] }
func (f *fakeFold) Serving(host, pool string) bool {
	for _, h := range f.hosts {
		if h.Name == host {
			return h.Pool == pool && h.Phase == inventory.PhaseServing
		}
	}
	return false
}
func (f *fakeFold) Capacities(string) []structs.Resources {
	return []structs.Resources{f.doc.Hosts[0].Capacity}
}
func (f *fakeFold) ReserveJobUnits(team string, units uint64) *fault.Error {
	if f.reserved[team]+units > f.limit[team] {
		return fault.New(fault.TeamLimit, "no units")
	}
	f.reserved[team] += units
	return nil
}
func (f *fakeFold) ReleaseJobUnits(team string, units uint64) { f.reserved[team] -= units }

func (f *fakeFold) Read(read func(State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f)
}

func (f *fakeFold) Propose(ctx context.Context, record *v1.Record) error {
	wait(ctx, f.latency)
	if ctx.Err() != nil {
		return fault.New(fault.LogUnavailable, "timeout")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return fault.New(fault.LogUnavailable, "down")
	}
	err := f.apply(record)
	if f.lose != nil && f.lose() {
		return fault.New(fault.AppendUnsettled, "the answer was lost")
	}
	if err != nil {
		return err
	}
	return nil
}

func (f *fakeFold) apply(record *v1.Record) *fault.Error {
	f.offset++
	env := structs.Envelope{Offset: f.offset}
	switch p := record.GetPayload().(type) {
	case *v1.Record_JobSubmit:
		return f.jobs.Submit(env, p.JobSubmit, f.doc, f)
	case *v1.Record_JobStart:
		return f.jobs.Start(env, p.JobStart, f, f)
	case *v1.Record_JobEnd:
		return f.jobs.End(env, p.JobEnd, f)
	case *v1.Record_JobCancel:
		return f.jobs.Cancel(env, p.JobCancel, f.doc)
	}
	return fault.New(fault.Internal, "unknown record")
}

func (f *fakeFold) LookupJob(_ context.Context, job string) (LookupResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FindJob(f.jobs, job), nil
}

// fleet is a small fleet of one pool with controllers of several ranks.
type fleet struct {
	*fakeFold
	workers *workersvc.Service
	ctx     context.Context
	// memory is the divisor of the memory size of submitted jobs.
	memory uint64
	group  sync.WaitGroup
}

// newFleet returns a fleet of workers with 8 cores and the teams a to c. Each worker holds eight jobs of one core.
func newFleet(t *testing.T, workers int) *fleet {
	f := &fakeFold{latency: 5 * time.Millisecond, jobs: jobs.New(), limit: map[string]uint64{}, reserved: map[string]uint64{}, doc: &structs.Document{}}
	f.doc.Pools = []structs.Pool{{Name: "counts"}}
	for i := range workers {
		name := fmt.Sprintf("w%02d", i)
		f.doc.Hosts = append(f.doc.Hosts, structs.Host{Name: name, Pool: "counts", Capacity: structs.Resources{CPUMilli: 8000, MemoryMiB: 8000}})
		f.hosts = append(f.hosts, inventory.Host{Name: name, Pool: "counts", Phase: inventory.PhaseServing, Epoch: 1})
	}
	for _, team := range []string{"a", "b", "c"} {
		f.doc.Teams = append(f.doc.Teams, structs.Team{Name: team, Share: 1, UpperLimit: 20000})
		f.doc.Keys = append(f.doc.Keys, structs.Key{ID: "k" + team, Team: team})
		f.limit[team] = 20000
	}
	settings := workersvc.DefaultSettings()
	return &fleet{fakeFold: f, workers: workersvc.New(settings, time.Now), ctx: t.Context(), memory: 1}
}

type fixedRank int

func (r *fixedRank) Rank(string) (int, bool) { return int(*r), true }

// control starts a controller of the rank and returns its stop.
func (f *fleet) control(rank int) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	fixed := fixedRank(rank)
	loop := New(Dependencies{
		Reader: f.fakeFold, Ranker: &fixed, Proposer: f.fakeFold, Workers: f.workers, Now: time.Now,
		Log: telemetry.NewLogger(io.Discard, "controller", "a"),
	}, DefaultSettings())
	f.group.Go(func() { _ = loop.Run(ctx) })
	return cancel
}

func (f *fleet) submit(t *testing.T, id, team string, class v1.JobClass, size uint64, behaviour workersvc.Behaviour) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.apply(&v1.Record{Payload: &v1.Record_JobSubmit{JobSubmit: &v1.JobSubmit{
		Job: id, Team: team, KeyId: "k" + team, Pool: "counts", Units: 1, Class: class, Spec: behaviour.Encode(),
		Resources: &v1.Resources{CpuMilli: size, MemoryMib: size / f.memory},
	}}})
	assert.Assert(t, err == nil, "%v", err)
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// live returns the number of live jobs.
func (f *fleet) live() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.jobs.Live)
}

// until waits for the condition and returns the time that it took.
func until(t *testing.T, bound time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > bound {
			t.Fatalf("still not so after %s", bound)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// bubble runs a test on a fake clock and waits for the controllers to stop.
func bubble(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, run)
}

func seconds(n float64) structs.Duration { return structs.Duration(n * float64(time.Second)) }
