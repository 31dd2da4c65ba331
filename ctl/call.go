package ctl

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// callOutput is the output of call with --json.
type callOutput struct {
	RequestID string       `json:"request_id"`
	Verdict   core.Verdict `json:"verdict"`
	Worker    string       `json:"worker,omitempty"`
	Body      []byte       `json:"body,omitempty"`
	Error     *wire.Error  `json:"error,omitempty"`
}

// Call sends one interactive request and prints the body of its response. A
// request with an id that was sent before returns the first result.
func Call(team core.TeamName, kind core.KindName, id string, body []byte, asJSON bool) Step {
	req := &Request{
		Method: http.MethodPost, Body: body,
		Path:   wire.PathCalls + "/" + url.PathEscape(string(team)) + "/" + url.PathEscape(string(kind)),
		Header: http.Header{wire.HeaderRequestID: {id}},
	}
	return Step{Send: req, Then: func(resp *Response) Step {
		p := checkResponse(req, resp)
		if p == nil {
			p = checkDigest(req, resp)
		}
		output := callOutput{RequestID: id, Verdict: core.Ran, Body: resp.Body}
		result := Result{Stdout: string(resp.Body)}
		if p != nil {
			result = p.result()
			result.Stderr = fmt.Sprintf("request %s: %s", id, result.Stderr)
			output = callOutput{RequestID: id, Verdict: verdictForExit(p.exit), Error: p.refusal}
		}
		output.Worker = resp.Header.Get(wire.HeaderWorker)
		if asJSON {
			result.Stdout = indentedJSON(&output)
		}
		return finalStep(result)
	}}
}

// checkDigest compares the response body with the digest in its header, if
// there is one.
func checkDigest(req *Request, resp *Response) *problem {
	digest := resp.Header.Get(wire.HeaderDigest)
	if digest == "" {
		return nil
	}
	want, err := strconv.ParseUint(digest, 16, 64)
	if got := xxhash.Sum64(resp.Body); err != nil || got != want {
		return inDoubtProblem(req, fmt.Sprintf("answer has digest %016x; its header says %q", got, digest))
	}
	return nil
}

// verdictForExit returns the verdict that an exit code stands for.
func verdictForExit(code ExitCode) core.Verdict {
	switch code {
	case ExitOK, ExitFailed:
		return core.Ran
	case ExitMayHaveRun:
		return core.MayHaveRun
	}
	return core.NotRun
}
