package scheduler

import "slices"

// free returns the capacity of a worker that is neither used nor reserved.
func (w *worker) free() Resources {
	free := w.unused()
	free.sub(w.reserved)
	return free
}

// unused returns the capacity of a worker that is not used.
func (w *worker) unused() Resources {
	unused := w.info.Capacity
	unused.sub(w.used)
	return unused
}

// room returns the capacity of a worker that tasks of the stage may take. Long-running
// tasks take reserved capacity too: they must run again within seconds, and a gang may
// wait for longer.
func (s *stage) room(w *worker) Resources {
	if s.step.LongRunning {
		return w.unused()
	}
	return w.free()
}

// usable reports whether a worker may run tasks of a stage, regardless of its free
// capacity.
func (c *cell) usable(s *stage, w *worker) bool {
	if !w.listed || !w.contacted || !w.recordDurable || w.info.Draining || w.unknownRuns || c.now < w.health.avoidUntil {
		return false
	}
	if p := s.job.policy; p == nil || w.info.Service != p.Service {
		return false
	}
	if !c.rackAllows(s, w) {
		return false
	}
	return s.step.Label == "" || slices.Contains(w.info.Labels, s.step.Label)
}

// placesOn returns the number of waiting tasks of a stage that fit on a worker now, in
// addition to those for which the stage has reserved capacity there.
func (c *cell) placesOn(s *stage, w *worker) int {
	c.comparisons++
	n := placesIn(s.room(w), s.step.charge(), s.waiting)
	if n > 0 && s.step.MaxPerWorker > 0 {
		n = min(n, s.step.MaxPerWorker-s.runsPerWorker[w]-s.reservedOn(w))
	}
	return max(0, n)
}

// placesAtMost returns the number of tasks of a stage that fit on a worker if it is
// empty.
func placesAtMost(s *stage, w *worker) int {
	n := placesIn(w.info.Capacity, s.step.charge(), s.step.Count)
	if s.step.MaxPerWorker > 0 {
		n = min(n, s.step.MaxPerWorker)
	}
	return n
}

// placesIn returns how many times need fits into room, at most limit.
func placesIn(room, need Resources, limit int) int {
	n := int64(limit)
	if need.MilliCPU > 0 {
		n = min(n, room.MilliCPU/need.MilliCPU)
	}
	if need.MemoryMB > 0 {
		n = min(n, room.MemoryMB/need.MemoryMB)
	}
	if need.Accelerators > 0 {
		n = min(n, room.Accelerators/need.Accelerators)
	}
	return int(max(0, n))
}

// canEverFit reports whether each task and gang of a job would fit on the workers
// of its queue's service if nothing else ran.
func (c *cell) canEverFit(queue QueueName, spec *JobSpec) bool {
	service := c.service(queue)
	for i := range spec.Steps {
		step := &spec.Steps[i]
		places, needed := 0, 1
		if step.Gang {
			needed = step.Count
		}
		for _, w := range c.workers {
			if w.info.Service != service || step.Label != "" && !slices.Contains(w.info.Labels, step.Label) {
				continue
			}
			n := placesIn(w.info.Capacity, step.charge(), step.Count)
			if step.MaxPerWorker > 0 {
				n = min(n, step.MaxPerWorker)
			}
			if places += n; places >= needed {
				break
			}
		}
		if places < needed {
			return false
		}
	}
	return true
}
