package host

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"banyanrun.example/banyanrun/internal/drain"
	"banyanrun.example/banyanrun/internal/ingress"
)

// Shares of a host's memory for what the clients of each port may hold. The other hosts
// of a deployment of 31 open more than 600 connections to the owner in a burst, one for
// each request in progress.
const (
	callerMemoryShare   = 0.16
	peerMemoryShare     = 0.16
	observerMemoryShare = 0.02
)

// Shares of the descriptors, beyond those that the platform reserves for files, for the
// connections of each port. The rest is for the host's own calls.
const (
	reservedFDs     = 200
	callerFDShare   = 0.40
	peerFDShare     = 0.35
	observerFDShare = 0.02
)

// Sizes of the kernel's buffers for a connection. Most requests and answers fit into
// them; metrics do not.
const (
	receiveBuffer, sendBuffer                 = 16 << 10, 4 << 10
	observerReceiveBuffer, observerSendBuffer = 4 << 10, 16 << 10
)

const (
	// clientWriteTimeout bounds one write to a client that does not read.
	clientWriteTimeout = 5 * time.Second
	// clientBodyTimeout bounds the time in which no byte of a body arrives. No caller
	// waits longer for an answer.
	clientBodyTimeout = time.Minute
)

// MinMemoryMB is the smallest memory of a host. With less there is no room for the
// program beside its clients.
const MinMemoryMB = 64

// defaultMemoryMB bounds what clients hold if neither the settings nor the options name
// the memory.
const defaultMemoryMB = 512

// gates bound what the clients of each port may hold. Those of the readiness check and
// of the metrics are observers.
type gates struct{ callers, peers, observers *ingress.Gate }

// newGates returns the gates for the limits in the settings.
func (d *Daemon) newGates() (*gates, error) {
	memoryMB := cmp.Or(d.settings.MemoryMB, d.options.MemoryMB, defaultMemoryMB)
	fds := d.settings.MaxFDs
	if fds == 0 {
		var limit syscall.Rlimit
		if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
			return nil, fmt.Errorf("limit on descriptors: %w", err)
		}
		fds = int(min(limit.Cur, mailboxSize))
	}
	// Each connection has at most one request in progress, so the requests of all
	// clients leave room in the mailbox for the host's own events.
	fds = min(fds, mailboxSize)
	forSockets := max(fds-reservedFDs, fds/2)
	gate := func(port string, memoryShare, fdShare float64, receive, send int) *ingress.Gate {
		return ingress.NewGate(ingress.Config{
			Port: port, Bytes: int64(memoryShare * float64(memoryMB<<20)), Connections: int(fdShare * float64(forSockets)),
			ReceiveBuffer: receive, SendBuffer: send, WriteTimeout: clientWriteTimeout, BodyTimeout: clientBodyTimeout,
			Metrics: d.metrics.set, Log: d.clientLog,
		})
	}
	return &gates{
		callers:   gate("callers", callerMemoryShare, callerFDShare, receiveBuffer, sendBuffer),
		peers:     gate("peers", peerMemoryShare, peerFDShare, receiveBuffer, sendBuffer),
		observers: gate("observers", observerMemoryShare, observerFDShare, observerReceiveBuffer, observerSendBuffer),
	}, nil
}

// serve listens on an address and serves its clients within the bounds of a gate.
func (d *Daemon) serve(ctx context.Context, address string, gate *ingress.Gate, routes http.Handler, startGoroutine func(func()), onError func(error)) (*drain.Server, error) {
	listener, err := gate.Listen(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	server := d.newServer(routes)
	gate.Configure(server)
	return drain.Serve(server, gate.Limit(listener), listener, startGoroutine, onError), nil
}
