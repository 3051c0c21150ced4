package session

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// runBurst submits a job of many work items, cancels it once they run, and ends the term after stopTime. It returns the
// largest number of goroutines, and the number of runs before the cancellation and at the end.
func (u *unansweringWorkers) runBurst(t *testing.T, items int, stopTime time.Duration) (goroutines, runs, left int) {
	t.Helper()
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
	config := newTestConfig(u, u.begin, queue)
	config.AttachCore = func(core *scheduler.Core) {
		go func() {
			defer cancel()
			time.Sleep(time.Second)
			core.Submit(job, make(chan scheduler.Outcome, 1))
			observe(3 * time.Second)
			runs = countRuns()
			core.Cancel(job.ID, "big", make(chan scheduler.Outcome, 1))
			observe(stopTime)
			left = countRuns()
		}()
	}
	Run(ctx, config, 1)
	return goroutines, runs, left
}

// Guards against a process that is killed for its memory when tens of thousands of small work items are due at once, or are
// canceled: each order that waited took a goroutine and its stack.
func TestOrdersThatWaitTakeNoGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const items = 8000
		u := newUnansweringWorkers(t, time.Hour, "a", "b")
		goroutines, runs, left := u.runBurst(t, items, 3*time.Second)
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
		goroutines, _, left := u.runBurst(t, 8000, 3*time.Second)
		u.mu.Lock()
		defer u.mu.Unlock()
		assert.Equal(t, len(u.workers["b"].running), 0)
		assert.Assert(t, left <= 4000, "%d runs are left", left)
		assert.Assert(t, goroutines < 800, "%d goroutines", goroutines)
	})
}

// Guards against stops that are sent after the term, since they waited for their turn.
func TestStopsThatWaitEndWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := newUnansweringWorkers(t, time.Hour, "a")
		_, runs, left := u.runBurst(t, 4000, 20*time.Millisecond)
		assert.Assert(t, 0 < left && left < runs, "%d of %d runs are left", left, runs)
		time.Sleep(5 * time.Second)
		u.mu.Lock()
		defer u.mu.Unlock()
		assert.Assert(t, len(u.workers["a"].running) >= left-2*maxOrdersInFlight, "%d runs are left, %d at the end of the term", len(u.workers["a"].running), left)
	})
}
