// Package boottime reads a monotonic clock that also advances while the host is suspended. Leases need
// it because the monotonic clock of the Go runtime stops during suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time elapsed since an unspecified starting point. Tests provide their own clock.
type Clock func() time.Duration

// Now reads CLOCK_BOOTTIME of the host.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// On Linux the call fails only for an unknown clock, which would be a build error.
		panic("boottime: " + err.Error())
	}
	return time.Duration(now.Nano())
}
