package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"banyanrun.example/banyanrun/control"
	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/wire"

	"github.com/julienschmidt/httprouter"
)

// maxStoreBody limits the body of a store request, in bytes. It admits a value
// of the maximum size in base64 with room for the rest of the message, so that
// the reducer can refuse larger values.
const maxStoreBody = 2 * wire.MaxValueBytes

// platform serves the store and the host list over HTTP.
type platform struct {
	eventLoop[store.Event, store.Effect, store.Answer]
	// listingChanged is called when the entry of a worker in the host list
	// has changed.
	listingChanged func(context.Context, store.WorkerListingChanged)
}

func newPlatform(c clock, r *store.Reducer, listingChanged func(context.Context, store.WorkerListingChanged)) *platform {
	p := &platform{listingChanged: listingChanged}
	newTick := func(at core.Time) store.Event { return store.Event{At: at, Body: store.Tick{}} }
	p.init(c, control.New(control.Config[store.Event, store.Effect]{
		Step: r.Step, Execute: p.execute, ExecuteInline: p.executeImmediate,
		Tick:       func() store.Event { return newTick(c.now()) },
		TickPeriod: tickPeriod, MailboxSize: mailboxCapacity,
	}), newTick)
	return p
}

func (p *platform) executeImmediate(f store.Effect) bool {
	switch f := f.(type) {
	case store.Answer:
		p.deliverAnswer(uint64(f.Request), f)
		return true
	case store.WakeAt:
		p.setWake(f.At)
		return true
	}
	return false
}

func (p *platform) execute(ctx context.Context, f store.Effect) {
	if change, ok := f.(store.WorkerListingChanged); ok {
		p.listingChanged(ctx, change)
	}
}

// post sends the reducer an event that has no answer. It returns false if ctx
// or the loop has ended.
func (p *platform) post(ctx context.Context, body store.EventBody) bool {
	return p.loop.Post(ctx, store.Event{At: p.clock.now(), Body: body})
}

// report returns the counters of the store.
func (p *platform) report(ctx context.Context) (store.Report, bool) {
	_, a, ok := p.roundTrip(ctx, func(id uint64, at core.Time) store.Event {
		return store.Event{At: at, Body: store.ReportRequested{Request: store.RequestID(id)}}
	})
	if !ok {
		return store.Report{}, false
	}
	return a.Body.(store.Report), true
}

// addRoutes registers the handlers of the store protocol.
func (p *platform) addRoutes(router *httprouter.Router) {
	handle := func(method, path string, decode func(*http.Request, httprouter.Params) (store.Call, error)) {
		router.Handle(method, path, func(w http.ResponseWriter, req *http.Request, ps httprouter.Params) {
			req.Body = http.MaxBytesReader(w, req.Body, maxStoreBody)
			call, err := decode(req, ps)
			if err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
			p.handleCall(w, req, call)
		})
	}
	handle(http.MethodGet, wire.PathKV, func(r *http.Request, _ httprouter.Params) (store.Call, error) {
		return store.List{Prefix: r.URL.Query().Get("prefix")}, nil
	})
	handle(http.MethodGet, wire.PathKV+"/*key", func(_ *http.Request, ps httprouter.Params) (store.Call, error) {
		return store.Get{Key: keyParam(ps)}, nil
	})
	handle(http.MethodPut, wire.PathKV+"/*key", decodePut)
	handle(http.MethodDelete, wire.PathKV+"/*key", func(_ *http.Request, ps httprouter.Params) (store.Call, error) {
		return store.Delete{Keys: []string{keyParam(ps)}}, nil
	})
	handle(http.MethodPost, wire.PathKVDelete, func(r *http.Request, _ httprouter.Params) (store.Call, error) {
		var body wire.DeleteRequest
		err := json.NewDecoder(r.Body).Decode(&body)
		return store.Delete{Keys: body.Keys}, err
	})
	handle(http.MethodPost, wire.PathLeases, func(r *http.Request, _ httprouter.Params) (store.Call, error) {
		var body wire.LeaseRequest
		err := json.NewDecoder(r.Body).Decode(&body)
		return store.Grant{TimeToLive: time.Duration(body.TimeToLiveMS) * time.Millisecond}, err
	})
	handle(http.MethodPut, wire.PathLeases+"/:id", func(_ *http.Request, ps httprouter.Params) (store.Call, error) {
		return store.Renew{Lease: ps.ByName("id")}, nil
	})
	handle(http.MethodDelete, wire.PathLeases+"/:id", func(_ *http.Request, ps httprouter.Params) (store.Call, error) {
		return store.Revoke{Lease: ps.ByName("id")}, nil
	})
	handle(http.MethodGet, wire.PathWatch, decodeWatch)
	handle(http.MethodGet, wire.PathHosts, func(r *http.Request, _ httprouter.Params) (store.Call, error) {
		raw := r.URL.Query().Get("since")
		if raw == "" {
			return store.Hosts{}, nil
		}
		since, err := strconv.ParseInt(raw, 10, 64)
		return store.Hosts{Since: since}, err
	})
}

// keyParam returns the key without the slash that begins a catch-all parameter.
func keyParam(ps httprouter.Params) string { return ps.ByName("key")[1:] }

func decodePut(r *http.Request, ps httprouter.Params) (store.Call, error) {
	var body wire.PutRequest
	err := json.NewDecoder(r.Body).Decode(&body)
	return store.Put{Key: keyParam(ps), Value: body.Value, IfRevision: body.IfRevision, Lease: body.Lease}, err
}

func decodeWatch(r *http.Request, _ httprouter.Params) (store.Call, error) {
	q := r.URL.Query()
	since, err := strconv.ParseInt(q.Get("since"), 10, 64)
	if err != nil {
		return nil, err
	}
	wait, err := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	return store.Watch{Prefix: q.Get("prefix"), Since: since, Wait: time.Duration(wait) * time.Millisecond}, err
}

// handleCall passes a call to the reducer and writes the answer.
func (p *platform) handleCall(w http.ResponseWriter, r *http.Request, call store.Call) {
	id, a, ok := p.roundTrip(r.Context(), func(id uint64, at core.Time) store.Event {
		return store.Event{At: at, Body: store.CallReceived{Request: store.RequestID(id), Call: call}}
	})
	if !ok {
		p.abandon(store.RequestID(id))
		return
	}
	sleep(r.Context(), a.Delay)
	if a.Dropped {
		panic(http.ErrAbortHandler)
	}
	if a.Status == store.OK && a.Body == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	writeJSON(w, storeStatus[a.Status], a.Body)
}

// abandon tells the reducer that the caller no longer waits. It does not use
// the caller's context, which has ended.
func (p *platform) abandon(id store.RequestID) {
	p.post(context.Background(), store.RequestAbandoned{Request: id})
}

var storeStatus = map[store.Status]int{
	store.OK:          http.StatusOK,
	store.NotFound:    http.StatusNotFound,
	store.Conflict:    http.StatusConflict,
	store.TooLarge:    http.StatusRequestEntityTooLarge,
	store.RateLimited: http.StatusTooManyRequests,
	store.Unavailable: http.StatusServiceUnavailable,
}

// writeJSON writes body as JSON with its Content-Length.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_, _ = w.Write(data)
}
