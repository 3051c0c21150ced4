// Package boottime reads a steady clock that counts the time in which the host was suspended. Leases
// need it: the runtime's own steady clock stands still while a host is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an unspecified start. Tests pass their own.
type Clock func() time.Duration

// Now reads the host's clock.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The call has no failure on Linux but for an unknown clock, which is a defect of the build.
		panic("boottime: " + err.Error())
	}
	return time.Duration(now.Nano())
}
