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

// fault is a fault that begins and ends. Faults overlap and come in series.
type fault struct {
	name string
	// play lasts about d. pick chooses what is concerned.
	inject func(r *round, d time.Duration, selector uint64)
}

const (
	// longestFault exceeds the workers' lease of 6 s.
	maxFaultDuration = 8 * time.Second
	// graceTime is when a planned stop becomes a kill, as on the platform.
	stopGracePeriod = 6 * time.Second
)

// host picks a host. pick is drawn in advance, so that a seed gives one schedule.
func (r *round) selectHost(selector uint64) *hostProcess {
	return r.hosts[selector%uint64(len(r.hosts))]
}

func (r *round) selectWorkerLink(selector uint64) *faultproxy.Link {
	return r.workerLinks[selector%uint64(len(r.workerLinks))]
}

// start starts a host again, unless an overlapping fault has done so. A host that
// cannot start is a finding.
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

// impair sets the faults of a link for a time.
func injectLinkFaults(l *faultproxy.Link, f faultproxy.Faults, d time.Duration) {
	l.SetFaults(f)
	time.Sleep(d)
	l.SetFaults(faultproxy.Faults{})
}

// plannedStop stops a host as the platform does and starts it again.
func plannedStop(r *round, _ time.Duration, selector uint64) {
	h := r.selectHost(selector)
	pauses := h.pauseChanges.Load()
	h.signal(syscall.SIGTERM)
	if !h.waitForExit(stopGracePeriod) && h.pauseChanges.Load() == pauses {
		// A host that is paused meanwhile, as with seed 216, cannot end in time.
		r.history.report("%s has not ended %s after SIGTERM", h.name, stopGracePeriod)
	}
	h.kill()
	r.startHost(h)
}

// platformFaults lets the platform misbehave for a time.
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
	{"host silenced from the store", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectHost(selector).storeLink, faultproxy.Faults{DropToTarget: true, DropToClient: true}, d)
	}},
	{"host refused by the store", func(r *round, d time.Duration, selector uint64) {
		l := r.selectHost(selector).storeLink
		l.ResetConns()
		injectLinkFaults(l, faultproxy.Faults{Refuse: true}, d)
	}},
	{"answers of the store to a host are lost", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectHost(selector).storeLink, faultproxy.Faults{DropToClient: true}, d)
	}},
	{"store is slow for a host", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectHost(selector).storeLink, faultproxy.Faults{Delay: time.Duration(selector%400) * time.Millisecond}, d)
	}},
	{"answers of the store are cut", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectHost(selector).storeLink, faultproxy.Faults{ResetAfterBytes: int64(selector % 3000)}, d)
	}},
	{"host cut off from the others", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectHost(selector).peerLink, faultproxy.Faults{DropToTarget: true, DropToClient: true}, d)
	}},
	{"connections between hosts are reset", func(r *round, _ time.Duration, selector uint64) { r.selectHost(selector).peerLink.ResetConns() }},
	{"answers of a worker are lost", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectWorkerLink(selector), faultproxy.Faults{DropToClient: true}, d)
	}},
	{"worker cut off", func(r *round, d time.Duration, selector uint64) {
		injectLinkFaults(r.selectWorkerLink(selector), faultproxy.Faults{DropToTarget: true, DropToClient: true}, d)
	}},
	{"connections to a worker are reset", func(r *round, _ time.Duration, selector uint64) { r.selectWorkerLink(selector).ResetConns() }},
	{"worker restarts", func(r *round, _ time.Duration, selector uint64) {
		r.emulated.Post(emulator.Event{RestartWorker: 1 + int(selector%uint64(r.cfg.Workers))})
	}},
	{"store away", func(r *round, d time.Duration, _ uint64) {
		r.injectPlatformFaults(emulator.Faults{StoreDown: true}, d/2)
	}},
	{"writes without an answer", func(r *round, d time.Duration, selector uint64) {
		r.injectPlatformFaults(emulator.Faults{LoseWriteAnswers: int(selector%8) + 1}, d)
	}},
	{"orders without an answer", func(r *round, d time.Duration, selector uint64) {
		r.injectPlatformFaults(emulator.Faults{LoseStartAnswers: int(selector%8) + 1}, d)
	}},
	{"orders carried out late", func(r *round, d time.Duration, selector uint64) {
		r.injectPlatformFaults(emulator.Faults{DelayStarts: int(selector%8) + 1}, d)
	}},
}

// playFaults plays faults in series that overlap, and waits for their ends.
func (r *round) injectFaults(out io.Writer) {
	var playing conc.WaitGroup
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
			// One host after the other, as in an upgrade.
			f.inject(r, d, selector)
			r.waitUntil(readyTimeout, r.selectHost(selector).isReady)
			continue
		}
		playing.Go(func() { f.inject(r, d, selector) })
		time.Sleep(pause)
	}
	playing.Wait()
}
