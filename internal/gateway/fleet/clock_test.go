package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a clock for views that stands still while the host is suspended.
func TestClockCountsSuspendedTime(t *testing.T) {
	start := time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)
	monotonic, boot := start, time.Hour
	clock := NewClock(func() time.Time { return monotonic }, func() time.Duration { return boot })
	monotonic, boot = monotonic.Add(time.Second), boot+time.Second+time.Minute
	assert.Equal(t, clock.Now().Sub(start), time.Second+time.Minute)
	assert.Equal(t, clock.Suspended(), time.Minute)
}
