package rights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against two faults: requests of a team with unallocated units that wait for the long record interval
// of a large fleet, and holders that get around that interval by repeated early claims.
func TestFirstClaimIsEarly(t *testing.T) {
	// With limits below two units per holder, there is no reserve.
	m := newModel(t, 9, 3, 15, map[string]uint64{"a": 80, "b": 80, "c": 80})
	m.run(20 * time.Second)
	claimant := m.nodes[0]
	requestedTeam := "a"
	m.demand = func(n *node, team string) int { return boolToInt(n == claimant && team == requestedTeam) * 2 }
	m.runTime = func() time.Duration { return time.Minute }
	claimant.holder.plans.nextRecordAt = m.now.Add(time.Minute)
	start := m.now
	m.runUntil(recordInterval+2*stepInterval, func() bool { return m.rightsOf(claimant.name) > 0 })
	assert.Assert(t, claimant.holder.plans.claimedEarly)
	requestedTeam = "b"
	m.recordCount = 0
	m.run(30 * time.Second)
	assert.Equal(t, m.recordCount, 0, "a second early claim was proposed, %v after the first request", m.now.Sub(start))
}
