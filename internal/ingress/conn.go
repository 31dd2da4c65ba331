package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"banyanrun.example/banyanrun/internal/ingress/budget"
)

// headerFactor is the ratio of the memory of a request's header to its bytes on the
// wire, for many short lines.
const headerFactor = 32

// headerEntryBytes covers an entry of the decoded header besides its strings.
const headerEntryBytes = 160

// setBuffers sets the sizes of the kernel's buffers on a listening socket.
func (g *Gate) setBuffers(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, g.cfg.ReceiveBuffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, g.cfg.SendBuffer))
	})
	return errors.Join(err, failed)
}

// listener accepts connections within the bounds of a gate.
type listener struct {
	net.Listener
	gate *Gate
}

// Accept implements net.Listener. It closes connections that the gate refuses, so that
// their clients try another host.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.open(accepted); c != nil {
			return c, nil
		}
		if counter := l.gate.cfg.RefusedConnections; counter != nil {
			counter.Inc()
		}
		// Nothing was read or written, so no request is lost.
		_ = accepted.Close()
	}
}

// open admits a connection, or returns nil.
func (g *Gate) open(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, gate: g, id: g.newID(), aborted: make(chan struct{})}
	c.close = sync.OnceValue(func() error {
		err := accepted.Close()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.conns, c.id)
		g.step(budget.Closed{ID: c.id})
		return err
	})
	g.mu.Lock()
	g.conns[c.id] = c
	g.mu.Unlock()
	if err := g.ask(c.id, budget.Opened{ID: c.id}); err != nil {
		g.mu.Lock()
		delete(g.conns, c.id)
		g.mu.Unlock()
		return nil
	}
	return c
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	gate  *Gate
	id    budget.ID
	close func() error
	// aborted is closed when the connection is evicted.
	aborted chan struct{}

	// askMu lets one request for memory wait at a time: the server may read the next
	// request while it answers one.
	askMu sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// inRequest is set from when the header of a request is decoded until its
	// response is written.
	inRequest bool
	// unparsedBytes is the number of bytes that were read since the last request.
	unparsedBytes int64
	// headerBytes is the memory of the current request's header, bodyBytes what else
	// the request holds.
	headerBytes, bodyBytes int64
}

// Read implements net.Conn. Between two requests it charges the header that arrives.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 || c.inRequest {
		return n, err
	}
	if c.unparsedBytes == 0 {
		c.gate.report(budget.RequestBegun{ID: c.id})
	}
	c.unparsedBytes += int64(n)
	if refused := c.resize(headerFactor * c.unparsedBytes); refused != nil {
		// The server closes a connection after an error of this type without a response.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: refused}
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.gate.cfg.WriteTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The server calls it when it has finished with the
// connection.
func (c *conn) Close() error { return c.close() }

// abort closes the socket, which ends all reads and writes. The server still has to
// close the connection.
func (c *conn) abort() {
	close(c.aborted)
	// An error means that the socket is closed already.
	_ = c.Conn.Close()
}

func (c *conn) isAborted() bool {
	select {
	case <-c.aborted:
		return true
	default:
		return false
	}
}

// resize waits until the gate grants the memory of the current request.
func (c *conn) resize(bytes int64) error {
	c.askMu.Lock()
	defer c.askMu.Unlock()
	return c.gate.ask(c.id, budget.Resized{ID: c.id, Bytes: bytes})
}

// resizeBody waits until the gate grants the memory of the current request besides its
// header.
func (c *conn) resizeBody(bytes int64) error {
	if err := c.resize(c.headerBytes + bytes); err != nil {
		return err
	}
	c.bodyBytes = bytes
	return nil
}

// begin replaces the charge for the bytes of a header by that for its decoded form.
func (c *conn) begin(r *http.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest, c.unparsedBytes, c.headerBytes = true, 0, headerMemory(r)
	return c.resizeBody(0)
}

// end releases the memory of the current request.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inRequest = false
	c.gate.report(budget.RequestEnded{ID: c.id})
}

// serve serves one request.
func (c *conn) serve(w http.ResponseWriter, r *http.Request, next http.Handler) {
	defer c.end()
	if err := c.begin(r); err != nil {
		// The connection has been closed, or there is no room for its header.
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(&responseWriter{ResponseWriter: w, conn: c}, r)
	if c.gate.cfg.BodyTimeout > 0 && r.ContentLength != 0 {
		// The server reads the rest of the body before it serves the next request.
		// An error means that the connection is closed.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(c.gate.cfg.BodyTimeout))
	}
}

// responseWriter charges the part of a response that is being written. Its connection
// may be closed to make room from then on, since the client may not read.
type responseWriter struct {
	http.ResponseWriter
	conn *conn
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	c := w.conn
	c.gate.report(budget.Answered{ID: c.id})
	if held := int64(len(p)); held > c.bodyBytes {
		if err := c.resizeBody(held); err != nil {
			return 0, err
		}
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// headerMemory returns the memory of a request's decoded header.
func headerMemory(r *http.Request) int64 {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		n += headerEntryBytes + len(name)
		for _, v := range values {
			n += valueBytes + len(v)
		}
	}
	return int64(n)
}

// connKey is the context key of a request's connection.
type connKey struct{}

// withConn stores a connection, which may be wrapped by TLS, in its context.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if wrapped, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapped.NetConn()
	}
	if limited, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, limited)
	}
	return ctx
}

// connOf returns the connection of a request, or nil if no gate has admitted it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}
