package hostsoak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/integration/testhosts"
	"banyanrun.example/banyanrun/platform/emulator"
)

const (
	// crowdMemoryMB is the memory of the hosts in rounds with crowds. Three crowds at a
	// host reach what callers may hold of it.
	crowdMemoryMB = 128
	// crowdClients is the number of clients of a crowd.
	crowdClients = 40
	// crowdBodyBytes is the length of the body that a client does not finish.
	crowdBodyBytes = 250 << 10
	// crowdInterval is the average time between two crowds.
	crowdInterval = 700 * time.Millisecond
	// crowdTimeout bounds connecting and sending.
	crowdTimeout = 5 * time.Second
)

// runCrowds sends crowds of clients to random hosts until done is closed. The clients
// send bodies without their last byte and keep their connections open until the process
// is gone or the round ends. Their schedule has a source of its own, so that the faults
// of a seed stay the same.
func (r *round) runCrowds(done <-chan struct{}) {
	rng := rand.New(rand.NewPCG(r.seed, 12))
	var clients conc.WaitGroup
	defer clients.Wait()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(rng.Int64N(int64(2 * crowdInterval)))):
		}
		h, chunked := r.hosts[rng.IntN(len(r.hosts))], rng.IntN(2) == 0
		for range crowdClients {
			clients.Go(func() { runCrowdClient(h.callerAddress, chunked, done) })
		}
	}
}

// runCrowdClient sends an unfinished request and waits until its connection is closed.
func runCrowdClient(address string, chunked bool, done <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", address, crowdTimeout)
	if err != nil {
		// The process is not running.
		return
	}
	defer conn.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-done:
			conn.Close()
		case <-stop:
		}
	}()
	header, body := fmt.Sprintf("Content-Length: %d", crowdBodyBytes), strings.Repeat(" ", crowdBodyBytes-1)
	if chunked {
		header, body = "Transfer-Encoding: chunked", strings.Repeat("400\r\n"+strings.Repeat(" ", 1<<10)+"\r\n", crowdBodyBytes>>10)
	}
	request := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\n%s\r\n\r\n%s", emulator.BatchQueue, 0xc0, emulator.CallerHostName, header, body)
	// Errors mean that the host has closed the connection, or the round has ended.
	if _, err := io.WriteString(conn, request); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// checkMemory reports running hosts that have exceeded their memory.
func (r *round) checkMemory() {
	for _, h := range r.hosts {
		h.mu.Lock()
		pid := h.cmd.Process.Pid
		h.mu.Unlock()
		// An error means that the host is not running.
		if peak, err := testhosts.PeakMemoryMB(pid); err == nil && peak > crowdMemoryMB {
			r.history.report("%s took %d MB of %d", h.name, peak, crowdMemoryMB)
		}
	}
}
