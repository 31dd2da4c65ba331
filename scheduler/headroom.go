package scheduler

import "time"

const (
	// headroomShare is the share of the fleet's processors that stages with slack
	// leave free. Urgent tasks must start in less than a second, and in a cell full
	// of batch work they would wait for tasks that take several seconds to end.
	headroomShare = 0.20
	// minFreeShare is the share of a worker's processors that must be free for
	// them to count as free. Smaller remainders fit no task.
	minFreeShare = 0.2
	// headroomSlack is the slack below which a stage may use the headroom too, so
	// that it does not make batch work late.
	headroomSlack = 4 * time.Second
	// maxHeadroomWait is the longest time for which a stage leaves the headroom free,
	// whatever its estimate says.
	maxHeadroomWait = 8 * time.Second
)

// withinHeadroom returns the number of waiting tasks of a stage that may start
// without using the headroom that it must leave free.
func (c *cell) withinHeadroom(s *stage) int {
	need := s.step.charge().MilliCPU
	if need == 0 || s.step.LongRunning || s.latestStart.Sub(c.now) < headroomSlack || c.now.Sub(s.readyAt) >= maxHeadroomWait {
		return s.waiting
	}
	available := c.freeCPU - int64(headroomShare*float64(c.capacityCPU))
	return int(min(max(0, available/need), int64(s.waiting)))
}
