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
	play func(r *round, d time.Duration, pick uint64)
}

const (
	// longestFault exceeds the workers' lease of 6 s.
	longestFault = 8 * time.Second
	// graceTime is when a planned stop becomes a kill, as on the platform.
	graceTime = 6 * time.Second
)

// host picks a host. pick is drawn in advance, so that a seed gives one schedule.
func (r *round) host(pick uint64) *node { return r.nodes[pick%uint64(len(r.nodes))] }

func (r *round) worker(pick uint64) *faultproxy.Link { return r.workers[pick%uint64(len(r.workers))] }

// start starts a host again, unless an overlapping fault has done so. A host that
// cannot start is a finding.
func (r *round) start(n *node) {
	n.restart.Lock()
	defer n.restart.Unlock()
	if n.running() {
		return
	}
	if err := n.start(); err != nil {
		r.book.report("start %s: %v", n.name, err)
	}
}

// impair sets the faults of a link for a time.
func impair(l *faultproxy.Link, f faultproxy.Faults, d time.Duration) {
	l.SetFaults(f)
	time.Sleep(d)
	l.SetFaults(faultproxy.Faults{})
}

// plannedStop stops a host as the platform does and starts it again.
func plannedStop(r *round, _ time.Duration, pick uint64) {
	n := r.host(pick)
	pauses := n.pauses.Load()
	n.signal(syscall.SIGTERM)
	if !n.wait(graceTime) && n.pauses.Load() == pauses {
		// A host that is paused meanwhile, as with seed 216, cannot end in time.
		r.book.report("%s has not ended %s after SIGTERM", n.name, graceTime)
	}
	n.kill()
	r.start(n)
}

// platformFaults lets the platform misbehave for a time.
func (r *round) platformFaults(f emulator.Faults, d time.Duration) {
	r.world.Post(emulator.Event{Faults: &f})
	time.Sleep(d)
	r.world.Post(emulator.Event{Faults: &emulator.Faults{}})
}

var faults = []fault{
	{"planned stop", plannedStop},
	{"kill", func(r *round, d time.Duration, pick uint64) {
		n := r.host(pick)
		n.kill()
		time.Sleep(d / 4)
		r.start(n)
	}},
	{"kill all", func(r *round, d time.Duration, _ uint64) {
		for _, n := range r.nodes {
			n.kill()
		}
		time.Sleep(d / 4)
		for _, n := range r.nodes {
			r.start(n)
		}
	}},
	{"pause", func(r *round, d time.Duration, pick uint64) {
		n := r.host(pick)
		n.pauses.Add(1)
		n.signal(syscall.SIGSTOP)
		time.Sleep(d)
		n.signal(syscall.SIGCONT)
		n.pauses.Add(1)
	}},
	{"reload", func(r *round, _ time.Duration, pick uint64) { r.host(pick).signal(syscall.SIGHUP) }},
	{"host silenced from the store", func(r *round, d time.Duration, pick uint64) {
		impair(r.host(pick).store, faultproxy.Faults{DropToTarget: true, DropToClient: true}, d)
	}},
	{"host refused by the store", func(r *round, d time.Duration, pick uint64) {
		l := r.host(pick).store
		l.ResetConns()
		impair(l, faultproxy.Faults{Refuse: true}, d)
	}},
	{"answers of the store to a host are lost", func(r *round, d time.Duration, pick uint64) {
		impair(r.host(pick).store, faultproxy.Faults{DropToClient: true}, d)
	}},
	{"store is slow for a host", func(r *round, d time.Duration, pick uint64) {
		impair(r.host(pick).store, faultproxy.Faults{Delay: time.Duration(pick%400) * time.Millisecond}, d)
	}},
	{"answers of the store are cut", func(r *round, d time.Duration, pick uint64) {
		impair(r.host(pick).store, faultproxy.Faults{ResetAfterBytes: int64(pick % 3000)}, d)
	}},
	{"host cut off from the others", func(r *round, d time.Duration, pick uint64) {
		impair(r.host(pick).peers, faultproxy.Faults{DropToTarget: true, DropToClient: true}, d)
	}},
	{"connections between hosts are reset", func(r *round, _ time.Duration, pick uint64) { r.host(pick).peers.ResetConns() }},
	{"answers of a worker are lost", func(r *round, d time.Duration, pick uint64) {
		impair(r.worker(pick), faultproxy.Faults{DropToClient: true}, d)
	}},
	{"worker cut off", func(r *round, d time.Duration, pick uint64) {
		impair(r.worker(pick), faultproxy.Faults{DropToTarget: true, DropToClient: true}, d)
	}},
	{"connections to a worker are reset", func(r *round, _ time.Duration, pick uint64) { r.worker(pick).ResetConns() }},
	{"worker restarts", func(r *round, _ time.Duration, pick uint64) {
		r.world.Post(emulator.Event{RestartWorker: 1 + int(pick%uint64(r.cfg.Workers))})
	}},
	{"store away", func(r *round, d time.Duration, _ uint64) { r.platformFaults(emulator.Faults{StoreDown: true}, d/2) }},
	{"writes without an answer", func(r *round, d time.Duration, pick uint64) {
		r.platformFaults(emulator.Faults{LoseWriteAnswers: int(pick%8) + 1}, d)
	}},
	{"orders without an answer", func(r *round, d time.Duration, pick uint64) {
		r.platformFaults(emulator.Faults{LoseStartAnswers: int(pick%8) + 1}, d)
	}},
	{"orders carried out late", func(r *round, d time.Duration, pick uint64) {
		r.platformFaults(emulator.Faults{DelayStarts: int(pick%8) + 1}, d)
	}},
}

// playFaults plays faults in series that overlap, and waits for their ends.
func (r *round) playFaults(out io.Writer) {
	var playing conc.WaitGroup
	began := time.Now()
	busy := map[uint64]bool{}
	for time.Since(began) < r.cfg.Faulty {
		f := faults[r.rng.IntN(len(faults))]
		d := time.Duration(r.rng.Int64N(int64(longestFault)))
		pick := r.rng.Uint64()
		pause := time.Duration(200+r.rng.IntN(2300)) * time.Millisecond
		if r.planned {
			f, pick = faults[0], uint64(len(busy))
			busy[pick] = true
		}
		fmt.Fprintf(out, "  %6.2f s %s (%s, %d)\n", time.Since(began).Seconds(), f.name, d.Round(time.Millisecond), pick%100)
		if r.planned {
			// One host after the other, as in an upgrade.
			f.play(r, d, pick)
			r.until(startTime, r.host(pick).isReady)
			continue
		}
		playing.Go(func() { f.play(r, d, pick) })
		time.Sleep(pause)
	}
	playing.Wait()
}
