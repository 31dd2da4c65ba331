// Package host implements the scheduler's daemon on the users' platform. It runs
// the reducer on one goroutine and executes its effects on others.
package host

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/control"
	"banyanrun.example/banyanrun/exchange"
	"banyanrun.example/banyanrun/internal/drain"
	"banyanrun.example/banyanrun/internal/ingress"
	"banyanrun.example/banyanrun/internal/loglimit"
	"banyanrun.example/banyanrun/platform"
	"banyanrun.example/banyanrun/scheduler"
)

const (
	// logTimeFormat has milliseconds, so that the logs of several hosts can be
	// merged by time.
	logTimeFormat = "2006-01-02T15:04:05.000Z07:00"
	// tickPeriod is the interval between Tick events. Of the work that a caller
	// waits for, only retries depend on it.
	tickPeriod = 50 * time.Millisecond
	// mailboxSize is the number of events that can queue for the reducer.
	mailboxSize = 4096
	// storeTimeout bounds a call to the store, which usually answers in 4 ms and,
	// when it is very slow, in more than a second. Urgent calls are retried before
	// the timeout.
	storeTimeout = 2500 * time.Millisecond
	// orderTimeout bounds an order to a worker: two round trips between regions
	// and the delay on a busy host.
	orderTimeout = 700 * time.Millisecond
	// maxIdlePeerConnections is the number of idle connections kept to each host.
	maxIdlePeerConnections = 8
	// headerTimeout bounds the time to read a request header, idleTimeout the time
	// for which a connection stays open without a request.
	headerTimeout = 3 * time.Second
	idleTimeout   = 15 * time.Second
	// maxHeaderBytes bounds the size of a request header.
	maxHeaderBytes = 16 << 10
	// shutdownTimeout bounds the wait for open requests after a host has drained.
	// Together with the drain it stays below the 6 s after which the platform
	// kills the process.
	shutdownTimeout = 2 * time.Second
)

// zerolog has one time format for the whole process.
func init() { zerolog.TimeFieldFormat = logTimeFormat }

// Daemon is one scheduler process.
type Daemon struct {
	settings *platform.Settings
	options  Options
	log      zerolog.Logger
	// clientLog is for lines that clients cause, of which it writes a bounded number.
	clientLog zerolog.Logger
	// callLog is for lines about failed calls, with a bound of its own.
	callLog   zerolog.Logger
	writer    *logWriter
	decisions decisionLog
	metrics   *daemonMetrics

	store   *platform.StoreClient
	workers *platform.WorkerClient
	advice  *platform.AdviceClient
	peers   *exchange.Client

	loop   *control.Loop[scheduler.Input, scheduler.Effect]
	config atomic.Pointer[platform.Configuration]
	ready  atomic.Bool
	// callerServer serves the callers' requests. It is nil until Run sets it.
	callerServer atomic.Pointer[drain.Server]

	agentCalls *agentCalls
	// runCtx is the context of Run. peerOrders holds the goroutines that execute
	// orders of other hosts.
	runCtx     context.Context
	peerOrders conc.WaitGroup

	lastToken atomic.Uint64
	mu        sync.Mutex
	pending   map[scheduler.Token]chan scheduler.Answer

	stopped     chan struct{}
	stoppedOnce sync.Once
}

// Options are the settings that do not come from the platform's settings file.
type Options struct {
	// MetricsPort, if not 0, is a separate port on which metrics are served.
	MetricsPort int
	// Seed is the seed of the scheduler's random numbers.
	Seed uint64
	// PeerListen, if set, is the address on which this host listens for other
	// hosts. They connect to the address in the settings file, where a forwarder
	// passes their connections on.
	PeerListen string
	// MemoryMB bounds what clients may hold if the platform's settings name no memory
	// limit.
	MemoryMB int
}

// New returns a daemon that logs to out. It starts with Run.
func New(settings *platform.Settings, out io.Writer, opts Options) *Daemon {
	writer := newLogWriter(out)
	logger := zerolog.New(writer).With().Timestamp().Str("host", settings.Host).Logger()
	d := &Daemon{
		settings: settings, options: opts, log: logger, writer: writer, decisions: decisionLog{log: logger},
		metrics: newDaemonMetrics(),
		store:   platform.NewStoreClient(settings.StoreAddress, storeTimeout),
		workers: platform.NewWorkerClient(orderTimeout),
		advice:  platform.NewAdviceClient(settings.AdviceAddress),
		peers:   exchange.NewClient(orderTimeout, maxIdlePeerConnections),
		pending: map[scheduler.Token]chan scheduler.Answer{}, stopped: make(chan struct{}),
	}
	d.decisions.droppedTotal = d.metrics.logLinesDropped
	d.clientLog = loglimit.New(logger, maxClientLogLines, time.Second, d.metrics.logLinesDropped)
	d.callLog = loglimit.New(logger, maxClientLogLines, time.Second, d.metrics.logLinesDropped)
	d.agentCalls = d.newAgentCalls()
	reducer := scheduler.New(scheduler.Self{
		Host: settings.Host, Address: settings.PeerAddress, Zone: settings.Zone, Power: settings.MilliCPU, Seed: opts.Seed,
	}, settings.Limits)
	d.loop = control.New(control.Config[scheduler.Input, scheduler.Effect]{
		Step: reducer.Step, Execute: d.execute, ExecuteInline: d.executeImmediate,
		Tick: func() scheduler.Input { return newInput(scheduler.Tick{}) }, TickPeriod: tickPeriod, MailboxSize: mailboxSize,
	})
	return d
}

