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
	"banyanrun.example/banyanrun/wire"
)

// maxIDBytes bounds a job's id.
const maxIDBytes = 128

// decodeStrict decodes one JSON value, refusing unknown fields and trailing
// data.
func decodeStrict(data []byte, v any) *core.Refusal {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return invalid("body is not the expected JSON: %v", err)
	}
	// More would pass over a closing bracket.
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return invalid("body has data after the JSON value")
	}
	return nil
}

// spec checks a job request and converts it.
func (d *Daemon) spec(j *wire.JobRequest) (core.JobSpec, *core.Refusal) {
	switch {
	case j.ID == "":
		return core.JobSpec{}, invalid("field id is missing; it makes a repeated submit harmless")
	case len(j.ID) > maxIDBytes:
		return core.JobSpec{}, invalid("field id has %d bytes; at most %d are allowed", len(j.ID), maxIDBytes)
	case !isPlain(string(j.ID)):
		return core.JobSpec{}, invalid("field id %q: only letters, digits and . _ - are allowed", j.ID)
	case j.Team == "":
		return core.JobSpec{}, invalid("field team is missing")
	case j.Kind == "":
		return core.JobSpec{}, invalid("field kind is missing")
	}
	return core.JobSpec{
		ID: j.ID, Team: j.Team, Kind: j.Kind, Payload: j.Payload,
		Digest: core.Digest(j.Team, j.Kind, j.Payload),
		Origin: core.DataCentre(d.set.DataCentre), Submitted: d.clock.now(),
	}, nil
}

// isPlain reports whether an id needs no escaping in a path.
func isPlain(id string) bool {
	for _, c := range []byte(id) {
		plain := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			c == '.' || c == '_' || c == '-'
		if !plain {
			return false
		}
	}
	return id != "." && id != ".."
}

// submit accepts one job. The answer follows its journal record.
func (d *Daemon) submit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, ref := readBody(w, r, maxJobBody)
	if ref != nil {
		writeRefusal(w, ref)
		return
	}
	var req wire.JobRequest
	if ref := decodeStrict(body, &req); ref != nil {
		writeRefusal(w, ref)
		return
	}
	spec, ref := d.spec(&req)
	if ref != nil {
		writeRefusal(w, ref)
		return
	}
	if from := movedFrom(r); from != "" {
		spec.Origin = core.DataCentre(from)
	}
	if ref := d.permit(r, core.ActionSubmit, spec.Team); ref != nil {
		d.forbid(w, ref)
		return
	}
	d.ask(w, r, question{
		body: body, wait: defaultWait,
		event: func(id core.RequestID) core.EventBody {
			return core.Submitted{Request: id, Spec: spec, Forwarded: isForwarded(r)}
		},
		answer: func(reply core.Reply) { writeStatus(w, http.StatusAccepted, reply) },
	})
}

// submitBatch submits several jobs. They share journal groups, and each is
// answered on its own.
func (d *Daemon) submitBatch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, ref := readBody(w, r, maxBatchBody)
	var batch wire.BatchRequest
	if ref == nil {
		ref = decodeStrict(body, &batch)
	}
	if ref == nil && (len(batch.Jobs) == 0 || len(batch.Jobs) > maxBatchJobs) {
		ref = invalid("a batch has 1 to %d jobs, not %d", maxBatchJobs, len(batch.Jobs))
	}
	if ref != nil {
		writeRefusal(w, ref)
		return
	}
	out := wire.BatchResponse{Jobs: make([]wire.BatchResult, len(batch.Jobs))}
	each := iter.Iterator[wire.JobRequest]{MaxGoroutines: maxBatchJobs}
	each.ForEachIdx(batch.Jobs, func(i int, j *wire.JobRequest) {
		out.Jobs[i] = d.submitOne(r, j)
	})
	writeJSON(w, http.StatusOK, out)
}

// submitOne submits one job of a batch as a request of its own.
func (d *Daemon) submitOne(r *http.Request, j *wire.JobRequest) wire.BatchResult {
	body, err := json.Marshal(j)
	if err != nil {
		return wire.BatchResult{Error: wire.FromRefusal(invalid("job: %v", err))}
	}
	one, err := http.NewRequestWithContext(r.Context(), http.MethodPost, wire.PathJobs, bytes.NewReader(body))
	if err != nil {
		return wire.BatchResult{Error: wire.FromRefusal(invalid("job: %v", err))}
	}
	one.Header = r.Header.Clone()
	capture := &capture{header: http.Header{}}
	d.submit(capture, one, nil)
	return capture.result()
}

