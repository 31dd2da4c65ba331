// Package drain shuts down HTTP servers without dropping requests on connections
// that were already established.
package drain

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pollInterval is how often Shutdown checks the open connections.
	pollInterval = 5 * time.Millisecond
	// quietPeriod is how long a connection must be without a request during
	// a shutdown before it is closed. A request that the client has already
	// sent arrives well within this time.
	quietPeriod = 300 * time.Millisecond
)

// Server serves one listener until it is shut down.
type Server struct {
	server        *http.Server
	listener      net.Listener
	tcpListener   net.Listener
	served        chan struct{}
	closeListener sync.Once
	err           error
	// keepAlivesDisabled makes responses carry "Connection: close".
	keepAlivesDisabled atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection and when it was entered.
type connState struct {
	state http.ConnState
	since time.Time
}

// Serve serves listener on a goroutine that it starts with startGoroutine.
// tcpListener is the TCP listener that listener wraps. onError is called if the
// server stops without having been shut down or closed.
func Serve(server *http.Server, listener, tcpListener net.Listener, startGoroutine func(func()), onError func(error)) *Server {
	s := &Server{server: server, listener: listener, tcpListener: tcpListener, served: make(chan struct{}), conns: map[net.Conn]connState{}}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.keepAlivesDisabled.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	server.ConnState = s.trackConn
	startGoroutine(func() {
		defer close(s.served)
		err := server.Serve(listener)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			onError(err)
		}
	})
	return s
}

// trackConn records the state of a connection.
func (s *Server) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = connState{state, time.Now()}
}

// DisableKeepAlives makes every response from now on tell the client to close the
// connection, so that clients move to another server before this one shuts down.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Shutdown stops accepting connections and waits until the requests on accepted
// connections have been served.
//
// http.Server.Shutdown drops every request that it reads after it has begun, even
// the first request on a connection accepted earlier. It is therefore called only
// after the accept loop has ended, no request is in progress, and the remaining
// connections have been idle for quietPeriod.
func (s *Server) Shutdown(ctx context.Context) error {
	s.DisableKeepAlives()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for acceptQueueLength(s.tcpListener) > 0 && ctx.Err() == nil {
		<-ticker.C
	}
	s.closeListener.Do(func() { s.err = s.listener.Close() })
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	began := time.Now()
	for s.busy(began) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Join(s.err, s.server.Shutdown(ctx))
		}
	}
	return errors.Join(s.err, s.server.Shutdown(ctx))
}

// acceptQueueLength returns the number of connections that wait to be accepted,
// or 0 if it is unknown. Closing the listener would reset these connections.
func acceptQueueLength(l net.Listener) int {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	// An error means that the listener is closed and the queue is empty.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// For a listening socket, Unacked is the accept queue length.
			n = int(info.Unacked)
		}
	})
	return n
}

// busy reports whether a connection has a request in progress or has not yet been
// idle for quietPeriod since the shutdown began.
func (s *Server) busy(began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		idle := time.Since(c.since)
		if c.since.Before(began) {
			idle = time.Since(began)
		}
		if c.state == http.StateActive || idle < quietPeriod {
			return true
		}
	}
	return false
}

// Close stops the server immediately, dropping requests in progress.
func (s *Server) Close() error {
	s.closeListener.Do(func() { s.err = s.listener.Close() })
	return s.server.Close()
}
