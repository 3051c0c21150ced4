package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericyoke/internal/infra"
	"turmericyoke/internal/policy"
)

// Guards against a zone that counts as lost although only a part of it is, or although the fault is the link of the
// scheduler's own host, and against a partition that isn't found.
func TestLostZones(t *testing.T) {
	const ms = time.Millisecond
	for name, test := range map[string]struct {
		unanswered []string
		// respondedAt is when zones last responded, before the check at 1 s; the calls had no response 10 ms before that.
		respondedAt map[string]time.Duration
		lost        []string
	}{
		"zone partitioned":               {[]string{"a0", "a1", "a2"}, map[string]time.Duration{"a": 600 * ms, "b": 990 * ms}, []string{"a"}},
		"two zones partitioned":          {[]string{"a0", "a1", "a2", "b0", "b1", "b2"}, map[string]time.Duration{"a": 600 * ms, "b": 600 * ms, "c": 990 * ms}, []string{"a", "b"}},
		"half of a zone partitioned":     {[]string{"a0", "a1", "a2"}, map[string]time.Duration{"a": 995 * ms, "b": 990 * ms}, nil},
		"responses a moment ago":         {[]string{"a0", "a1", "a2"}, map[string]time.Duration{"a": 750 * ms, "b": 990 * ms}, nil},
		"two workers crashed":            {[]string{"a0", "a1", "a1"}, map[string]time.Duration{"a": 600 * ms, "b": 990 * ms}, nil},
		"link of this host congested":    {[]string{"a0", "a1", "a2", "b0"}, map[string]time.Duration{"a": 600 * ms, "b": 620 * ms}, nil},
		"workers of the only zone crash": {[]string{"a0", "a1", "a2"}, map[string]time.Duration{"a": 600 * ms}, nil},
	} {
		watch := zoneWatch{}
		for zone, at := range test.respondedAt {
			watch.noteResponse(zone, at)
		}
		for _, worker := range test.unanswered {
			if test.respondedAt[worker[:1]] < 990*ms {
				watch.noteUnanswered(worker[:1], worker, 990*ms)
			}
		}
		assert.DeepEqual(t, watch.findLost(time.Second), test.lost)
		assert.DeepEqual(t, watch.lostZones(), test.lost)
		assert.Equal(t, len(watch.findLost(time.Second)), 0, "%s: found again", name)
	}
	watch := zoneWatch{}
	for n, worker := range []string{"a0", "a1", "a2"} {
		watch.noteUnanswered("a", worker, time.Duration(n)*unansweredWindow)
		watch.noteResponse("b", time.Duration(n)*unansweredWindow)
	}
	assert.Equal(t, len(watch.findLost(2*unansweredWindow)), 0, "calls without a response that are far apart")
	for _, worker := range []string{"a0", "a1", "a2"} {
		watch.noteUnanswered("a", worker, 2*unansweredWindow)
	}
	watch.noteResponse("a", 2*unansweredWindow)
	watch.noteResponse("b", 2*unansweredWindow+zoneSilence)
	assert.Equal(t, len(watch.findLost(2*unansweredWindow+zoneSilence)), 0, "calls without a response before the last response")
}

// newLossCore returns the core of newZonesCore with a third worker in each zone, and one host for each worker besides one in
// standby in zone a.
func newLossCore() *testCore {
	tc := newZonesCore()
	hosts := []infra.Host{{ID: "host-standby", Pool: "rest", State: infra.HostUp, Zone: "a", Capacity: tc.workers["a0"].entry.Capacity}}
	for _, zone := range []string{"a", "b", "c"} {
		tc.addWorkerInZone(zone + "2")
	}
	for _, w := range tc.sortedWorkers() {
		hosts = append(hosts, infra.Host{ID: "host-" + w.entry.ID, Pool: simPool, State: infra.HostUp, Zone: w.entry.Zone, WorkerID: w.entry.ID, Capacity: w.entry.Capacity})
	}
	tc.SetHosts(hosts, tc.now)
	return tc
}

// loseZone lets the workers of zone a leave calls unanswered, while those of the others respond.
func (tc *testCore) loseZone() {
	tc.now += zoneSilence
	tc.respond("b0", "c0")
	tc.supplyOf(simPool, tc.now)
	// The calls of a relay in the zone are lost with it.
	for _, id := range []string{"a0", "a1", "a2"} {
		tc.RenewalFailed(id, &infra.Error{Kind: infra.RelayFailed, Op: "relay"})
	}
}

// respond applies reports of the workers.
func (tc *testCore) respond(ids ...string) {
	for _, id := range ids {
		tc.reportRuns(tc.workers[id])
	}
}

// candidates returns the IDs of the workers of zone a that may get work.
func (tc *testCore) candidates() (ids string) {
	for _, w := range tc.sortedWorkers() {
		if w.entry.Zone == "a" && tc.isCandidate(w, tc.now) {
			ids += w.entry.ID + " "
		}
	}
	return ids
}

// capacity returns the hosts and cores on which pool sizes and admission control count.
func (tc *testCore) capacity() (hosts int, cores float64, standby int) {
	_, inStandby := tc.standbyHosts(tc.now)
	_, cores = tc.supplyOf(simPool, tc.now)
	return tc.poolLoads(tc.workByPool(tc.now), tc.now)[0].hosts, cores, len(inStandby)
}

