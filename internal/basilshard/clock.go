package basilshard

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary start, including time that the host was suspended.
type Clock func() time.Duration

// BootClock returns a clock that keeps running while the host is suspended.
//
// If the read fails, it falls back to the runtime's clock, which differs only after a suspension.
func BootClock() Clock {
	start := time.Now()
	return func() time.Duration {
		var t unix.Timespec
		if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
			return time.Since(start)
		}
		return time.Duration(t.Nano())
	}
}
