package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/internal/ingress"
	"banyanrun.example/banyanrun/keys"
)

// writeTimeout bounds one write to a connection. Until it expires, a client that
// does not read occupies memory and one of the slots for requests in progress.
const writeTimeout = 30 * time.Second

// wrapListener adds the bounds of a gate to a listener, and TLS unless the daemon is
// insecure.
func (d *Daemon) wrapListener(l net.Listener, gate *ingress.Gate, config func(*keys.Store) *tls.Config) net.Listener {
	bounded := gate.Limit(l)
	if d.keys == nil {
		return bounded
	}
	return tls.NewListener(bounded, config(d.keys))
}

// loadKeys loads the certificate files. It returns nil with --insecure.
func loadKeys(settings Settings) (*keys.Store, error) {
	if settings.Insecure {
		return nil, nil
	}
	store, err := keys.Load(settings.Files(), core.RoleHost)
	if err != nil {
		return nil, fmt.Errorf("settings --cert, --key and --ca: %w", err)
	}
	return store, nil
}

// watchKeys reloads the certificate files when they change.
func (d *Daemon) watchKeys(ctx context.Context) {
	if d.keys == nil {
		return
	}
	d.metrics.GetOrCreateGauge("banyanrun_certificate_expires_unix_seconds", func() float64 {
		return float64(d.keys.NotAfter().Unix())
	})
	d.keys.Watch(ctx, d.settings.KeysCheck, func(err error) {
		if err != nil {
			d.metrics.GetOrCreateCounter(`banyanrun_key_reloads_total{result="failed"}`).Inc()
			d.log.Error().Err(err).Msg("cannot load changed certificate files; the previous ones stay in use")
			return
		}
		d.metrics.GetOrCreateCounter(`banyanrun_key_reloads_total{result="ok"}`).Inc()
		d.log.Info().Time("expires", d.keys.NotAfter()).Msg("certificate files reloaded")
		d.peerClient.CloseIdleConnections()
	})
}

// generationContextKey is the context key of the generation of the certificate
// files that a connection was accepted with.
type generationContextKey struct{}

// connContext stores the current generation of the certificate files in the
// context of a new connection.
func (d *Daemon) connContext(ctx context.Context, _ net.Conn) context.Context {
	if d.keys == nil {
		return ctx
	}
	return context.WithValue(ctx, generationContextKey{}, d.keys.Generation())
}

// closeStaleConnections closes a connection after its next response if the
// certificate files have changed since it was accepted, so that connections
// verified against a removed authority do not stay open.
func (d *Daemon) closeStaleConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.keys != nil && r.Context().Value(generationContextKey{}) != d.keys.Generation() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Limits on the log lines about failed connections, which any client can cause.
const (
	connectionLogBurst  = 10
	connectionLogPeriod = time.Minute
)

// connectionErrorLog returns the error log of an HTTP server. It counts connection
// errors such as failed handshakes, and logs a limited number of them.
func (d *Daemon) connectionErrorLog() *stdlog.Logger {
	return stdlog.New(&connectionErrorWriter{
		count: d.metrics.GetOrCreateCounter("banyanrun_connection_errors_total"),
		log:   d.log.Sample(&zerolog.BurstSampler{Burst: connectionLogBurst, Period: connectionLogPeriod}),
	}, "", 0)
}

// connectionErrorWriter is the writer behind an HTTP server's error log.
type connectionErrorWriter struct {
	count *metrics.Counter
	log   zerolog.Logger
}

// Write implements io.Writer.
func (w *connectionErrorWriter) Write(line []byte) (int, error) {
	w.count.Inc()
	w.log.Warn().Str("cause", strings.TrimSpace(string(line))).Msg("connection failed")
	return len(line), nil
}
