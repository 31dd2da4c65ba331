package host

import (
	"time"

	"golang.org/x/sys/unix"

	"banyanrun.example/banyanrun/scheduler"
)

// now reads the clock that also runs while the host is suspended, so that a lease
// that ended meanwhile counts as ended.
func now() scheduler.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return scheduler.Time(ts.Nano())
}

// input wraps an event with the present times.
func newInput(e scheduler.Event) scheduler.Input {
	return scheduler.Input{At: now(), Wall: time.Now().UnixMilli(), Event: e}
}
