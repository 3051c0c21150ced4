package session

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// startsOf returns the number of starts that have reached the worker.
func (w *slowStarts) startsOf() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starting + w.started
}

// appendTimes is a log that keeps the time of its last append.
type appendTimes struct {
	*infratest.Log
	mu   sync.Mutex
	last time.Time
}

func (l *appendTimes) Append(ctx context.Context, topic string, records []infra.Record, options infra.AppendOptions) (int64, error) {
	offset, err := l.Log.Append(ctx, topic, records, options)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = time.Now()
	return offset, err
}

// age returns the time since the last append.
func (l *appendTimes) age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.last)
}

// timedStarts is a worker that keeps the longest time from the last append to a start.
type timedStarts struct {
	slowStarts
	log     *appendTimes
	longest time.Duration
}

func (w *timedStarts) Start(ctx context.Context, worker infra.WorkerRef, order infra.StartOrder) (int64, error) {
	w.mu.Lock()
	w.longest = max(w.longest, w.log.age())
	w.mu.Unlock()
	return w.slowStarts.Start(ctx, worker, order)
}

// runJob runs a session with one job of one item, and calls check once the job is accepted.
func runJob(t *testing.T, check func(t *testing.T, log *appendTimes, worker *timedStarts)) {
	synctest.Test(t, func(t *testing.T) {
		log := &appendTimes{Log: &infratest.Log{}}
		worker := &timedStarts{log: log}
		queue := work.Queue{Name: "q", Pool: "p"}
		outcomes := make(chan scheduler.Outcome, 1)
		config := newTestConfig(worker, time.Now(), queue)
		config.Log = log
		config.AttachCore = func(core *scheduler.Core) {
			time.AfterFunc(time.Second, func() {
				core.Submit(&work.Job{ID: "job", Queue: queue, Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1}}}}, outcomes)
			})
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			Run(ctx, config, 1)
		}()
		outcome := <-outcomes
		check(t, log, worker)
		assert.Equal(t, outcome.Kind, scheduler.OutcomeDone)
		cancel()
		<-ended
		time.Sleep(2 * time.Second)
	})
}

// Guards against a start that no record tells of (incident 0027): it was sent while its record was being written, had no response,
// and the term ended before the record was durable. The next term ran the item elsewhere beside it.
func TestStartIsSentOnceItsRecordIsDurable(t *testing.T) {
	runJob(t, func(t *testing.T, log *appendTimes, worker *timedStarts) {
		// The job is durable; the record of the start follows in the next append.
		log.SetDown(true)
		time.Sleep(time.Second)
		sentBefore := worker.startsOf()
		log.SetDown(false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, sentBefore, 0, "the start was sent before its record is durable")
		// The worker lists no runs, so that the item may have started again.
		assert.Assert(t, worker.startsOf() > 0)
	})
}

// Guards against a start that waits for the pause after an append, in which changes gather, besides the append.
func TestStartDoesNotWaitForTheNextBatch(t *testing.T) {
	runJob(t, func(t *testing.T, _ *appendTimes, worker *timedStarts) {
		time.Sleep(time.Second)
		assert.Assert(t, worker.startsOf() > 0)
		// Appends take no time here.
		assert.Assert(t, worker.longest < batchPause, "%s", worker.longest)
	})
}
