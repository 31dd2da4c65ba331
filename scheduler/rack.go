package scheduler

import (
	"slices"
	"time"
)

const (
	// rackPatience is the part of the time that a task would lose on another rack
	// for which it waits for its own. A rack that is full usually stays so for the
	// length of the tasks there, so waiting longer rarely pays.
	rackWaitRatio = 0.5
	// defaultPenalty is how many times as long a task takes away from its data or
	// its gang's rack if the deployment does not say.
	defaultRemotePenalty = 2.0
)

// waitsForRack reports whether a stage still waits for a place on the right rack.
// A task elsewhere takes longer by the penalty, which bounds what waiting is worth.
func (c *cell) waitsForRack(s *stage) bool {
	penalty := c.limits.RemotePenalty
	if penalty == 0 {
		penalty = defaultRemotePenalty
	}
	lost := time.Duration((penalty - 1) * float64(c.expectedDuration(s)))
	return c.now.Sub(s.readyAt) < time.Duration(rackWaitRatio*float64(lost))
}

// rackAllows reports whether a task of a stage may start on a worker as far as its
// data is concerned: on the rack of the data, or anywhere once waiting has lasted
// too long or no worker of that rack is left.
func (c *cell) rackAllows(s *stage, w *worker) bool {
	return s.step.DataRack == "" || w.info.Rack == s.step.DataRack || !c.waitsForRack(s) || !c.rackAvailable(s.step.DataRack)
}

func (c *cell) rackAvailable(rack string) bool {
	return slices.ContainsFunc(c.workersByID, func(w *worker) bool { return w.listed && !w.info.Draining && w.info.Rack == rack })
}

// nearData orders workers so that those on the rack of a stage's data come first.
func dataRackFirst(s *stage, workers []*worker) []*worker {
	if s.step.DataRack == "" {
		return workers
	}
	near := make([]*worker, 0, len(workers))
	var far []*worker
	for _, w := range workers {
		if w.info.Rack == s.step.DataRack {
			near = append(near, w)
		} else {
			far = append(far, w)
		}
	}
	return append(near, far...)
}

// onOneRack keeps the part of a gang's plan that lies on the rack with the most
// places. It reports false if the gang is better spread over racks now: it has
// waited long enough, or no rack could ever hold it.
func (c *cell) restrictToOneRack(s *stage, plan []allocation) ([]allocation, bool) {
	places, ever := map[string]int{}, 0
	most := ""
	for _, p := range plan {
		rack := p.worker.info.Rack
		if places[rack] += p.tasks; places[rack] > places[most] || most == "" {
			most = rack
		}
	}
	for _, w := range c.workersByID {
		if w.info.Rack == most && c.usable(s, w) {
			ever += placesAtMost(s, w)
		}
	}
	if places[most] < len(s.tasks) && (!c.waitsForRack(s) || ever < len(s.tasks)) {
		return plan, false
	}
	return slices.DeleteFunc(slices.Clone(plan), func(p allocation) bool { return p.worker.info.Rack != most }), true
}
