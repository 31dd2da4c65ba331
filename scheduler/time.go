package scheduler

import "time"

const (
	msec = time.Millisecond

	// clockSlowness is how much slower than this host's clock a worker's may run.
	clockSlowness = 0.02
	// clockSlack covers rounding and the resolution of the clocks.
	clockSlack = 100 * msec
)

// worstCase is the time on this host's clock in which d has surely passed on a
// worker's clock.
func worstCase(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+clockSlowness*1.1)) + clockSlack
}
