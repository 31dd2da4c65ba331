package scheduler

import "time"

const (
	msec = time.Millisecond

	// maxClockDrift is the fraction by which a worker's clock may run slower than this
	// host's clock.
	maxClockDrift = 0.02
	// clockTolerance covers rounding and the resolution of the clocks.
	clockTolerance = 100 * msec
)

// worstCaseElapsed returns the time on this host's clock after which d has certainly
// elapsed on a worker's clock.
func worstCaseElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockDrift*1.1)) + clockTolerance
}
