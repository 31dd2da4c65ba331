package scheduler

const (
	// agentFleet is the number of workers from which other hosts make the calls
	// to workers. The calls of one owner to 350 workers took 0.63 of a core.
	agentMinWorkers = 100
	// agentPower is the least processor time of an agent as a share of that of
	// the largest host of its data centre.
	agentMinPowerRatio = 0.6
)

// agentFor returns the address of the host that makes the calls to a worker, or
// "" for this one. An agent is in the worker's data centre and stays the same as
// long as it lives.
func (c *cell) agentFor(w *worker) string {
	if len(c.workers) < agentMinWorkers || w.hold.failures > 1 {
		// A worker that its agent does not reach is called from here.
		return ""
	}
	if w.agent != nil && c.isAlive(w.agent) {
		return w.agent.address
	}
	w.agent = nil
	most := int64(0)
	for _, a := range c.peers {
		if a.address != "" && a.zone == w.info.Zone && c.isAlive(a) {
			most = max(most, a.power)
		}
	}
	for _, a := range c.peers {
		if a.address == "" || a.zone != w.info.Zone || !c.isAlive(a) || float64(a.power) < agentMinPowerRatio*float64(most) {
			continue
		}
		if w.agent == nil || a.assignedWorkers < w.agent.assignedWorkers {
			w.agent = a
		}
	}
	if w.agent == nil {
		return ""
	}
	w.agent.assignedWorkers++
	return w.agent.address
}
