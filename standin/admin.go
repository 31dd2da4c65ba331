package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"

	"github.com/julienschmidt/httprouter"
)

// Paths of the administration API.
const (
	// PathAdminStore returns a store.Report on GET and accepts store.Faults
	// on POST.
	PathAdminStore = "/admin/v1/store"
	// PathAdminHosts accepts a wire.ListedHost on POST. With a host id
	// appended, it accepts a HostAction.
	PathAdminHosts = "/admin/v1/hosts"
	// PathAdminWorkers returns the WorkerStatus of all workers on GET. With
	// a worker id appended, it accepts a WorkerAction on POST.
	PathAdminWorkers = "/admin/v1/workers"
	// PathAdminLedger returns a Ledger; ?summary=1 leaves out the entries.
	PathAdminLedger = "/admin/v1/ledger"
)

// maxAdminBody limits the body of an administration request, in bytes.
const maxAdminBody = 1 << 20

// Action is an operation on a worker or an entry host.
type Action string

// The actions. Entry hosts support only ActionLeave and ActionGone.
const (
	// ActionFaults replaces the worker's fault switches.
	ActionFaults Action = "faults"
	// ActionRestart begins a new incarnation of a worker, also after
	// ActionKill.
	ActionRestart Action = "restart"
	// ActionKill ends the worker and closes its port.
	ActionKill Action = "kill"
	// ActionLeave marks a worker or host as leaving in the host list.
	ActionLeave Action = "leave"
	// ActionGone removes a worker or host from the host list.
	ActionGone Action = "gone"
	// ActionJoin lists a worker again, as it was at the start.
	ActionJoin Action = "join"
)

// WorkerAction is the body of a request that applies an action to a worker.
type WorkerAction struct {
	Action Action        `json:"action"`
	Faults worker.Faults `json:"faults"`
}

// HostAction is the body of a request that applies an action to an entry host.
type HostAction struct {
	Action Action `json:"action"`
}

// WorkerStatus is a worker with its open connections and their peak in this
// incarnation.
type WorkerStatus struct {
	wire.ListedWorker
	Connections     int `json:"connections"`
	PeakConnections int `json:"peak_connections"`
}

// Ledger contains the audit logs of all workers and their summary.
type Ledger struct {
	Summary worker.Summary  `json:"summary"`
	Workers []worker.Report `json:"workers,omitempty"`
}

// SetStoreFaults replaces the store's fault switches.
func (s *Server) SetStoreFaults(ctx context.Context, f store.Faults) error {
	switch f.Outage {
	case store.OutageNone, store.OutageRefuse, store.OutageHang:
	default:
		return fmt.Errorf("outage is %q; allowed: %q, %q, %q", f.Outage, store.OutageNone, store.OutageRefuse, store.OutageHang)
	}
	return errorIfClosed(s.platform.post(ctx, store.FaultsSet{Faults: f}))
}

// StoreReport returns the counters of the store.
func (s *Server) StoreReport(ctx context.Context) (store.Report, error) {
	report, ok := s.platform.report(ctx)
	return report, errorIfClosed(ok)
}

// ListHost adds an entry host to the host list or replaces its entry.
func (s *Server) ListHost(ctx context.Context, h wire.ListedHost) error {
	if h.ID == "" || h.Address == "" || h.DataCentre == "" {
		return fmt.Errorf("entry host %+v: id, address and data_centre are required", h)
	}
	return errorIfClosed(s.platform.post(ctx, store.HostListed{Host: h}))
}

// ListWorker replaces a worker's entry in the host list, for example to put a
// proxy in front of it.
func (s *Server) ListWorker(ctx context.Context, w wire.ListedWorker) error {
	if s.workersByID[w.ID] == nil {
		return fmt.Errorf("worker %q does not exist", w.ID)
	}
	return errorIfClosed(s.platform.post(ctx, store.WorkerListed{Worker: w}))
}

// ApplyHostAction marks an entry host as leaving in the host list or removes
// it.
func (s *Server) ApplyHostAction(ctx context.Context, id string, a Action) error {
	if a != ActionLeave && a != ActionGone {
		return fmt.Errorf("action is %q; allowed for an entry host: %q, %q", a, ActionLeave, ActionGone)
	}
	return errorIfClosed(s.platform.post(ctx, store.HostLeft{ID: id, Removed: a == ActionGone}))
}

