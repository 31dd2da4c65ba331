package hostsoak

import (
	"fmt"
	"io"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/integration/faultproxy"
	"banyanrun.example/banyanrun/platform/emulator"
)

// fault is a fault that a round can inject. Faults may overlap.
type fault struct {
	name string
	// inject causes the fault for about d. selector determines its target.
	inject func(r *round, d time.Duration, selector uint64)
}

const (
	// maxFaultDuration exceeds the workers' lease of 6 s.
	maxFaultDuration = 8 * time.Second
	// stopGracePeriod is the time from SIGTERM until a host is killed, as on the
	// platform.
	stopGracePeriod = 6 * time.Second
)

// selectHost selects a host. The selector is drawn when the fault is scheduled, so
// that a seed determines the schedule.
func (r *round) selectHost(selector uint64) *hostProcess {
	return r.hosts[selector%uint64(len(r.hosts))]
}

func (r *round) selectWorkerLink(selector uint64) *faultproxy.Link {
	return r.workerLinks[selector%uint64(len(r.workerLinks))]
}

// startHost restarts a host unless an overlapping fault has already done so. A
// host that fails to start is a violation.
func (r *round) startHost(h *hostProcess) {
	h.restartMu.Lock()
	defer h.restartMu.Unlock()
	if h.isRunning() {
		return
	}
	if err := h.start(); err != nil {
		r.history.report("start %s: %v", h.name, err)
	}
}

// injectLinkFaults sets the faults of a link for a time.
func injectLinkFaults(l *faultproxy.Link, f faultproxy.Faults, d time.Duration) {
	l.SetFaults(f)
	time.Sleep(d)
	l.SetFaults(faultproxy.Faults{})
}

// plannedStop stops a host as the platform does and restarts it.
func plannedStop(r *round, _ time.Duration, selector uint64) {
	h := r.selectHost(selector)
	pauses := h.pauseChanges.Load()
	h.signal(syscall.SIGTERM)
	if !h.waitForExit(stopGracePeriod) && h.pauseChanges.Load() == pauses {
		// A host that is paused in the meantime, as with seed 216, cannot exit in time.
		r.history.report("%s has not exited %s after SIGTERM", h.name, stopGracePeriod)
	}
	h.kill()
	r.startHost(h)
}

// injectPlatformFaults sets the faults of the emulated platform for a time.
func (r *round) injectPlatformFaults(f emulator.Faults, d time.Duration) {
	r.emulated.Post(emulator.Event{Faults: &f})
	time.Sleep(d)
	r.emulated.Post(emulator.Event{Faults: &emulator.Faults{}})
}

var faults = []fault{
	{"planned stop", plannedStop},
	{"kill", func(r *round, d time.Duration, selector uint64) {
		h := r.selectHost(selector)
		h.kill()
		time.Sleep(d / 4)
		r.startHost(h)
	}},
	{"kill all", func(r *round, d time.Duration, _ uint64) {
		for _, h := range r.hosts {
			h.kill()
		}
		time.Sleep(d / 4)
		for _, h := range r.hosts {
			r.startHost(h)
		}
	}},
	{"pause", func(r *round, d time.Duration, selector uint64) {
		h := r.selectHost(selector)
		h.pauseChanges.Add(1)
		h.signal(syscall.SIGSTOP)
		time.Sleep(d)
		h.signal(syscall.SIGCONT)
		h.pauseChanges.Add(1)
	}},
	{"reload", func(r *round, _ time.Duration, selector uint64) { r.selectHost(selector).signal(syscall.SIGHUP) }},
	{"host partitioned from the store", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectHost(selector).storeLink, faultproxy.Faults{DropToTarget: true, DropToClient: true}, d)
	}},
	{"connections of a host to the store are refused", func(r *round, d time.Duration, selector uint64) {
		l := r.selectHost(selector).storeLink
		l.ResetConns()
		injectLinkFaults(l, faultproxy.Faults{Refuse: true}, d)
	}},
	{"responses of the store to a host are dropped", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectHost(selector).storeLink, faultproxy.Faults{DropToClient: true}, d)
	}},
	{"store is slow for a host", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectHost(selector).storeLink, faultproxy.Faults{Delay: time.Duration(selector%400) * time.Millisecond}, d)
	}},
	{"responses of the store are truncated", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectHost(selector).storeLink, faultproxy.Faults{ResetAfterBytes: int64(selector % 3000)}, d)
	}},
	{"host unreachable from the other hosts", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectHost(selector).peerLink, faultproxy.Faults{DropToTarget: true, DropToClient: true}, d)
	}},
	{"connections between hosts are reset", func(r *round, _ time.Duration, selector uint64) { r.selectHost(selector).peerLink.ResetConns() }},
	{"responses of a worker are dropped", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectWorkerLink(selector), faultproxy.Faults{DropToClient: true}, d)
	}},
	{"worker partitioned from the hosts", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectWorkerLink(selector), faultproxy.Faults{DropToTarget: true, DropToClient: true}, d)
	}},
	{"connections to a worker are reset", func(r *round, _ time.Duration, selector uint64) { r.selectWorkerLink(selector).ResetConns() }},
	{"worker restarts", func(r *round, _ time.Duration, selector uint64) {
		r.emulated.Post(emulator.Event{RestartWorker: 1 + int(selector%uint64(r.cfg.Workers))})
	}},
	{"store unavailable", func(r *round, d time.Duration, _ uint64) {
		r.injectPlatformFaults(emulator.Faults{StoreDown: true}, d/2)
	}},
	{"write responses are lost", func(r *round, d time.Duration, selector uint64) {
		r.injectPlatformFaults(emulator.Faults{LoseWriteAnswers: int(selector%8) + 1}, d)
	}},
	{"start responses are lost", func(r *round, d time.Duration, selector uint64) {
		r.injectPlatformFaults(emulator.Faults{LoseStartAnswers: int(selector%8) + 1}, d)
	}},
	{"starts are delayed", func(r *round, d time.Duration, selector uint64) {
		r.injectPlatformFaults(emulator.Faults{DelayStarts: int(selector%8) + 1}, d)
	}},
}

// injectFaults injects random faults, which overlap except in rounds of planned
// stops only, and waits until all have ended.
func (r *round) injectFaults(out io.Writer) {
	var active conc.WaitGroup
	start := time.Now()
	stopped := map[uint64]bool{}
	for time.Since(start) < r.cfg.FaultDuration {
		f := faults[r.rng.IntN(len(faults))]
		d := time.Duration(r.rng.Int64N(int64(maxFaultDuration)))
		selector := r.rng.Uint64()
		pause := time.Duration(200+r.rng.IntN(2300)) * time.Millisecond
		if r.plannedStopsOnly {
			f, selector = faults[0], uint64(len(stopped))
			stopped[selector] = true
		}
		fmt.Fprintf(out, "  %6.2f s %s (%s, %d)\n", time.Since(start).Seconds(), f.name, d.Round(time.Millisecond), selector%100)
		if r.plannedStopsOnly {
			// Stop one host after the other, as in an upgrade.
			f.inject(r, d, selector)
			r.waitUntil(readyTimeout, r.selectHost(selector).isReady)
			continue
		}
		active.Go(func() { f.inject(r, d, selector) })
		time.Sleep(pause)
	}
	active.Wait()
}
