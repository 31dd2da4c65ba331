package bench

import (
	"time"

	"golang.org/x/sys/unix"
)

// threadTime is the processor time of the calling thread. The caller must have
// locked its goroutine to the thread. Unlike elapsed time it leaves out other
// processes on a busy machine.
func threadCPUTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
