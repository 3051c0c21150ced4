package session

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

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

// runJob runs a session with one job of one item, and calls check once the job is accepted.
func runJob(t *testing.T, check func(log *infratest.Log, worker *slowStarts)) {
	synctest.Test(t, func(t *testing.T) {
		log, worker := &infratest.Log{}, &slowStarts{}
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
		check(log, worker)
		assert.Equal(t, outcome.Kind, scheduler.OutcomeDone)
		cancel()
		<-ended
		time.Sleep(2 * time.Second)
	})
}

// Guards against a start that no record tells of (incident 0027): it was sent while its record was being written, had no response,
// and the term ended before the record was durable. The next term ran the item elsewhere beside it.
func TestStartIsSentOnceItsRecordIsDurable(t *testing.T) {
	runJob(t, func(log *infratest.Log, worker *slowStarts) {
		// The job is durable; the record of the start follows in the next append.
		log.SetDown(true)
		time.Sleep(time.Second)
		sentBefore := worker.startsOf()
		log.SetDown(false)
		time.Sleep(2 * time.Second)
		assert.Equal(t, sentBefore, 0, "the start was sent before its record is durable")
		assert.Equal(t, worker.startsOf(), 1)
	})
}

// Guards against a start that waits for the pause after an append, in which changes gather, besides the append.
func TestStartDoesNotWaitForTheNextBatch(t *testing.T) {
	runJob(t, func(_ *infratest.Log, worker *slowStarts) {
		// One pause follows the append of the job. Appends take no time here.
		time.Sleep(batchPause + batchPause/2)
		assert.Equal(t, worker.startsOf(), 1)
	})
}
