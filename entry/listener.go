package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/keys"
)

// writeTimeout bounds one write to a connection. A reader that takes in nothing
// for so long holds memory and a place among the requests in progress.
const writeTimeout = 30 * time.Second

// boundedListener closes accepted connections beyond a limit at once, so that
// their clients turn to another host.
type boundedListener struct {
	net.Listener
	slots        chan struct{}
	refused      *metrics.Counter
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.slots <- struct{}{}:
			return &boundedConn{
				Conn: conn, writeTimeout: l.writeTimeout, release: sync.OnceFunc(func() { <-l.slots }),
			}, nil
		default:
			l.refused.Inc()
			_ = conn.Close() // Nothing was sent on it.
		}
	}
}

// boundedConn frees its place when it is closed, and bounds its writes.
type boundedConn struct {
	net.Conn
	writeTimeout time.Duration
	release      func()
}

// Write implements net.Conn.
func (c *boundedConn) Write(data []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}

// accepting returns a listener with a limit, and with TLS unless insecure. The
// metric counts the connections beyond the limit.
func (d *Daemon) wrapListener(l net.Listener, limit int, metric string, config func(*keys.Store) *tls.Config) net.Listener {
	bounded := &boundedListener{
		Listener: l, slots: make(chan struct{}, limit), writeTimeout: writeTimeout,
		refused: d.metrics.GetOrCreateCounter(metric),
	}
	if d.keys == nil {
		return bounded
	}
	return tls.NewListener(bounded, config(d.keys))
}

// loadKeys loads the certificate of the settings, or nothing if insecure.
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

// watchKeys takes changed files of the certificate into use.
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
			d.log.Error().Err(err).Msg("certificate files are not usable; the ones before stay in use")
			return
		}
		d.metrics.GetOrCreateCounter(`banyanrun_key_reloads_total{result="ok"}`).Inc()
		d.log.Info().Time("expires", d.keys.NotAfter()).Msg("certificate files reloaded")
		d.peerClient.CloseIdleConnections()
	})
}

// generationKey is the key of a connection's generation of keys in its context.
type generationContextKey struct{}

// connContext notes the generation of keys at the start of a connection.
func (d *Daemon) connContext(ctx context.Context, _ net.Conn) context.Context {
	if d.keys == nil {
		return ctx
	}
	return context.WithValue(ctx, generationContextKey{}, d.keys.Generation())
}

// closeStale ends a connection after a request if the keys have changed since it
// was accepted, so that an authority that was removed is soon of no use.
func (d *Daemon) closeStaleConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.keys != nil && r.Context().Value(generationContextKey{}) != d.keys.Generation() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Bounds of the log lines about broken connections, which anybody can cause.
const (
	connectionLogBurst  = 10
	connectionLogPeriod = time.Minute
)

// listenerLog counts and logs the errors of connections, such as failed
// handshakes.
func (d *Daemon) connectionErrorLog() *stdlog.Logger {
	return stdlog.New(&connectionErrorWriter{
		count: d.metrics.GetOrCreateCounter("banyanrun_connection_errors_total"),
		log:   d.log.Sample(&zerolog.BurstSampler{Burst: connectionLogBurst, Period: connectionLogPeriod}),
	}, "", 0)
}

// listenerErrors is the writer behind the server's error log.
type connectionErrorWriter struct {
	count *metrics.Counter
	log   zerolog.Logger
}

// Write implements io.Writer.
func (l *connectionErrorWriter) Write(line []byte) (int, error) {
	l.count.Inc()
	l.log.Warn().Str("cause", strings.TrimSpace(string(line))).Msg("connection failed")
	return len(line), nil
}
