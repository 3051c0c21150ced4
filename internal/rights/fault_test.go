package rights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// modelSeed is the first seed of the fault tests. Each test runs with modelSeeds consecutive seeds.
const (
	modelSeed  = 7
	modelSeeds = 2
)

// reclaimTime is the time within which the rights of a lost holder are reclaimed. It covers the silence
// before the vows, the wait before the reclaim, and 30 s for rank delays and records.
const reclaimTime = lease.MinSilence + lease.Duration + structs.DefaultMaxRunTime + 30*time.Second

// faultTest runs the scenario with each seed on three zones of three gateways. Every fault test guards
// against a team that has more running requests than its limit, which the model checks at each tick.
func faultTest(t *testing.T, limits map[string]uint64, scenario func(t *testing.T, m *model)) {
	for seed := uint64(modelSeed); seed < modelSeed+modelSeeds; seed++ {
		m := newModel(t, seed, 3, 3, limits)
		m.demand = m.staggeredDemand(1)
		m.run(30 * time.Second)
		scenario(t, m)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// mixedLimits returns the limits of three teams of different sizes.
func mixedLimits() map[string]uint64 { return map[string]uint64{"one": 1, "few": 5, "many": 40} }

// Guards also against rights that stay with a dead holder, whose requests still run when it dies.
func TestHolderDiesWithRunningWork(t *testing.T) {
	faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
		m.nodes[4].dead = true
		m.run(reclaimTime)
		assert.Equal(t, m.rightsOf(m.nodes[4].name), uint64(0))
		// A replacement of the same name joins without rights.
		replacement := m.add(m.nodes[4].name, m.nodes[4].zone)
		m.run(time.Minute)
		assert.Assert(t, replacement.holder.LeaseHeld())
	})
}

// overload is a demand of one new request per tick for each node and team, which exceeds the limits.
func overload(*node, string) int { return 1 }

// Guards also against a holder that no longer admits requests after a pause, and against requests that were
// admitted before the pause and are dispatched after it, before or after the holder has joined again.
func TestHolderPausedBeforeDispatch(t *testing.T) {
	for _, pause := range []time.Duration{lease.Duration - tick, 9 * time.Second, 30 * time.Second, 5 * time.Minute} {
		for _, stall := range []time.Duration{0, 20 * time.Second} {
			faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
				paused := m.nodes[1]
				m.demand, m.runTime = overload, func() time.Duration { return time.Second }
				m.run(90 * time.Second)
				paused.paused, paused.stalledUntil = true, m.now.Add(pause+stall)
				m.runTime = func() time.Duration { return structs.DefaultMaxRunTime }
				m.run(pause)
				startedBefore := paused.started["many"]
				paused.paused = false
				m.run(3 * time.Minute)
				assert.Assert(t, paused.started["many"] > startedBefore, "no request was started after a pause of %v", pause)
			})
		}
	}
}

// Guards also against a holder that is cut off from all others and goes on admitting requests while they
// reclaim its rights.
func TestIsolatedHolder(t *testing.T) {
	faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
		m.demand = overload
		m.nodes[4].cutOff, m.nodes[4].partition = true, 1
		m.run(reclaimTime)
		assert.Assert(t, !m.nodes[4].holder.LeaseHeld())
		assert.Equal(t, m.rightsOf(m.nodes[4].name), uint64(0))
		m.nodes[4].cutOff, m.nodes[4].partition = false, 0
		m.run(time.Minute)
		assert.Assert(t, m.nodes[4].holder.LeaseHeld())
	})
}

// Guards against new members that suspect a holder while it still renews its lease from a quorum of the old
// membership. A quorum of the new membership and one of the old need not have a member in common.
func TestMembersJoinWhileOthersAreCutOff(t *testing.T) {
	faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
		m.demand = overload
		for _, n := range m.nodes[:2] {
			n.cutOff, n.partition = true, 1
		}
		m.add("gw-100", m.nodes[0].zone)
		m.add("gw-101", m.nodes[0].zone)
		m.run(reclaimTime + time.Minute)
		assert.Assert(t, m.nodes[0].holder.LeaseHeld())
		assert.Assert(t, !m.suspected(m.nodes[0]))
	})
}

// Guards against a member that vowed against a holder and then renews its lease, because it is cut off from the
// log and hasn't read that the holder is suspected.
func TestVowIsKeptWithoutLog(t *testing.T) {
	faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
		m.demand = overload
		holder, witness, other := m.nodes[3], m.nodes[4], m.nodes[5]
		holder.cutOff, holder.partition = true, 1
		m.runUntil(time.Minute, func() bool { return m.suspected(holder) })
		witness.cutOff, witness.partition = true, 1
		m.run(reclaimTime)
		assert.Assert(t, !holder.holder.LeaseHeld())
		assert.Equal(t, m.rightsOf(holder.name), uint64(0))
		assert.Assert(t, other.awake())
	})
}

// Guards also against a zone that stops serving while it is cut off from the log.
func TestZoneCutOffForAnHour(t *testing.T) {
	faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
		for _, n := range m.nodes[:3] {
			n.cutOff = true
		}
		m.run(30 * time.Minute)
		startedBefore := m.nodes[0].started["many"] + m.nodes[1].started["many"] + m.nodes[2].started["many"]
		m.run(30 * time.Minute)
		startedAfter := m.nodes[0].started["many"] + m.nodes[1].started["many"] + m.nodes[2].started["many"]
		assert.Assert(t, startedAfter > startedBefore)
		for _, n := range m.nodes[:3] {
			n.cutOff = false
		}
		m.run(time.Minute)
		assert.Assert(t, m.nodes[0].holder.LeaseHeld())
	})
}

