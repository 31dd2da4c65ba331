package exchange

import (
	"net"
	"sync"
	"sync/atomic"
)

// trackedConn is a connection that knows whether a write has begun since it was
// last claimed, and that can refuse all further writes. A cancelled exchange can
// therefore prove that no byte was written: the transport may still try to write
// after it has reported the cancellation.
type trackedConn struct {
	net.Conn
	mu            sync.Mutex
	writeBegun    bool
	writesBlocked bool
	onProgress    atomic.Pointer[func()]
}

// claim begins an exchange on c.
func (c *trackedConn) beginExchange(onProgress func()) {
	c.mu.Lock()
	c.writeBegun = false
	c.mu.Unlock()
	c.onProgress.Store(&onProgress)
}

// seal refuses further writes, closes the connection and reports whether a write
// had begun since claim.
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
