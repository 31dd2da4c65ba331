package scheduler

import "time"

const (
	// headroom is the part of the fleet's processors that work with time to spare
	// leaves free. It answers a cell that is full of batch work when urgent work
	// arrives: that has less than a second to start, and its room would only come
	// free when tasks of several seconds end.
	headroomShare = 0.20
	// headroomChunk is the part of a worker that has to be free for it to count.
	// The rest that is left on full workers fits no task.
	minFreeShare = 0.2
	// sparingSlack is the time before its latest start from which a stage may use
	// the headroom as well, so that batch work is not late for it.
	headroomSlack = 4 * time.Second
)

// withinHeadroom is the number of tasks of a stage that may start without using
// room that is left free for work that cannot wait.
func (c *cell) withinHeadroom(s *stage) int {
	need := s.step.charge().MilliCPU
	if need == 0 || s.latestStart.Sub(c.now) < headroomSlack {
		return s.waiting
	}
	room := c.freeCPU - int64(headroomShare*float64(c.capacityCPU))
	return int(min(max(0, room/need), int64(s.waiting)))
}
