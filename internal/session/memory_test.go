package session

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// burstShape is the shape of recurring jobs, as many of which are submitted as find room.
type burstShape struct {
	occurrences, items, steps int
	// distinctTimes is the number of times at which jobs are due.
	distinctTimes int
}

// maxJobs bounds the submitted jobs.
const maxJobs = 4000

// rejectedAny reports whether one of the outcomes that have arrived is a rejection.
func rejectedAny(outcomes <-chan scheduler.Outcome) bool {
	for {
		select {
		case outcome := <-outcomes:
			if outcome.Kind != scheduler.OutcomeDone {
				return true
			}
		default:
			return false
		}
	}
}

// memoryInUse returns the bytes of heap and stacks that the program has in use, with garbage.
func memoryInUse() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}

// runRecurringJobs submits jobs of the shape until one is rejected, and runs a session until their first occurrences have
// been due for a while. It returns the number of submitted jobs, that of the runs, and the largest memory in use.
func runRecurringJobs(t *testing.T, shape burstShape, maxStateBytes int64) (submitted, runs int, largest int64) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	u := newUnansweringWorkers(t, 100*time.Millisecond, "a", "b", "c")
	u.cpuMilli = 1 << 20
	queue := work.Queue{Name: "q", Pool: "p"}
	firstDue := time.Now().Add(5 * time.Second)
	config := newTestConfig(u, u.begin, queue)
	config.Options.MaxStateBytes = maxStateBytes
	config.AttachCore = func(core *scheduler.Core) {
		go func() {
			defer cancel()
			time.Sleep(time.Second)
			outcomes := make(chan scheduler.Outcome, maxJobs)
			for ; submitted < maxJobs && !rejectedAny(outcomes); submitted++ {
				var steps []work.Step
				for range shape.steps {
					steps = append(steps, work.Step{Count: shape.items, Need: work.Resources{CPUMilli: 1}, Estimate: 100 * time.Millisecond})
				}
				due := firstDue.Add(time.Duration(submitted%shape.distinctTimes) * 200 * time.Millisecond)
				core.Submit(&work.Job{ID: fmt.Sprintf("%016x", submitted), Queue: queue, Customer: "hot", Spec: "spec", Accepted: time.Now(), Steps: steps,
					Recurrence: work.Recurrence{Times: shape.occurrences, First: due, Interval: time.Minute}}, outcomes)
			}
			for end := firstDue.Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
				largest = max(largest, memoryInUse())
			}
			u.mu.Lock()
			defer u.mu.Unlock()
			for _, w := range u.workers {
				runs += len(w.highestRun) + len(w.running)
			}
		}()
	}
	Run(ctx, config, 1)
	return submitted, runs, largest
}

// Guards against a process that is killed for its memory once accepted jobs become due, whatever their shape.
func TestMemoryFollowsFromAcceptedJobs(t *testing.T) {
	const limit = 24 << 20
	for _, shape := range []burstShape{
		{occurrences: 4, items: 1200, steps: 1, distinctTimes: 1},
		{occurrences: 600, items: 8, steps: 1, distinctTimes: 1},
		{occurrences: 1, items: work.MaxItems, steps: 1, distinctTimes: 1},
		{occurrences: 2, items: 300, steps: 4, distinctTimes: 8},
		{occurrences: 1, items: 1, steps: 1, distinctTimes: 3},
	} {
		t.Run(fmt.Sprintf("%+v", shape), func(t *testing.T) {
			runtime.GC()
			before := memoryInUse()
			// The shares of a process's memory are those of cmd/entry.
			defer debug.SetGCPercent(debug.SetGCPercent(400))
			defer debug.SetMemoryLimit(debug.SetMemoryLimit(before + limit*6/10))
			synctest.Test(t, func(t *testing.T) {
				submitted, runs, largest := runRecurringJobs(t, shape, limit*3/10)
				t.Logf("%d jobs submitted, %d runs, %d KiB in use at most, %d KiB before", submitted, runs, largest>>10, before>>10)
				assert.Assert(t, runs > 0)
				assert.Assert(t, largest-before <= limit*85/100, "%d KiB were taken", (largest-before)>>10)
			})
		})
	}
}
