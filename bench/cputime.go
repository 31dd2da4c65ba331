package bench

import (
	"time"

	"golang.org/x/sys/unix"
)

// threadCPUTime returns the CPU time of the calling thread. The caller must have
// locked its goroutine to the thread. Unlike wall-clock time it does not grow
// while other processes use the CPU.
func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
