package schedule

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/fold/inventory"
	"turmericyoke/internal/standin/workersvc"
	"turmericyoke/internal/telemetry"
)

// changingRank is a rank that the test changes.
type changingRank struct{ rank atomic.Int64 }

func (r *changingRank) Rank(string) (int, bool) { return int(r.rank.Load()), true }

// cutOffWorkers fails all calls while the controller is cut off from the platform.
type cutOffWorkers struct {
	Workers
	cutOff atomic.Bool
}

var errCutOff = connect.NewError(connect.CodeUnavailable, errors.New("no route to host"))

func (w *cutOffWorkers) Start(ctx context.Context, request *v1.StartTaskRequest) (*v1.StartTaskResponse, error) {
	if w.cutOff.Load() {
		return nil, errCutOff
	}
	return w.Workers.Start(ctx, request)
}

func (w *cutOffWorkers) Control(ctx context.Context, request *v1.ControlTaskRequest) (*v1.ControlTaskResponse, error) {
	if w.cutOff.Load() {
		return nil, errCutOff
	}
	return w.Workers.Control(ctx, request)
}

func (w *cutOffWorkers) Report(ctx context.Context, request *v1.ReportRequest) (*v1.ReportResponse, error) {
	if w.cutOff.Load() {
		return nil, errCutOff
	}
	return w.Workers.Report(ctx, request)
}

// newLoop returns a loop that isn't running yet.
func (f *testFleet) newLoop(ranker Ranker, workers Workers) *Loop {
	return New(Dependencies{
		Reader: f.fakeFold, Ranker: ranker, Proposer: f.fakeFold, Workers: workers, Now: time.Now,
		Log: telemetry.NewLogger(io.Discard, "controller", "a"),
	}, DefaultSettings())
}

// submitAndStart submits a job that runs for the given number of seconds and waits until it runs.
func (f *testFleet) submitAndStart(t *testing.T, runFor float64) {
	t.Helper()
	f.submit(t, "job", "a", standard, 1000, workersvc.Behaviour{RunFor: seconds(runFor)})
	waitUntil(t, 5*time.Second, func() bool { return f.running("job") })
}

// checkRanOnce waits until the job has ended and checks that its only attempt ran to completion.
func (f *testFleet) checkRanOnce(t *testing.T) {
	t.Helper()
	waitUntil(t, 5*time.Minute, func() bool { return f.liveJobCount() == 0 })
	assert.DeepEqual(t, f.workers.Starts("job"), []uint32{1})
	assert.Equal(t, f.workers.Completions("job"), 1)
}

// Guards against running jobs that are ended as if their start had failed, because a controller that never called
// their workers moves up to an acting rank.
func TestPromotedControllerKeepsRunningJobs(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.startController(0)
		f.startController(1)
		stopThird := f.startController(2)
		standby := &changingRank{}
		standby.rank.Store(actingRanks)
		f.controllers.Go(func() { _ = f.newLoop(standby, f.workers).Run(f.ctx) })
		f.submitAndStart(t, 60)
		time.Sleep(30 * time.Second)
		stopThird()
		standby.rank.Store(actingRanks - 1)
		f.checkRanOnce(t)
	})
}

// Guards against jobs that are ended, or stopped afterwards, by a controller that was cut off from the platform while
// another one renewed their leases.
func TestControllerCutOffFromWorkersKeepsRunningJobs(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.startController(0)
		rank := fixedRank(1)
		workers := &cutOffWorkers{Workers: f.workers}
		f.controllers.Go(func() { _ = f.newLoop(&rank, workers).Run(f.ctx) })
		f.submitAndStart(t, 120)
		time.Sleep(5 * time.Second)
		workers.cutOff.Store(true)
		time.Sleep(time.Minute)
		workers.cutOff.Store(false)
		f.checkRanOnce(t)
	})
}

// Guards against jobs that are ended by a controller that was paused while another one renewed their leases.
func TestPausedControllerKeepsRunningJobs(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.startController(0)
		rank := fixedRank(1)
		loop := f.newLoop(&rank, f.workers)
		f.controllers.Go(func() { _ = loop.proposeQueued(f.ctx) })
		calls := &errgroup.Group{}
		runFor := func(duration time.Duration) {
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(loop.settings.Tick) {
				loop.step(f.ctx, calls)
				loop.pollReports(f.ctx)
			}
		}
		f.submitAndStart(t, 120)
		runFor(10 * time.Second)
		time.Sleep(40 * time.Second)
		runFor(30 * time.Second)
		f.checkRanOnce(t)
	})
}

// blindWorkers omits all tasks from reports while the platform has no contact to the workers, but passes other calls.
type blindWorkers struct {
	Workers
	blind atomic.Bool
}

func (w *blindWorkers) Report(ctx context.Context, request *v1.ReportRequest) (*v1.ReportResponse, error) {
	if w.blind.Load() {
		return &v1.ReportResponse{}, nil
	}
	return w.Workers.Report(ctx, request)
}

// Guards against a job that runs to its end twice, because its renewal was refused and it was stopped after its end, while the
// platform had no report of its worker.
func TestStoppedJobKeepsItsResult(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := newFleet(t, 2)
		rank := fixedRank(0)
		workers := &blindWorkers{Workers: f.workers}
		f.controllers.Go(func() { _ = f.newLoop(&rank, workers).Run(f.ctx) })
		f.submitAndStart(t, 10)
		time.Sleep(5 * time.Second)
		workers.blind.Store(true)
		waitUntil(t, 10*time.Second, func() bool { return f.workers.Completions("job") == 1 })
		time.Sleep(3 * time.Second)
		workers.blind.Store(false)
		f.checkRanOnce(t)
	})
}

// Guards against a job that no controller starts again after its worker was lost and its host was declared failed.
func TestJobOfLostWorkerRunsElsewhere(t *testing.T) {
	withFakeClock(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.startController(0)
		f.startController(1)
		f.submitAndStart(t, 60)
		time.Sleep(10 * time.Second)
		lost, _, _ := f.workers.Running("job")
		f.workers.SetFaults(lost, workersvc.Faults{Dead: true})
		f.update(func() {
			f.offset++
			for i := range f.hosts {
				if f.hosts[i].Name == lost {
					f.hosts[i].Phase = inventory.PhaseFailed
				}
			}
		})
		waitUntil(t, time.Minute, func() bool {
			worker, attempt, running := f.workers.Running("job")
			return running && worker != lost && attempt == 2
		})
	})
}
