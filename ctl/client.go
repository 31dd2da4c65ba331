package ctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"banyanrun.example/banyanrun/keys"
)

const (
	// maxResponseBytes bounds a response body. Responses to calls have up to 4
	// MB, and a history holds up to 16 documents of 256 KiB.
	maxResponseBytes = 8 << 20
	// maxCommandRequests bounds the requests of one command.
	maxCommandRequests = 10_000
	dialTimeout        = 2 * time.Second
)

// Client sends requests to entry hosts.
type Client struct {
	// Entry lists addresses such as 10.0.0.1:7600. The next address is tried
	// only if the request cannot have reached the previous one, or if it is
	// read-only.
	Entry []string
	// Timeout bounds each request, in addition to the time that the request
	// asks the host to wait.
	Timeout time.Duration
	scheme  string
	http    *http.Client
}

// NewClient returns a client that sends requests to the given entry hosts
// without TLS.
func NewClient(entry []string, timeout time.Duration) *Client {
	return NewSecureClient(entry, timeout, nil)
}

// NewSecureClient returns a client that uses mutual TLS, or no TLS if store is
// nil.
func NewSecureClient(entry []string, timeout time.Duration, store *keys.Store) *Client {
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext}
	scheme := "http://"
	if store != nil {
		transport.DialTLSContext = store.Dialer(dialTimeout)
		scheme = "https://"
	}
	return &Client{
		Entry: entry, Timeout: timeout, scheme: scheme,
		http: &http.Client{
			Transport: transport,
			// A redirected POST request would be repeated as a GET request.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// Run executes the steps of a command and returns its result.
func Run(ctx context.Context, c *Client, step Step) Result {
	for n := 0; step.Send != nil; n++ {
		if n == maxCommandRequests {
			return Result{Stderr: fmt.Sprintf("stopped after %d requests\n", n), Exit: ExitUnfinished}
		}
		step = step.Then(c.send(ctx, step.Send))
	}
	return step.Result
}

// send tries the entry hosts in order until one responds, or until the request
// may have reached one and is not read-only.
func (c *Client) send(ctx context.Context, r *Request) *Response {
	var lastResponse *Response
	for _, entry := range c.Entry {
		lastResponse = c.sendTo(ctx, entry, r)
		if lastResponse.Failure == nil || lastResponse.Failure.Sent && !r.ReadOnly {
			return lastResponse
		}
	}
	return lastResponse
}

// sendTo sends the request to one entry host.
func (c *Client) sendTo(ctx context.Context, entry string, r *Request) *Response {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout+requestedWait(r))
	defer cancel()
	// Once there is a connection, part of the request may have been sent.
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	fail := func(err error) *Response {
		return &Response{Failure: &Failure{Sent: sent.Load() && !keys.CertificateRejected(err), Message: fmt.Sprintf("entry host %s: %v", entry, err)}}
	}
	target := c.scheme + entry + r.Path
	if len(r.Query) > 0 {
		target += "?" + r.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, target, bytes.NewReader(r.Body))
	if err != nil {
		return fail(err)
	}
	for name, values := range r.Header {
		req.Header[name] = values
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return fail(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return fail(fmt.Errorf("answer is incomplete: %w", err))
	}
	if len(body) > maxResponseBytes {
		return fail(fmt.Errorf("answer has more than %d bytes", maxResponseBytes))
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}
}