// ApplyWorkerAction applies an action to a worker.
func (s *Server) ApplyWorkerAction(ctx context.Context, id string, a WorkerAction) error {
	ws := s.workersByID[id]
	if ws == nil {
		return fmt.Errorf("worker %q does not exist", id)
	}
	switch a.Action {
	case ActionFaults:
		return errorIfClosed(ws.post(ctx, worker.FaultsSet{Faults: a.Faults}))
	case ActionRestart:
		return s.restart(ctx, ws)
	case ActionKill:
		ws.stop()
		return errorIfClosed(ws.post(ctx, worker.Killed{}))
	case ActionLeave, ActionGone:
		return errorIfClosed(s.platform.post(ctx, store.WorkerLeft{ID: id, Removed: a.Action == ActionGone}))
	case ActionJoin:
		return errorIfClosed(s.platform.post(ctx, store.WorkerListed{Worker: ws.listed}))
	}
	return fmt.Errorf("action is %q; allowed: %q", a.Action,
		[]Action{ActionFaults, ActionRestart, ActionKill, ActionLeave, ActionGone, ActionJoin})
}

// restart begins a new incarnation of a worker at its former address.
func (s *Server) restart(ctx context.Context, ws *workerServer) error {
	ws.stop()
	if !ws.post(ctx, worker.Restarted{Incarnation: incarnation(ws.clock)}) {
		return errClosed
	}
	l, err := net.Listen("tcp", ws.listed.Address)
	if err != nil {
		return fmt.Errorf("listen again for worker %q: %w", ws.listed.ID, err)
	}
	s.serve(ws.newHTTPServer(), l)
	return nil
}

// Ledger returns the audit logs of all workers.
func (s *Server) Ledger(ctx context.Context) (Ledger, error) {
	var ledger Ledger
	for _, ws := range s.workers {
		_, a, ok := ws.roundTrip(ctx, func(id uint64, at core.Time) worker.Event {
			return worker.Event{At: at, Body: worker.ReportRequested{Request: worker.RequestID(id)}}
		})
		if !ok {
			return ledger, errClosed
		}
		ledger.Workers = append(ledger.Workers, a.Body.(worker.Report))
	}
	ledger.Summary = worker.Summarize(ledger.Workers)
	return ledger, nil
}

// WorkerStatuses returns the status of all workers.
func (s *Server) WorkerStatuses() []WorkerStatus {
	var list []WorkerStatus
	for _, ws := range s.workers {
		ws.serverMu.Lock()
		list = append(list, WorkerStatus{ws.listed, ws.connections, ws.peakConnections})
		ws.serverMu.Unlock()
	}
	return list
}

// addAdminRoutes registers the handlers of the administration API.
func (s *Server) addAdminRoutes(router *httprouter.Router) {
	router.GET(PathAdminStore, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		report, err := s.StoreReport(r.Context())
		writeReply(w, report, err)
	})
	router.POST(PathAdminStore, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var f store.Faults
		if decodeBody(w, r, &f) {
			writeReply(w, f, s.SetStoreFaults(r.Context(), f))
		}
	})
	router.POST(PathAdminHosts, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		var h wire.ListedHost
		if decodeBody(w, r, &h) {
			writeReply(w, h, s.ListHost(r.Context(), h))
		}
	})
	router.POST(PathAdminHosts+"/:id", func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		var a HostAction
		if decodeBody(w, r, &a) {
			writeReply(w, a, s.ApplyHostAction(r.Context(), ps.ByName("id"), a.Action))
		}
	})
	router.GET(PathAdminWorkers, func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
		writeReply(w, s.WorkerStatuses(), nil)
	})
	router.POST(PathAdminWorkers+"/:id", func(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
		var a WorkerAction
		if decodeBody(w, r, &a) {
			writeReply(w, a, s.ApplyWorkerAction(r.Context(), ps.ByName("id"), a))
		}
	})
	router.GET(PathAdminLedger, func(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
		ledger, err := s.Ledger(r.Context())
		if r.URL.Query().Get("summary") == "1" {
			ledger.Workers = nil
		}
		writeReply(w, ledger, err)
	})
}

// decodeBody decodes a JSON body. Unknown fields are errors, so that a misspelt
// fault switch is not ignored.
func decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	var body bytes.Buffer
	_, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, maxAdminBody))
	if err == nil {
		decoder := json.NewDecoder(&body)
		decoder.DisallowUnknownFields()
		err = decoder.Decode(into)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

// writeReply writes body as JSON, or err with status 400.
func writeReply(w http.ResponseWriter, body any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, body)
}
