package scheduler

import (
	"slices"
	"time"
)

const (
	// rackWaitRatio is the longest wait for a place on the right rack, as a part
	// of the time that a task would lose on another one. A full rack usually stays
	// full for the duration of its tasks, so waiting longer rarely pays.
	rackWaitRatio = 0.5
	// maxRackWait bounds this wait, whatever the estimate of a task's duration says.
	maxRackWait = 8 * time.Second
	// defaultRemotePenalty is the factor by which a task takes longer away from
	// its data or its gang's rack, unless the deployment sets one.
	defaultRemotePenalty = 2.0
)

// waitsForRack reports whether a stage should still wait for a place on the right
// rack. The additional run time on another rack bounds the wait.
func (c *cell) waitsForRack(s *stage) bool {
	penalty := c.limits.RemotePenalty
	if penalty == 0 {
		penalty = defaultRemotePenalty
	}
	penaltyTime := time.Duration((penalty - 1) * float64(c.expectedDuration(s)))
	wait := min(time.Duration(rackWaitRatio*float64(penaltyTime)), maxRackWait)
	return !s.step.LongRunning && c.now.Sub(s.readyAt) < wait
}

// rackAllows reports whether the location of a stage's data permits a worker: one
// on the rack of the data, or any once the wait is over or that rack has no
// available worker.
func (c *cell) rackAllows(s *stage, w *worker) bool {
	return s.step.DataRack == "" || w.info.Rack == s.step.DataRack || !c.waitsForRack(s) || !c.rackAvailable(s.step.DataRack)
}

func (c *cell) rackAvailable(rack string) bool {
	return slices.ContainsFunc(c.workersByID, func(w *worker) bool { return w.listed && !w.info.Draining && w.info.Rack == rack })
}

// dataRackFirst returns the workers with those on the rack of a stage's data first.
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

// restrictToOneRack reduces a gang's plan to the rack with the most places. It
// returns the whole plan and false if the gang does not fit there and should be
// spread over racks: its wait is over, or it would not fit there even if the rack
// were empty.
func (c *cell) restrictToOneRack(s *stage, plan []allocation) ([]allocation, bool) {
	places, placesIfEmpty := map[string]int{}, 0
	bestRack := ""
	for _, p := range plan {
		rack := p.worker.info.Rack
		if places[rack] += p.tasks; places[rack] > places[bestRack] || bestRack == "" {
			bestRack = rack
		}
	}
	for _, w := range c.workersByID {
		if w.info.Rack == bestRack && c.usable(s, w) {
			placesIfEmpty += placesAtMost(s, w)
		}
	}
	if places[bestRack] < len(s.tasks) && (!c.waitsForRack(s) || placesIfEmpty < len(s.tasks)) {
		return plan, false
	}
	return slices.DeleteFunc(slices.Clone(plan), func(p allocation) bool { return p.worker.info.Rack != bestRack }), true
}
