package serve

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a version that counts as rolled out before the last gateway has reported it, and against a
// gateway that no longer polls and delays the rollout for good.
func TestLowestReportedVersion(t *testing.T) {
	table := gatewayTable{entries: map[string]*gatewayProgress{}}
	now := time.Unix(100, 0)
	for _, name := range []string{"g1", "g2"} {
		table.recordRequest(name, 1, now)
		table.recordSent(name, 2, 7)
	}
	table.recordRequest("g1", 2, now)
	assert.Equal(t, table.lowestVersion(now), uint64(0))
	table.recordRequest("g2", 2, now)
	assert.Equal(t, table.lowestVersion(now), uint64(7))
	table.recordSent("g1", 3, 8)
	later := now.Add(gatewayExpiry + time.Second)
	table.recordRequest("g1", 3, later)
	assert.Equal(t, table.lowestVersion(later), uint64(8))
}