// Guards also against records during an outage of the log, and against rights that no longer move after the
// outage.
func TestDemandMovesWhileLogIsDown(t *testing.T) {
	faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
		m.demand = func(n *node, team string) int { return boolToInt(n == m.nodes[0]) }
		m.run(time.Minute)
		m.logDown = true
		m.demand = func(n *node, team string) int { return boolToInt(n == m.nodes[8]) }
		m.run(10 * time.Minute)
		m.logDown = false
		startedBefore := m.nodes[8].started["many"]
		m.run(3 * time.Minute)
		assert.Assert(t, m.nodes[8].started["many"] > startedBefore+20)
	})
}

// Guards also against a limit that can't be lowered while its team is busy.
func TestLimitLoweredBelowUse(t *testing.T) {
	faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
		m.demand = overload
		m.run(time.Minute)
		lowerLimits := map[string]uint64{"one": 0, "few": 2, "many": 7}
		assert.Assert(t, !m.publish(lowerLimits))
		for team, target := range lowerLimits {
			m.appendAsController(&v1.Record{Payload: &v1.Record_Surrender{Surrender: &v1.Surrender{Team: team, Target: target}}})
		}
		m.run(structs.DefaultMaxRunTime + 10*time.Second)
		assert.Assert(t, m.publish(lowerLimits))
		m.run(2 * time.Minute)
		// A right that passes from one holder to the next is unused for some seconds, but it always has a
		// holder.
		rights := uint64(0)
		for _, n := range m.nodes {
			rights += m.rightsOf(n.name)
		}
		assert.Equal(t, rights, lowerLimits["one"]+lowerLimits["few"]+lowerLimits["many"])
		m.runUntil(time.Minute, func() bool { return m.runningByTeam()["many"] == lowerLimits["many"] })
		assert.Equal(t, m.runningByTeam()["many"], lowerLimits["many"])
	})
}

func boolToInt(value bool) int {
	if value {
		return 1
	}
	return 0
}

// Guards also against a holder that never gets a turn with the only right of a team.
func TestLimitOfOneWithNineHolders(t *testing.T) {
	faultTest(t, map[string]uint64{"one": 1}, func(t *testing.T, m *model) {
		m.demand = overload
		m.runTime = func() time.Duration { return time.Second }
		m.run(5 * time.Minute)
		for _, n := range m.nodes {
			assert.Assert(t, n.started["one"] > 0, n.name)
		}
	})
}

// Guards also against a holder that no longer proposes anything because the response to a proposal was lost.
func TestLostResponsesAndLateDuplicates(t *testing.T) {
	faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
		m.loseResponse, m.duplicate, m.dropAppend = 0.3, 0.3, 0.3
		m.demand = overload
		m.run(5 * time.Minute)
		assert.Assert(t, m.started["many"] > 100)
	})
}

// Guards against a combination of faults: a member dies in a zone that is cut off, a member of
// another zone is paused, and the log is down in the middle of the reclaim.
func TestFaultsTogether(t *testing.T) {
	faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
		m.loseResponse, m.duplicate, m.dropAppend = 0.2, 0.2, 0.2
		m.demand = overload
		for _, n := range m.nodes[:3] {
			n.cutOff = true
		}
		m.nodes[2].dead = true
		m.nodes[5].paused = true
		m.run(25 * time.Second)
		m.logDown = true
		m.run(40 * time.Second)
		m.logDown = false
		m.run(reclaimTime)
		m.nodes[5].paused = false
		for _, n := range m.nodes[:3] {
			n.cutOff = false
		}
		m.run(reclaimTime + time.Minute)
		assert.Equal(t, m.rightsOf(m.nodes[2].name), uint64(0))
		assert.Assert(t, m.nodes[5].holder.LeaseHeld())
	})
}

// Guards against a holder that leaves with rights, or never leaves.
func TestLeaveReturnsRights(t *testing.T) {
	faultTest(t, mixedLimits(), func(t *testing.T, m *model) {
		leaver := m.nodes[3]
		leaver.holder.leaving.Store(true)
		m.run(structs.DefaultMaxRunTime + 10*time.Second)
		select {
		case <-leaver.holder.left:
		default:
			t.Error("the holder has not left the fleet within the longest run of its requests")
		}
		assert.Equal(t, m.rightsOf(leaver.name), uint64(0))
		m.run(30 * time.Second)
		assert.Equal(t, len(m.state.View().Gateways), 8)
	})
}

// Guards against a gateway that refuses the first requests of a team, and against a zone without any rights
// of a team if it is cut off before the team's first request there.
func TestHolderKeepsReserveWithoutDemand(t *testing.T) {
	limits := map[string]uint64{"one": 1, "few": 5, "many": 90}
	m := newModel(t, modelSeed, 3, 3, limits)
	m.demand = func(*node, string) int { return 0 }
	m.run(30 * time.Second)
	reserve := reserveOf(limits["many"], len(m.nodes))
	for _, n := range m.nodes {
		assert.Equal(t, n.holder.Free("many"), reserve)
	}
	// A holder with demand gets the reserves of the others.
	m.demand = func(n *node, _ string) int {
		if n == m.nodes[0] {
			return 10
		}
		return 0
	}
	m.run(time.Minute)
	assert.Assert(t, m.rightsOf(m.nodes[0].name) > limits["many"]*3/4)
}
