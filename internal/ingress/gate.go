// Package ingress bounds what the clients of a listener may hold: the connections, the
// bytes in the kernel's buffers, request headers and bodies while they are read, what
// they become when they are decoded, and what waits for an answer or to be read.
//
// The decisions are in package budget. A Gate shares one budget.Reducer among the
// goroutines of a server and executes its effects.
package ingress

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/internal/ingress/budget"
)

const (
	// connHeapBytes covers a connection's goroutines, its buffers for reading and
	// writing of 4 KiB each, and the state of its server. tlsHeapBytes is added with
	// TLS.
	connHeapBytes = 20 << 10
	tlsHeapBytes  = 32 << 10
	// minKernelBuffer is the smallest buffer that the kernel gives a socket.
	minKernelBuffer = 4 << 10
	// kernelBufferFactor is the ratio of the memory that the kernel uses for a
	// socket's buffer to the size that was set.
	kernelBufferFactor = 2
	// smallRequestBytes is the memory up to which a request counts as small. It covers
	// an ordinary job of some KiB while it is decoded.
	smallRequestBytes = 256 << 10
	// smallBodyBytes is the size up to which a body is decoded without waiting for its
	// turn. Decoding it takes less than a millisecond.
	smallBodyBytes = 16 << 10
	// largeDecodeShare is the share of the processors that decode large bodies, so that
	// the control goroutine and small requests get theirs.
	largeDecodeShare = 0.5
)

// Config describes a gate.
type Config struct {
	// Port names the listener in metrics and logs.
	Port string
	// Bytes bounds the memory of all clients, Connections their number.
	Bytes       int64
	Connections int
	// ReceiveBuffer and SendBuffer are the sizes of the kernel's buffers for each
	// connection.
	ReceiveBuffer, SendBuffer int
	// TLS means that the connections are encrypted.
	TLS bool
	// WriteTimeout bounds one write, so that a client that does not read is closed.
	WriteTimeout time.Duration
	// BodyTimeout, if set, bounds the time in which no byte of a body arrives.
	BodyTimeout time.Duration
	// RefusedConnections, if set, counts the connections that were not admitted.
	RefusedConnections *metrics.Counter
	// Metrics receives the gate's metrics.
	Metrics *metrics.Set
	// Log receives a line for each connection that is closed to make room.
	Log zerolog.Logger
}

// Gate admits the clients of one listener.
type Gate struct {
	cfg     Config
	started time.Time
	// decodes holds a token for each large body that is being decoded.
	decodes chan struct{}
	evicted *metrics.Counter
	refused *metrics.Counter

	mu      sync.Mutex
	reducer *budget.Reducer
	lastID  budget.ID
	// waiting holds the channels of the holders that wait for a decision.
	waiting map[budget.ID]chan error
	conns   map[budget.ID]*conn
}

// NewGate returns a gate.
func NewGate(cfg Config) *Gate {
	limits := budget.Limits{
		Bytes: cfg.Bytes, Connections: cfg.Connections, HeapBytes: connHeapBytes, SmallBytes: smallRequestBytes,
		KernelBytes: kernelBufferFactor * int64(max(minKernelBuffer, cfg.ReceiveBuffer)+max(minKernelBuffer, cfg.SendBuffer)),
	}
	if cfg.TLS {
		limits.HeapBytes += tlsHeapBytes
	}
	g := &Gate{
		cfg: cfg, started: time.Now(), decodes: make(chan struct{}, max(1, int(largeDecodeShare*float64(runtime.GOMAXPROCS(0))))), reducer: budget.New(limits),
		waiting: map[budget.ID]chan error{}, conns: map[budget.ID]*conn{},
		evicted: cfg.Metrics.GetOrCreateCounter(`banyanrun_client_evictions_total{port="` + cfg.Port + `"}`),
		refused: cfg.Metrics.GetOrCreateCounter(`banyanrun_client_memory_refusals_total{port="` + cfg.Port + `"}`),
	}
	cfg.Metrics.GetOrCreateGauge(`banyanrun_client_memory_bytes{port="`+cfg.Port+`"}`, func() float64 { return float64(g.sum()) })
	cfg.Metrics.GetOrCreateGauge(`banyanrun_client_connections{port="`+cfg.Port+`"}`, func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return float64(g.reducer.Sockets())
	})
	return g
}

// sum returns what all clients hold.
func (g *Gate) sum() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reducer.Sum()
}

// newID returns an ID for a holder.
func (g *Gate) newID() budget.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	return g.lastID
}

// report passes an event without an answer to the reducer.
func (g *Gate) report(e budget.Event) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step(e)
}

// ask passes an event to the reducer and waits for the answer. It returns nil if the
// memory was granted, and otherwise *RefusedError.
func (g *Gate) ask(id budget.ID, e budget.Event) error {
	answer := make(chan error, 1)
	g.mu.Lock()
	g.waiting[id] = answer
	g.step(e)
	g.mu.Unlock()
	return <-answer
}

// step runs the reducer and executes its effects. The caller holds the lock.
func (g *Gate) step(e budget.Event) {
	for _, f := range g.reducer.Step(time.Since(g.started), e) {
		switch f := f.(type) {
		case budget.Grant:
			g.answer(f.ID, nil)
		case budget.Refuse:
			g.refused.Inc()
			g.answer(f.ID, &RefusedError{TooLarge: f.TooLarge})
		case budget.Evict:
			g.evict(f)
		}
	}
}

func (g *Gate) answer(id budget.ID, err error) {
	g.waiting[id] <- err
	delete(g.waiting, id)
}

// evict closes a connection to make room. Its server notices and releases the rest.
func (g *Gate) evict(e budget.Evict) {
	g.evicted.Inc()
	c := g.conns[e.ID]
	g.cfg.Log.Info().Str("event", "client").Str("outcome", "evicted").Str("port", g.cfg.Port).Str("client", c.RemoteAddr().String()).
		Int64("held_bytes", e.Bytes).Int64("held_ms", e.Age.Milliseconds()).Int64("sum_bytes", g.reducer.Sum()).Msg("connection closed to make room")
	c.abort()
}

// Listen listens on a TCP address with the gate's buffer sizes, which accepted
// connections inherit.
func (g *Gate) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: g.setBuffers}
	return config.Listen(ctx, "tcp", address)
}

// Limit returns a listener that accepts connections within the gate's bounds.
func (g *Gate) Limit(l net.Listener) net.Listener { return &listener{Listener: l, gate: g} }

// Hold charges work that outlives its request. The returned function ends it.
func (g *Gate) Hold(bytes int64) (release func(), err error) {
	id := g.newID()
	if err := g.ask(id, budget.Held{ID: id, Bytes: bytes}); err != nil {
		return nil, err
	}
	return func() { g.report(budget.Closed{ID: id}) }, nil
}

// Configure sets up a server whose connections come from a listener of Limit.
func (g *Gate) Configure(s *http.Server) {
	next, connContext := s.Handler, s.ConnContext
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c := connOf(r); c != nil {
			c.serve(w, r, next)
			return
		}
		next.ServeHTTP(w, r)
	})
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return withConn(ctx, c)
	}
}