// Guards against starts on the workers of a partitioned zone whose own calls haven't had time to fail, and against
// admission control and pool sizes that count on them meanwhile.
func TestLostZoneIsNoCapacity(t *testing.T) {
	tc := newLossCore()
	hosts, cores, standby := tc.capacity()
	assert.Assert(t, hosts == 9 && cores == 80 && standby == 1, "%d %v %d", hosts, cores, standby)
	tc.addWorkerInZone("a3")
	id := tc.idWithHome("a")
	tc.accept(id, items(4))
	starts := tc.collectOrders()
	assert.DeepEqual(t, tc.zonesOf(id), map[string]int{"a": 4})
	sent := &starts[0]
	assert.Assert(t, tc.LeaseForStart(sent, tc.now) > 0)
	tc.loseZone()
	assert.Equal(t, tc.candidates(), "")
	hosts, cores, standby = tc.capacity()
	assert.Assert(t, hosts == 6 && cores == 48 && standby == 0, "%d %v %d", hosts, cores, standby)
	for n := range starts {
		assert.Equal(t, tc.LeaseForStart(&starts[n], tc.now), int64(0), "the start wasn't sent, or has to be sent again")
	}
	tc.commit()
	placed := tc.zonesOf(id)
	assert.Equal(t, placed["a"], 1, "the start that was sent may have been carried out")
	assert.Equal(t, placed["b"]+placed["c"], 3, "items whose starts weren't sent are placed in other zones")
	assert.Equal(t, tc.placedIn("job", items(40))["a"], 0)
	tc.ApplyStartResult(sent, nil, false)
	assert.Equal(t, len(tc.zones.lostZones()), 0, "the response to a start shows as much as a report")
	assert.Equal(t, tc.candidates(), "", "no worker has reported")
}

// Guards against a partition that is found only with the next call without a response: the last ones may have ended too
// early for the zone to be silent for long enough.
func TestLostZoneIsFoundWithoutFurtherCalls(t *testing.T) {
	tc := newLossCore()
	for _, id := range []string{"a0", "a1", "a2"} {
		tc.CallUnanswered(id)
	}
	assert.Equal(t, tc.candidates(), "a0 a1 a2 ")
	tc.now += zoneSilence
	tc.respond("b0")
	tc.commit()
	assert.Equal(t, tc.candidates(), "")
	tc.respond("a0", "a1", "a2")
	assert.Assert(t, !tc.workers["a0"].unresponsive(tc.now))
}

// Guards against starts, when a zone recovers or flaps, on workers that haven't reported yet, and against workers that stay
// paused or last in order because of calls that the partition has cut off.
func TestWorkersOfARecoveredZoneReportFirst(t *testing.T) {
	tc := newLossCore()
	for range 3 {
		tc.workers["a1"].pauseUnconfirmed(tc.now + zoneSilence)
		tc.loseZone()
		tc.now += 100 * time.Millisecond
		tc.respond("a1")
		assert.Equal(t, tc.candidates(), "a1 ")
		assert.Assert(t, !tc.workers["a1"].unresponsive(tc.now))
		hosts, _, _ := tc.capacity()
		assert.Equal(t, hosts, 9)
		tc.respond("a0", "a2")
		assert.Equal(t, tc.candidates(), "a0 a1 a2 ")
	}
}

// Guards against a zone that stays lost, with its hosts in standby, because the workers that could respond have left.
func TestZoneWithoutWorkersIsNotLost(t *testing.T) {
	tc := newLossCore()
	tc.loseZone()
	tc.SetHosts([]infra.Host{{ID: "host-standby", Pool: "rest", State: infra.HostUp, Zone: "a"}}, tc.now)
	tc.UpdateWorkers(infra.WorkerUpdate{Removed: []string{"a0", "a1", "a2"}})
	tc.now += time.Minute
	tc.commit()
	tc.now += time.Minute
	tc.commit()
	_, inStandby := tc.standbyHosts(tc.now)
	assert.Equal(t, len(inStandby), 1)
}

// Guards against starts by the next term in a zone that was partitioned together with the scheduler, and against pool
// sizes that count on its hosts.
func TestNextTermFindsTheLostZone(t *testing.T) {
	tc := newLossCore()
	for _, id := range []string{"a0", "a1", "a2"} {
		// This term has no report of these workers.
		tc.workers[id].hasReported = false
		tc.RenewalFailed(id, &infra.Error{Kind: infra.Unknown, Op: "hold"})
	}
	assert.Equal(t, tc.candidates(), "")
	tc.now += zoneSilence
	tc.respond("b0")
	tc.commit()
	hosts, _, standby := tc.capacity()
	assert.Assert(t, hosts == 6 && standby == 0, "%d %d", hosts, standby)
}

// Guards against false alarms of a process that is behind, and against a rule that takes effect where operators haven't
// enabled it.
func TestZonesAreNotLostWithoutProof(t *testing.T) {
	late := newLossCore()
	late.ObserveDelay(2 * maxTimelyDelay)
	off := newLossCore()
	off.options.Policy = policy.Policy{}
	for _, tc := range []*testCore{late, off} {
		tc.loseZone()
		tc.commit()
		assert.Equal(t, tc.candidates(), "a0 a1 a2 ")
		hosts, cores, standby := tc.capacity()
		assert.Assert(t, hosts == 9 && cores == 80 && standby == 1, "%d %v %d", hosts, cores, standby)
	}
}
