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
	// requestTimeout bounds one request, beyond the wait it asks for.
	requestTimeout = 10 * time.Second
	// waitTimeout bounds the wait for the end of one job.
	waitTimeout = 30 * time.Second
)

// client sends requests to one address.
type client struct{ http *ctl.Client }

func newClient(address string) client {
	return client{ctl.NewClient([]string{address}, requestTimeout)}
}

// do sends one request.
func (c client) do(ctx context.Context, r *ctl.Request) *ctl.Response {
	var got *ctl.Response
	ctl.Run(ctx, c.http, ctl.Step{Send: r, Then: func(resp *ctl.Response) ctl.Step {
		got = resp
		return ctl.Step{}
	}})
	return got
}

// get reads a JSON answer.
func (c client) getJSON(ctx context.Context, path string, query url.Values, out any) error {
	return decode(c.do(ctx, &ctl.Request{Method: http.MethodGet, Path: path, Query: query, ReadOnly: true}), out)
}

// decode decodes a success, or returns a wire.Error of the host as refusal.
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

// apply puts a document in force in place of the present one.
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

// wait waits for the end of a job.
func (c client) wait(ctx context.Context, id core.JobID) (*wire.JobStatus, error) {
	var s wire.JobStatus
	query := url.Values{wire.ParamTimeoutMS: {strconv.FormatInt(waitTimeout.Milliseconds(), 10)}}
	err := c.getJSON(ctx, wire.PathJobs+"/"+string(id)+"/"+wire.ElementWait, query, &s)
	return &s, err
}

// status reads the state of a job.
func (c client) status(ctx context.Context, id core.JobID) (*wire.JobStatus, error) {
	var s wire.JobStatus
	err := c.getJSON(ctx, wire.PathJobs+"/"+string(id), nil, &s)
	return &s, err
}

// cancel cancels a job and returns how it ended.
func (c client) cancel(ctx context.Context, id core.JobID) (*wire.JobStatus, error) {
	var s wire.JobStatus
	err := decode(c.do(ctx, &ctl.Request{Method: http.MethodDelete, Path: wire.PathJobs + "/" + string(id)}), &s)
	return &s, err
}

// ledger reads the account of the workers.
func (c client) ledger(ctx context.Context) (standin.Ledger, error) {
	var l standin.Ledger
	err := c.getJSON(ctx, standin.PathAdminLedger, nil, &l)
	return l, err
}
