package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against work on a host that is about to go down or to move, because a wave that had drained the host as well is
// completed.
func TestCompletedWaveKeepsCordonsOfOthers(t *testing.T) {
	for _, moving := range []bool{false, true} {
		tc := newTestCore(1)
		id := tc.addWorker(0, 8)
		tc.SetHosts(hostsOf(id), tc.now)
		host := tc.workers[id].host
		first, second := tc.waveByID(1), tc.waveByID(2)
		first.Hosts, second.Hosts = []string{host}, []string{host}
		tc.workers[id].cordoned = true
		first.cordoned[host] = true
		if moving {
			tc.fleet.moves[host] = &moveOrder{}
		} else {
			second.cordoned[host], tc.fleet.pendingMaintenance[host] = true, true
		}
		tc.completeWave(first)
		assert.Assert(t, tc.workers[id].cordoned)
		delete(tc.fleet.moves, host)
		if !moving {
			tc.completeWave(second)
			assert.Assert(t, !tc.workers[id].cordoned)
		}
	}
}
