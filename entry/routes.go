package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// Route is one call of the API. docs/api.md describes each.
type Route struct {
	Method string
	Path   string
}

// Bounds of request bodies in bytes.
const (
	maxJobBody   = 128 << 10
	maxBatchBody = 8 << 20
	maxCallBody  = 1 << 20
	maxPeerBody  = 16 << 20
	// maxBatchJobs bounds the jobs of one batch.
	maxBatchJobs = 1000
)

// routes builds the router.
func (d *Daemon) routes() http.Handler {
	r := httprouter.New()
	r.HandleMethodNotAllowed = true
	// A redirected POST would turn into a GET.
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.NotFound, r.MethodNotAllowed = http.HandlerFunc(unknownPath), http.HandlerFunc(unknownMethod)
	r.PanicHandler = d.panicked
	for _, h := range d.handlers() {
		handle := d.guarded(h.action, h.handle)
		if h.bounded {
			handle = d.bounded(handle)
		}
		r.Handle(h.Method, h.Path, handle)
	}
	return limitHeaders(r)
}

// limitHeaders refuses requests with too many headers. The server's own limit
// ends the connection with an answer that has neither reason nor verdict, and
// is therefore higher.
func limitHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := len(r.Method) + len(r.RequestURI)
		for name, values := range r.Header {
			for _, v := range values {
				size += len(name) + len(v) + headerOverhead
			}
		}
		if size > maxHeaderBytes {
			writeRefusal(w, &core.Refusal{
				Reason:  core.ReasonTooLarge,
				Message: fmt.Sprintf("request line and headers have %d bytes; at most %d are allowed", size, maxHeaderBytes),
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// unknownPath refuses a path that is not of the API.
func unknownPath(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, &core.Refusal{
		Reason: core.ReasonUnknownPath, Message: fmt.Sprintf("no call has the path %q", r.URL.Path),
	})
}

// unknownMethod refuses a method that the path does not have. The router has
// set the header Allow.
func unknownMethod(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, &core.Refusal{
		Reason:  core.ReasonUnknownMethod,
		Message: fmt.Sprintf("path %q does not have the method %s", r.URL.Path, r.Method),
	})
}

// handler is a route with its function. Bounded ones count towards the limit on
// requests in progress.
type handler struct {
	Route
	action  core.Action
	bounded bool
	handle  httprouter.Handle
}

// handlers lists the API.
func (d *Daemon) handlers() []handler {
	job := wire.PathJobs + "/:id"
	doc := wire.PathDocuments + "/:team"
	return []handler{
		{Route{http.MethodPost, wire.PathJobs}, core.ActionSubmit, true, d.submit},
		{Route{http.MethodPost, wire.PathJobsBatch}, core.ActionSubmit, true, d.submitBatch},
		{Route{http.MethodGet, job}, core.ActionReadJob, true, d.status},
		{Route{http.MethodGet, job + "/" + wire.SegmentWait}, core.ActionReadJob, true, d.wait},
		{Route{http.MethodGet, job + "/" + wire.SegmentExplain}, core.ActionReadJob, true, d.explain},
		{Route{http.MethodDelete, job}, core.ActionCancelJob, true, d.cancel},
		{Route{http.MethodPost, wire.PathCalls + "/:team/:kind"}, core.ActionCall, true, d.call},
		{Route{http.MethodGet, doc}, core.ActionReadDocument, true, d.getDocument},
		{Route{http.MethodPut, doc}, core.ActionEditDocument, true, d.putDocument},
		{Route{http.MethodGet, doc + "/" + wire.SegmentHistory}, core.ActionReadDocument, true, d.history},
		{Route{http.MethodGet, wire.PathHostsView}, core.ActionReadFleet, true, d.viewHosts},
		{Route{http.MethodGet, wire.PathWorkers}, core.ActionReadFleet, true, d.viewWorkers},
		{Route{http.MethodGet, wire.PathTeams}, core.ActionReadTeam, true, d.viewTeams},
		{Route{http.MethodPost, pathHeartbeat}, core.ActionPeer, false, d.heartbeat},
		{Route{http.MethodPost, pathSummary}, core.ActionPeer, false, d.summary},
		{Route{http.MethodPost, pathDocuments}, core.ActionPeer, false, d.documents},
		{Route{http.MethodGet, "/metrics"}, core.ActionObserve, false, d.writeMetrics},
		{Route{http.MethodGet, "/healthz"}, core.ActionObserve, false, d.healthy},
		{Route{http.MethodGet, "/readyz"}, core.ActionObserve, false, d.readyz},
	}
}

// Routes lists the calls of the API.
func Routes() []Route {
	var out []Route
	for _, h := range (&Daemon{}).handlers() {
		out = append(out, h.Route)
	}
	return out
}

// bounded refuses requests beyond the limit on requests in progress.
func (d *Daemon) bounded(next httprouter.Handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		select {
		case d.slots <- struct{}{}:
			defer func() { <-d.slots }()
			next(w, r, p)
		default:
			writeRefusal(w, &core.Refusal{
				Reason: core.ReasonQueueFull, RetryAfter: time.Second,
				Message: fmt.Sprintf("%d requests are in progress, which is the limit", cap(d.slots)),
			})
		}
	}
}

