// Package exchange performs single HTTP/1.1 exchanges. The error of a failed
// exchange tells whether any byte of the request may have reached the server.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// IdleConnTimeout is how long an idle connection is kept. A connection can become
// dead without being closed, which cannot be detected while it is idle.
const IdleConnTimeout = 30 * time.Second

// keepAliveConfig detects dead connections, also during a long poll, by two
// probes after 1 s without traffic.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// tcpUserTimeout is how long sent bytes may remain unacknowledged. It allows for
// a few retransmissions on links with a latency of 20 ms.
const tcpUserTimeout = 2500 * time.Millisecond

// setTCPUserTimeout makes a connection fail when sent bytes are not acknowledged
// within tcpUserTimeout.
func setTCPUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Errors that a Failure wraps.
var (
	// ErrNoProgress means that no byte was transferred for ProgressTimeout.
	ErrNoProgress = errors.New("no progress on the connection")
	// ErrResponseTooLarge means that the response body exceeds MaxBodyBytes.
	ErrResponseTooLarge = errors.New("response exceeds the size limit")
	// ErrNoContentLength means that the response does not declare its length.
	ErrNoContentLength = errors.New("response has no content length")
)

// Failure is the error of an exchange without a complete response.
type Failure struct {
	// Written is false only if no byte of the request has been or will be
	// written.
	Written bool
	Err     error
}

// Error implements the error interface.
func (f *Failure) Error() string {
	if f.Written {
		return fmt.Sprintf("request was written, but there is no complete response: %v", f.Err)
	}
	return fmt.Sprintf("request was not written: %v", f.Err)
}

// Unwrap returns the underlying error.
func (f *Failure) Unwrap() error { return f.Err }

// Request is an HTTP request.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// Timeout limits the duration of the exchange, if it is not zero.
	Timeout time.Duration
	// ProgressTimeout limits the time in which no byte is transferred, if it
	// is not zero.
	ProgressTimeout time.Duration
	// MaxBodyBytes limits the length of the response body.
	MaxBodyBytes int64
	// Reserve, if set, is called with the length of the response body before memory is
	// allocated for it. If it returns an error the response is not read.
	Reserve func(bytes int64) error
}

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client performs exchanges over a pool of connections.
type Client struct{ transport *http.Transport }

// NewClient returns a client that dials within dialTimeout and keeps at most
// maxIdlePerHost idle connections per address.
func NewClient(dialTimeout time.Duration, maxIdlePerHost int) *Client {
	return NewBoundedClient(dialTimeout, maxIdlePerHost, 0)
}

// NewBoundedClient returns a client that also uses at most maxPerHost connections
// per address at a time. Further exchanges wait for a connection.
func NewBoundedClient(dialTimeout time.Duration, maxIdlePerHost, maxPerHost int) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig, Control: setTCPUserTimeout}
	return &Client{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: conn}, nil
		},
		IdleConnTimeout:     IdleConnTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
		MaxConnsPerHost:     maxPerHost,
		DisableCompression:  true,
	}}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// exchangeState holds the connections that one exchange has used.
type exchangeState struct {
	mu    sync.Mutex
	conns []*trackedConn
}

// fail closes every connection that the exchange used, so that none is reused and
// no write can follow, and returns the failure.
func (s *exchangeState) fail(err error) *Failure {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &Failure{Err: err}
	for _, conn := range s.conns {
		if conn.closeForWrites() {
			f.Written = true
		}
	}
	return f
}

// gotConn begins the exchange on the connection that the transport selected.
func (s *exchangeState) gotConn(conn net.Conn, onProgress func()) {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	tracked.beginExchange(onProgress)
	s.mu.Lock()
	s.conns = append(s.conns, tracked)
	s.mu.Unlock()
}

// Do performs one exchange. A non-nil failure means that there is no complete
// response; the connection is then closed.
func (c *Client) Do(ctx context.Context, r Request) (*Response, *Failure) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if r.Timeout > 0 {
		bounded, stop := context.WithTimeout(ctx, r.Timeout)
		defer stop()
		ctx = bounded
	}
	onProgress := func() {}
	if r.ProgressTimeout > 0 {
		timer := time.AfterFunc(r.ProgressTimeout, func() { cancel(ErrNoProgress) })
		defer timer.Stop()
		onProgress = func() { timer.Reset(r.ProgressTimeout) }
	}
	state := &exchangeState{}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { state.gotConn(info.Conn, onProgress) },
	})
	req, err := http.NewRequestWithContext(traced, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, state.fail(err)
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	httpResp, err := c.transport.RoundTrip(req)
	if err == nil {
		var response *Response
		if response, err = readResponse(httpResp, &r); err == nil {
			return response, nil
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return nil, state.fail(err)
}

// readResponse reads the whole body, or fails if it has no declared length,
// exceeds its limit or ends early.
func readResponse(resp *http.Response, r *Request) (*Response, error) {
	defer resp.Body.Close()
	limit := r.MaxBodyBytes
	switch {
	case resp.ContentLength < 0:
		return nil, ErrNoContentLength
	case resp.ContentLength > limit:
		return nil, fmt.Errorf("%w: %d bytes, allowed %d", ErrResponseTooLarge, resp.ContentLength, limit)
	}
	if r.Reserve != nil {
		if err := r.Reserve(resp.ContentLength); err != nil {
			return nil, err
		}
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
