package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Guards against a second run of the work items of a host that has moved: the first order to move it had no response,
// and the response to its repetition arrives when the host's new worker already runs them.
func TestRepeatedMoveKeepsTheRunsOfTheNewWorker(t *testing.T) {
	for _, test := range []struct {
		name string
		// repeatedEarly is set if the order is repeated before the list of hosts shows the new worker.
		repeatedEarly bool
	}{{"repeated after the host has moved", false}, {"repeated while the host moves", true}} {
		t.Run(test.name, func(t *testing.T) {
			tc := newTestCore(1)
			list := func(host infra.Host) {
				host.ID, host.Capacity = "host-0", work.Resources{CPUMilli: crashTestCores * 1000, MemoryMiB: 1 << 20}
				tc.SetHosts([]infra.Host{host}, tc.now)
			}
			list(infra.Host{Pool: "rest", State: infra.HostUp})
			waiter := make(chan Outcome, 1)
			tc.Submit(&work.Job{ID: "job", Queue: tc.config.Queues[0], Steps: []work.Step{lastingStep(1, 0)}}, waiter)
			tc.commit()
			orders, _ := tc.PlanHosts()
			assert.DeepEqual(t, orders, []HostOrder{{Host: "host-0", Pool: simPool}})
			tc.ApplyHostOrderResult(orders[0], &infra.Error{Kind: infra.Unknown, Op: "move"})
			tc.now += 2 * hostOrderRetryDelay
			var repeated []HostOrder
			if test.repeatedEarly {
				list(infra.Host{Pool: simPool, State: infra.HostMoving})
				repeated, _ = tc.PlanHosts()
			}

			tc.now += simOptions().HostMoveTime
			worker := tc.addWorker(0, crashTestCores)
			list(infra.Host{Pool: simPool, State: infra.HostUp, WorkerID: worker})
			starts := tc.collectOrders()
			assert.Assert(t, len(starts) == 1 && tc.LeaseForStart(&starts[0], tc.now) > 0)
			tc.reportStarted(starts, 0)
			i := tc.jobs["job"].steps[0].items[0]
			assert.Assert(t, i.worker != nil && i.reported)
			tc.now += time.Second
			if !test.repeatedEarly {
				repeated, _ = tc.PlanHosts()
			}
			for _, order := range repeated {
				tc.ApplyHostOrderResult(order, nil)
			}
			assert.Assert(t, i.worker == tc.workers[worker] && !tc.workers[worker].ended, "the worker runs the item and must not count as ended")
			assert.Equal(t, i.crashes, crashCounts{})
			for _, order := range tc.commit() {
				assert.Assert(t, order.Kind != OrderStart && order.Kind != OrderStop, "the item runs already")
			}
		})
	}
}
