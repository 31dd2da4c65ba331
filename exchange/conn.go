package exchange

import (
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is a connection that records whether a write has begun in the
// current exchange and that can block all further writes. The transport may still
// write to a connection after it has reported a cancellation; blocking writes
// ensures that a request reported as not written is never written.
type trackedConn struct {
	net.Conn
	mu            sync.Mutex
	writeBegun    bool
	writesBlocked bool
	onProgress    atomic.Pointer[func()]
}

// beginExchange resets the record of writes for a new exchange. onProgress is
// called whenever bytes are read or written.
func (c *trackedConn) beginExchange(onProgress func()) {
	c.mu.Lock()
	c.writeBegun = false
	c.mu.Unlock()
	c.onProgress.Store(&onProgress)
}

// closeForWrites blocks further writes, closes the connection and reports whether
// a write has begun since beginExchange.
func (c *trackedConn) closeForWrites() (written bool) {
	c.mu.Lock()
	c.writesBlocked = true
	written = c.writeBegun
	c.mu.Unlock()
	c.Close()
	return written
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writeBegun = true
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.reportProgress(n)
	return n, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.reportProgress(n)
	return n, err
}

func (c *trackedConn) reportProgress(n int) {
	if onProgress := c.onProgress.Load(); onProgress != nil && n > 0 {
		(*onProgress)()
	}
}
