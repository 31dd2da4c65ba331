package scheduler

import "time"

const (
	// stallFactor and stallFloor give the time without progress after which a
	// run counts as stuck.
	stallFactor = 1.0
	stallFloor  = 2500 * time.Millisecond
)

// watchRuns looks for runs that have stopped making progress and starts them
// elsewhere.
func (c *cell) watchRuns() {}

// paceAnswered continues after the answer to a change of pace.
func (c *cell) paceAnswered(e PaceAnswered) {}