// panicked answers a request whose handler failed. http.ErrAbortHandler is
// passed on, since it closes the connection on purpose.
func (d *Daemon) panicked(w http.ResponseWriter, r *http.Request, cause any) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	d.logFailure("handler failed", fmt.Errorf("%v", cause), "path", r.URL.Path)
	d.count(core.Count{Metric: core.MetricRefusals, Reason: core.ReasonInternal, Add: 1})
	writeRefusal(w, &core.Refusal{
		Reason: core.ReasonInternal, Verdict: core.MayHaveRun, Message: "internal error",
	})
}

// statusOf maps a refusal to an HTTP status.
func statusOf(r *core.Refusal) int {
	switch r.Reason {
	case core.ReasonInvalid:
		return http.StatusBadRequest
	case core.ReasonForbidden:
		return http.StatusForbidden
	case core.ReasonUnknownTeam, core.ReasonUnknownKind, core.ReasonUnknownJob, core.ReasonUnknownPath:
		return http.StatusNotFound
	case core.ReasonUnknownMethod:
		return http.StatusMethodNotAllowed
	case core.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case core.ReasonDuplicateID, core.ReasonConflict:
		return http.StatusConflict
	case core.ReasonNeverFits:
		return http.StatusUnprocessableEntity
	case core.ReasonQueueFull, core.ReasonOverQuota, core.ReasonNoCapacity:
		return http.StatusTooManyRequests
	case core.ReasonUpstream:
		return http.StatusBadGateway
	case core.ReasonDeadline, core.ReasonStartDeadline, core.ReasonAttempts:
		return http.StatusGatewayTimeout
	case core.ReasonInternal:
		return http.StatusInternalServerError
	}
	return http.StatusServiceUnavailable
}

// writeRefusal answers with a refusal.
func writeRefusal(w http.ResponseWriter, ref *core.Refusal) {
	w.Header().Set(wire.HeaderVerdict, ref.Verdict.String())
	w.Header().Set(wire.HeaderReason, string(ref.Reason))
	if ref.RetryAfter > 0 {
		seconds := max(1, int(ref.RetryAfter.Round(time.Second)/time.Second))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, statusOf(ref), wire.FromRefusal(ref))
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "answer cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	// A caller that has gone needs no answer.
	_, _ = w.Write(append(data, '\n'))
}

// invalid builds a refusal of a malformed request.
func invalid(format string, args ...any) *core.Refusal {
	return &core.Refusal{Reason: core.ReasonInvalid, Message: fmt.Sprintf(format, args...)}
}

// readBody reads a whole body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *core.Refusal) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &core.Refusal{
			Reason: core.ReasonTooLarge, Message: fmt.Sprintf("body exceeds %d bytes", limit),
		}
	case err != nil:
		return nil, invalid("body is not whole: %v", err)
	}
	return data, nil
}

func (d *Daemon) writeMetrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	d.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (d *Daemon) healthy(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, map[string]bool{"healthy": true})
}

func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status := http.StatusOK
	if !d.ready.Load() || d.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]bool{"ready": status == http.StatusOK})
}
