// Package upstream is the client of the workers. Every failure says whether the
// request may have run.
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
	// MaxAnswerBytes is the largest answer of an interactive call.
	MaxResponseBytes = 4 << 20
	// maxLedgerBytes bounds the answer to a sync, which may hold the results
	// of all tasks in a worker's ledger.
	maxSyncResponseBytes = 64 << 20
	// idlePerWorker is the number of unused connections kept to a worker; it
	// equals the connection limit of a worker.
	maxIdleConnsPerWorker = 64
)

// Error is the failure of a request to a worker.
type Error struct {
	Worker  string
	Verdict core.Verdict
	// Reason is the worker's reason if it refused the request, and
	// ReasonUpstream otherwise.
	Reason core.Reason
	// HighestEpoch is the worker's epoch if it refused the request.
	HighestEpoch core.Epoch
	Err          error
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("worker at %s: %s (%s): %v", e.Worker, e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Config describes a client.
type Config struct {
	// DialTimeout bounds the time to connect.
	DialTimeout time.Duration
	// CallTimeout bounds a start or a signal; a sync may take its wait in
	// addition.
	CallTimeout time.Duration
}

// Client talks to workers by their address.
type Client struct {
	cfg  Config
	http *exchange.Client
}

// New returns a client.
func New(cfg Config) *Client {
	return &Client{cfg: cfg, http: exchange.NewClient(cfg.DialTimeout, maxIdleConnsPerWorker)}
}

// Close drops unused connections.
func (c *Client) Close() { c.http.Close() }

// Sync renews the leases of the owner's tasks and waits for news.
func (c *Client) Sync(ctx context.Context, address string, r wire.SyncRequest) (*wire.SyncResponse, *Error) {
	var resp wire.SyncResponse
	wait := time.Duration(r.WaitMS) * time.Millisecond
	if err := c.post(ctx, address, wire.PathSync, r, &resp, wait); err != nil {
		return nil, err
	}
	if resp.Epoch != r.Epoch {
		return nil, uncertainError(address, "answer is for epoch %d, not %d", resp.Epoch, r.Epoch)
	}
	return &resp, nil
}

// Start starts one attempt of a task.
func (c *Client) Start(ctx context.Context, address string, r wire.StartRequest) (*wire.TaskReport, *Error) {
	return c.postTask(ctx, address, wire.PathStart, r.TaskRef, r)
}

// Signal acts on one task.
func (c *Client) Signal(ctx context.Context, address string, r wire.SignalRequest) (*wire.TaskReport, *Error) {
	return c.postTask(ctx, address, wire.PathSignal, r.TaskRef, r)
}

// taskPost performs a request that is answered by a report of the same task.
func (c *Client) postTask(ctx context.Context, address, path string, ref wire.TaskRef, r any) (*wire.TaskReport, *Error) {
	var report wire.TaskReport
	if err := c.post(ctx, address, path, r, &report, 0); err != nil {
		return nil, err
	}
	if report.TaskRef != ref {
		return nil, uncertainError(address, "answer is for task %+v, not %+v", report.TaskRef, ref)
	}
	return &report, nil
}

// post performs one JSON request.
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
		return uncertainError(address, "decode answer: %w", err)
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
	// Progress is the time without progress after which the call is given up.
	ProgressTimeout time.Duration
}

// Answer is a whole answer to a call. The worker has run the call, whatever the
// status.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Call performs one attempt. An answer that does not carry back the request id
// and the attempt, or is not whole, is no answer.
func (c *Client) Call(ctx context.Context, address string, call Call) (*Answer, *Error) {
	resp, failure := c.http.Do(ctx, exchange.Request{
		Method: http.MethodPost, URL: "http://" + address + wire.PathCall,
		Header: callHeader(call), Body: call.Body,
		ProgressTimeout: call.ProgressTimeout, MaxBodyBytes: MaxResponseBytes,
	})
	if failure != nil {
		return nil, exchangeError(address, failure)
	}
	id, attempt := resp.Header.Get(wire.HeaderRequestID), resp.Header.Get(wire.HeaderAttempt)
	if id != call.RequestID || attempt != strconv.Itoa(call.Attempt) {
		return nil, uncertainError(address, "answer is for request %q attempt %q, not %q attempt %d",
			id, attempt, call.RequestID, call.Attempt)
	}
	if resp.Status == http.StatusConflict {
		return nil, refusalError(address, resp.Body)
	}
	if got, want := resp.Header.Get(wire.HeaderDigest), Digest(resp.Body); got != want {
		return nil, uncertainError(address, "answer has digest %s but declares %q", want, got)
	}
	return &Answer{Status: resp.Status, ContentType: resp.Header.Get("Content-Type"), Body: resp.Body}, nil
}

// Digest returns the value of wire.HeaderDigest for a body.
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

// failed derives the verdict of an exchange without a whole answer.
func exchangeError(address string, failure *exchange.Failure) *Error {
	verdict := core.NotRun
	if failure.Written {
		verdict = core.MayHaveRun
	}
	return &Error{Worker: address, Verdict: verdict, Reason: core.ReasonUpstream, Err: failure}
}

// refused decodes a worker's refusal. A body that is none proves nothing.
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

// doubt builds the error of an answer that cannot be trusted.
func uncertainError(address, format string, args ...any) *Error {
	return &Error{
		Worker: address, Verdict: core.MayHaveRun, Reason: core.ReasonUpstream,
		Err: fmt.Errorf(format, args...),
	}
}
