// Package boottime reads the clock that goes on while the machine is suspended.
//
// Go's monotonic clock stands still during a suspension, so a lease that is
// checked against it looks younger than it is. Rights and leases are therefore
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

// start is used where the kernel has no boot clock.
var start = time.Now()

// Now returns the time since the machine booted, suspensions included.
func Now() (d time.Duration) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Since(start)
	}
	return time.Duration(ts.Nano())
}
