// Package boottime reads a monotonic clock that includes the time during which
// the machine was suspended.
//
// Go's monotonic clock stops during a suspension, so a lease that is checked
// against it may seem valid although it has expired. Leases are therefore
// checked against this clock.
//
// # Usage
//
//	end := boottime.Now() + lease
//	if boottime.Now() < end { ... }
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the reference for Now if the kernel has no boot-time clock.
var start = time.Now()

// Now returns the time since the machine booted, including suspensions.
func Now() (d time.Duration) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
