// Package faultproxy is a TCP proxy with fault switches for the integration
// tests. Each Link forwards one address, and its faults can be changed while
// connections are open.
package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Faults are the switches of one link. The zero value forwards everything.
type Faults struct {
	// Delay holds every piece of data back, in both directions.
	Delay time.Duration
	// Refuse closes new connections at once without forwarding a byte.
	// Connections that are open go on.
	Refuse bool
	// SilenceUp swallows data towards the target, and SilenceDown swallows
	// the answers. Connections that met the switch stay silent for good, while
	// later ones work.
	SilenceUp   bool
	SilenceDown bool
	// CutAfter resets a connection once this many bytes of answers have passed
	// on it since the switch was set. Zero means never.
	CutAfter int64
}

// dialTimeout bounds the connection to the target.
const dialTimeout = 5 * time.Second

// bufferBytes is the size of one piece of forwarded data.
const bufferBytes = 32 << 10

// Link forwards one listening address to one target.
type Link struct {
	listener net.Listener
	target   string
	tasks    conc.WaitGroup

	mu     sync.Mutex
	faults Faults
	pairs  map[*pair]struct{}
	closed bool
	// distance gives the delay of a new connection by its client's address.
	distance func(net.Addr) time.Duration
	// passed counts the bytes of both directions.
	passed int64
}

// pair is one forwarded connection.
type pair struct {
	client, server *net.TCPConn
	// deadUp and deadDown are set once data of that direction was swallowed.
	deadUp, deadDown bool
	// answered counts the bytes of answers since CutAfter was set.
	answered int64
	// distance is added to the delay of the faults.
	distance time.Duration
	end      chan struct{}
	endOnce  sync.Once
}

// New listens on address and forwards to target.
func New(address, target string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	link := &Link{listener: l, target: target, pairs: map[*pair]struct{}{}}
	link.tasks.Go(link.accept)
	return link, nil
}

// Address is the address that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Set replaces the faults.
func (l *Link) Set(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for p := range l.pairs {
		p.answered = 0
	}
}

// SetDistance gives later connections a delay of their own, in both directions,
// which depends on the client.
func (l *Link) SetDistance(f func(client net.Addr) time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.distance = f
}

// Passed returns the bytes that the link has forwarded in both directions.
func (l *Link) Passed() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.passed
}

// Reset resets every open connection.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.reset()
	}
}

// Open returns the number of open connections.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pairs)
}

// Close ends the link and all its connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for p := range l.pairs {
		p.reset()
	}
	l.mu.Unlock()
	l.listener.Close()
	l.tasks.Wait()
}

// accept forwards new connections until the link is closed.
func (l *Link) accept() {
	for {
		conn, err := l.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // One connection failed before it was accepted.
		}
		l.tasks.Go(func() { l.forward(conn.(*net.TCPConn)) })
	}
}

// forward connects to the target and copies both ways.
func (l *Link) forward(client *net.TCPConn) {
	l.mu.Lock()
	refuse, distance := l.faults.Refuse || l.closed, l.distance
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
	p := &pair{client: client, server: server.(*net.TCPConn), end: make(chan struct{})}
	if distance != nil {
		p.distance = distance(client.RemoteAddr())
	}
	l.mu.Lock()
	l.pairs[p] = struct{}{}
	if l.closed {
		p.reset()
	}
	l.mu.Unlock()
	var both conc.WaitGroup
	both.Go(func() { l.copy(p, p.client, p.server, true) })
	both.Go(func() { l.copy(p, p.server, p.client, false) })
	both.Wait()
	p.reset()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// copy forwards one direction until either end closes.
func (l *Link) copy(p *pair, from, to *net.TCPConn, up bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			keep, delay, cut := l.judge(p, n, up)
			if !p.wait(delay) {
				return
			}
			if _, err := to.Write(buffer[:keep]); err != nil {
				p.reset()
				return
			}
			if cut {
				p.reset()
				return
			}
		}
		if err != nil {
			l.finish(p, to, up)
			return
		}
	}
}

// judge decides what happens to n bytes: how many pass, after which delay, and
// whether the connection is cut behind them.
func (l *Link) judge(p *pair, n int, up bool) (keep int, delay time.Duration, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f := l.faults
	p.deadUp = p.deadUp || f.SilenceUp
	p.deadDown = p.deadDown || f.SilenceDown
	if up && p.deadUp || !up && p.deadDown {
		return 0, 0, false
	}
	if !up && f.CutAfter > 0 {
		left := f.CutAfter - p.answered
		p.answered += int64(n)
		if int64(n) >= left {
			l.passed += max(0, left)
			return int(max(0, left)), f.Delay + p.distance, true
		}
	}
	l.passed += int64(n)
	return n, f.Delay + p.distance, false
}

// finish passes the end of one direction on. A silent direction hides it.
func (l *Link) finish(p *pair, to *net.TCPConn, up bool) {
	l.mu.Lock()
	silent := up && p.deadUp || !up && p.deadDown
	l.mu.Unlock()
	if silent && !up {
		// The client must not learn that the server is gone.
		<-p.end
		return
	}
	if up {
		p.reset() // The client has gone.
		return
	}
	// An error means that the other end has closed already.
	_ = to.CloseWrite()
}

// wait pauses and reports whether the pair is still open.
func (p *pair) wait(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.end:
		return false
	}
}

// reset closes both ends with a reset.
func (p *pair) reset() {
	p.endOnce.Do(func() {
		close(p.end)
		resetConn(p.client)
		resetConn(p.server)
	})
}

// resetConn closes a connection so that its peer sees a reset.
func resetConn(c *net.TCPConn) {
	// Errors mean that the connection is closed already.
	_ = c.SetLinger(0)
	_ = c.Close()
}
