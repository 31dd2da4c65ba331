package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc/iter"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/internal/ingress"
	"banyanrun.example/banyanrun/wire"
)

// Memory that a request holds while it waits for its answer, as a multiple of the length
// of its body: a job with its payload, and a batch with its payloads, the bodies with
// which its jobs are forwarded, and the goroutines that wait for them.
const keptJob, keptBatch = 2, 4

// maxIDBytes bounds the length of a job id or request id.
const maxIDBytes = 128

// decodeStrict decodes a single JSON value. It refuses unknown fields and trailing
// data.
func decodeStrict(data []byte, v any) *core.Refusal {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return invalid("body is not valid JSON for this request: %v", err)
	}
	// dec.More would not report a trailing closing bracket.
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return invalid("body has data after the JSON value")
	}
	return nil
}

// newJobSpec validates a job request and converts it to a job spec.
func (d *Daemon) newJobSpec(j *wire.JobRequest) (core.JobSpec, *core.Refusal) {
	switch {
	case j.ID == "":
		return core.JobSpec{}, invalid("field id is missing; it identifies repeated submissions of the same job")
	case len(j.ID) > maxIDBytes:
		return core.JobSpec{}, invalid("field id has %d bytes; at most %d are allowed", len(j.ID), maxIDBytes)
	case !isPathSafe(string(j.ID)):
		return core.JobSpec{}, invalid("field id %q: only letters, digits and . _ - are allowed", j.ID)
	case j.Team == "":
		return core.JobSpec{}, invalid("field team is missing")
	case j.Kind == "":
		return core.JobSpec{}, invalid("field kind is missing")
	}
	return core.JobSpec{
		ID: j.ID, Team: j.Team, Kind: j.Kind, Payload: j.Payload,
		Digest: core.Digest(j.Team, j.Kind, j.Payload),
		Origin: core.DataCentre(d.settings.DataCentre), Submitted: d.clock.now(),
	}, nil
}

// isPathSafe reports whether an id can be used in a URL path without escaping.
func isPathSafe(id string) bool {
	for _, c := range []byte(id) {
		safe := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			c == '.' || c == '_' || c == '-'
		if !safe {
			return false
		}
	}
	return id != "." && id != ".."
}

// submitJob submits one job. The response is sent once the job's record is in the
// journal.
func (d *Daemon) submitJob(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, refusal := readBody(w, r, maxJobBody)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	var req wire.JobRequest
	if refusal := decodeBody(r, body, keptJob, func() *core.Refusal { return decodeStrict(body, &req) }); refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	d.submitDecoded(w, r, body, &req)
}

// submitDecoded submits a job whose request has been decoded from body.
func (d *Daemon) submitDecoded(w http.ResponseWriter, r *http.Request, body []byte, req *wire.JobRequest) {
	spec, refusal := d.newJobSpec(req)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	if from := movedFrom(r); from != "" {
		spec.Origin = core.DataCentre(from)
	}
	if refusal := d.permit(r, core.ActionSubmit, spec.Team); refusal != nil {
		d.writeForbidden(w, refusal)
		return
	}
	d.askReducer(w, r, reducerRequest{
		body: body, timeout: defaultReplyTimeout,
		newEvent: func(id core.RequestID) core.EventBody {
			return core.Submitted{Request: id, Spec: spec, Forwarded: isForwarded(r)}
		},
		onReply: func(reply core.Reply) { writeStatus(w, http.StatusAccepted, reply) },
	})
}

// submitBatch submits several jobs. Their records share journal groups, and each
// job has its own result in the response.
func (d *Daemon) submitBatch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, refusal := readBody(w, r, maxBatchBody)
	var batch wire.BatchRequest
	if refusal == nil {
		refusal = decodeBody(r, body, keptBatch, func() *core.Refusal {
			if refusal := decodeStrict(body, &batch); refusal != nil {
				return refusal
			}
			if len(batch.Jobs) == 0 || len(batch.Jobs) > maxBatchJobs {
				return invalid("a batch has 1 to %d jobs, not %d", maxBatchJobs, len(batch.Jobs))
			}
			return nil
		})
	}
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	out := wire.BatchResponse{Jobs: make([]wire.BatchResult, len(batch.Jobs))}
	iterator := iter.Iterator[wire.JobRequest]{MaxGoroutines: maxBatchJobs}
	iterator.ForEachIdx(batch.Jobs, func(i int, j *wire.JobRequest) {
		out.Jobs[i] = d.submitBatchJob(r, j)
	})
	writeJSON(w, http.StatusOK, out)
}

// submitBatchJob submits one job of a batch as a separate request.
func (d *Daemon) submitBatchJob(r *http.Request, j *wire.JobRequest) wire.BatchResult {
	body, err := json.Marshal(j)
	if err != nil {
		return wire.BatchResult{Error: wire.FromRefusal(invalid("job: %v", err))}
	}
	if len(body) > maxJobBody {
		return wire.BatchResult{Error: wire.FromRefusal(bodyRefusal(&http.MaxBytesError{Limit: maxJobBody}))}
	}
	req, err := http.NewRequestWithContext(r.Context(), http.MethodPost, wire.PathJobs, nil)
	if err != nil {
		return wire.BatchResult{Error: wire.FromRefusal(invalid("job: %v", err))}
	}
	req.Header = r.Header
	resp := &bufferedResponse{header: http.Header{}}
	d.submitDecoded(resp, req, body, j)
	return resp.result()
}

