package session

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// Guards against submissions that wait for the whole of an outage of the log behind an append that they aren't part of,
// and against a promise to their callers that the jobs never run.
func TestSubmissionsDuringAnOutageAreAnsweredSoon(t *testing.T) {
	// The first submission is part of the append in progress, whose outcome isn't known.
	t.Run("behind a submission", func(t *testing.T) { testOutage(t, 0, 1) })
	// The append in progress confirms the term only.
	t.Run("behind a confirmation", func(t *testing.T) { testOutage(t, 700*time.Millisecond, 0) })
}

// testOutage submits jobs from the given time after the beginning of an outage on, and checks that all but those whose
// outcome may be unknown are answered as unconfirmed.
func testOutage(t *testing.T, first time.Duration, unknown int) {
	synctest.Test(t, func(t *testing.T) {
		log, worker := &infratest.Log{}, &slowStarts{}
		begin := time.Now()
		queue := work.Queue{Name: "q", Pool: "p"}
		const count = 20
		outcomes := make(chan scheduler.Outcome, count)
		config := newTestConfig(worker, begin, queue)
		config.Log = log
		config.AttachCore = func(core *scheduler.Core) {
			log.SetDown(true)
			for n := range count {
				time.AfterFunc(first+time.Duration(n)*50*time.Millisecond, func() {
					core.Submit(&work.Job{ID: fmt.Sprint(n), Queue: queue, Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1}}}}, outcomes)
				})
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), first+2*time.Second)
		defer cancel()
		go Run(ctx, config, 1)
		time.Sleep(first + 1900*time.Millisecond)
		assert.Equal(t, len(outcomes), count-unknown)
		for range count - unknown {
			outcome := <-outcomes
			assert.Equal(t, outcome.Kind, scheduler.OutcomeUnconfirmed)
		}
		time.Sleep(time.Second)
	})
}
