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
	// defaultWait bounds a request that waits for the reducer's reply.
	defaultReplyTimeout = 60 * time.Second
	// maxWait is the longest wait that a caller may ask for.
	maxWaitTimeout = 10 * time.Minute
	// forwardTimeout bounds a forwarded request. It exceeds maxWait, so that
	// a wait ends at the host that answers it.
	forwardTimeout = maxWaitTimeout + 10*time.Second
)

// original is a caller's request as it can be sent again to another host.
type forwardRequest struct {
	method string
	path   string
	body   []byte
	// requestID is set for interactive requests.
	requestID string
	// identity is the caller's, for the header HeaderForwardedFor.
	identity string
	// movedFrom is the data centre that has moved the job, or empty.
	movedFrom string
}

// isForwarded reports whether another entry host passed the request on.
func isForwarded(r *http.Request) bool { return r.Header.Get(wire.HeaderForwarded) != "" }

// movedFrom returns the data centre that has moved the request's job here, or an
// empty name. Only a host may say so, as with HeaderForwarded.
func movedFrom(r *http.Request) string {
	if !isForwarded(r) {
		return ""
	}
	return r.Header.Get(wire.HeaderMovedFrom)
}

// question is a request that the reducer answers.
type reducerRequest struct {
	// body is the caller's body, for forwarding.
	body []byte
	// wait bounds the wait for the answer.
	timeout time.Duration
	// event builds the event that asks.
	newEvent func(core.RequestID) core.EventBody
	// answer writes the reducer's reply.
	onReply func(core.Reply)
	// expired answers when wait has passed. The default is a refusal.
	onTimeout func()
}

// ask posts an event and answers the request with the reducer's reply. It
// forwards the request when the reducer says so.
func (d *Daemon) askReducer(w http.ResponseWriter, r *http.Request, req reducerRequest) {
	id, replies := d.pending.register()
	defer d.pending.remove(id)
	ctx, cancel := context.WithTimeout(r.Context(), req.timeout)
	defer cancel()
	if !d.post(ctx, req.newEvent(id)) {
		writeRefusal(w, &core.Refusal{Reason: core.ReasonDraining, Message: "host is stopping"})
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
			answered, verdict := d.forward(ctx, w, original, forward)
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
				Message: "no answer yet; ask for the status",
			})
			return
		}
	}
}

// dialVerdict tells a request that was never sent from one that may have been
// carried out.
func sendVerdict(err error) core.Verdict {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return core.NotRun
	}
	return core.MayHaveRun
}
