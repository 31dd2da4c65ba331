// Package faultproxy is a fault-injecting TCP proxy for the integration tests.
// Each Link forwards one address to one target, and its faults can be changed
// while connections are open.
package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Faults selects the faults of a link. The zero value forwards everything.
type Faults struct {
	// Delay is added to each chunk of data, in both directions.
	Delay time.Duration
	// Refuse resets new connections without forwarding any data. Open
	// connections are not affected.
	Refuse bool
	// DropToTarget discards data sent to the target, and DropToClient discards
	// its responses. A connection that carries data while the fault is set keeps
	// dropping that direction after the fault is cleared; new connections work.
	DropToTarget bool
	DropToClient bool
	// ResetAfterBytes resets a connection once it has carried this many
	// response bytes since the faults were set. Zero means never.
	ResetAfterBytes int64
}

// dialTimeout bounds dialing the target.
const dialTimeout = 5 * time.Second

// copyBufferBytes is the largest chunk that is forwarded at once.
const copyBufferBytes = 32 << 10

// Link forwards one listening address to one target.
type Link struct {
	listener   net.Listener
	target     string
	goroutines conc.WaitGroup

	mu     sync.Mutex
	faults Faults
	conns  map[*proxiedConn]struct{}
	closed bool
	// connDelay returns the delay of a new connection by its client's address.
	connDelay func(net.Addr) time.Duration
	// forwardedBytes counts both directions.
	forwardedBytes int64
}

// proxiedConn is one forwarded connection.
type proxiedConn struct {
	client, server *net.TCPConn
	// toTargetDropped and toClientDropped are set when data arrives while the
	// fault is set, and stay set.
	toTargetDropped, toClientDropped bool
	// responseBytes counts response bytes since the faults were set.
	responseBytes int64
	// delay is added to Faults.Delay.
	delay     time.Duration
	done      chan struct{}
	closeOnce sync.Once
}

// New listens on address and forwards to target.
func New(address, target string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	link := &Link{listener: l, target: target, conns: map[*proxiedConn]struct{}{}}
	link.goroutines.Go(link.accept)
	return link, nil
}

// Address is the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// SetFaults replaces the faults.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for conn := range l.conns {
		conn.responseBytes = 0
	}
}

// SetConnDelay sets a function that returns the additional delay, in both
// directions, of each later connection.
func (l *Link) SetConnDelay(f func(client net.Addr) time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connDelay = f
}

// ForwardedBytes returns the number of bytes forwarded in both directions.
func (l *Link) ForwardedBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forwardedBytes
}

// ResetConns resets every open connection.
func (l *Link) ResetConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		conn.reset()
	}
}

// OpenConns returns the number of open connections.
func (l *Link) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Close stops listening, resets all connections and waits for their goroutines.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for conn := range l.conns {
		conn.reset()
	}
	l.mu.Unlock()
	l.listener.Close()
	l.goroutines.Wait()
}

// accept forwards new connections until the link is closed.
func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // The client closed the connection before it was accepted.
		}
		l.goroutines.Go(func() { l.forward(conn.(*net.TCPConn)) })
	}
}

// forward connects to the target and copies data in both directions.
func (l *Link) forward(client *net.TCPConn) {
	l.mu.Lock()
	refuse, delayOf := l.faults.Refuse || l.closed, l.connDelay
	l.mu.Unlock()
	if refuse {
		resetConn(client)
		return
	}
	server, err := net.DialTimeout("tcp", l.target, dialTimeout)
	if err != nil {
		resetConn(client)
		return
	}
	conn := &proxiedConn{client: client, server: server.(*net.TCPConn), done: make(chan struct{})}
	if delayOf != nil {
		conn.delay = delayOf(client.RemoteAddr())
	}
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	if l.closed {
		conn.reset()
	}
	l.mu.Unlock()
	var directions conc.WaitGroup
	directions.Go(func() { l.copyDirection(conn, conn.client, conn.server, true) })
	directions.Go(func() { l.copyDirection(conn, conn.server, conn.client, false) })
	directions.Wait()
	conn.reset()
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
}

// copyDirection forwards one direction until either end closes.
func (l *Link) copyDirection(conn *proxiedConn, from, to *net.TCPConn, toTarget bool) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			forward, delay, reset := l.applyFaults(conn, n, toTarget)
			if !conn.sleep(delay) {
				return
			}
			if _, err := to.Write(buffer[:forward]); err != nil {
				conn.reset()
				return
			}
			if reset {
				conn.reset()
				return
			}
		}
		if err != nil {
			l.endDirection(conn, to, toTarget)
			return
		}
	}
}

// applyFaults returns how many of n bytes to forward, after which delay, and
// whether to reset the connection after them.
func (l *Link) applyFaults(conn *proxiedConn, n int, toTarget bool) (forward int, delay time.Duration, reset bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	conn.toTargetDropped = conn.toTargetDropped || f.DropToTarget
	conn.toClientDropped = conn.toClientDropped || f.DropToClient
	if toTarget && conn.toTargetDropped || !toTarget && conn.toClientDropped {
		return 0, 0, false
	}
	if !toTarget && f.ResetAfterBytes > 0 {
		remaining := f.ResetAfterBytes - conn.responseBytes
		conn.responseBytes += int64(n)
		if int64(n) >= remaining {
			l.forwardedBytes += max(0, remaining)
			return int(max(0, remaining)), f.Delay + conn.delay, true
		}
	}
	l.forwardedBytes += int64(n)
	return n, f.Delay + conn.delay, false
}

// endDirection propagates the end of one direction to the other end. A dropped
// direction hides the end from the client.
func (l *Link) endDirection(conn *proxiedConn, to *net.TCPConn, toTarget bool) {
	l.mu.Lock()
	dropped := toTarget && conn.toTargetDropped || !toTarget && conn.toClientDropped
	l.mu.Unlock()
	if dropped && !toTarget {
		// The client must not notice that the target has closed the connection.
		<-conn.done
		return
	}
	if toTarget {
		conn.reset() // The client has closed the connection.
		return
	}
	// An error means that the other end is already closed.
	_ = to.CloseWrite()
}

// sleep waits and reports whether the connection is still open.
func (c *proxiedConn) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.done:
		return false
	}
}

// reset closes both ends with a reset.
func (c *proxiedConn) reset() {
	c.closeOnce.Do(func() {
		close(c.done)
		resetConn(c.client)
		resetConn(c.server)
	})
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(c *net.TCPConn) {
	// Errors mean that the connection is already closed.
	_ = c.SetLinger(0)
	_ = c.Close()
}
