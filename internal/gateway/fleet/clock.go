package fleet

import (
	"time"

	"turmericyoke/internal/boottime"
)

// Clock is the clock on which the age of views is measured. Other than the monotonic clock, it also advances while the
// host is suspended, when the configuration may change.
type Clock struct {
	now       func() time.Time
	bootClock boottime.Clock
	// startedAt and bootAtStart are the readings of both clocks when the Clock was made.
	startedAt   time.Time
	bootAtStart time.Duration
}

// NewClock returns a Clock that begins at now, a monotonic clock.
func NewClock(now func() time.Time, bootClock boottime.Clock) *Clock {
	return &Clock{now: now, bootClock: bootClock, startedAt: now(), bootAtStart: bootClock()}
}

// Now returns the time of the monotonic clock plus Suspended.
func (c *Clock) Now() time.Time { return c.startedAt.Add(c.bootClock() - c.bootAtStart) }

// Suspended returns for how long the host has been suspended since the Clock was made.
func (c *Clock) Suspended() time.Duration { return c.Now().Sub(c.now()) }
