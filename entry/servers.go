package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/internal/drain"
	"banyanrun.example/banyanrun/internal/ingress"
	"banyanrun.example/banyanrun/keys"
)

// maxPeerConnections bounds the connections of the peers' listener: 64 from each of
// the 72 hosts of the target deployment.
const maxPeerConnections = 72 * maxIdlePeerConnections

// peerPrefix is the path prefix of messages between entry hosts.
const peerPrefix = "/peer/"

// listenPeers opens the listener for peers. It returns nil if peers use the
// callers' address.
func listenPeers(settings Settings, gate *ingress.Gate) (net.Listener, error) {
	if settings.PeerListen == settings.Listen {
		return nil, nil
	}
	l, err := gate.Listen(context.Background(), settings.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", settings.PeerListen, err)
	}
	return l, nil
}

// PeerAddress returns the address on which the daemon listens for peers.
func (d *Daemon) PeerAddress() string {
	if d.peerListener == nil {
		return d.Address()
	}
	return d.peerListener.Addr().String()
}

// newServer returns an HTTP server with the daemon's limits. serve starts it.
func (d *Daemon) newServer(handler http.Handler, gate *ingress.Gate) *http.Server {
	s := &http.Server{
		Handler: d.closeStaleConnections(handler), MaxHeaderBytes: serverMaxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		ConnContext: d.connContext, ErrorLog: d.connectionErrorLog(),
	}
	gate.Configure(s)
	return s
}

// serve starts the HTTP servers. A server that fails sends its error to failed,
// which has room for one error per server.
func (d *Daemon) serve(goroutines *conc.WaitGroup, failed chan<- error) {
	serveListener := func(s *http.Server, l, tcpListener net.Listener) {
		d.servers = append(d.servers, drain.Serve(s, l, tcpListener, goroutines.Go, func(err error) { failed <- err }))
	}
	if d.keys == nil {
		d.log.Warn().Msg("TLS is disabled by --insecure: every client has full access")
	}
	serveListener(d.server, d.wrapListener(d.listener, d.gate, (*keys.Store).ServerConfig), d.listener)
	if d.peerListener != nil {
		serveListener(d.peerServer, d.wrapListener(d.peerListener, d.peerGate, (*keys.Store).PeerServerConfig), d.peerListener)
	}
}

// peersOnly refuses requests that entry hosts do not send and closes their
// connections, so that callers cannot use up the connections of the peers'
// listener.
func peersOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !isForwarded(r) && !strings.HasPrefix(r.URL.Path, peerPrefix) {
			w.Header().Set("Connection", "close")
			writeRefusal(w, &core.Refusal{Reason: core.ReasonForbidden, Message: "this address serves entry hosts only"})
			return
		}
		next.ServeHTTP(w, r)
	})
}
