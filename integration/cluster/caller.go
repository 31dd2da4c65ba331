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
	// requestLimit bounds one request of a caller.
	requestTimeout = 75 * time.Second
	// probeLimit bounds a read of a view, so that a paused host does not hold
	// up the wait for a condition.
	viewTimeout = 3 * time.Second
	// askAgain is the pause before a caller asks again.
	retryInterval = 100 * time.Millisecond
	// waitMS is how long one wait for a job's outcome may take.
	waitTimeoutMS = 5000
)

// client opens a connection for each request, so that a refused connection is
// told from one that broke.
var callerClient = &http.Client{
	Timeout:   requestTimeout,
	Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext},
}

// probe is the client of views, which a host in good health answers at once.
var viewClient = &http.Client{Timeout: viewTimeout, Transport: callerClient.Transport}

// response is a whole answer.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send performs one request of a caller.
func send(method, url string, header http.Header, body []byte) (*response, error) {
	return sendWith(callerClient, method, url, header, body)
}

// sendBy performs one request.
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
		return nil, fmt.Errorf("answer is cut: %w", err)
	}
	return &response{resp.StatusCode, resp.Header, data}, nil
}

// get reads a view.
func getView(url string) (int, []byte, error) {
	r, err := sendWith(viewClient, http.MethodGet, url, nil, nil)
	if err != nil {
		return 0, nil, err
	}
	return r.status, r.body, nil
}

// getJSON decodes a successful answer.
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

// decode decodes an answer.
func decodeJSON(body []byte, out any) error { return json.Unmarshal(body, out) }

// Refused reports whether the connection was refused, so that the request was
// surely not received.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// try sends a request to the first host that does not refuse the connection.
func (c *Cluster) sendToAny(hosts []*Host, method, path string, header http.Header, body []byte) (*response, error) {
	err := errors.New("there is no host")
	for _, h := range hosts {
		var r *response
		if r, err = send(method, "http://"+h.Address+path, header, body); !ConnectionRefused(err) {
			return r, err
		}
	}
	return nil, err
}

// Program is what a job or call does at its worker. Its result is its id, which
// shows whether an answer belongs to its request.
func JobPayload(id string, run time.Duration) []byte {
	data, err := json.Marshal(worker.Program{RunMS: run.Milliseconds(), Result: "result of " + id})
	if err != nil {
		panic(err) // A struct of plain fields can be encoded.
	}
	return data
}

// Submit submits a job once and books the answer. An error means that the
// outcome is not known.
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

// submitAgain submits the same job, which must not run it twice.
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

// MustSubmit submits a job as a persistent caller does: it asks again with the
// same id until the job is accepted.
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

// resolvers is the number of jobs whose outcomes are asked for at a time. One at
// a time, 1,700 jobs in two data centres took longer than Patience.
const maxConcurrentWaits = 32

// Resolve waits for the outcome of every job, asking the hosts in turn.
func (c *Cluster) WaitForJobs() {
	c.T.Helper()
	deadline := time.Now().Add(WaitTimeout)
	waiters := pool.New().WithMaxGoroutines(maxConcurrentWaits)
	for _, job := range c.History.UnresolvedJobs() {
		waiters.Go(func() { c.waitForJob(job, deadline) })
	}
	waiters.Wait()
}

// resolve waits for the outcome of one job.
func (c *Cluster) waitForJob(job Job, deadline time.Time) {
	for attempt := 0; !c.pollJob(job, attempt); attempt++ {
		if time.Now().After(deadline) {
			c.T.Errorf("lost: job %s (%s) has no outcome; latest answer: %s", job.ID, job.Kind, c.History.DescribeJob(job.ID))
			return
		}
		time.Sleep(retryInterval)
	}
}

// resolveOnce asks one host for the outcome of a job. A job whose submit got no
// answer is submitted again first.
func (c *Cluster) pollJob(job Job, attempt int) bool {
	h := c.Hosts[attempt%len(c.Hosts)]
	if !job.Accepted {
		// Errors are retried by the caller of this function.
		_ = c.submitBody([]*Host{h}, job.ID, job.body)
		if job = c.History.Job(job.ID); !job.Accepted {
			return false
		}
	}
	path := fmt.Sprintf("%s/%s/%s?%s=%d", wire.PathJobs, job.ID, wire.ElementWait, wire.ParamTimeoutMS, waitTimeoutMS)
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

// Call makes one interactive call, books what the caller saw and returns it.
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

// judgeCall checks that an answer is whole and belongs to its request.
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
		o.InvalidResponse = fmt.Sprintf("answer cannot be decoded: %v", err)
	case digest != r.header.Get(wire.HeaderDigest):
		o.InvalidResponse = "answer does not have the digest that it declares"
	case body.RequestID != id || body.Result != "result of "+id:
		o.InvalidResponse = fmt.Sprintf("answer is for request %q with result %q", body.RequestID, body.Result)
	}
	o.Answered, o.Verdict, o.Attempt = true, core.Ran, body.Attempt
	return o
}
