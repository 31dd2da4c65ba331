package ctl

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

const (
	// maxBatchJobs is the maximum number of jobs in one batch request; a larger
	// file is sent in several. It keeps a request with small payloads below 256
	// KB.
	maxBatchJobs = 256
	// maxRequestWait bounds one wait request, so that a connection on which
	// nothing arrives is given up.
	maxRequestWait = 20 * time.Second
)

// jobPath returns the URL path of a job, followed by the given elements.
func jobPath(id core.JobID, elements ...string) string {
	return strings.Join(append([]string{wire.PathJobs, url.PathEscape(string(id))}, elements...), "/")
}

// postJSON returns a POST request with a JSON body.
func postJSON(path string, body any) *Request {
	return &Request{
		Method: http.MethodPost, Path: path, Body: []byte(indentedJSON(body)),
		Header: http.Header{"Content-Type": {"application/json"}},
	}
}

// jobReport collects the outcomes of several jobs.
type jobReport struct {
	json  bool
	rows  [][]string
	items []wire.BatchResult
	exit  ExitCode
	notes strings.Builder
}

func newJobReport(asJSON bool) *jobReport {
	return &jobReport{json: asJSON, rows: [][]string{{"JOB", "TEAM", "KIND", "STATE", "VERDICT", "AGE", "NOTE"}}}
}

// addStatus adds a job's status. The exit code counts towards that of the
// report.
func (r *jobReport) addStatus(s *wire.JobStatus, exit ExitCode) {
	note := string(s.Result)
	if s.Error != nil {
		note = refusalText(s.Error)
	}
	r.rows = append(r.rows, []string{string(s.ID), string(s.Team), string(s.Kind), s.State.String(),
		s.Verdict.String(), formatMillis(s.AgeMS), orDash(oneLine(note))})
	r.items = append(r.items, wire.BatchResult{Status: s})
	r.exit = worseExit(r.exit, exit)
}

// addProblem adds a job whose request did not succeed.
func (r *jobReport) addProblem(id core.JobID, p *problem) {
	r.exit = worseExit(r.exit, p.exit)
	fmt.Fprintf(&r.notes, "job %s: %s\n", id, p.message)
	if p.refusal != nil {
		r.items = append(r.items, wire.BatchResult{Error: p.refusal})
	}
}

// result returns the report as a table or as JSON.
func (r *jobReport) result() Result {
	out := Result{Stderr: r.notes.String(), Exit: r.exit}
	switch {
	case r.json:
		out.Stdout = indentedJSON(wire.BatchResponse{Jobs: append([]wire.BatchResult{}, r.items...)})
	case len(r.rows) > 1:
		out.Stdout = table(r.rows...)
	}
	return out
}

// oneLine shortens a text to fit into a table cell.
func oneLine(s string) string {
	const maxCellRunes = 120
	s = strings.Join(strings.Fields(strings.ToValidUTF8(s, "?")), " ")
	if runes := []rune(s); len(runes) > maxCellRunes {
		return string(runes[:maxCellRunes-3]) + "..."
	}
	return s
}

// exitForSubmit returns the exit code for a submitted job. A job that has not
// ended yet counts as a success.
func exitForSubmit(s *wire.JobStatus) ExitCode {
	if !s.Finished {
		return ExitOK
	}
	return exitForJob(s)
}

// Submit sends each job in its own request.
func Submit(jobs []wire.JobRequest, asJSON bool) Step {
	return submitFrom(jobs, 0, newJobReport(asJSON))
}

func submitFrom(jobs []wire.JobRequest, i int, r *jobReport) Step {
	if i == len(jobs) {
		return finalStep(r.result())
	}
	req := postJSON(wire.PathJobs, &jobs[i])
	return Step{Send: req, Then: func(resp *Response) Step {
		var s wire.JobStatus
		if p := decodeResponse(req, resp, &s); p != nil {
			r.addProblem(jobs[i].ID, p)
		} else {
			r.addStatus(&s, exitForSubmit(&s))
		}
		if resp.Failure != nil { // the remaining jobs would fail for the same reason
			if rest := len(jobs) - i - 1; rest > 0 {
				fmt.Fprintf(&r.notes, "%d further jobs were not sent\n", rest)
			}
			return finalStep(r.result())
		}
		return submitFrom(jobs, i+1, r)
	}}
}

// SubmitBatch sends the jobs in as few requests as possible.
func SubmitBatch(jobs []wire.JobRequest, asJSON bool) Step {
	return submitBatches(jobs, newJobReport(asJSON))
}

