package scheduler

import "time"

const (
	msec = time.Millisecond

	// clockSlowness is how much slower than this host's clock a worker's may run.
	maxClockDrift = 0.02
	// clockSlack covers rounding and the resolution of the clocks.
	clockTolerance = 100 * msec
)

// worstCase is the time on this host's clock in which d has surely passed on a
// worker's clock.
func worstCaseElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockDrift*1.1)) + clockTolerance
}
