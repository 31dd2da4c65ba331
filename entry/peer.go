package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/internal/ingress"
	"banyanrun.example/banyanrun/keys"
	"banyanrun.example/banyanrun/wire"
)

// Paths of messages between entry hosts.
const (
	pathHeartbeat = "/peer/v1/heartbeat"
	pathSummary   = "/peer/v1/summary"
	pathDocuments = "/peer/v1/documents"
)

const (
	// keptPeerMessage is the memory of a decoded message as a multiple of its length.
	keptPeerMessage = 3
	// peerTimeout bounds one message to a peer. Heartbeats are sent every
	// second, so there is no use in delivering a late one.
	peerTimeout = 2 * time.Second
	// peerIdleTimeout bounds the time that an unused connection to a peer is
	// kept open.
	peerIdleTimeout = 10 * time.Second
	// maxIdlePeerConnections bounds the unused connections kept open to one
	// peer.
	maxIdlePeerConnections = 64
)

// newPeerClient returns the HTTP client for requests to peers. It uses mutual TLS
// unless keyStore is nil.
func newPeerClient(keyStore *keys.Store) *http.Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerTimeout}).DialContext,
		IdleConnTimeout:     peerIdleTimeout,
		MaxIdleConnsPerHost: maxIdlePeerConnections,
	}
	if keyStore != nil {
		transport.DialTLSContext = keyStore.Dialer(peerTimeout)
	}
	return &http.Client{Transport: transport}
}

// peerURL returns the URL of a path on a peer.
func (d *Daemon) peerURL(address, path string) string {
	if d.keys == nil {
		return "http://" + address + path
	}
	return "https://" + address + path
}

// sendPeer sends one message to a peer. A lost message is not sent again, since the
// next heartbeat or store poll delivers the same state.
func (d *Daemon) sendPeer(ctx context.Context, address, path string, message any) {
	data, err := json.Marshal(message)
	if err != nil {
		d.logFailure("cannot encode peer message", err, "path", path)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.peerURL(address, path), bytes.NewReader(data))
	if err != nil {
		d.logFailure("peer address is not valid", err, "address", address)
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

// receivePeerMessage decodes a peer's message and posts it as an event.
func receivePeerMessage[M any](d *Daemon, w http.ResponseWriter, r *http.Request, event func(M) core.EventBody) {
	data, refusal := readBody(w, r, maxPeerBody)
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	var m M
	refusal = decodeBody(r, data, keptPeerMessage, func() *core.Refusal {
		if err := json.Unmarshal(data, &m); err != nil {
			return invalid("peer message is not valid: %v", err)
		}
		return nil
	})
	if refusal != nil {
		writeRefusal(w, refusal)
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

// forward forwards a caller's request to another host and copies the response. It
// reports whether it has written one; if not, the verdict says whether the request
// may have run.
func (d *Daemon) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, original *forwardRequest, f core.Forward) (bool, core.Verdict) {
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
	body, release, err := readForwarded(r, resp)
	if err != nil {
		d.logFailure("response of another host cannot be read", err, "address", f.Address)
		return false, core.MayHaveRun
	}
	defer release()
	if resp.Header.Get(wire.HeaderReason) == string(core.ReasonNoOwner) {
		return false, core.NotRun // The other host is no longer the owner.
	}
	for _, name := range []string{"Content-Type", "Retry-After", wire.HeaderVerdict, wire.HeaderReason, wire.HeaderDigest, wire.HeaderWorker} {
		if v := resp.Header.Get(name); v != "" {
			w.Header().Set(name, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(body) // An error means that the caller has disconnected.
	return true, core.Ran
}

// readForwarded reads the response to a forwarded request within the memory for clients.
// The returned function releases that memory.
func readForwarded(r *http.Request, resp *http.Response) (body []byte, release func(), err error) {
	if resp.ContentLength < 0 || resp.ContentLength > maxPeerBody {
		return nil, nil, fmt.Errorf("response of %d bytes, allowed %d", resp.ContentLength, maxPeerBody)
	}
	if release, err = ingress.Hold(r, resp.ContentLength); err != nil {
		return nil, nil, err
	}
	body = make([]byte, resp.ContentLength)
	if _, err = io.ReadFull(resp.Body, body); err != nil {
		release()
		return nil, nil, err
	}
	return body, release, nil
}
