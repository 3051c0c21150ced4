package session

import (
	"context"
	"io"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// runBurst submits a job of many work items and cancels it once they run. It returns the largest number of goroutines, and
// the number of runs before the cancellation and at the end.
func (u *unansweringWorkers) runBurst(t *testing.T, items int) (goroutines, runs, left int) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	queue := work.Queue{Name: "q", Pool: "p"}
	job := &work.Job{ID: "j", Queue: queue, Steps: []work.Step{{Count: items, Need: work.Resources{CPUMilli: 1}}}}
	countRuns := func() (n int) {
		u.mu.Lock()
		defer u.mu.Unlock()
		for _, w := range u.workers {
			n += len(w.running)
		}
		return n
	}
	observe := func(duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(time.Millisecond) {
			goroutines = max(goroutines, runtime.NumGoroutine())
		}
	}
	config := Config{Log: &infratest.Log{}, Workers: u, Hosts: noHosts{}, NewDirectory: func() infra.Directory { return u },
		Clock: func() time.Duration { return time.Hour + time.Since(u.begin) }, WallClock: time.Now, Logger: logrus.NewEntry(logger),
		Options: scheduler.Options{Lease: 5 * time.Second},
		ConfigureCore: func(core *scheduler.Core) {
			core.SetConfig(&work.Config{Version: 1, Pools: map[string]work.Pool{"p": {Name: "p"}}, Queues: []work.Queue{queue}})
		},
		DetachCore: func() {},
		AttachCore: func(core *scheduler.Core) {
			go func() {
				defer cancel()
				time.Sleep(time.Second)
				core.Submit(job, make(chan scheduler.Outcome, 1))
				observe(3 * time.Second)
				runs = countRuns()
				core.Cancel(job.ID, make(chan scheduler.Outcome, 1))
				observe(3 * time.Second)
				left = countRuns()
			}()
		}}
	Run(ctx, config, 1)
	return goroutines, runs, left
}

// Guards against a process that is killed for its memory when tens of thousands of small work items are due at once, or are
// canceled: each order that waited took a goroutine and its stack.
func TestOrdersThatWaitTakeNoGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 8000
		u := newUnansweringWorkers(t, time.Hour, "a", "b")
		goroutines, runs, left := u.runBurst(t, items)
		assert.Equal(t, runs, items)
		assert.Equal(t, left, 0)
		assert.Assert(t, goroutines < items/10, "%d goroutines", goroutines)
	})
}

// Guards against a worker without response that holds up the stops at others, and against further stops of the same runs
// that accumulate behind it.
func TestStopsAtAnUnresponsiveWorkerDelayNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUnansweringWorkers(t, time.Hour, "a", "b")
		u.unanswered = func(worker, kind string, _ int) bool { return worker == "a" && kind == "stop" }
		goroutines, _, left := u.runBurst(t, 8000)
		u.mu.Lock()
		defer u.mu.Unlock()
		assert.Equal(t, len(u.workers["b"].running), 0)
		assert.Assert(t, left <= 4000, "%d runs are left", left)
		assert.Assert(t, goroutines < 800, "%d goroutines", goroutines)
	})
}
