package rights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	v1 "turmericyoke/api/turmericyoke/v1"
	"turmericyoke/internal/lease"
	"turmericyoke/internal/structs"
)

// modelSeed is the first seed of the fault tests; each runs with modelSeeds seeds from here.
const (
	modelSeed  = 7
	modelSeeds = 2
)

// reclaimed is a span after which a lost holder's rights are free again: silence, ranks, the wait
// and some records.
const reclaimed = lease.Silence + lease.Span + structs.DefaultMaxRunTime + 30*time.Second

// faultTest runs one scenario over three zones of three gateways with each seed. Each of them guards
// against a team that has more running than its limit, which the model checks at each tick.
func faultTest(t *testing.T, limits map[string]uint64, scenario func(t *testing.T, m *model)) {
	for seed := uint64(modelSeed); seed < modelSeed+modelSeeds; seed++ {
		m := newModel(t, seed, 3, 3, limits)
		m.demand = m.peaky(1)
		m.run(30 * time.Second)
		scenario(t, m)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

func mixed() map[string]uint64 { return map[string]uint64{"one": 1, "few": 5, "many": 40} }

// Guards also against rights that stay with a dead holder.
func TestHolderDiesWithRunningWork(t *testing.T) {
	faultTest(t, mixed(), func(t *testing.T, m *model) {
		m.nodes[4].dead = true
		m.run(reclaimed)
		assert.Equal(t, m.rightsOf(m.nodes[4].name), uint64(0))
		// A replacement of the same name joins without rights.
		replacement := m.add(m.nodes[4].name, m.nodes[4].zone)
		m.run(time.Minute)
		assert.Assert(t, replacement.holder.LeaseHeld())
	})
}

// busy makes every node ask for more than there is.
func busy(*node, string) int { return 1 }

// Guards also against a holder that never works again after a pause, and against requests that were
// admitted before the pause and go out after it, or after the holder has joined again.
func TestHolderPausedBeforeDispatch(t *testing.T) {
	for _, pause := range []time.Duration{lease.Span - tick, 9 * time.Second, 30 * time.Second, 5 * time.Minute} {
		for _, stall := range []time.Duration{0, 20 * time.Second} {
			faultTest(t, mixed(), func(t *testing.T, m *model) {
				paused := m.nodes[1]
				m.demand, m.runTime = busy, func() time.Duration { return time.Second }
				m.run(90 * time.Second)
				paused.paused, paused.stalled = true, m.now.Add(pause+stall)
				m.runTime = func() time.Duration { return structs.DefaultMaxRunTime }
				m.run(pause)
				before := paused.started["many"]
				paused.paused = false
				m.run(3 * time.Minute)
				assert.Assert(t, paused.started["many"] > before, "pause %v", pause)
			})
		}
	}
}

// Guards also against a holder that hears nobody and goes on admitting work, while the others
// reclaim its rights.
func TestIsolatedHolder(t *testing.T) {
	faultTest(t, mixed(), func(t *testing.T, m *model) {
		m.demand = busy
		m.nodes[4].cut, m.nodes[4].group = true, 1
		m.run(reclaimed)
		assert.Assert(t, !m.nodes[4].holder.LeaseHeld())
		assert.Equal(t, m.rightsOf(m.nodes[4].name), uint64(0))
		m.nodes[4].cut, m.nodes[4].group = false, 0
		m.run(time.Minute)
		assert.Assert(t, m.nodes[4].holder.LeaseHeld())
	})
}

// Guards against a quorum of new members that suspects a holder which renews its lease from a quorum
// of the old ones: neither of the two has a member of the other.
func TestMembersJoinWhileOthersAreCutOff(t *testing.T) {
	faultTest(t, mixed(), func(t *testing.T, m *model) {
		m.demand = busy
		for _, n := range m.nodes[:2] {
			n.cut, n.group = true, 1
		}
		m.add("gw-100", m.nodes[0].zone)
		m.add("gw-101", m.nodes[0].zone)
		m.run(reclaimed + time.Minute)
		assert.Assert(t, m.nodes[0].holder.LeaseHeld())
		assert.Assert(t, !m.suspected(m.nodes[0]))
	})
}

// Guards against a member that renews a holder after it vowed against it, because it hasn't read
// that the holder is suspected.
func TestVowIsKeptWithoutLog(t *testing.T) {
	faultTest(t, mixed(), func(t *testing.T, m *model) {
		m.demand = busy
		holder, witness, other := m.nodes[3], m.nodes[4], m.nodes[5]
		holder.cut, holder.group = true, 1
		m.runUntil(time.Minute, func() bool { return m.suspected(holder) })
		witness.cut, witness.group = true, 1
		m.run(reclaimed)
		assert.Assert(t, !holder.holder.LeaseHeld())
		assert.Equal(t, m.rightsOf(holder.name), uint64(0))
		assert.Assert(t, other.awake())
	})
}

// Guards also against a zone that stops serving when it is cut off.
func TestZoneCutOffForAnHour(t *testing.T) {
	faultTest(t, mixed(), func(t *testing.T, m *model) {
		for _, n := range m.nodes[:3] {
			n.cut = true
		}
		m.run(30 * time.Minute)
		before := m.nodes[0].started["many"] + m.nodes[1].started["many"] + m.nodes[2].started["many"]
		m.run(30 * time.Minute)
		after := m.nodes[0].started["many"] + m.nodes[1].started["many"] + m.nodes[2].started["many"]
		assert.Assert(t, after > before)
		for _, n := range m.nodes[:3] {
			n.cut = false
		}
		m.run(time.Minute)
		assert.Assert(t, m.nodes[0].holder.LeaseHeld())
	})
}

// Guards also against records while the log is down, and against rights that no longer move after it.
func TestDemandMovesWhileLogIsDown(t *testing.T) {
	faultTest(t, mixed(), func(t *testing.T, m *model) {
		m.demand = func(n *node, team string) int { return btoi(n == m.nodes[0]) }
		m.run(time.Minute)
		m.logDown = true
		m.demand = func(n *node, team string) int { return btoi(n == m.nodes[8]) }
		m.run(10 * time.Minute)
		m.logDown = false
		before := m.nodes[8].started["many"]
		m.run(3 * time.Minute)
		assert.Assert(t, m.nodes[8].started["many"] > before+20)
	})
}

// Guards also against a limit that can't be lowered while its team is busy.
func TestLimitLoweredBelowWhatRuns(t *testing.T) {
	faultTest(t, mixed(), func(t *testing.T, m *model) {
		m.demand = busy
		m.run(time.Minute)
		lower := map[string]uint64{"one": 0, "few": 2, "many": 7}
		assert.Assert(t, !m.publish(lower))
		for team, target := range lower {
			m.control(&v1.Record{Payload: &v1.Record_Surrender{Surrender: &v1.Surrender{Team: team, Target: target}}})
		}
		m.run(structs.DefaultMaxRunTime + 10*time.Second)
		assert.Assert(t, m.publish(lower))
		m.run(2 * time.Minute)
		// A right that passes on in turn is unused for some seconds, but it is always allotted.
		rights := uint64(0)
		for _, n := range m.nodes {
			rights += m.rightsOf(n.name)
		}
		assert.Equal(t, rights, lower["one"]+lower["few"]+lower["many"])
		m.runUntil(time.Minute, func() bool { return m.inUse()["many"] == lower["many"] })
		assert.Equal(t, m.inUse()["many"], lower["many"])
	})
}

func btoi(on bool) int {
	if on {
		return 1
	}
	return 0
}

// Guards also against a holder that never gets the only right of a team.
func TestLimitOfOneWithNineHolders(t *testing.T) {
	faultTest(t, map[string]uint64{"one": 1}, func(t *testing.T, m *model) {
		m.demand = busy
		m.runTime = func() time.Duration { return time.Second }
		m.run(5 * time.Minute)
		for _, n := range m.nodes {
			assert.Assert(t, n.started["one"] > 0, n.name)
		}
	})
}

// Guards also against a holder that is stuck because an answer was lost.
func TestLostAnswersAndLateDuplicates(t *testing.T) {
	faultTest(t, mixed(), func(t *testing.T, m *model) {
		m.loseAnswer, m.duplicate, m.dropAppend = 0.3, 0.3, 0.3
		m.demand = busy
		m.run(5 * time.Minute)
		assert.Assert(t, m.admitted["many"] > 100)
	})
}

// Guards against the combination of faults: a member dies in a zone that is cut off, another zone's
// member is paused, a lost member is replaced, and the log fails in the middle of the reclaiming.
func TestFaultsTogether(t *testing.T) {
	faultTest(t, mixed(), func(t *testing.T, m *model) {
		m.loseAnswer, m.duplicate, m.dropAppend = 0.2, 0.2, 0.2
		m.demand = busy
		for _, n := range m.nodes[:3] {
			n.cut = true
		}
		m.nodes[2].dead = true
		m.nodes[5].paused = true
		m.run(25 * time.Second)
		m.logDown = true
		m.run(40 * time.Second)
		m.logDown = false
		m.run(reclaimed)
		m.nodes[5].paused = false
		for _, n := range m.nodes[:3] {
			n.cut = false
		}
		m.run(reclaimed + time.Minute)
		assert.Equal(t, m.rightsOf(m.nodes[2].name), uint64(0))
		assert.Assert(t, m.nodes[5].holder.LeaseHeld())
	})
}

// Guards against a holder that leaves with rights, or never leaves.
func TestLeaveReturnsRights(t *testing.T) {
	faultTest(t, mixed(), func(t *testing.T, m *model) {
		leaver := m.nodes[3]
		leaver.holder.leaving.Store(true)
		m.run(structs.DefaultMaxRunTime + 10*time.Second)
		select {
		case <-leaver.holder.gone:
		default:
			t.Error("the holder has not left")
		}
		assert.Equal(t, m.rightsOf(leaver.name), uint64(0))
		m.run(30 * time.Second)
		assert.Equal(t, len(m.state.View().Gateways), 8)
	})
}

// Guards against a gateway that refuses the first requests of a team, or whose zone has nothing to
// use when it is cut off before the team's first request there.
func TestHolderKeepsReserveWithoutDemand(t *testing.T) {
	limits := map[string]uint64{"one": 1, "few": 5, "many": 90}
	m := newModel(t, modelSeed, 3, 3, limits)
	m.demand = func(*node, string) int { return 0 }
	m.run(30 * time.Second)
	want := reserveOf(limits["many"], len(m.nodes))
	for _, n := range m.nodes {
		assert.Equal(t, n.holder.Free("many"), want)
	}
	// Demand at one holder gets the reserves of the others.
	m.demand = func(n *node, _ string) int {
		if n == m.nodes[0] {
			return 10
		}
		return 0
	}
	m.run(time.Minute)
	assert.Assert(t, m.rightsOf(m.nodes[0].name) > limits["many"]*3/4)
}
