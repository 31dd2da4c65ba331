// Package upstream is the HTTP client for workers. Every error tells whether the
// worker may have run the request.
package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/exchange"
	"banyanrun.example/banyanrun/wire"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxResponseBytes limits the response to an interactive call.
	MaxResponseBytes = 4 << 20
	// maxSyncResponseBytes limits the response to a sync, which may hold the
	// results of all tasks in a worker's ledger.
	maxSyncResponseBytes = 64 << 20
	// maxIdleConnsPerWorker is the number of idle connections kept per worker.
	// It equals the connection limit of a worker.
	maxIdleConnsPerWorker = 64
)

// Error is the error of a request to a worker.
type Error struct {
	Worker  string
	Verdict core.Verdict
	// Reason is the reason that the worker gave if it refused the request,
	// and otherwise ReasonUpstream.
	Reason core.Reason
	// HighestEpoch is the highest epoch that the worker has seen, if it
	// refused the request.
	HighestEpoch core.Epoch
	Err          error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("worker at %s: %s (%s): %v", e.Worker, e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// Config configures a client.
type Config struct {
	// DialTimeout limits the time to connect.
	DialTimeout time.Duration
	// CallTimeout limits a start or a signal. The limit of a sync is its wait
	// plus CallTimeout.
	CallTimeout time.Duration
}

// Client sends requests to workers, which it identifies by address.
type Client struct {
	cfg  Config
	http *exchange.Client
}

// New returns a client for workers.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: exchange.NewClient(cfg.DialTimeout, maxIdleConnsPerWorker)}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.Close() }

// Sync renews the leases of the owner's tasks and waits until the worker has
// changes to report.
func (c *Client) Sync(ctx context.Context, address string, r wire.SyncRequest) (*wire.SyncResponse, *Error) {
	var resp wire.SyncResponse
	wait := time.Duration(r.WaitMS) * time.Millisecond
	if err := c.post(ctx, address, wire.PathSync, r, &resp, wait); err != nil {
		return nil, err
	}
	if resp.Epoch != r.Epoch {
		return nil, uncertainError(address, "response is for epoch %d, not %d", resp.Epoch, r.Epoch)
	}
	return &resp, nil
}

// Start starts one attempt of a task.
func (c *Client) Start(ctx context.Context, address string, r wire.StartRequest) (*wire.TaskReport, *Error) {
	return c.postTask(ctx, address, wire.PathStart, r.TaskRef, r)
}

// Signal sends a signal to one task.
func (c *Client) Signal(ctx context.Context, address string, r wire.SignalRequest) (*wire.TaskReport, *Error) {
	return c.postTask(ctx, address, wire.PathSignal, r.TaskRef, r)
}

// postTask sends a request to which the worker responds with a report on the
// same task.
func (c *Client) postTask(ctx context.Context, address, path string, ref wire.TaskRef, r any) (*wire.TaskReport, *Error) {
	var report wire.TaskReport
	if err := c.post(ctx, address, path, r, &report, 0); err != nil {
		return nil, err
	}
	if report.TaskRef != ref {
		return nil, uncertainError(address, "response is for task %+v, not %+v", report.TaskRef, ref)
	}
	return &report, nil
}

// post sends one JSON request and decodes the response into out. Its limit is
// CallTimeout plus extraTimeout.
func (c *Client) post(ctx context.Context, address, path string, in, out any, extraTimeout time.Duration) *Error {
	body, err := json.Marshal(in)
	if err != nil {
		return &Error{Worker: address, Verdict: core.NotRun, Reason: core.ReasonInternal, Err: err}
	}
	resp, failure := c.http.Do(ctx, exchange.Request{
		Method: http.MethodPost, URL: "http://" + address + path, Body: body,
		Header:  http.Header{"Content-Type": {"application/json"}},
		Timeout: c.cfg.CallTimeout + extraTimeout, MaxBodyBytes: maxSyncResponseBytes,
	})
	if failure != nil {
		return exchangeError(address, failure)
	}
	if resp.Status == http.StatusConflict {
		return refusalError(address, resp.Body)
	}
	if resp.Status != http.StatusOK {
		return uncertainError(address, "unexpected status %d", resp.Status)
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return uncertainError(address, "decode response: %w", err)
	}
	return nil
}

// Call is one attempt of an interactive request.
type Call struct {
	Epoch     core.Epoch
	RequestID string
	Attempt   int
	Team      core.TeamName
	Kind      core.KindName
	Body      []byte
	// ProgressTimeout is how long no byte may be transferred before the call
	// is abandoned.
	ProgressTimeout time.Duration
	// Reserve, if set, is called with the length of the response before memory is
	// allocated for it. If it returns an error the response is not read.
	Reserve func(bytes int64) error
}

// Answer is the complete response to a call. Whatever its status, the worker has
// run the call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call performs one attempt. A response counts only if it is complete and repeats
// the request id and the attempt; any other response leaves unknown whether the
// worker has run the call.
func (c *Client) Call(ctx context.Context, address string, call Call) (*Answer, *Error) {
	resp, failure := c.http.Do(ctx, exchange.Request{
		Method: http.MethodPost, URL: "http://" + address + wire.PathCall,
		Header: callHeader(call), Body: call.Body,
		ProgressTimeout: call.ProgressTimeout, MaxBodyBytes: MaxResponseBytes, Reserve: call.Reserve,
	})
	if failure != nil {
		return nil, exchangeError(address, failure)
	}
	id, attempt := resp.Header.Get(wire.HeaderRequestID), resp.Header.Get(wire.HeaderAttempt)
	if id != call.RequestID || attempt != strconv.Itoa(call.Attempt) {
		return nil, uncertainError(address, "response is for request %q attempt %q, not %q attempt %d",
			id, attempt, call.RequestID, call.Attempt)
	}
	if resp.Status == http.StatusConflict {
		return nil, refusalError(address, resp.Body)
	}
	if got, want := resp.Header.Get(wire.HeaderDigest), Digest(resp.Body); got != want {
		return nil, uncertainError(address, "response body has digest %s, but the header says %q", want, got)
	}
	return &Answer{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body}, nil
}

// Digest returns the value of wire.HeaderDigest for a response body.
func Digest(body []byte) string { return strconv.FormatUint(xxhash.Sum64(body), 16) }

func callHeader(call Call) http.Header {
	h := http.Header{}
	h.Set(wire.HeaderEpoch, strconv.FormatUint(uint64(call.Epoch), 10))
	h.Set(wire.HeaderRequestID, call.RequestID)
	h.Set(wire.HeaderAttempt, strconv.Itoa(call.Attempt))
	h.Set(wire.HeaderTeam, string(call.Team))
	h.Set(wire.HeaderKind, string(call.Kind))
	return h
}

// exchangeError returns the error for an exchange without a complete response.
func exchangeError(address string, failure *exchange.Failure) *Error {
	verdict := core.NotRun
	if failure.Written {
		verdict = core.MayHaveRun
	}
	return &Error{Worker: address, Verdict: verdict, Reason: core.ReasonUpstream, Err: failure}
}

// refusalError decodes a worker's refusal. If the body is not a valid refusal,
// the worker may have run the request.
func refusalError(address string, body []byte) *Error {
	var refusal wire.WorkerRefusal
	if err := json.Unmarshal(body, &refusal); err != nil {
		return uncertainError(address, "decode refusal: %w", err)
	}
	if refusal.Reason == "" {
		return uncertainError(address, "status 409 without a reason")
	}
	return &Error{
		Worker: address, Verdict: core.NotRun, Reason: refusal.Reason,
		HighestEpoch: refusal.HighestEpoch, Err: fmt.Errorf("refused: %s", refusal.Message),
	}
}

// uncertainError returns the error for a response that leaves open whether the
// worker has run the request.
func uncertainError(address, format string, args ...any) *Error {
	return &Error{
		Worker: address, Verdict: core.MayHaveRun, Reason: core.ReasonUpstream,
		Err: fmt.Errorf(format, args...),
	}
}
