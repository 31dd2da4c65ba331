package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// problem describes a request that did not succeed.
type problem struct {
	message string
	exit    ExitCode
	reason  core.Reason
	// refusal is the host's error response, or nil if there was no usable
	// response.
	refusal *wire.Error
	// conflict is set if another edit of the document came first.
	conflict *wire.DocumentConflict
}

// result returns the final result of a command that failed with the problem.
func (p *problem) result() Result { return Result{Stderr: p.message + "\n", Exit: p.exit} }

// decodeResponse decodes a successful response into out.
func decodeResponse(req *Request, resp *Response, out any) *problem {
	if p := checkResponse(req, resp); p != nil {
		return p
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return inDoubtProblem(req, fmt.Sprintf("answer with status %d is not understood: %v", resp.Status, err))
	}
	return nil
}

// checkResponse returns nil if the response is a success.
func checkResponse(req *Request, resp *Response) *problem {
	if resp.Failure != nil {
		if !resp.Failure.Sent {
			return &problem{message: resp.Failure.Message, exit: ExitUnreachable}
		}
		return inDoubtProblem(req, resp.Failure.Message)
	}
	if resp.Status/100 == 2 {
		return nil
	}
	if p := conflictProblem(resp); p != nil {
		return p
	}
	var refused wire.Error
	if err := json.Unmarshal(resp.Body, &refused); err != nil || refused.Reason == "" {
		return unrecognizedResponse(req, resp)
	}
	return refusalProblem(&refused)
}

// unrecognizedResponse describes a response that is neither a success nor a
// valid error. A verdict header, if present, still tells whether the request
// has run.
func unrecognizedResponse(req *Request, resp *Response) *problem {
	message := fmt.Sprintf("answer with status %d is not understood", resp.Status)
	var verdict core.Verdict
	if text := resp.Header.Get(wire.HeaderVerdict); text == "" || verdict.UnmarshalText([]byte(text)) != nil {
		return inDoubtProblem(req, message)
	}
	return &problem{message: fmt.Sprintf("%s; its verdict is %v", message, verdict), exit: exitForVerdict(verdict)}
}

// inDoubtProblem describes a request without a usable response. Unless it is
// read-only, it may have taken effect.
func inDoubtProblem(req *Request, message string) *problem {
	if req.ReadOnly {
		return &problem{message: message, exit: ExitUnreachable}
	}
	return &problem{message: message + "\nthe request may have taken effect", exit: ExitMayHaveRun}
}

// conflictProblem returns the problem of a conflicting edit, or nil if the
// response is another one.
func conflictProblem(resp *Response) *problem {
	var conflict wire.DocumentConflict
	if resp.Status != http.StatusConflict || json.Unmarshal(resp.Body, &conflict) != nil ||
		conflict.Error.Reason != core.ReasonConflict {
		return nil
	}
	p := refusalProblem(&conflict.Error)
	p.conflict = &conflict
	return p
}

// refusalProblem describes a request that a host refused.
func refusalProblem(e *wire.Error) *problem {
	p := &problem{message: refusalText(e), exit: exitForVerdict(e.Verdict), reason: e.Reason, refusal: e}
	if e.Reason == core.ReasonConflict {
		p.exit = ExitConflict
	}
	return p
}

// refusalText formats a refusal as one line.
func refusalText(e *wire.Error) string {
	text := fmt.Sprintf("%s (%v): %s", e.Reason, e.Verdict, e.Message)
	if e.RetryAfterMS > 0 {
		text += fmt.Sprintf("; retry after %v", time.Duration(e.RetryAfterMS)*time.Millisecond)
	}
	return text
}

// exitForVerdict returns the exit code of a request that did not succeed.
func exitForVerdict(v core.Verdict) ExitCode {
	switch v {
	case core.NotRun:
		return ExitNotRun
	case core.Ran:
		return ExitFailed
	}
	return ExitMayHaveRun
}

// exitForJob returns the exit code for a job's status.
func exitForJob(s *wire.JobStatus) ExitCode {
	switch {
	case !s.Finished:
		return ExitUnfinished
	case s.State == core.JobSucceeded:
		return ExitOK
	}
	return exitForVerdict(s.Verdict)
}

// indentedJSON encodes v as indented JSON, for people and for programs.
func indentedJSON(v any) string {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		// Cannot happen: v was decoded from JSON or has only JSON types.
		panic("ctl: encode: " + err.Error())
	}
	return b.String()
}
