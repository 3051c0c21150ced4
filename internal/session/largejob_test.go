package session

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/journal"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// checkpointedRun is a run on a checkpointingFleet.
type checkpointedRun struct {
	item    work.ItemID
	run     int64
	begunAt time.Time
}

// checkpointingFleet is a fleet of one worker whose runs report a checkpoint and are done after runTime, and the directory
// that lists it.
type checkpointingFleet struct {
	infra.Workers
	checkpoint string
	runTime    time.Duration

	mu      sync.Mutex
	running []checkpointedRun
	ended   []infra.EndedRun
	lastEnd int64
}

func (f *checkpointingFleet) Start(_ context.Context, _ infra.WorkerRef, order infra.StartOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running = append(f.running, checkpointedRun{order.Item, order.Run, time.Now()})
	return 0, nil
}

func (f *checkpointingFleet) Stop(context.Context, infra.WorkerRef, work.ItemID, int64, int64) (int64, error) {
	return 0, nil
}

func (f *checkpointingFleet) RenewLease(_ context.Context, _ infra.WorkerRef, request infra.LeaseRenewal) (infra.WorkerReport, error) {
	time.Sleep(min(max(request.Wait, time.Millisecond), 100*time.Millisecond))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = slices.DeleteFunc(f.ended, func(e infra.EndedRun) bool { return e.Sequence <= request.AckedEnd })
	report := infra.WorkerReport{ClockMs: time.Now().UnixMilli()}
	f.running = slices.DeleteFunc(f.running, func(r checkpointedRun) bool {
		if time.Since(r.begunAt) < f.runTime {
			report.Running = append(report.Running, infra.ActiveRun{Item: r.item, Run: r.run, Checkpoint: f.checkpoint})
			return false
		}
		f.lastEnd++
		f.ended = append(f.ended, infra.EndedRun{Sequence: f.lastEnd, Item: r.item, Run: r.run, Cause: infra.EndDone, Checkpoint: f.checkpoint})
		return true
	})
	report.Ended = slices.Clone(f.ended)
	return report, nil
}

func (f *checkpointingFleet) Poll(context.Context) (infra.WorkerUpdate, error) {
	entry := infra.WorkerEntry{ID: "i-7f3a91c2", Pool: "p", Zone: "z", Address: "a:1", Capacity: work.Resources{CPUMilli: 1 << 30}}
	return infra.WorkerUpdate{Full: true, Entries: []infra.WorkerEntry{entry}}, nil
}

// Guards against a service that stops for all customers because the log refuses the record of one large job (incident
// 0010): the refused append was repeated for ever.
func TestLargeJobDoesNotStopTheService(t *testing.T) {
	for _, checkpoint := range []string{"00000bb87a21d94b", strings.Repeat("c", 20000)} {
		t.Run(fmt.Sprintf("checkpoints of %d bytes", len(checkpoint)), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				logger := logrus.New()
				logger.SetOutput(io.Discard)
				fleet := &checkpointingFleet{checkpoint: checkpoint, runTime: 3 * time.Second}
				begin := time.Now()
				queue := work.Queue{Name: "q", Pool: "p"}
				step := work.Step{Count: 4000, Need: work.Resources{CPUMilli: 10}, Estimate: 3 * time.Second, Checkpointing: true}
				last := work.Step{Count: 10, Need: work.Resources{CPUMilli: 10}, Estimate: 3 * time.Second, After: []int{0}}
				small, large := make(chan scheduler.Outcome, 1), make(chan scheduler.Outcome, 1)
				states := make(chan []scheduler.JobState, 1)
				limits := journal.Limits{Record: 64 << 10, Call: 128 << 10}
				config := Config{Log: &infratest.Log{MaxRecordBytes: limits.Record, MaxCallBytes: limits.Call}, LogLimits: limits, Workers: fleet, Hosts: noHosts{}, NewDirectory: func() infra.Directory { return fleet },
					Clock: func() time.Duration { return time.Hour + time.Since(begin) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
					Options: scheduler.Options{Lease: 5 * time.Second, MaxLease: 6 * time.Second, EndedJobRetention: time.Minute},
					ConfigureCore: func(core *scheduler.Core) {
						core.SetConfig(&work.Config{Version: 1, Pools: map[string]work.Pool{"p": {Name: "p"}}, Queues: []work.Queue{queue}})
					},
					DetachCore: func() {},
					AttachCore: func(core *scheduler.Core) {
						core.Submit(&work.Job{ID: "large", Queue: queue, Steps: []work.Step{step, last}}, large)
						time.AfterFunc(4*time.Second, func() {
							core.Submit(&work.Job{ID: "small", Queue: queue, Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 10}, Estimate: time.Second}}}, small)
						})
						time.AfterFunc(19*time.Second, func() {
							smallState, _ := core.State("small")
							largeState, _ := core.State("large")
							states <- []scheduler.JobState{smallState, largeState}
						})
					}}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				Run(ctx, config, 1)
				for _, outcomes := range []chan scheduler.Outcome{large, small} {
					select {
					case outcome := <-outcomes:
						assert.Equal(t, outcome.Kind, scheduler.OutcomeDone)
					default:
						t.Fatal("a job got no outcome")
					}
				}
				assert.DeepEqual(t, <-states, []scheduler.JobState{scheduler.JobCompleted, scheduler.JobCompleted})
			})
		})
	}
}
