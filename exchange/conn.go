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
	mu       sync.Mutex
	writing  bool
	sealed   bool
	progress atomic.Pointer[func()]
}

// claim begins an exchange on c.
func (c *trackedConn) claim(progress func()) {
	c.mu.Lock()
	c.writing = false
	c.mu.Unlock()
	c.progress.Store(&progress)
}

// seal refuses further writes, closes the connection and reports whether a write
// had begun since claim.
func (c *trackedConn) seal() (written bool) {
	c.mu.Lock()
	c.sealed = true
	written = c.writing
	c.mu.Unlock()
	c.Close()
	return written
}

// Write implements net.Conn.
func (c *trackedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.writing = true
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.advanced(n)
	return n, err
}

// Read implements net.Conn.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.advanced(n)
	return n, err
}

func (c *trackedConn) advanced(n int) {
	if progress := c.progress.Load(); progress != nil && n > 0 {
		(*progress)()
	}
}
