package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc/pool"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"
)

const (
	// requestTimeout bounds one request of a caller.
	requestTimeout = 75 * time.Second
	// viewTimeout bounds a read of a view, so that a paused host does not block
	// the wait for a condition.
	viewTimeout = 3 * time.Second
	// retryInterval is the pause before a caller repeats a request.
	retryInterval = 100 * time.Millisecond
	// waitTimeoutMS is the timeout, in milliseconds, of one wait request for a
	// job's outcome.
	waitTimeoutMS = 5000
)

// callerClient opens a connection for each request, so that a refused connection
// can be distinguished from one that broke.
var callerClient = &http.Client{
	Timeout:   requestTimeout,
	Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext},
}

// viewClient reads views, which a healthy host answers immediately.
var viewClient = &http.Client{Timeout: viewTimeout, Transport: callerClient.Transport}

// response is a complete response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send performs one request with the callers' client.
func send(method, url string, header http.Header, body []byte) (*response, error) {
	return sendWith(callerClient, method, url, header, body)
}

// sendWith performs one request with the given client.
func sendWith(client *http.Client, method, url string, header http.Header, body []byte) (*response, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("read response body: %w", err)
	}
	return &response{resp.StatusCode, resp.Header, data}, nil
}

// getView reads a view and returns its status and body.
func getView(url string) (int, []byte, error) {
	r, err := sendWith(viewClient, http.MethodGet, url, nil, nil)
	if err != nil {
		return 0, nil, err
	}
	return r.status, r.body, nil
}

// getJSON reads a view and decodes a successful response into out.
func getJSON(url string, out any) error {
	status, body, err := getView(url)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d: %s", status, body)
	}
	return decodeJSON(body, out)
}

func decodeJSON(body []byte, out any) error { return json.Unmarshal(body, out) }

// ConnectionRefused reports whether the connection was refused, so that the
// request was certainly not received.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// sendToAny sends a request to the first host that does not refuse the connection.
func (c *Cluster) sendToAny(hosts []*Host, method, path string, header http.Header, body []byte) (*response, error) {
	err := errors.New("no host to send to")
	for _, h := range hosts {
		var r *response
		if r, err = send(method, "http://"+h.Address+path, header, body); !ConnectionRefused(err) {
			return r, err
		}
	}
	return nil, err
}

// JobPayload returns the program that a worker runs for a job or call. Its result
// contains the id, which shows whether a response belongs to its request.
func JobPayload(id string, run time.Duration) []byte {
	data, err := json.Marshal(worker.Program{RunMS: run.Milliseconds(), Result: "result of " + id})
	if err != nil {
		panic(err) // A struct of plain fields can be encoded.
	}
	return data
}

// Submit submits a job once and records the response. An error means that the job
// was refused or that it is not known whether it was accepted.
func (c *Cluster) Submit(hosts []*Host, id, kind string, run time.Duration) error {
	body, err := json.Marshal(wire.JobRequest{
		ID: core.JobID(id), Team: Team, Kind: core.KindName(kind), Payload: JobPayload(id, run),
	})
	if err != nil {
		return err
	}
	c.History.RecordJob(id, kind, body)
	return c.submitBody(hosts, id, body)
}

// submitBody submits a recorded job. It may be called again with the same body;
// the job must not run twice.
func (c *Cluster) submitBody(hosts []*Host, id string, body []byte) error {
	r, err := c.sendToAny(hosts, http.MethodPost, wire.PathJobs, nil, body)
	if err != nil {
		return fmt.Errorf("submit %s: %w", id, err)
	}
	if r.status == http.StatusAccepted {
		var s wire.JobStatus
		if err := json.Unmarshal(r.body, &s); err != nil {
			return fmt.Errorf("submit %s: %w", id, err)
		}
		c.History.RecordStatus(id, s)
		return nil
	}
	var e wire.Error
	if err := json.Unmarshal(r.body, &e); err != nil {
		return fmt.Errorf("submit %s: status %d: %w", id, r.status, err)
	}
	c.History.RecordRefusal(id, e)
	return fmt.Errorf("submit %s: %s (%s): %s", id, e.Reason, e.Verdict, e.Message)
}

// SubmitUntilAccepted submits a job repeatedly with the same id until it is
// accepted. It fails the test after WaitTimeout.
func (c *Cluster) SubmitUntilAccepted(hosts []*Host, id, kind string, run time.Duration) {
	c.T.Helper()
	var last error
	for start := time.Now(); time.Since(start) < WaitTimeout; time.Sleep(retryInterval) {
		if last = c.Submit(hosts, id, kind, run); last == nil {
			return
		}
	}
	c.T.Errorf("job %s was not accepted within %s: %v", id, WaitTimeout, last)
}

