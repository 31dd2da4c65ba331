package scheduler

const (
	// agentMinWorkers is the number of workers from which other hosts make the
	// calls to workers. The calls of one owner to 350 workers took 0.63 of a core.
	agentMinWorkers = 100
	// agentMinPowerRatio is the minimum CPU capacity of an agent relative to that
	// of the largest host of its data centre.
	agentMinPowerRatio = 0.6
)

// agentFor returns the address of the agent of a worker, which is the host that
// makes the calls to it, or "" for this host. The agent is in the worker's data
// centre, and is replaced only when it is no longer alive.
func (c *cell) agentFor(w *worker) string {
	if len(c.workers) < agentMinWorkers || w.hold.failures > 1 {
		// The agent may be unable to reach the worker.
		return ""
	}
	if w.agent != nil && c.isAlive(w.agent) {
		return w.agent.address
	}
	w.agent = nil
	maxPower := int64(0)
	for _, p := range c.peers {
		if p.address != "" && p.zone == w.info.Zone && c.isAlive(p) {
			maxPower = max(maxPower, p.power)
		}
	}
	for _, p := range c.peers {
		if p.address == "" || p.zone != w.info.Zone || !c.isAlive(p) || float64(p.power) < agentMinPowerRatio*float64(maxPower) {
			continue
		}
		if w.agent == nil || p.assignedWorkers < w.agent.assignedWorkers {
			w.agent = p
		}
	}
	if w.agent == nil {
		return ""
	}
	w.agent.assignedWorkers++
	return w.agent.address
}
