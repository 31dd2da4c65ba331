// Package exchange performs single HTTP/1.1 exchanges and says of a failed one
// whether any byte of the request may have reached the server.
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

// IdleTimeout is how long an unused connection is kept. Open connections can go
// silent for good, and an idle one gives no sign of it.
const IdleConnTimeout = 30 * time.Second

// keepAlive finds connections that have gone silent for good, also while a long
// poll waits on them: after 1 s of silence and two probes.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// userTimeout is how long sent bytes may stay without an acknowledgement. It is
// a few retransmissions on links of 20 ms.
const tcpUserTimeout = 2500 * time.Millisecond

// setUserTimeout lets a connection fail when its bytes are not acknowledged.
func setTCPUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Errors that a Failure wraps.
var (
	// ErrNoProgress means that no byte moved for the progress limit.
	ErrNoProgress = errors.New("no progress on the connection")
	// ErrTooLarge means that the answer is larger than allowed.
	ErrResponseTooLarge = errors.New("answer exceeds the size limit")
	// ErrNoLength means that the answer does not declare its length.
	ErrNoContentLength = errors.New("answer declares no length")
)

// Failure is the error of an exchange without a whole answer.
type Failure struct {
	// Written is false only if no byte of the request was written, nor will
	// be.
	Written bool
	Err     error
}

// Error implements error.
func (f *Failure) Error() string {
	if f.Written {
		return fmt.Sprintf("no whole answer to a request that was written: %v", f.Err)
	}
	return fmt.Sprintf("request was not written: %v", f.Err)
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.Err }

// Request is one request. The body is sent whole.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// Timeout bounds the whole exchange, if it is not zero.
	Timeout time.Duration
	// Progress bounds the time in which no byte moves, if it is not zero.
	ProgressTimeout time.Duration
	// MaxBody is the greatest length of the answer's body.
	MaxBodyBytes int64
}

// Response is a whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client performs exchanges over kept connections.
type Client struct{ transport *http.Transport }

// NewClient returns a client that dials within dialTimeout and keeps at most
// idlePerHost unused connections to an address.
func NewClient(dialTimeout time.Duration, maxIdlePerHost int) *Client {
	return NewBoundedClient(dialTimeout, maxIdlePerHost, 0)
}

// NewBoundedClient returns a client that uses at most perHost connections to an
// address at a time. Further exchanges wait for one.
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

// Close drops unused connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// attempt is the state of one exchange.
type exchangeState struct {
	mu    sync.Mutex
	conns []*trackedConn
}

// fail seals every connection that the exchange used, so that none is reused and
// no late write can follow.
func (a *exchangeState) fail(err error) *Failure {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := &Failure{Err: err}
	for _, conn := range a.conns {
		if conn.closeForWrites() {
			f.Written = true
		}
	}
	return f
}

// gotConn claims the connection that the transport picked.
func (a *exchangeState) gotConn(conn net.Conn, onProgress func()) {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	tracked.beginExchange(onProgress)
	a.mu.Lock()
	a.conns = append(a.conns, tracked)
	a.mu.Unlock()
}

// Do performs one exchange. A non-nil failure means that there is no whole
// answer; its connection is closed.
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
	a := &exchangeState{}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { a.gotConn(info.Conn, onProgress) },
	})
	req, err := http.NewRequestWithContext(traced, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return nil, a.fail(err)
	}
	if r.Header != nil {
		req.Header = r.Header
	}
	httpResp, err := c.transport.RoundTrip(req)
	if err == nil {
		var response *Response
		if response, err = readResponse(httpResp, r.MaxBodyBytes); err == nil {
			return response, nil
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	return nil, a.fail(err)
}

// readAnswer reads the whole body or fails.
func readResponse(resp *http.Response, limit int64) (*Response, error) {
	defer resp.Body.Close()
	switch {
	case resp.ContentLength < 0:
		return nil, ErrNoContentLength
	case resp.ContentLength > limit:
		return nil, fmt.Errorf("%w: %d bytes, allowed %d", ErrResponseTooLarge, resp.ContentLength, limit)
	}
	body := make([]byte, resp.ContentLength)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, err
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
