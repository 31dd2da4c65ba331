// Package hostsoak plays random faults against real banyanrun-host processes on
// an emulated platform and checks, at the workers and at the callers, what must
// hold. Connections run through fault-injecting proxies; processes are stopped,
// paused, killed and started again by signals.
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

// Config describes a run of the soak.
type Config struct {
	// Binary is banyanrun-host.
	Binary string
	// Folder takes the settings files and the logs.
	Folder string
	// Hosts and Workers are the sizes of the cell.
	Hosts, Workers int
	// Faulty is how long faults are played.
	Faulty time.Duration
}

const (
	// settleTime bounds the time from the end of the faults until every accepted
	// job has ended: the lease of a silent worker, a takeover, the work itself,
	// and the recovery time that the users state.
	settleTime = 45 * time.Second
	// startTime bounds the time until every host is ready.
	startTime = 30 * time.Second
	// callersAtATime is the number of callers that hand in jobs.
	callersAtATime = 10
	// portTries is how often other ports are drawn when somebody else has taken
	// one that was free.
	portTries = 5
	// plannedShare is the share of rounds with planned stops only. No request
	// may fail in these.
	plannedShare = 0.25
)

// round is one play with a seed.
type round struct {
	cfg     Config
	seed    uint64
	rng     *rand.Rand
	world   *emulator.Server
	workers []*faultproxy.Link
	nodes   []*node
	book    *book
	planned bool
}

// Play plays a round and returns what was broken.
func Play(cfg Config, seed uint64, out io.Writer) (broken []string, err error) {
	r := &round{cfg: cfg, seed: seed, rng: rand.New(rand.NewPCG(seed, 11)), book: newBook()}
	r.planned = r.rng.Float64() < plannedShare
	r.cfg.Folder = filepath.Join(cfg.Folder, fmt.Sprintf("seed-%d", seed))
	if err := os.MkdirAll(r.cfg.Folder, 0o755); err != nil {
		return nil, err
	}
	if err := r.startWorld(); err != nil {
		return nil, err
	}
	defer r.close()
	if !r.until(startTime, r.allReady) {
		return []string{"the hosts are not ready after " + startTime.String()}, nil
	}
	done := make(chan struct{})
	var callers conc.WaitGroup
	for i := range callersAtATime {
		callers.Go(func() { r.call(i, done) })
	}
	r.playFaults(out)
	close(done)
	callers.Wait()
	if !r.until(settleTime, r.settled) {
		open := r.book.open()
		r.book.report("%d jobs have not ended %s after the faults, among them %v", len(open), settleTime, open[:min(len(open), 5)])
	}
	r.close()
	r.book.checkStarts(r.world.Starts())
	return r.book.findings(), nil
}

// startWorld starts the platform, the proxies and the hosts.
func (r *round) startWorld() error {
	var err error
	r.world, err = emulator.Start(emulator.Config{Workers: r.cfg.Workers, Seed: r.seed, WorkerProxy: func(_ int, address string) (string, error) {
		link, err := faultproxy.New("127.0.0.1:0", address)
		if err != nil {
			return "", err
		}
		r.workers = append(r.workers, link)
		return link.Address(), nil
	}})
	if err != nil {
		return err
	}
	r.world.Post(emulator.Event{PutKey: "op/config", PutValue: []byte(emulator.TestConfiguration)})
	for i := range r.cfg.Hosts {
		n, err := r.newNode(i)
		for try := 1; errors.Is(err, syscall.EADDRINUSE) && try < portTries; try++ {
			n, err = r.newNode(i)
		}
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	return nil
}

// close ends what the round has started, once.
func (r *round) close() {
	if r.world == nil || r.nodes == nil {
		return
	}
	for _, n := range r.nodes {
		n.kill()
	}
	for _, b := range r.world.Close() {
		r.book.report("at the workers: %s", b)
	}
	for _, n := range r.nodes {
		n.store.Close()
		n.peers.Close()
	}
	for _, l := range r.workers {
		l.Close()
	}
	r.nodes = nil
}

// until waits for a condition and reports whether it came true in time.
func (r *round) until(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func (r *round) allReady() bool {
	for _, n := range r.nodes {
		if !n.isReady() {
			return false
		}
	}
	return true
}

// settled asks for every accepted job and reports whether all have ended.
func (r *round) settled() bool {
	for _, id := range r.book.open() {
		r.poll(r.nodes[int(id[15])%len(r.nodes)], id)
	}
	return len(r.book.open()) == 0
}

// freePorts returns ports that are free now.
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