// capture is a ResponseWriter that keeps the answer.
type capture struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (c *capture) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *capture) WriteHeader(status int) { c.status = status }

// Write implements http.ResponseWriter.
func (c *capture) Write(data []byte) (int, error) { return c.body.Write(data) }

// result decodes the answer.
func (c *capture) result() wire.BatchResult {
	if c.status < http.StatusBadRequest {
		var s wire.JobStatus
		if err := json.Unmarshal(c.body.Bytes(), &s); err == nil {
			return wire.BatchResult{Status: &s}
		}
	}
	e := &wire.Error{Reason: core.ReasonInternal, Verdict: core.MayHaveRun, Message: "answer cannot be read"}
	// On failure e keeps its first content.
	_ = json.Unmarshal(c.body.Bytes(), e)
	return wire.BatchResult{Error: e}
}

// status answers with the state of a job.
func (d *Daemon) status(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	d.askJob(w, r, p, core.StatusRequested{}, question{wait: defaultWait})
}

// explain answers why a job waits, or where it was placed.
func (d *Daemon) explain(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	d.askJob(w, r, p, core.StatusRequested{Explain: true}, question{wait: defaultWait})
}

// wait answers when the job has ended, or with its state when the caller's limit
// has passed.
func (d *Daemon) wait(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	limit, ref := waitLimit(r)
	if ref != nil {
		writeRefusal(w, ref)
		return
	}
	d.askJob(w, r, p, core.StatusRequested{Wait: true}, question{
		wait: limit, expired: func() { d.status(w, r, p) },
	})
}

// askJob asks the reducer about one job.
func (d *Daemon) askJob(w http.ResponseWriter, r *http.Request, p httprouter.Params, ask core.StatusRequested, q question) {
	ask.Job, ask.Forwarded, ask.Moved = core.JobID(p.ByName("id")), isForwarded(r), movedFrom(r) != ""
	q.event = func(id core.RequestID) core.EventBody {
		ask.Request = id
		return ask
	}
	q.answer = func(reply core.Reply) {
		if ref := d.permitJob(r, core.ActionReadJob, reply); ref != nil {
			d.forbid(w, ref)
			return
		}
		writeStatus(w, http.StatusOK, reply)
	}
	d.ask(w, r, q)
}

// waitLimit reads the caller's limit of a wait.
func waitLimit(r *http.Request) (time.Duration, *core.Refusal) {
	raw := r.URL.Query().Get(wire.ParamTimeoutMS)
	if raw == "" {
		return defaultWait, nil
	}
	ms, err := strconv.ParseInt(raw, 10, 64)
	limit := time.Duration(ms) * time.Millisecond
	if err != nil || ms < 1 || limit > maxWait {
		return 0, invalid("parameter %s: %q is not allowed; allowed: 1 to %d",
			wire.ParamTimeoutMS, raw, maxWait.Milliseconds())
	}
	return limit, nil
}

// cancel cancels a job. A cancellation cannot be undone, so the status is read
// first to learn whether the job's team permits it.
func (d *Daemon) cancel(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	if d.keys == nil {
		d.cancelPermitted(w, r, p)
		return
	}
	d.ask(w, r, question{
		wait: defaultWait,
		event: func(id core.RequestID) core.EventBody {
			return core.StatusRequested{
				Request: id, Job: core.JobID(p.ByName("id")), Forwarded: isForwarded(r),
				Moved: movedFrom(r) != "",
			}
		},
		answer: func(reply core.Reply) {
			if ref := d.permitJob(r, core.ActionCancelJob, reply); ref != nil {
				d.forbid(w, ref)
			} else if reply.Status == nil {
				writeStatus(w, http.StatusOK, reply)
			} else {
				d.cancelPermitted(w, r, p)
			}
		},
	})
}

// cancelPermitted cancels a job of a team whose jobs the caller may cancel. The
// answer follows when it is certain what became of the job.
func (d *Daemon) cancelPermitted(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	d.ask(w, r, question{
		wait: defaultWait,
		event: func(id core.RequestID) core.EventBody {
			return core.CancelRequested{
				Request: id, Job: core.JobID(p.ByName("id")), Forwarded: isForwarded(r),
				Moved: movedFrom(r) != "",
			}
		},
		answer: func(reply core.Reply) { writeStatus(w, http.StatusOK, reply) },
	})
}

// writeStatus answers with a status, an explanation or a refusal.
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
