// Package drain ends HTTP servers without dropping a request of a connection that
// was accepted.
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
	// poll is how often a shutdown looks at the open connections.
	pollInterval = 5 * time.Millisecond
	// silence is how long a connection may stay without a request during a
	// shutdown before it is closed. A request that is on its way on it arrives
	// well within this time.
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
	// leaving means that answers tell their clients to close the connection.
	keepAlivesDisabled atomic.Bool

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection and the time of its last change.
type connState struct {
	state http.ConnState
	since time.Time
}

// Serve starts a server on a goroutine of start. raw is the TCP listener inside
// listener. failed is called if it ends by itself.
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

// track notes the state of a connection.
func (s *Server) trackConn(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = connState{state, time.Now()}
}

// Leave makes every answer from now on tell its client to close the connection, so
// that clients turn to another server before this one is shut down.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Shutdown stops accepting and lets the requests of accepted connections end.
//
// The server's own Shutdown drops each request that it reads after it has begun,
// also the first one of a connection that was accepted before. So it is called
// only once the accepting loop has ended, no request is in progress, and the
// connections that are left have been silent for a while.
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

// queued is the number of connections that wait to be accepted. Closing the
// listener would reset them. It is 0 if it cannot be told.
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
	// An error means that the listener is closed, and nothing is queued.
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			// For a listening socket this is the length of its queue.
			n = int(info.Unacked)
		}
	})
	return n
}

// busy reports whether a connection has a request in progress, or may get one.
func (s *Server) busy(began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		quiet := time.Since(c.since)
		if c.since.Before(began) {
			quiet = time.Since(began)
		}
		if c.state == http.StateActive || quiet < quietPeriod {
			return true
		}
	}
	return false
}

// Close ends the server at once.
func (s *Server) Close() error {
	s.closeListener.Do(func() { s.err = s.listener.Close() })
	return s.server.Close()
}
