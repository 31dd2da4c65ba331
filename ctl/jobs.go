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
	// maxBatch is the number of jobs in one batch request; a longer file is
	// sent as several. It keeps a request with small payloads below 256 KB.
	maxBatchJobs = 256
	// waitSlice bounds one wait request, so that a connection that has gone
	// silent is given up.
	maxRequestWait = 20 * time.Second
)

// jobPath is the path of a job, with further elements.
func jobPath(id core.JobID, elements ...string) string {
	return strings.Join(append([]string{wire.PathJobs, url.PathEscape(string(id))}, elements...), "/")
}

// postJSON returns a request with effect.
func postJSON(path string, body any) *Request {
	return &Request{
		Method: http.MethodPost, Path: path, Body: []byte(indentedJSON(body)),
		Header: http.Header{"Content-Type": {"application/json"}},
	}
}

// report gathers the outcomes of several jobs.
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

// status adds the status of a job.
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

// problem adds a job whose request was not carried out.
func (r *jobReport) addProblem(id core.JobID, p *problem) {
	r.exit = worseExit(r.exit, p.exit)
	fmt.Fprintf(&r.notes, "job %s: %s\n", id, p.message)
	if p.refusal != nil {
		r.items = append(r.items, wire.BatchResult{Error: p.refusal})
	}
}

// result prints everything that was added.
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

// oneLine shortens a text for a table cell.
func oneLine(s string) string {
	const maxCellRunes = 120
	s = strings.Join(strings.Fields(strings.ToValidUTF8(s, "?")), " ")
	if runes := []rune(s); len(runes) > maxCellRunes {
		return string(runes[:maxCellRunes-3]) + "..."
	}
	return s
}

// acceptedExit is the exit code of a submit: a job that waits is a success.
func exitForSubmit(s *wire.JobStatus) ExitCode {
	if !s.Finished {
		return ExitOK
	}
	return exitForJob(s)
}

// Submit sends each job in a request of its own.
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
		if resp.Failure != nil { // the next jobs would fail in the same way
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

// batchItem adds one result of a batch.
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

// Status prints the status of jobs. Its exit code does not depend on how a job
// ended; that of Wait does.
func Status(ids []core.JobID, asJSON bool) Step {
	return forEachJob(ids, newJobReport(asJSON), func(id core.JobID) *Request {
		return getRequest(jobPath(id), nil)
	}, func(*wire.JobStatus) ExitCode { return ExitOK })
}

// Cancel cancels jobs.
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

// eachJob sends one request for each job and adds the answers to r.
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
// each. Its exit code says how the jobs ended.
func Wait(ids []core.JobID, limit time.Duration, asJSON bool) Step {
	return waitFor(ids, limit, limit, newJobReport(asJSON))
}

// waitFor waits for ids[0] for the time that is left of limit.
func waitFor(ids []core.JobID, remaining, limit time.Duration, r *jobReport) Step {
	if len(ids) == 0 {
		return finalStep(r.result())
	}
	wait := min(remaining, maxRequestWait)
	query := url.Values{wire.ParamTimeoutMS: {strconv.FormatInt(wait.Milliseconds(), 10)}}
	req := getRequest(jobPath(ids[0], wire.ElementWait), query)
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

// waitOf returns how long a request asks the host to wait.
func requestedWait(r *Request) time.Duration {
	ms, err := strconv.ParseInt(r.Query.Get(wire.ParamTimeoutMS), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// ParseJobs reads a file of jobs.
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

// strictJSON decodes one JSON value without unknown fields.
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
