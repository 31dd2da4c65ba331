package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/keys"
	"banyanrun.example/banyanrun/wire"
)

// Paths of the messages between entry hosts.
const (
	pathHeartbeat = "/peer/v1/heartbeat"
	pathSummary   = "/peer/v1/summary"
	pathDocuments = "/peer/v1/documents"
)

const (
	// peerTimeout bounds one message to a peer. Heartbeats are sent anew
	// every second, so a late one is worth nothing.
	peerTimeout = 2 * time.Second
	// peerIdle bounds the time that a connection to a peer stays unused.
	peerIdleTimeout = 10 * time.Second
	// peerConnections bounds the connections to one peer.
	maxIdlePeerConnections = 64
)

// newPeerClient returns the client for messages to peers. It uses mutual TLS
// unless store is nil.
func newPeerClient(store *keys.Store) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
		IdleConnTimeout:     peerIdleTimeout,
		MaxIdleConnsPerHost: maxIdlePeerConnections,
	}
	if store != nil {
		transport.DialTLSContext = store.Dialer(peerTimeout)
	}
	return &http.Client{Transport: transport}
}

// peerURL returns the URL of a path at a peer.
func (d *Daemon) peerURL(address, path string) string {
	if d.keys == nil {
		return "http://" + address + path
	}
	return "https://" + address + path
}

// sendPeer sends one message. A lost message is not sent again: the next
// heartbeat or the poll of the store makes up for it.
func (d *Daemon) sendPeer(ctx context.Context, address, path string, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		d.logFailure("message cannot be encoded", err, "path", path)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.peerURL(address, path), bytes.NewReader(data))
	if err != nil {
		d.logFailure("peer address is not usable", err, "address", address)
		return
	}
	req.Header.Set("Content-Type", "application/json")
	result := "ok"
	resp, err := d.peerClient.Do(req)
	if err != nil {
		result = "failed"
	} else {
		_, _ = io.Copy(io.Discard, resp.Body) // The body is empty.
		_ = resp.Body.Close()
		if resp.StatusCode >= http.StatusBadRequest {
			result = "refused"
		}
	}
	d.metrics.GetOrCreateCounter(`banyanrun_peer_messages_total{path="` + path + `",result="` + result + `"}`).Inc()
	d.metrics.GetOrCreateCounter(`banyanrun_peer_bytes_total{path="` + path + `"}`).Add(len(data))
}

// receive decodes a peer's message and posts it as an event.
func receivePeerMessage[M any](d *Daemon, w http.ResponseWriter, r *http.Request, event func(M) core.EventBody) {
	data, refusal := readBody(w, r, maxPeerBody)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	var m M
	if err := json.Unmarshal(data, &m); err != nil {
		writeRefusal(w, invalid("message: %v", err))
		return
	}
	d.post(r.Context(), event(m))
	w.WriteHeader(http.StatusNoContent)
}

func (d *Daemon) receiveHeartbeat(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	receivePeerMessage(d, w, r, func(m wire.Heartbeat) core.EventBody {
		return core.PeerHeard{Heartbeat: core.Heartbeat(m)}
	})
}

func (d *Daemon) receiveSummary(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	receivePeerMessage(d, w, r, func(m core.Summary) core.EventBody { return core.SummaryHeard{Summary: m} })
}

func (d *Daemon) receiveDocuments(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	receivePeerMessage(d, w, r, func(m core.DocumentsRead) core.EventBody { return m })
}

// forward passes a caller's request on to another host and copies the answer.
// It returns a verdict if there was no whole answer.
func (d *Daemon) forward(ctx context.Context, w http.ResponseWriter, original *forwardRequest, f core.Forward) (bool, core.Verdict) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, original.method, d.peerURL(f.Address, original.path), bytes.NewReader(original.body))
	if err != nil {
		return false, core.NotRun
	}
	req.Header.Set(wire.HeaderForwarded, d.settings.Host)
	switch {
	case f.Moved != "":
		req.Header.Set(wire.HeaderMovedFrom, d.settings.DataCentre)
	case original.movedFrom != "":
		req.Header.Set(wire.HeaderMovedFrom, original.movedFrom)
	}
	if original.identity != "" {
		req.Header.Set(wire.HeaderForwardedFor, original.identity)
	}
	req.Header.Set("Content-Type", "application/json")
	if original.requestID != "" {
		req.Header.Set(wire.HeaderRequestID, original.requestID)
	}
	resp, err := d.peerClient.Do(req)
	if err != nil {
		return false, sendVerdict(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerBody))
	if err != nil {
		return false, core.MayHaveRun
	}
	if resp.Header.Get(wire.HeaderReason) == string(core.ReasonNoOwner) {
		return false, core.NotRun // It is no longer the owner.
	}
	for _, name := range []string{"Content-Type", "Retry-After", wire.HeaderVerdict, wire.HeaderReason, wire.HeaderDigest, wire.HeaderWorker} {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body) // A caller that has gone needs no answer.
	return true, core.Ran
}