// maxConcurrentWaits is the number of jobs whose outcomes are awaited at a time.
// One at a time, 1,700 jobs in two data centres took longer than WaitTimeout.
const maxConcurrentWaits = 32

// WaitForJobs waits for the outcome of every job, polling the hosts in turn.
func (c *Cluster) WaitForJobs() {
	c.T.Helper()
	deadline := time.Now().Add(WaitTimeout)
	waiters := pool.New().WithMaxGoroutines(maxConcurrentWaits)
	for _, job := range c.History.UnresolvedJobs() {
		waiters.Go(func() { c.waitForJob(job, deadline) })
	}
	waiters.Wait()
}

// waitForJob waits for the outcome of one job.
func (c *Cluster) waitForJob(job Job, deadline time.Time) {
	for attempt := 0; !c.pollJob(job, attempt); attempt++ {
		if time.Now().After(deadline) {
			c.T.Errorf("lost: job %s (%s) has no outcome; latest responses: %s", job.ID, job.Kind, c.History.DescribeJob(job.ID))
			return
		}
		time.Sleep(retryInterval)
	}
}

// pollJob asks one host for the outcome of a job and reports whether the job has
// finished. A job that is not known to be accepted is submitted again first.
func (c *Cluster) pollJob(job Job, attempt int) bool {
	h := c.Hosts[attempt%len(c.Hosts)]
	if !job.Accepted {
		// On an error waitForJob tries again.
		_ = c.submitBody([]*Host{h}, job.ID, job.body)
		if job = c.History.Job(job.ID); !job.Accepted {
			return false
		}
	}
	path := fmt.Sprintf("%s/%s/%s?%s=%d", wire.PathJobs, job.ID, wire.SegmentWait, wire.ParamTimeoutMS, waitTimeoutMS)
	r, err := send(http.MethodGet, "http://"+h.Address+path, nil, nil)
	if err != nil {
		return false
	}
	if r.status != http.StatusOK {
		c.History.RecordOtherResponse(job.ID, string(r.body))
		return false
	}
	var s wire.JobStatus
	if err := json.Unmarshal(r.body, &s); err != nil {
		return false
	}
	c.History.RecordStatus(job.ID, s)
	return s.Finished
}

// Call makes one interactive call, records its outcome and returns it.
func (c *Cluster) Call(hosts []*Host, id, kind string, run time.Duration, pad int) CallOutcome {
	header := http.Header{}
	header.Set(wire.HeaderRequestID, id)
	body, err := json.Marshal(worker.Program{RunMS: run.Milliseconds(), Result: "result of " + id, PadBytes: pad})
	if err != nil {
		panic(err) // A struct of plain fields can be encoded.
	}
	r, err := c.sendToAny(hosts, http.MethodPost, wire.PathCalls+"/"+Team+"/"+kind, header, body)
	o := newCallOutcome(id, r, err)
	o.Kind = kind
	c.History.RecordCall(o)
	return o
}

// newCallOutcome checks that a response is complete and belongs to its request.
func newCallOutcome(id string, r *response, err error) CallOutcome {
	o := CallOutcome{ID: id, Verdict: core.MayHaveRun}
	if err != nil {
		o.Err = err
		return o
	}
	if r.status != http.StatusOK {
		var e wire.Error
		if err := json.Unmarshal(r.body, &e); err != nil {
			o.InvalidResponse = fmt.Sprintf("status %d with body %q", r.status, r.body)
			return o
		}
		o.Verdict, o.Reason = e.Verdict, e.Reason
		o.Err = fmt.Errorf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
		return o
	}
	var body standin.CallBody
	digest := strconv.FormatUint(xxhash.Sum64(r.body), 16)
	switch err := json.Unmarshal(r.body, &body); {
	case err != nil:
		o.InvalidResponse = fmt.Sprintf("response cannot be decoded: %v", err)
	case digest != r.header.Get(wire.HeaderDigest):
		o.InvalidResponse = "digest of the response does not match its digest header"
	case body.RequestID != id || body.Result != "result of "+id:
		o.InvalidResponse = fmt.Sprintf("response belongs to request %q with result %q", body.RequestID, body.Result)
	}
	o.Answered, o.Verdict, o.Attempt = true, core.Ran, body.Attempt
	return o
}
