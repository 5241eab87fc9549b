package basilshard

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since some start, with the time that the host was suspended.
type Clock func() time.Duration

// BootClock reads the clock that goes on while the host is suspended.
//
// A failing read falls back to the runtime's clock, which differs only after a suspension.
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