func submitBatches(jobs []wire.JobRequest, r *jobReport) Step {
	if len(jobs) == 0 {
		return finalStep(r.result())
	}
	batch, rest := jobs[:min(len(jobs), maxBatchJobs)], jobs[min(len(jobs), maxBatchJobs):]
	req := postJSON(wire.PathJobsBatch, &wire.BatchRequest{Jobs: batch})
	return Step{Send: req, Then: func(resp *Response) Step {
		var answer wire.BatchResponse
		p := decodeResponse(req, resp, &answer)
		if p == nil && len(answer.Jobs) != len(batch) {
			p = inDoubtProblem(req, fmt.Sprintf("answer has %d results for %d jobs", len(answer.Jobs), len(batch)))
		}
		if p != nil {
			for _, j := range batch {
				r.addProblem(j.ID, p)
			}
			if len(rest) > 0 {
				fmt.Fprintf(&r.notes, "%d further jobs were not sent\n", len(rest))
			}
			return finalStep(r.result())
		}
		for i, item := range answer.Jobs {
			r.addBatchResult(req, batch[i].ID, item)
		}
		return submitBatches(rest, r)
	}}
}

// addBatchResult adds the result for one job of a batch.
func (r *jobReport) addBatchResult(req *Request, id core.JobID, item wire.BatchResult) {
	switch {
	case item.Status != nil:
		r.addStatus(item.Status, exitForSubmit(item.Status))
	case item.Error != nil:
		r.addProblem(id, refusalProblem(item.Error))
	default:
		r.addProblem(id, inDoubtProblem(req, "answer has neither a status nor an error"))
	}
}

// Status prints the status of jobs. Unlike that of Wait, its exit code does not
// depend on how the jobs ended.
func Status(ids []core.JobID, asJSON bool) Step {
	return forEachJob(ids, newJobReport(asJSON), func(id core.JobID) *Request {
		return getRequest(jobPath(id), nil)
	}, func(*wire.JobStatus) ExitCode { return ExitOK })
}

// Cancel cancels jobs and prints their status.
func Cancel(ids []core.JobID, asJSON bool) Step {
	return forEachJob(ids, newJobReport(asJSON), func(id core.JobID) *Request {
		return &Request{Method: http.MethodDelete, Path: jobPath(id)}
	}, func(s *wire.JobStatus) ExitCode {
		if s.State == core.JobCancelled {
			return ExitOK
		}
		return exitForJob(s)
	})
}

// forEachJob sends one request per job and adds the responses to r.
func forEachJob(ids []core.JobID, r *jobReport, request func(core.JobID) *Request, exit func(*wire.JobStatus) ExitCode) Step {
	if len(ids) == 0 {
		return finalStep(r.result())
	}
	req := request(ids[0])
	return Step{Send: req, Then: func(resp *Response) Step {
		var s wire.JobStatus
		if p := decodeResponse(req, resp, &s); p != nil {
			r.addProblem(ids[0], p)
		} else {
			r.addStatus(&s, exit(&s))
		}
		return forEachJob(ids[1:], r, request, exit)
	}}
}

// Wait waits until each job has ended, in the given order and for at most limit
// per job. Its exit code tells how the jobs ended.
func Wait(ids []core.JobID, limit time.Duration, asJSON bool) Step {
	return waitFor(ids, limit, limit, newJobReport(asJSON))
}

// waitFor waits for the first job for the remaining time, then for each of the
// others for at most limit.
func waitFor(ids []core.JobID, remaining, limit time.Duration, r *jobReport) Step {
	if len(ids) == 0 {
		return finalStep(r.result())
	}
	wait := min(remaining, maxRequestWait)
	query := url.Values{wire.ParamTimeoutMS: {strconv.FormatInt(wait.Milliseconds(), 10)}}
	req := getRequest(jobPath(ids[0], wire.SegmentWait), query)
	return Step{Send: req, Then: func(resp *Response) Step {
		var s wire.JobStatus
		p := decodeResponse(req, resp, &s)
		switch {
		case p != nil:
			r.addProblem(ids[0], p)
		case !s.Finished && remaining > wait:
			return waitFor(ids, remaining-wait, limit, r)
		default:
			r.addStatus(&s, exitForJob(&s))
		}
		return waitFor(ids[1:], limit, limit, r)
	}}
}

// requestedWait returns how long a request asks the host to wait.
func requestedWait(r *Request) time.Duration {
	ms, err := strconv.ParseInt(r.Query.Get(wire.ParamTimeoutMS), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// ParseJobs decodes a file of jobs.
func ParseJobs(text []byte) ([]wire.JobRequest, error) {
	var file wire.BatchRequest
	if err := decodeStrictJSON(text, &file); err != nil {
		return nil, fmt.Errorf(`not a file of jobs such as {"jobs": [{"id", "team", "kind", "payload"}]}: %w`, err)
	}
	if len(file.Jobs) == 0 {
		return nil, fmt.Errorf("file has no jobs; at least one is needed")
	}
	for i, j := range file.Jobs {
		if j.ID == "" || j.Team == "" || j.Kind == "" {
			return nil, fmt.Errorf("jobs[%d]: id, team and kind are required", i)
		}
	}
	return file.Jobs, nil
}

// decodeStrictJSON decodes a single JSON value and rejects unknown fields.
func decodeStrictJSON(text []byte, out any) error {
	dec := json.NewDecoder(strings.NewReader(string(text)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return err
	}
	if dec.More() {
		return fmt.Errorf("unexpected data after the value at byte %d", dec.InputOffset())
	}
	return nil
}
