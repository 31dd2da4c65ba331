package scheduler

import "time"

// loadLogInterval is the interval at which the owner logs the load of the cell. One
// line a second shows bursts at negligible cost.
const loadLogInterval = time.Second

// logLoad emits the load of the cell for the log and the metrics.
func (c *cell) logLoad() {
	if c.now.Sub(c.lastLoadReport) < loadLogInterval {
		return
	}
	c.lastLoadReport = c.now
	var used, capacity Resources
	usable := int64(0)
	for _, w := range c.workersByID {
		if w.listed && w.contacted && !w.info.Draining {
			usable++
			used.add(w.used)
			capacity.add(w.info.Capacity)
		}
	}
	waiting, late := int64(0), int64(0)
	for _, s := range c.ready {
		waiting += int64(s.waiting)
		if c.now > s.latestStart {
			late++
		}
	}
	pending := int64(0)
	for _, j := range c.jobList {
		if j.isPending() {
			pending++
		}
	}
	calls, busy := int64(len(c.adviceCalls)), int64(0)
	for _, p := range c.peers {
		if p.backlog > 0 && c.isAlive(p) {
			busy++
		}
	}
	c.logDecision(Decision{Kind: "cell", Outcome: "load", Fields: []Field{
		{"generation", c.generation}, {"workers", usable}, {"jobs", int64(len(c.jobs))}, {"pending_jobs", pending},
		{"used_cpu", used.MilliCPU}, {"capacity_cpu", capacity.MilliCPU},
		{"used_mem", used.MemoryMB}, {"capacity_mem", capacity.MemoryMB},
		{"ready_stages", int64(len(c.ready))}, {"late_stages", late}, {"waiting_tasks", waiting},
		{"charged_bytes", c.chargedBytes}, {"tickets", int64(c.tickets)},
		{"reserved_cpu", c.reservedCPU}, {"advice_calls", calls}, {"advisers_busy", busy}, {"advisers", int64(len(c.peers))},
	}})
}
