package host

import (
	"time"

	"golang.org/x/sys/unix"

	"banyanrun.example/banyanrun/scheduler"
)

// now reads CLOCK_BOOTTIME. It also advances while the host is suspended, so that a
// lease that expired meanwhile counts as expired.
func now() scheduler.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return scheduler.Time(ts.Nano())
}

// newInput stamps an event with the current times.
func newInput(e scheduler.Event) scheduler.Input {
	return scheduler.Input{At: now(), Wall: time.Now().UnixMilli(), Event: e}
}
