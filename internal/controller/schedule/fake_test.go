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

// fakeFold implements the log and the fold. A proposal takes effect after the latency.
type fakeFold struct {
	mu      sync.Mutex
	latency time.Duration
	// loseAnswer reports whether the answer to the next proposal is lost. If it is nil, no answer is lost.
	loseAnswer func() bool
	offset     int64
	doc        *structs.Document
	jobs       *jobs.State
	hosts      []inventory.Host
	limit      map[string]uint64
	reserved   map[string]uint64
	logDown    bool
}

func (f *fakeFold) Offset() int64                  { return f.offset }
func (f *fakeFold) Document() *structs.Document    { return f.doc }
func (f *fakeFold) Jobs() *jobs.State              { return f.jobs }
func (f *fakeFold) Hosts() []inventory.Host        { return f.hosts }
func (f *fakeFold) Unallocated(team string) uint64 { return f.limit[team] - f.reserved[team] }
func (f *fakeFold) IsServing(host, pool string) bool {
	for _, h := range f.hosts {
		if h.Name == host {
			return h.Pool == pool && h.Phase == inventory.PhaseServing
		}
	}
	return false
}

// Capacities returns the capacity of the first host, since all hosts have the same.
func (f *fakeFold) Capacities(string) []structs.Resources {
	return []structs.Resources{f.doc.Hosts[0].Capacity}
}
func (f *fakeFold) ReserveJobUnits(team string, units uint64) *fault.Error {
	if f.reserved[team]+units > f.limit[team] {
		return fault.New(fault.TeamLimit, "team has too few free units")
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
	sleep(ctx, f.latency)
	if ctx.Err() != nil {
		return fault.New(fault.LogUnavailable, "proposal timed out")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.logDown {
		return fault.New(fault.LogUnavailable, "log is down")
	}
	err := f.apply(record)
	if f.loseAnswer != nil && f.loseAnswer() {
		return fault.New(fault.AppendUnsettled, "answer to the proposal was lost")
	}
	if err != nil {
		return err
	}
	return nil
}

// apply applies a record as the fold does. The caller holds the lock.
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
	return fault.New(fault.Internal, "unexpected type of record")
}

func (f *fakeFold) LookupJob(_ context.Context, job string) (LookupResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return FindJob(f.jobs, job), nil
}

// testFleet is a small fleet with one pool, whose controllers are started with chosen ranks.
type testFleet struct {
	*fakeFold
	workers *workersvc.Service
	ctx     context.Context
	// memoryDivisor divides the memory size of submitted jobs. A high one makes the CPU the only scarce
	// resource.
	memoryDivisor uint64
	controllers   sync.WaitGroup
}

// newFleet returns a fleet with the teams a, b and c, and workers with 8 cores. Each worker has room for
// eight jobs of one core.
func newFleet(t *testing.T, workers int) *testFleet {
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
	return &testFleet{fakeFold: f, workers: workersvc.New(settings, time.Now), ctx: t.Context(), memoryDivisor: 1}
}

// fixedRank ranks a controller the same for all subjects.
type fixedRank int

func (r *fixedRank) Rank(string) (int, bool) { return int(*r), true }

// startController starts a controller with the rank and returns a function that stops it.
func (f *testFleet) startController(rank int) (stop func()) {
	ctx, cancel := context.WithCancel(f.ctx)
	fixed := fixedRank(rank)
	loop := New(Dependencies{
		Reader: f.fakeFold, Ranker: &fixed, Proposer: f.fakeFold, Workers: f.workers, Now: time.Now,
		Log: telemetry.NewLogger(io.Discard, "controller", "a"),
	}, DefaultSettings())
	f.controllers.Go(func() { _ = loop.Run(ctx) })
	return cancel
}

// submit adds a job that needs size milli-CPU and size/memoryDivisor MiB of memory.
func (f *testFleet) submit(t *testing.T, id, team string, class v1.JobClass, size uint64, behaviour workersvc.Behaviour) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.apply(&v1.Record{Payload: &v1.Record_JobSubmit{JobSubmit: &v1.JobSubmit{
		Job: id, Team: team, KeyId: "k" + team, Pool: "counts", Units: 1, Class: class, Spec: behaviour.Encode(),
		Resources: &v1.Resources{CpuMilli: size, MemoryMib: size / f.memoryDivisor},
	}}})
	assert.Assert(t, err == nil, "%v", err)
}

// update applies a change with the fake fold locked.
func (f *testFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// liveJobCount returns the number of jobs that haven't ended.
func (f *testFleet) liveJobCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.jobs.Live)
}

// waitUntil waits until the condition is true and returns the time that it took. The test fails after the
// timeout.
func waitUntil(t *testing.T, timeout time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			t.Fatalf("condition isn't true after %s", timeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start)
}

// withFakeClock runs a test with a fake clock. It returns once the goroutines of the test, such as
// controllers, have ended.
func withFakeClock(t *testing.T, run func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, run)
}

// seconds returns a duration for the fields of workersvc.Behaviour.
func seconds(n float64) structs.Duration { return structs.Duration(n * float64(time.Second)) }
