package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/ctl"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/wire"
)

const (
	// requestTimeout bounds one request, in addition to the wait that it asks
	// for.
	requestTimeout = 10 * time.Second
	// waitTimeout is how long one request waits for the end of a job.
	waitTimeout = 30 * time.Second
)

// client sends requests to one address.
type client struct{ http *ctl.Client }

func newClient(address string) client {
	return client{ctl.NewClient([]string{address}, requestTimeout)}
}

// do sends one request and returns its response.
func (c client) do(ctx context.Context, r *ctl.Request) *ctl.Response {
	var got *ctl.Response
	ctl.Run(ctx, c.http, ctl.Step{Send: r, Then: func(resp *ctl.Response) ctl.Step {
		got = resp
		return ctl.Step{}
	}})
	return got
}

// getJSON decodes the JSON response to a GET request into out.
func (c client) getJSON(ctx context.Context, path string, query url.Values, out any) error {
	return decode(c.do(ctx, &ctl.Request{Method: http.MethodGet, Path: path, Query: query, ReadOnly: true}), out)
}

// decode decodes a successful response into out. Otherwise it returns an error,
// which is a *core.Refusal if the host refused the request.
func decode(resp *ctl.Response, out any) error {
	if resp.Failure != nil {
		return resp.Failure
	}
	if resp.Status/100 == 2 {
		return json.Unmarshal(resp.Body, out)
	}
	var e wire.Error
	if err := json.Unmarshal(resp.Body, &e); err != nil || e.Reason == "" {
		return fmt.Errorf("status %d: %s", resp.Status, resp.Body)
	}
	return e.Refusal()
}

// apply replaces the document in force, if there is one.
func (c client) apply(ctx context.Context, d Document) error {
	path := wire.PathDocuments + "/" + string(d.Team)
	var current wire.DocumentVersion
	resp := c.do(ctx, &ctl.Request{Method: http.MethodGet, Path: path, ReadOnly: true})
	if resp.Failure != nil || resp.Status != http.StatusNotFound {
		if err := decode(resp, &current); err != nil {
			return err
		}
	}
	var applied wire.DocumentVersion
	return decode(c.do(ctx, &ctl.Request{
		Method: http.MethodPut, Path: path, Body: d.Text, Header: http.Header{
			wire.HeaderIfMatch: {strconv.FormatInt(int64(current.Revision), 10)}, wire.HeaderAuthor: {"demo"},
		},
	}), &applied)
}

// submit submits jobs as one batch.
func (c client) submit(ctx context.Context, jobs []wire.JobRequest) ([]wire.BatchResult, error) {
	body, err := json.Marshal(wire.BatchRequest{Jobs: jobs})
	if err != nil {
		return nil, err
	}
	var out wire.BatchResponse
	if err := decode(c.do(ctx, &ctl.Request{Method: http.MethodPost, Path: wire.PathJobsBatch, Body: body}), &out); err != nil {
		return nil, err
	}
	if len(out.Jobs) != len(jobs) {
		return nil, fmt.Errorf("batch of %d jobs has %d answers", len(jobs), len(out.Jobs))
	}
	return out.Jobs, nil
}

// wait waits for the end of a job and returns its status, which may not be
// final yet.
func (c client) wait(ctx context.Context, id core.JobID) (*wire.JobStatus, error) {
	var s wire.JobStatus
	query := url.Values{wire.ParamTimeoutMS: {strconv.FormatInt(waitTimeout.Milliseconds(), 10)}}
	err := c.getJSON(ctx, wire.PathJobs+"/"+string(id)+"/"+wire.SegmentWait, query, &s)
	return &s, err
}

// status returns the status of a job.
func (c client) status(ctx context.Context, id core.JobID) (*wire.JobStatus, error) {
	var s wire.JobStatus
	err := c.getJSON(ctx, wire.PathJobs+"/"+string(id), nil, &s)
	return &s, err
}

// cancel cancels a job and returns its final status.
func (c client) cancel(ctx context.Context, id core.JobID) (*wire.JobStatus, error) {
	var s wire.JobStatus
	err := decode(c.do(ctx, &ctl.Request{Method: http.MethodDelete, Path: wire.PathJobs + "/" + string(id)}), &s)
	return &s, err
}

// ledger returns the workers' ledger.
func (c client) ledger(ctx context.Context) (standin.Ledger, error) {
	var l standin.Ledger
	err := c.getJSON(ctx, standin.PathAdminLedger, nil, &l)
	return l, err
}
