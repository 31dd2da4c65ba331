package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

const (
	// defaultReplyTimeout bounds the wait for the reducer's reply to a request.
	defaultReplyTimeout = 60 * time.Second
	// maxWaitTimeout is the longest time that a caller may wait for a job to end
	// in one request.
	maxWaitTimeout = 10 * time.Minute
	// forwardTimeout bounds a forwarded request. It exceeds maxWaitTimeout, so
	// that a wait times out first at the host that serves it.
	forwardTimeout = maxWaitTimeout + 10*time.Second
)

// forwardRequest is a caller's request in the form in which it is forwarded to
// another host.
type forwardRequest struct {
	method string
	path   string
	body   []byte
	// requestID is set for interactive requests.
	requestID string
	// identity is the caller's identity, as the value of HeaderForwardedFor.
	identity string
	// movedFrom is the data centre that moved the job, or empty.
	movedFrom string
}

// isForwarded reports whether another entry host forwarded the request.
func isForwarded(r *http.Request) bool { return r.Header.Get(wire.HeaderForwarded) != "" }

// movedFrom returns the data centre that moved the request's job here, or an empty
// string. The header counts only in requests that an entry host forwarded.
func movedFrom(r *http.Request) string {
	if !isForwarded(r) {
		return ""
	}
	return r.Header.Get(wire.HeaderMovedFrom)
}

// reducerRequest is a request that is served from the reducer's reply.
type reducerRequest struct {
	// body is the body of the caller's request, for forwarding.
	body []byte
	// timeout bounds the wait for the reply.
	timeout time.Duration
	// newEvent returns the event to post to the reducer.
	newEvent func(core.RequestID) core.EventBody
	// onReply writes the response from the reducer's reply.
	onReply func(core.Reply)
	// onTimeout writes the response after the timeout. If it is nil, the request
	// is refused.
	onTimeout func()
}

// askReducer posts the request's event and writes the response from the reducer's
// reply. It forwards the request to another host when the reducer requests that.
func (d *Daemon) askReducer(w http.ResponseWriter, r *http.Request, req reducerRequest) {
	id, replies := d.pending.register()
	defer d.pending.remove(id)
	ctx, cancel := context.WithTimeout(r.Context(), req.timeout)
	defer cancel()
	if !d.post(ctx, req.newEvent(id)) {
		writeRefusal(w, &core.Refusal{Reason: core.ReasonDraining, Message: "host is shutting down"})
		return
	}
	original := &forwardRequest{method: r.Method, path: r.URL.RequestURI(), body: req.body, identity: d.encodeIdentity(r), movedFrom: movedFrom(r)}
	for {
		select {
		case f := <-replies:
			if reply, ok := f.(core.Reply); ok {
				req.onReply(reply)
				return
			}
			forward := f.(core.Forward)
			answered, verdict := d.forward(ctx, w, r, original, forward)
			if answered {
				return
			}
			d.post(ctx, core.ForwardFailed{
				Request: id, Verdict: max(verdict, forward.Verdict), Moved: forward.Moved, Since: forward.Since,
			})
		case <-ctx.Done():
			d.post(context.WithoutCancel(r.Context()), core.RequestAbandoned{Request: id})
			if req.onTimeout != nil && r.Context().Err() == nil {
				req.onTimeout()
				return
			}
			writeRefusal(w, &core.Refusal{
				Reason: core.ReasonDeadline, Verdict: core.MayHaveRun, RetryAfter: time.Second,
				Message: "no reply within the time limit; check the status",
			})
			return
		}
	}
}

// sendVerdict distinguishes a request that was never sent from one that may have
// been executed.
func sendVerdict(err error) core.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return core.NotRun
	}
	return core.MayHaveRun
}
