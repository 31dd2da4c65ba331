// Package hostsoak injects random faults into real banyanrun-host processes on an
// emulated platform and checks invariants at the workers and at the callers.
// Connections run through fault-injecting proxies; processes are stopped, paused
// and killed by signals, and restarted.
package hostsoak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/integration/faultproxy"
	"banyanrun.example/banyanrun/platform/emulator"
)

// Config describes the rounds of a soak.
type Config struct {
	// Binary is the path of banyanrun-host.
	Binary string
	// Folder is where the settings files and logs are written.
	Folder string
	// Hosts and Workers are the numbers of hosts and of emulated workers.
	Hosts, Workers int
	// CheckMemory requires that hosts stay within their memory. With the race detector
	// they take more.
	CheckMemory bool
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
}

const (
	// completionTimeout bounds the time from the end of the faults until every
	// accepted job has ended: the lease of a silent worker, a takeover, the work
	// itself, and the recovery time that the users require.
	completionTimeout = 45 * time.Second
	// readyTimeout bounds the time until every host is ready.
	readyTimeout = 30 * time.Second
	// callerCount is the number of concurrent callers.
	callerCount = 10
	// maxPortAttempts is the number of times a host is started, each time with new
	// ports, when another process has taken a port that was free.
	maxPortAttempts = 5
	// plannedStopShare is the share of rounds with planned stops only, in which no
	// request may fail.
	plannedStopShare = 0.25
)

// round is one run with a seed.
type round struct {
	cfg              Config
	seed             uint64
	rng              *rand.Rand
	emulated         *emulator.Server
	workerLinks      []*faultproxy.Link
	hosts            []*hostProcess
	history          *history
	plannedStopsOnly bool
	// crowds means that clients which do not finish their requests take part. A planned
	// stop may interrupt them, and they may cost callers an idle connection.
	crowds bool
}

// RunRound runs a round and returns a description of each violation.
func RunRound(cfg Config, seed uint64, out io.Writer) (violations []string, err error) {
	r := &round{cfg: cfg, seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), history: newHistory()}
	r.plannedStopsOnly = r.rng.Float64() < plannedStopShare
	r.crowds = !r.plannedStopsOnly
	r.cfg.Folder = filepath.Join(cfg.Folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(r.cfg.Folder, 0o755); err != nil {
		return nil, err
	}
	if err := r.startProcesses(); err != nil {
		return nil, err
	}
	defer r.close()
	if !r.waitUntil(readyTimeout, r.allReady) {
		return []string{"the hosts were not ready after " + readyTimeout.String()}, nil
	}
	done := make(chan struct{})
	var callers conc.WaitGroup
	for i := range callerCount {
		callers.Go(func() { r.runCaller(i, done) })
	}
	if r.crowds {
		callers.Go(func() { r.runCrowds(done) })
	}
	r.injectFaults(out)
	if r.crowds && cfg.CheckMemory {
		r.checkMemory()
	}
	close(done)
	callers.Wait()
	if !r.waitUntil(completionTimeout, r.allJobsEnded) {
		unfinished := r.history.openJobs()
		r.history.report("%d jobs have not ended %s after the faults, among them %v", len(unfinished), completionTimeout, unfinished[:min(len(unfinished), 5)])
	}
	r.close()
	r.history.checkStarts(r.emulated.Starts())
	return r.history.allViolations(), nil
}

// startProcesses starts the emulated platform, the proxies and the hosts.
func (r *round) startProcesses() error {
	var err error
	r.emulated, err = emulator.Start(emulator.Config{Workers: r.cfg.Workers, Seed: r.seed, WorkerProxy: func(_ int, address string) (string, error) {
		link, err := faultproxy.New("127.0.0.1:0", address)
		if err != nil {
			return "", err
		}
		r.workerLinks = append(r.workerLinks, link)
		return link.Address(), nil
	}})
	if err != nil {
		return err
	}
	r.emulated.Post(emulator.Event{PutKey: "op/config", PutValue: []byte(emulator.TestConfiguration)})
	for i := range r.cfg.Hosts {
		h, err := r.newHost(i)
		for attempt := 1; errors.Is(err, syscall.EADDRINUSE) && attempt < maxPortAttempts; attempt++ {
			h, err = r.newHost(i)
		}
		if err != nil {
			return err
		}
		r.hosts = append(r.hosts, h)
	}
	return nil
}

// close stops everything that the round has started. Further calls do nothing.
func (r *round) close() {
	if r.emulated == nil || r.hosts == nil {
		return
	}
	for _, h := range r.hosts {
		h.kill()
	}
	for _, violation := range r.emulated.Close() {
		r.history.report("at the workers: %s", violation)
	}
	for _, h := range r.hosts {
		h.storeLink.Close()
		h.peerLink.Close()
	}
	for _, l := range r.workerLinks {
		l.Close()
	}
	r.hosts = nil
}

// waitUntil waits for a condition and reports whether it became true within limit.
func (r *round) waitUntil(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (r *round) allReady() bool {
	for _, h := range r.hosts {
		if !h.isReady() {
			return false
		}
	}
	return true
}

// allJobsEnded polls every open job and reports whether all have ended.
func (r *round) allJobsEnded() bool {
	for _, id := range r.history.openJobs() {
		r.checkJob(r.hosts[int(id[15])%len(r.hosts)], id)
	}
	return len(r.history.openJobs()) == 0
}

// freePorts returns n ports that are currently free.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(emulator.TestIP(), "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
