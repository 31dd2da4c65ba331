package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// gate is a listener whose connections can be cut: open ones are reset, and new ones
// are reset at once, as by a port without a listener.
type gate struct {
	net.Listener
	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]bool
}

// serveGate serves a handler on a free port of an address, with a gate before it.
func serveGate(ip string, h http.Handler) (*gate, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	g := &gate{Listener: l, conns: map[net.Conn]bool{}}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second, ConnState: func(c net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateHijacked {
			g.mu.Lock()
			delete(g.conns, c)
			g.mu.Unlock()
		}
	}}
	go func() { _ = server.Serve(g) }()
	return g, nil
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		g.mu.Lock()
		if !g.closed {
			g.conns[c] = true
			g.mu.Unlock()
			return c, nil
		}
		g.mu.Unlock()
		reset(c)
	}
}

// setClosed closes or opens the gate.
func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = closed
	if closed {
		for c := range g.conns {
			reset(c)
		}
	}
}

func (g *gate) address() string { return g.Listener.Addr().String() }

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// partition cuts links silently, as a network does: packets are dropped. When it heals,
// what was sent meanwhile arrives with the sender's next retransmission.
type partition struct {
	mu     sync.Mutex
	healed chan struct{}
}

// Delays after which TCP sends data and connection requests again if they get no answer,
// each counted from the first time.
var (
	dataRetransmissions = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond, 3 * time.Second, 6200 * time.Millisecond}
	synRetransmissions  = []time.Duration{time.Second, 3 * time.Second, 7 * time.Second}
)

func (p *partition) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
	p.healed = nil
}

// pass returns when something that is sent now arrives.
func (p *partition) pass(retransmissions []time.Duration) {
	sent := time.Now()
	p.mu.Lock()
	healed := p.healed
	p.mu.Unlock()
	if healed == nil {
		return
	}
	<-healed
	for _, after := range retransmissions {
		if wait := time.Until(sent.Add(after)); wait > 0 {
			time.Sleep(wait)
			return
		}
	}
}

// forwardGate forwards a port of an address to a target. The partition is the one that the
// link goes through.
func forwardGate(address, target string, p *partition) (*gate, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	g := &gate{Listener: l, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := g.Accept()
			if err != nil {
				return
			}
			go g.forward(c, target, p)
		}
	}()
	return g, nil
}

// forward copies the bytes of a connection in both directions until one side closes it.
func (g *gate) forward(c net.Conn, target string, p *partition) {
	defer func() {
		g.mu.Lock()
		delete(g.conns, c)
		g.mu.Unlock()
		_ = c.Close()
	}()
	p.pass(synRetransmissions)
	t, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	defer t.Close()
	go func() {
		p.copy(c, t)
		_ = c.Close()
	}()
	p.copy(t, c)
}

// copy copies bytes until the source ends or the destination fails.
func (p *partition) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.pass(dataRetransmissions)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
