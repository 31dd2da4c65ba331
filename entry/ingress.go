package entry

import (
	"errors"
	"fmt"
	"net/http"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/internal/ingress"
)

// Shares of the memory of the machine for what clients hold.
const (
	callerMemoryShare = 0.40
	peerMemoryShare   = 0.15
)

// Sizes of the kernel's buffers for a connection.
const (
	callerReceiveBuffer, callerSendBuffer = 16 << 10, 8 << 10
	peerReceiveBuffer, peerSendBuffer     = 32 << 10, 8 << 10
)

// newGate returns a gate for one of the daemon's listeners.
func (d *Daemon) newGate(port string, memoryShare float64, connections, receive, send int, refusedMetric string) *ingress.Gate {
	return ingress.NewGate(ingress.Config{
		Port: port, Bytes: int64(memoryShare * float64(d.settings.MemoryMB<<20)), Connections: connections,
		ReceiveBuffer: receive, SendBuffer: send, TLS: d.keys != nil, WriteTimeout: writeTimeout,
		Metrics: d.metrics, RefusedConnections: d.metrics.GetOrCreateCounter(refusedMetric),
		Log: d.limitedLogger("connection closed to make room"),
	})
}

// readBody reads a request body of at most limit bytes. The request counts as in
// progress once its body is complete.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *core.Refusal) {
	data, err := ingress.ReadBody(w, r, limit)
	if err != nil {
		return nil, bodyRefusal(err)
	}
	if slot := requestSlotOf(r); slot != nil {
		return data, slot.take()
	}
	return data, nil
}

// bodyRefusal returns the refusal of a request whose body cannot be read or decoded.
// The request has not been passed on.
func bodyRefusal(err error) *core.Refusal {
	var tooLong *http.MaxBytesError
	var refused *ingress.RefusedError
	switch {
	case errors.As(err, &tooLong):
		return &core.Refusal{Reason: core.ReasonTooLarge, Message: fmt.Sprintf("body exceeds %d bytes", tooLong.Limit)}
	case errors.As(err, &refused) && refused.TooLarge:
		return &core.Refusal{Reason: core.ReasonTooLarge, Message: refused.Error()}
	case errors.As(err, &refused):
		return &core.Refusal{Reason: core.ReasonMemory, RetryAfter: ingress.RetryAfter, Message: refused.Error()}
	}
	return invalid("body cannot be read: %v", err)
}

// decodeBody runs decode, which decodes a body, within the memory for clients. Afterwards
// the request holds kept times the length of the body, and may take effect.
func decodeBody(r *http.Request, body []byte, kept int64, decode func() *core.Refusal) *core.Refusal {
	var refusal *core.Refusal
	err := ingress.Decode(r, body, func() error {
		refusal = decode()
		return nil
	}, func() int64 { return kept * int64(len(body)) })
	if refusal == nil && err != nil {
		refusal = bodyRefusal(err)
	}
	if refusal == nil {
		ingress.PassOn(r)
	}
	return refusal
}
