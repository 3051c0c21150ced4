package rights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards requests of a team with unallocated units against waiting for the interval of a large fleet,
// and that interval against holders that claim early again and again.
func TestFirstClaimIsEarly(t *testing.T) {
	// Limits below two units for each holder leave no reserve.
	m := newModel(t, 9, 3, 15, map[string]uint64{"a": 80, "b": 80, "c": 80})
	m.run(20 * time.Second)
	n := m.nodes[0]
	team := "a"
	m.demand = func(node *node, asked string) int { return btoi(node == n && asked == team) * 2 }
	m.runTime = func() time.Duration { return time.Minute }
	n.holder.plans.nextRecord = m.now.Add(time.Minute)
	start := m.now
	m.runUntil(recordInterval+2*stepInterval, func() bool { return m.rightsOf(n.name) > 0 })
	assert.Assert(t, n.holder.plans.claimedEarly)
	team = "b"
	m.records = 0
	m.run(30 * time.Second)
	assert.Equal(t, m.records, 0, "a second early claim, %v after the first", m.now.Sub(start))
}