// bufferedResponse is an http.ResponseWriter that buffers the response.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(data []byte) (int, error) { return b.body.Write(data) }

// result converts the buffered response to the result of one job.
func (b *bufferedResponse) result() wire.BatchResult {
	if b.status < http.StatusBadRequest {
		var s wire.JobStatus
		if err := json.Unmarshal(b.body.Bytes(), &s); err == nil {
			return wire.BatchResult{Status: &s}
		}
	}
	e := &wire.Error{Reason: core.ReasonInternal, Verdict: core.MayHaveRun, Message: "response cannot be decoded"}
	// If the body is not JSON, e keeps the values above.
	_ = json.Unmarshal(b.body.Bytes(), e)
	return wire.BatchResult{Error: e}
}

// jobStatus responds with the status of a job.
func (d *Daemon) jobStatus(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	d.askAboutJob(w, r, p, core.StatusRequested{}, reducerRequest{timeout: defaultReplyTimeout})
}

// explainJob responds with the reasons why a job waits, or with its placement.
func (d *Daemon) explainJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	d.askAboutJob(w, r, p, core.StatusRequested{Explain: true}, reducerRequest{timeout: defaultReplyTimeout})
}

// waitForJob responds when the job has ended, or with its current status when the
// caller's timeout expires.
func (d *Daemon) waitForJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	timeout, refusal := parseWaitTimeout(r)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	d.askAboutJob(w, r, p, core.StatusRequested{Wait: true}, reducerRequest{
		timeout: timeout, onTimeout: func() { d.jobStatus(w, r, p) },
	})
}

// askAboutJob asks the reducer about one job, and refuses the request if the caller
// may not read jobs of its team.
func (d *Daemon) askAboutJob(w http.ResponseWriter, r *http.Request, p httprouter.Params, event core.StatusRequested, req reducerRequest) {
	event.Job, event.Forwarded, event.Moved = core.JobID(p.ByName("id")), isForwarded(r), movedFrom(r) != ""
	req.newEvent = func(id core.RequestID) core.EventBody {
		event.Request = id
		return event
	}
	req.onReply = func(reply core.Reply) {
		if refusal := d.permitJob(r, core.ActionReadJob, reply); refusal != nil {
			d.writeForbidden(w, refusal)
			return
		}
		writeStatus(w, http.StatusOK, reply)
	}
	d.askReducer(w, r, req)
}

// parseWaitTimeout returns the timeout in the request's parameters, or the default.
func parseWaitTimeout(r *http.Request) (time.Duration, *core.Refusal) {
	raw := r.URL.Query().Get(wire.ParamTimeoutMS)
	if raw == "" {
		return defaultReplyTimeout, nil
	}
	ms, err := strconv.ParseInt(raw, 10, 64)
	timeout := time.Duration(ms) * time.Millisecond
	if err != nil || ms < 1 || timeout > maxWaitTimeout {
		return 0, invalid("parameter %s: %q is not allowed; allowed: 1 to %d",
			wire.ParamTimeoutMS, raw, maxWaitTimeout.Milliseconds())
	}
	return timeout, nil
}

// cancelJob cancels a job. A cancellation cannot be undone, so the status is read
// first to check that the caller may cancel jobs of the job's team.
func (d *Daemon) cancelJob(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if d.keys == nil {
		d.cancelAuthorized(w, r, p)
		return
	}
	d.askReducer(w, r, reducerRequest{
		timeout: defaultReplyTimeout,
		newEvent: func(id core.RequestID) core.EventBody {
			return core.StatusRequested{
				Request: id, Job: core.JobID(p.ByName("id")), Forwarded: isForwarded(r),
				Moved: movedFrom(r) != "",
			}
		},
		onReply: func(reply core.Reply) {
			if refusal := d.permitJob(r, core.ActionCancelJob, reply); refusal != nil {
				d.writeForbidden(w, refusal)
			} else if reply.Status == nil {
				writeStatus(w, http.StatusOK, reply)
			} else {
				d.cancelAuthorized(w, r, p)
			}
		},
	})
}

// cancelAuthorized cancels a job for a caller that may cancel jobs of its team. The
// response is sent once the outcome of the job is certain.
func (d *Daemon) cancelAuthorized(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	ingress.PassOn(r)
	d.askReducer(w, r, reducerRequest{
		timeout: defaultReplyTimeout,
		newEvent: func(id core.RequestID) core.EventBody {
			return core.CancelRequested{
				Request: id, Job: core.JobID(p.ByName("id")), Forwarded: isForwarded(r),
				Moved: movedFrom(r) != "",
			}
		},
		onReply: func(reply core.Reply) { writeStatus(w, http.StatusOK, reply) },
	})
}

// writeStatus writes a job status, an explanation or a refusal as the response.
func writeStatus(w http.ResponseWriter, status int, reply core.Reply) {
	switch {
	case reply.Refusal != nil:
		writeRefusal(w, reply.Refusal)
	case reply.Explain != nil:
		writeJSON(w, status, wire.FromExplanation(reply.Explain))
	case reply.Status != nil:
		w.Header().Set(wire.HeaderVerdict, reply.Status.Verdict.String())
		writeJSON(w, status, wire.FromJobStatus(reply.Status))
	default:
		writeRefusal(w, &core.Refusal{
			Reason: core.ReasonInternal, Verdict: core.MayHaveRun,
			Message: fmt.Sprintf("reply %d has no content", reply.Request),
		})
	}
}
