package entry

import (
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/internal/drain"
	"banyanrun.example/banyanrun/keys"
)

// maxPeerConnections bounds the connections of the peers' own listener: 64 of
// each of the 72 hosts of the target.
const maxPeerConnections = 72 * peerConnections

// peerPrefix begins the paths of the messages between entry hosts.
const peerPrefix = "/peer/"

// listenPeers opens the peers' own address. It returns nil if that is the
// address of the callers.
func listenPeers(set Settings) (net.Listener, error) {
	if set.PeerListen == set.Listen {
		return nil, nil
	}
	l, err := net.Listen("tcp", set.PeerListen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", set.PeerListen, err)
	}
	return l, nil
}

// PeerAddress returns the address that the daemon listens on for peers.
func (d *Daemon) PeerAddress() string {
	if d.peerListener == nil {
		return d.Address()
	}
	return d.peerListener.Addr().String()
}

// newServer returns a server that does not serve yet.
func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: d.closeStale(handler), MaxHeaderBytes: hardHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		ConnContext: d.connContext, ErrorLog: d.listenerLog(),
	}
}

// serve starts the servers. The first failure of one is sent to failed, which
// holds one for each.
func (d *Daemon) serve(parts *conc.WaitGroup, failed chan<- error) {
	run := func(s *http.Server, l, raw net.Listener) {
		d.servers = append(d.servers, drain.Serve(s, l, raw, parts.Go, func(err error) { failed <- err }))
	}
	if d.keys == nil {
		d.log.Warn().Msg("insecure by its settings: without TLS, everybody may do everything")
	}
	run(d.server, d.accepting(d.listener, d.set.MaxConnections, "banyanrun_connections_refused_total", (*keys.Store).ServerConfig), d.listener)
	if d.peerListener != nil {
		run(d.peerServer, d.accepting(d.peerListener, maxPeerConnections, "banyanrun_peer_connections_refused_total", (*keys.Store).PeerServerConfig), d.peerListener)
	}
}

// peersOnly refuses requests that no entry host sends and closes their
// connections, so that callers cannot use up the peers' listener.
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
