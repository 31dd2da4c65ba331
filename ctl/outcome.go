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

// problem is a request that was not carried out.
type problem struct {
	message string
	exit    ExitCode
	reason  core.Reason
	// err is the host's refusal, or nil if there was no usable answer.
	refusal *wire.Error
	// conflict is set if an edit lost a race.
	conflict *wire.DocumentConflict
}

// result prints the problem.
func (p *problem) result() Result { return Result{Stderr: p.message + "\n", Exit: p.exit} }

// decode reads a successful answer into out, or explains why it cannot.
func decodeResponse(req *Request, resp *Response, out any) *problem {
	if p := checkResponse(req, resp); p != nil {
		return p
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return inDoubtProblem(req, fmt.Sprintf("answer with status %d is not understood: %v", resp.Status, err))
	}
	return nil
}

// check returns nil if resp is a success.
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

// unknownAnswer describes an answer that is not a success and has no error body.
// Its verdict header, if there is one, still says what is certain.
func unrecognizedResponse(req *Request, resp *Response) *problem {
	message := fmt.Sprintf("answer with status %d is not understood", resp.Status)
	var verdict core.Verdict
	if text := resp.Header.Get(wire.HeaderVerdict); text == "" || verdict.UnmarshalText([]byte(text)) != nil {
		return inDoubtProblem(req, message)
	}
	return &problem{message: fmt.Sprintf("%s; its verdict is %v", message, verdict), exit: exitForVerdict(verdict)}
}

// inDoubt describes a request without a usable answer. It may have taken effect
// unless it is read-only.
func inDoubtProblem(req *Request, message string) *problem {
	if req.ReadOnly {
		return &problem{message: message, exit: ExitUnreachable}
	}
	return &problem{message: message + "\nthe request may have taken effect", exit: ExitMayHaveRun}
}

// conflictProblem recognizes the answer to an edit that lost a race.
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

// refusal describes a refusal by a host.
func refusalProblem(e *wire.Error) *problem {
	p := &problem{message: refusalText(e), exit: exitForVerdict(e.Verdict), reason: e.Reason, refusal: e}
	if e.Reason == core.ReasonConflict {
		p.exit = ExitConflict
	}
	return p
}

// refusalText returns a refusal on one line.
func refusalText(e *wire.Error) string {
	text := fmt.Sprintf("%s (%v): %s", e.Reason, e.Verdict, e.Message)
	if e.RetryAfterMS > 0 {
		text += fmt.Sprintf("; retry after %v", time.Duration(e.RetryAfterMS)*time.Millisecond)
	}
	return text
}

// verdictExit is the exit code of a request that did not succeed.
func exitForVerdict(v core.Verdict) ExitCode {
	switch v {
	case core.NotRun:
		return ExitNotRun
	case core.Ran:
		return ExitFailed
	}
	return ExitMayHaveRun
}

// jobExit is the exit code of a job's final status.
func exitForJob(s *wire.JobStatus) ExitCode {
	switch {
	case !s.Finished:
		return ExitUnfinished
	case s.State == core.JobSucceeded:
		return ExitOK
	}
	return exitForVerdict(s.Verdict)
}

// indented returns JSON for people and pipes alike.
func indentedJSON(v any) string {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	if err := enc.Encode(v); err != nil {
		// The values are answers that were just decoded from JSON.
		panic("ctl: encode: " + err.Error())
	}
	return b.String()
}
