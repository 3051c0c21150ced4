package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/work"
)

// Guards against a host that is moved on while an earlier move without a response may still be carried out: that would
// move it back and end what runs there, although other hosts could move.
func TestHostsWithALateMoveMoveAfterTheOthers(t *testing.T) {
	tc := newCrashCore(4)
	var hosts []infra.Host
	for n := range 4 {
		hosts = append(hosts, infra.Host{ID: fmt.Sprint("host-", n), Pool: simPool, State: infra.HostUp, WorkerID: fmt.Sprint("worker-", n),
			Capacity: work.Resources{CPUMilli: crashTestCores * 1000, MemoryMiB: 1 << 20}})
	}
	tc.SetHosts(hosts, tc.now)
	emptyHosts := func() []string {
		tc.now += time.Second
		return tc.poolLoads(tc.workByPool(tc.now), tc.now)[0].emptyHosts
	}
	assert.DeepEqual(t, emptyHosts(), []string{"host-0", "host-1", "host-2", "host-3"})

	order := HostOrder{Host: "host-0", Pool: simPool}
	tc.fleet.moves[order.Host] = &moveOrder{pool: order.Pool, inFlight: true}
	tc.ApplyHostOrderResult(order, &infra.Error{Kind: infra.Unknown, Op: "move"})
	delete(tc.fleet.moves, order.Host)
	assert.DeepEqual(t, emptyHosts(), []string{"host-1", "host-2", "host-3", "host-0"})
	tc.now += maxCallDelay
	assert.DeepEqual(t, emptyHosts(), []string{"host-0", "host-1", "host-2", "host-3"})
}
