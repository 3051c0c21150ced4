package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
)

// Guards against a plan of the hosts that reads the clock for each host, or each comparison of two: a read is a system
// call, and the plan holds the lock of the core.
func TestPlanOfHostsReadsTheClockOnce(t *testing.T) {
	for _, count := range []int{10, 300} {
		tc := newTestCore(1)
		var hosts []infra.Host
		for n := range count {
			hosts = append(hosts, infra.Host{ID: fmt.Sprintf("host-%d", n), Pool: simPool, State: infra.HostUp, WorkerID: tc.addWorker(n, 8)})
		}
		tc.SetHosts(hosts, tc.now)
		reads := 0
		tc.clock = func() time.Duration {
			reads++
			return tc.now
		}
		tc.PlanHosts()
		assert.Equal(t, reads, 1, "for %d hosts", count)
	}
}
