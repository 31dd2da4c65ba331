package virtual

import (
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
)

// KillHost ends a host immediately. Messages that it has sent still arrive.
func (c *Cluster) KillHost(id core.HostID) {
	h := c.hosts[id]
	h.alive, h.ready = false, false
	c.breakExchanges(Endpoint(id))
}

// RestartHost begins a new incarnation of a host.
func (c *Cluster) RestartHost(id core.HostID) {
	if c.hosts[id].alive {
		c.KillHost(id)
	}
	c.hosts[id].start()
}

// PauseHost suspends a host's process until ResumeHost.
func (c *Cluster) PauseHost(id core.HostID) { c.hosts[id].paused = true }

// ResumeHost resumes a paused host.
func (c *Cluster) ResumeHost(id core.HostID) { c.hosts[id].resume() }

// PauseHostAt pauses a host for d before it executes the next effect for which
// match returns true.
func (c *Cluster) PauseHostAt(id core.HostID, d time.Duration, match func(core.Effect) bool) {
	h := c.hosts[id]
	h.pauseBefore, h.pauseDuration = match, d
}

// LoseStoreAnswers loses the next n answers of the store to operations with a
// purpose. The operations take effect.
func (c *Cluster) LoseStoreAnswers(p core.Purpose, n int) { c.store.answersToLose[p] = n }

// SetOutage starts or ends an outage of the store.
func (c *Cluster) SetOutage(o store.Outage) {
	c.store.faults.Outage = o
	c.store.step(c, store.FaultsSet{Faults: c.store.faults})
}

// DelayStore delays every answer of the store by d.
func (c *Cluster) DelayStore(d time.Duration) {
	c.store.faults.DelayMS = d.Milliseconds()
	c.store.step(c, store.FaultsSet{Faults: c.store.faults})
}

// StaleStore makes reads of the store return data of the given age.
func (c *Cluster) StaleStore(age time.Duration) {
	c.store.faults.StaleMS = age.Milliseconds()
	c.store.step(c, store.FaultsSet{Faults: c.store.faults})
}

func (c *Cluster) linkFaultFor(from, to Endpoint) *linkFault {
	f := c.links[link{from, to}]
	if f == nil {
		f = &linkFault{}
		c.links[link{from, to}] = f
	}
	return f
}

// Drop starts or stops dropping every message from one endpoint to another.
func (c *Cluster) Drop(from, to Endpoint, on bool) { c.linkFaultFor(from, to).drop = on }

// DropNext drops the next n messages from one endpoint to another.
func (c *Cluster) DropNext(from, to Endpoint, n int) { c.linkFaultFor(from, to).dropNext = n }

// Delay sets an additional delay from one endpoint to another.
func (c *Cluster) Delay(from, to Endpoint, d time.Duration) { c.linkFaultFor(from, to).delay = d }

// Duplicate starts or stops delivering every message from one endpoint to
// another twice.
func (c *Cluster) Duplicate(from, to Endpoint, on bool) { c.linkFaultFor(from, to).duplicate = on }

// Partition starts or stops dropping every message between two groups of
// endpoints.
func (c *Cluster) Partition(a, b []Endpoint, on bool) {
	for _, x := range a {
		for _, y := range b {
			c.Drop(x, y, on)
			c.Drop(y, x, on)
		}
	}
}

// KillWorker ends a worker and its tasks.
func (c *Cluster) KillWorker(id core.WorkerID) {
	w := c.workers[id]
	w.alive = false
	c.stepWorker(w, worker.Killed{})
	c.breakExchanges(Endpoint(id))
}

// RestartWorker begins a new incarnation of a worker.
func (c *Cluster) RestartWorker(id core.WorkerID) {
	w := c.workers[id]
	c.breakExchanges(Endpoint(id))
	w.alive = true
	w.incarnation += incarnationStep
	c.stepWorker(w, worker.Restarted{Incarnation: w.incarnation})
}

// SilenceWorker starts or ends a fault in which a worker accepts requests without
// executing or answering them. Its tasks continue to run.
func (c *Cluster) SilenceWorker(id core.WorkerID, on bool) {
	w := c.workers[id]
	w.faults.Silent = on
	c.stepWorker(w, worker.FaultsSet{Faults: w.faults})
}

// MuteWorker starts or ends a fault in which a worker executes requests without
// answering them.
func (c *Cluster) MuteWorker(id core.WorkerID, on bool) {
	w := c.workers[id]
	w.faults.Mute = on
	c.stepWorker(w, worker.FaultsSet{Faults: w.faults})
}

// FailWorker starts or ends a fault in which a worker fails everything that it
// starts.
func (c *Cluster) FailWorker(id core.WorkerID, on bool) {
	w := c.workers[id]
	w.faults.FailAll = on
	c.stepWorker(w, worker.FaultsSet{Faults: w.faults})
}

// LeaveWorker marks a worker as leaving in the host list or removes it.
func (c *Cluster) LeaveWorker(id core.WorkerID, removed bool) {
	c.store.step(c, store.WorkerLeft{ID: string(id), Removed: removed})
}

// LeaveHost marks a host as leaving in the host list or removes it.
func (c *Cluster) LeaveHost(id core.HostID, removed bool) {
	c.store.step(c, store.HostLeft{ID: string(id), Removed: removed})
}

// ListHost adds a host to the host list again.
func (c *Cluster) ListHost(id core.HostID) {
	h := c.hosts[id]
	c.store.step(c, store.HostListed{Host: listedHost(h.dataCentre, id)})
}
