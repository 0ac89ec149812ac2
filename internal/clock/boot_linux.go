package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now implements Clock.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // only kernels before 2.6.39 lack the clock
	}
	return time.Unix(ts.Unix())
}