// post queues an event for the reducer, stamped with the current time.
func (d *Daemon) post(ctx context.Context, e scheduler.Event) { d.loop.Post(ctx, newInput(e)) }

// Stop starts a graceful shutdown.
func (d *Daemon) Stop(ctx context.Context) { d.post(ctx, scheduler.StopRequested{}) }

// Run serves until ctx is done or a graceful shutdown is complete.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.writer.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.runCtx = ctx
	defer d.peerOrders.Wait()
	peers := d.settings.PeerAddress
	if d.options.PeerListen != "" {
		peers = d.options.PeerListen
	}
	var goroutines conc.WaitGroup
	defer goroutines.Wait()
	gates, err := d.newGates()
	if err != nil {
		return err
	}
	var servers []*drain.Server
	for _, s := range []struct {
		address string
		gate    *ingress.Gate
		routes  http.Handler
	}{
		{d.settings.CallerAddress, gates.callers, http.HandlerFunc(d.serveCaller)},
		{peers, gates.peers, d.peerRoutes(gates.peers)},
		{d.settings.ReadyAddress, gates.observers, d.readyRoutes()},
	} {
		server, err := d.serve(ctx, s.address, s.gate, s.routes, goroutines.Go, func(err error) {
			d.log.Error().Err(err).Str("event", "listener").Str("outcome", "failed").Str("address", s.address).Send()
			cancel()
		})
		if err != nil {
			cancel()
			d.closeServers(servers)
			return err
		}
		servers = append(servers, server)
	}
	d.callerServer.Store(servers[0])
	d.serveMetrics(ctx, gates.observers, &goroutines)
	goroutines.Go(func() { d.loop.Run(ctx) })
	for _, f := range []follower{d.followConfig(), d.followWorkers(), d.followOwner()} {
		goroutines.Go(func() { d.follow(ctx, f) })
	}
	d.log.Info().Str("event", "process").Str("outcome", "started").Str("zone", d.settings.Zone).
		Str("callers", d.settings.CallerAddress).Str("peers", d.settings.PeerAddress).Send()
	select {
	case <-ctx.Done():
	case <-d.stopped:
	}
	d.shutdown(servers[:2])
	cancel()
	d.closeServers(servers)
	d.log.Info().Str("event", "process").Str("outcome", "stopped").Send()
	return nil
}

// closeServers closes servers without waiting for open requests.
func (d *Daemon) closeServers(servers []*drain.Server) {
	for _, s := range servers {
		if err := s.Close(); err != nil {
			d.log.Warn().Err(err).Str("event", "listener").Str("outcome", "close_failed").Send()
		}
	}
}

// serveMetrics serves the metrics on their own port, if there is one. If that port
// is taken it logs a warning and continues, because the metrics are also served on
// the address of the readiness check.
func (d *Daemon) serveMetrics(ctx context.Context, gate *ingress.Gate, goroutines *conc.WaitGroup) {
	if d.options.MetricsPort == 0 {
		return
	}
	address := net.JoinHostPort(d.settings.Address, strconv.Itoa(d.options.MetricsPort))
	listener, err := gate.Listen(ctx, address)
	if err != nil {
		d.log.Warn().Err(err).Str("event", "listener").Str("outcome", "no_metrics_port").Str("address", address).Send()
		return
	}
	router := httprouter.New()
	router.Handler(http.MethodGet, metricsPath, d.metrics)
	server := d.newServer(router)
	gate.Configure(server)
	goroutines.Go(func() {
		if err := server.Serve(gate.Limit(listener)); !errors.Is(err, http.ErrServerClosed) {
			d.log.Warn().Err(err).Str("event", "listener").Str("outcome", "metrics_failed").Send()
		}
	})
	context.AfterFunc(ctx, func() { server.Close() })
}

// shutdown stops servers and waits for requests in progress, at most for
// shutdownTimeout.
func (d *Daemon) shutdown(servers []*drain.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			d.log.Warn().Err(err).Str("event", "process").Str("outcome", "requests_cut").Send()
		}
	}
}

// newServer returns a server with limits for slow and idle clients.
func (d *Daemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil,
	}
}
