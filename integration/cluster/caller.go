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
	requestLimit = 75 * time.Second
	// probeLimit bounds a read of a view, so that a paused host does not hold
	// up the wait for a condition.
	probeLimit = 3 * time.Second
	// askAgain is the pause before a caller asks again.
	askAgain = 100 * time.Millisecond
	// waitMS is how long one wait for a job's outcome may take.
	waitMS = 5000
)

// client opens a connection for each request, so that a refused connection is
// told from one that broke.
var client = &http.Client{
	Timeout:   requestLimit,
	Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext},
}

// probe is the client of views, which a host in good health answers at once.
var probe = &http.Client{Timeout: probeLimit, Transport: client.Transport}

// response is a whole answer.
type response struct {
	status int
	header http.Header
	body   []byte
}

// send performs one request of a caller.
func send(method, url string, header http.Header, body []byte) (*response, error) {
	return sendBy(client, method, url, header, body)
}

// sendBy performs one request.
func sendBy(by *http.Client, method, url string, header http.Header, body []byte) (*response, error) {
	req, err := http.NewRequestWithContext(context.Background(), method, url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := by.Do(req)
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
func get(url string) (int, []byte, error) {
	r, err := sendBy(probe, http.MethodGet, url, nil, nil)
	if err != nil {
		return 0, nil, err
	}
	return r.status, r.body, nil
}

// getJSON decodes a successful answer.
func getJSON(url string, into any) error {
	status, body, err := get(url)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d: %s", status, body)
	}
	return decode(body, into)
}

// decode decodes an answer.
func decode(body []byte, into any) error { return json.Unmarshal(body, into) }

// Refused reports whether the connection was refused, so that the request was
// surely not received.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// try sends a request to the first host that does not refuse the connection.
func (c *Cluster) try(hosts []*Host, method, path string, header http.Header, body []byte) (*response, error) {
	err := errors.New("there is no host")
	for _, h := range hosts {
		var r *response
		if r, err = send(method, "http://"+h.Address+path, header, body); !Refused(err) {
			return r, err
		}
	}
	return nil, err
}

// Program is what a job or call does at its worker. Its result is its id, which
// shows whether an answer belongs to its request.
func Program(id string, run time.Duration) []byte {
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
		ID: core.JobID(id), Team: Team, Kind: core.KindName(kind), Payload: Program(id, run),
	})
	if err != nil {
		return err
	}
	c.Book.Opened(id, kind, body)
	return c.submitAgain(hosts, id, body)
}

// submitAgain submits the same job, which must not run it twice.
func (c *Cluster) submitAgain(hosts []*Host, id string, body []byte) error {
	r, err := c.try(hosts, http.MethodPost, wire.PathJobs, nil, body)
	if err != nil {
		return fmt.Errorf("submit %s: %w", id, err)
	}
	if r.status == http.StatusAccepted {
		var s wire.JobStatus
		if err := json.Unmarshal(r.body, &s); err != nil {
			return fmt.Errorf("submit %s: %w", id, err)
		}
		c.Book.Answered(id, s)
		return nil
	}
	var e wire.Error
	if err := json.Unmarshal(r.body, &e); err != nil {
		return fmt.Errorf("submit %s: status %d: %w", id, r.status, err)
	}
	c.Book.Refused(id, e)
	return fmt.Errorf("submit %s: %s (%s): %s", id, e.Reason, e.Verdict, e.Message)
}

// MustSubmit submits a job as a persistent caller does: it asks again with the
// same id until the job is accepted.
func (c *Cluster) MustSubmit(hosts []*Host, id, kind string, run time.Duration) {
	c.T.Helper()
	var last error
	for began := time.Now(); time.Since(began) < Patience; time.Sleep(askAgain) {
		if last = c.Submit(hosts, id, kind, run); last == nil {
			return
		}
	}
	c.T.Errorf("job %s was not accepted within %s: %v", id, Patience, last)
}

// resolvers is the number of jobs whose outcomes are asked for at a time. One at
// a time, 1,700 jobs in two data centres took longer than Patience.
const resolvers = 32

// Resolve waits for the outcome of every job, asking the hosts in turn.
func (c *Cluster) Resolve() {
	c.T.Helper()
	deadline := time.Now().Add(Patience)
	slots := pool.New().WithMaxGoroutines(resolvers)
	for _, job := range c.Book.Unresolved() {
		slots.Go(func() { c.resolve(job, deadline) })
	}
	slots.Wait()
}

// resolve waits for the outcome of one job.
func (c *Cluster) resolve(job Job, deadline time.Time) {
	for n := 0; !c.resolveOnce(job, n); n++ {
		if time.Now().After(deadline) {
			c.T.Errorf("lost: job %s (%s) has no outcome; latest answer: %s", job.ID, job.Kind, c.Book.Latest(job.ID))
			return
		}
		time.Sleep(askAgain)
	}
}

// resolveOnce asks one host for the outcome of a job. A job whose submit got no
// answer is submitted again first.
func (c *Cluster) resolveOnce(job Job, n int) bool {
	h := c.Hosts[n%len(c.Hosts)]
	if !job.Accepted {
		// Errors are retried by the caller of this function.
		_ = c.submitAgain([]*Host{h}, job.ID, job.body)
		if job = c.Book.Job(job.ID); !job.Accepted {
			return false
		}
	}
	path := fmt.Sprintf("%s/%s/%s?%s=%d", wire.PathJobs, job.ID, wire.SegmentWait, wire.ParamTimeoutMS, waitMS)
	r, err := send(http.MethodGet, "http://"+h.Address+path, nil, nil)
	if err != nil {
		return false
	}
	if r.status != http.StatusOK {
		c.Book.Note(job.ID, string(r.body))
		return false
	}
	var s wire.JobStatus
	if err := json.Unmarshal(r.body, &s); err != nil {
		return false
	}
	c.Book.Answered(job.ID, s)
	return s.Finished
}

// Call makes one interactive call, books what the caller saw and returns it.
func (c *Cluster) Call(hosts []*Host, id, kind string, run time.Duration, pad int) Outcome {
	header := http.Header{}
	header.Set(wire.HeaderRequestID, id)
	body, err := json.Marshal(worker.Program{RunMS: run.Milliseconds(), Result: "result of " + id, PadBytes: pad})
	if err != nil {
		panic(err) // A struct of plain fields can be encoded.
	}
	r, err := c.try(hosts, http.MethodPost, wire.PathCalls+"/"+Team+"/"+kind, header, body)
	o := judgeCall(id, r, err)
	o.Kind = kind
	c.Book.Called(o)
	return o
}

// judgeCall checks that an answer is whole and belongs to its request.
func judgeCall(id string, r *response, err error) Outcome {
	o := Outcome{ID: id, Verdict: core.MayHaveRun}
	if err != nil {
		o.Err = err
		return o
	}
	if r.status != http.StatusOK {
		var e wire.Error
		if err := json.Unmarshal(r.body, &e); err != nil {
			o.Mixed = fmt.Sprintf("status %d with body %q", r.status, r.body)
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
		o.Mixed = fmt.Sprintf("answer cannot be decoded: %v", err)
	case digest != r.header.Get(wire.HeaderDigest):
		o.Mixed = "answer does not have the digest that it declares"
	case body.RequestID != id || body.Result != "result of "+id:
		o.Mixed = fmt.Sprintf("answer is for request %q with result %q", body.RequestID, body.Result)
	}
	o.Answered, o.Verdict, o.Attempt = true, core.Ran, body.Attempt
	return o
}
