package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// Route is the method and path of one API call. docs/api.md describes each call.
type Route struct {
	Method string
	Path   string
}

// Limits on request bodies, in bytes.
const (
	maxJobBody   = 128 << 10
	maxBatchBody = 8 << 20
	maxCallBody  = 1 << 20
	maxPeerBody  = 16 << 20
	// maxBatchJobs bounds the jobs of one batch.
	maxBatchJobs = 1000
)

// routes returns the router of the API.
func (d *Daemon) routes() http.Handler {
	r := httprouter.New()
	r.HandleMethodNotAllowed = true
	// Redirects are disabled, because clients repeat a redirected POST as a GET.
	r.RedirectTrailingSlash, r.RedirectFixedPath = false, false
	r.NotFound, r.MethodNotAllowed = http.HandlerFunc(unknownPath), http.HandlerFunc(unknownMethod)
	r.PanicHandler = d.handlePanic
	for _, h := range d.handlers() {
		handle := d.authorize(h.action, h.handle)
		if h.limited {
			handle = d.limitRequests(handle)
		}
		r.Handle(h.Method, h.Path, handle)
	}
	return limitHeaders(r)
}

// limitHeaders refuses requests whose request line and headers are too large. The
// HTTP server's own limit is higher, because at that limit the server closes the
// connection with a response that has neither reason nor verdict.
func limitHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size := len(r.Method) + len(r.RequestURI)
		for name, values := range r.Header {
			for _, v := range values {
				size += len(name) + len(v) + perHeaderOverhead
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

// unknownPath refuses a path that is not part of the API.
func unknownPath(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, &core.Refusal{
		Reason: core.ReasonUnknownPath, Message: fmt.Sprintf("path %q is not part of the API", r.URL.Path),
	})
}

// unknownMethod refuses a method that the path does not support. The router has
// already set the Allow header.
func unknownMethod(w http.ResponseWriter, r *http.Request) {
	writeRefusal(w, &core.Refusal{
		Reason:  core.ReasonUnknownMethod,
		Message: fmt.Sprintf("path %q does not support method %s", r.URL.Path, r.Method),
	})
}

// handler is a route with its handler function. Requests to a limited handler count
// towards the limit on requests in progress.
type handler struct {
	Route
	action  core.Action
	limited bool
	handle  httprouter.Handle
}

// handlers lists the handlers of the API.
func (d *Daemon) handlers() []handler {
	job := wire.PathJobs + "/:id"
	doc := wire.PathDocuments + "/:team"
	return []handler{
		{Route{http.MethodPost, wire.PathJobs}, core.ActionSubmit, true, d.submitJob},
		{Route{http.MethodPost, wire.PathJobsBatch}, core.ActionSubmit, true, d.submitBatch},
		{Route{http.MethodGet, job}, core.ActionReadJob, true, d.jobStatus},
		{Route{http.MethodGet, job + "/" + wire.SegmentWait}, core.ActionReadJob, true, d.waitForJob},
		{Route{http.MethodGet, job + "/" + wire.SegmentExplain}, core.ActionReadJob, true, d.explainJob},
		{Route{http.MethodDelete, job}, core.ActionCancelJob, true, d.cancelJob},
		{Route{http.MethodPost, wire.PathCalls + "/:team/:kind"}, core.ActionCall, true, d.serveCall},
		{Route{http.MethodGet, doc}, core.ActionReadDocument, true, d.getDocument},
		{Route{http.MethodPut, doc}, core.ActionEditDocument, true, d.putDocument},
		{Route{http.MethodGet, doc + "/" + wire.SegmentHistory}, core.ActionReadDocument, true, d.documentHistory},
		{Route{http.MethodGet, wire.PathHostsView}, core.ActionReadFleet, true, d.viewHosts},
		{Route{http.MethodGet, wire.PathWorkers}, core.ActionReadFleet, true, d.viewWorkers},
		{Route{http.MethodGet, wire.PathTeams}, core.ActionReadTeam, true, d.viewTeams},
		{Route{http.MethodPost, pathHeartbeat}, core.ActionPeer, false, d.receiveHeartbeat},
		{Route{http.MethodPost, pathSummary}, core.ActionPeer, false, d.receiveSummary},
		{Route{http.MethodPost, pathDocuments}, core.ActionPeer, false, d.receiveDocuments},
		{Route{http.MethodGet, "/metrics"}, core.ActionObserve, false, d.writeMetrics},
		{Route{http.MethodGet, "/healthz"}, core.ActionObserve, false, d.healthz},
		{Route{http.MethodGet, "/readyz"}, core.ActionObserve, false, d.readyz},
	}
}

// Routes lists the routes of the API.
func Routes() []Route {
	var out []Route
	for _, h := range (&Daemon{}).handlers() {
		out = append(out, h.Route)
	}
	return out
}

// handlePanic responds to a request whose handler panicked. http.ErrAbortHandler is
// passed on, since it closes the connection on purpose.
func (d *Daemon) handlePanic(w http.ResponseWriter, r *http.Request, recovered any) {
	if err, ok := recovered.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	d.logFailure("handler panicked", fmt.Errorf("%v", recovered), "path", r.URL.Path)
	d.addToCounter(core.Count{Metric: core.MetricRefusals, Reason: core.ReasonInternal, Add: 1})
	writeRefusal(w, &core.Refusal{
		Reason: core.ReasonInternal, Verdict: core.MayHaveRun, Message: "internal error",
	})
}

// statusOf returns the HTTP status code of a refusal.
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

// writeRefusal writes a refusal as the response.
func writeRefusal(w http.ResponseWriter, refusal *core.Refusal) {
	w.Header().Set(wire.HeaderVerdict, refusal.Verdict.String())
	w.Header().Set(wire.HeaderReason, string(refusal.Reason))
	if refusal.RetryAfter > 0 {
		seconds := max(1, int(refusal.RetryAfter.Round(time.Second)/time.Second))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, statusOf(refusal), wire.FromRefusal(refusal))
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, "response cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)+1))
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_, _ = w.Write(append(data, '\n'))
}

// invalid returns the refusal of a malformed request.
func invalid(format string, args ...any) *core.Refusal {
	return &core.Refusal{Reason: core.ReasonInvalid, Message: fmt.Sprintf(format, args...)}
}

func (d *Daemon) writeMetrics(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	d.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (d *Daemon) healthz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(w, http.StatusOK, map[string]bool{"healthy": true})
}

func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	status := http.StatusOK
	if !d.ready.Load() || d.draining.Load() {
		status = http.StatusServiceUnavailable
	}
	writeJSON(w, status, map[string]bool{"ready": status == http.StatusOK})
}
