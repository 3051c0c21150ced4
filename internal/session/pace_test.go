package session

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/infra/infratest"
	"turmericyoke/internal/scheduler"
	"turmericyoke/internal/work"
)

// countingLog counts the appends with records.
type countingLog struct {
	infratest.Log
	appends atomic.Int64
}

func (l *countingLog) Append(ctx context.Context, topic string, records []infra.Record, options infra.AppendOptions) (int64, error) {
	if len(records) > 0 {
		l.appends.Add(1)
	}
	return l.Log.Append(ctx, topic, records, options)
}

// Guards against a scheduling process that plans for a large fleet after each change: at the peaks of 1,100 workers the
// 200 plans a second took the processor time that starts need, so that they reached their time limits.
func TestLargeFleetsAreNotPlannedAfterEachChange(t *testing.T) {
	for _, tc := range []struct {
		workers                int
		minAppends, maxAppends int64
	}{{workers: 20, minAppends: 40, maxAppends: 70}, {workers: 3000, minAppends: 10, maxAppends: 20}} {
		synctest.Test(t, func(t *testing.T) {
			hosts := &idleHosts{count: tc.workers}
			log := &countingLog{}
			begin := time.Now()
			queue := work.Queue{Name: "q", Pool: "p"}
			config := newTestConfig(hosts, begin, queue)
			config.Log = log
			config.AttachCore = func(core *scheduler.Core) {
				go func() {
					for n := range 250 {
						core.Submit(&work.Job{ID: fmt.Sprint("j-", n), Queue: queue, Steps: []work.Step{{Count: 1, Need: work.Resources{CPUMilli: 1 << 40}, Lasting: true}}}, make(chan scheduler.Outcome, 1))
						time.Sleep(time.Millisecond)
					}
				}()
			}
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			Run(ctx, config, 1)
			appends := log.appends.Load()
			assert.Assert(t, appends >= tc.minAppends && appends <= tc.maxAppends, "%d appends for 250 jobs, one in each millisecond, with %d workers", appends, tc.workers)
		})
	}
}
