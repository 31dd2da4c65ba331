package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/control"
	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/grant"
	"banyanrun.example/banyanrun/internal/drain"
	"banyanrun.example/banyanrun/internal/ingress"
	"banyanrun.example/banyanrun/keys"
	"banyanrun.example/banyanrun/storeclient"
	"banyanrun.example/banyanrun/upstream"
)

const (
	// mailboxSize is the number of events that may be queued for the reducer.
	mailboxSize = 4096
	// maxReportInterval is the longest time between two reports of grant usage
	// to the reducer.
	maxReportInterval = time.Second
	// minReportInterval limits the rate of reports while grant usage changes
	// often.
	minReportInterval = 50 * time.Millisecond
	// drainPollInterval is how often a draining host checks for calls that wait
	// for a grant.
	drainPollInterval = 50 * time.Millisecond
	// maxHeaderBytes bounds the request line and headers of a request.
	// serverMaxHeaderBytes is the higher limit at which the HTTP server stops
	// reading them and closes the connection.
	maxHeaderBytes       = 16 << 10
	serverMaxHeaderBytes = 64 << 10
	// perHeaderOverhead is the length of the separators in one header line.
	perHeaderOverhead = len(": ") + len("\r\n")
	// readHeaderTimeout bounds the time to read a request's headers.
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds the time to read a whole request.
	readTimeout = time.Minute
	// idleTimeout bounds the time between two requests on one connection.
	idleTimeout = 2 * time.Minute
)

// Daemon is the daemon of one entry host. It connects the HTTP API to the reducer
// and executes the reducer's effects.
type Daemon struct {
	settings     Settings
	log          zerolog.Logger
	logLimiter   logLimiter
	clock        clock
	store        storeclient.Store
	hostLister   storeclient.HostLister
	workerClient *upstream.Client
	peerClient   *http.Client
	loop         *control.Loop[core.Event, core.Effect]
	reducer      *core.Reducer
	grants       *grant.Pool
	callOutcomes *grant.CallDeduplicator
	pending      *pendingRequests
	metrics      *metrics.Set
	recorder     *recorder
	requestSlots chan struct{}
	// keys is nil with --insecure.
	keys *keys.Store

	ready         atomic.Bool
	draining      atomic.Bool
	stopped       chan struct{}
	stoppedClosed atomic.Bool
	// gate bounds what callers hold, peerGate what other hosts hold.
	gate, peerGate *ingress.Gate
	listener       net.Listener
	server         *http.Server
	// peerListener is nil if peers connect to the callers' address.
	peerListener net.Listener
	peerServer   *http.Server
	// servers are the running HTTP servers, one for each listener.
	servers []*drain.Server
}

// New returns a daemon that listens on its addresses. It accepts no connections
// until Run is called.
func New(settings Settings, log zerolog.Logger) (*Daemon, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	keyStore, err := loadKeys(settings)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	store := storeclient.New(storeclient.Config{Address: settings.Platform, CallTimeout: settings.StoreTimeout})
	d := &Daemon{
		settings: settings, log: log, clock: clock{started}, store: store, hostLister: store,
		workerClient: upstream.New(upstream.Config{
			DialTimeout: settings.WorkerTimeout, CallTimeout: settings.WorkerTimeout,
		}),
		peerClient: newPeerClient(keyStore), pending: newPendingRequests(), metrics: metrics.NewSet(),
		requestSlots: make(chan struct{}, settings.MaxRequests), stopped: make(chan struct{}),
		keys: keyStore,
	}
	if err := d.listen(); err != nil {
		return nil, err
	}
	cfg := settings.reducerConfig(started)
	d.reducer = core.New(cfg)
	d.grants = grant.NewPool(d.clock.now)
	d.callOutcomes = grant.NewCallDeduplicator(d.clock.now)
	if d.recorder, err = newRecorder(settings.Record, cfg); err != nil {
		return nil, err
	}
	d.loop = control.New(control.Config[core.Event, core.Effect]{
		Step: d.step, Execute: d.execute, ExecuteInline: d.executeImmediate,
		Tick:       func() core.Event { return core.Event{At: d.clock.now(), Body: core.Tick{}} },
		TickPeriod: core.TickPeriod, MailboxSize: mailboxSize, Observe: d.observeStep,
	})
	routes := d.routes()
	d.server, d.peerServer = d.newServer(routes, d.gate), d.newServer(peersOnly(routes), d.peerGate)
	return d, nil
}

// listen opens the daemon's listeners within the bounds for clients.
func (d *Daemon) listen() error {
	d.gate = d.newGate("callers", callerMemoryShare, d.settings.MaxConnections, callerReceiveBuffer, callerSendBuffer, "banyanrun_connections_refused_total")
	d.peerGate = d.newGate("peers", peerMemoryShare, maxPeerConnections, peerReceiveBuffer, peerSendBuffer, "banyanrun_peer_connections_refused_total")
	var err error
	if d.listener, err = d.gate.Listen(context.Background(), d.settings.Listen); err != nil {
		return fmt.Errorf("listen on %s: %w", d.settings.Listen, err)
	}
	if d.peerListener, err = listenPeers(d.settings, d.peerGate); err != nil {
		d.listener.Close()
		return err
	}
	return nil
}

// Address returns the address on which the daemon listens for callers and
// operators.
func (d *Daemon) Address() string { return d.listener.Addr().String() }

// Run serves until ctx is cancelled, then drains: it hands over its data centre if it
// is the owner, lets requests in progress finish and returns.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var goroutines conc.WaitGroup
	goroutines.Go(func() { d.loop.Run(runCtx) })
	goroutines.Go(func() { d.reportCalls(runCtx) })
	goroutines.Go(func() { d.watchKeys(runCtx) })
	failed := make(chan error, 2)
	d.serve(&goroutines, failed)
	d.log.Info().Str("address", d.Address()).Str("host", d.settings.Host).
		Str("data_centre", d.settings.DataCentre).Msg("serving")
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		d.drain(runCtx)
	}
	stop()
	goroutines.Wait()
	d.workerClient.Close()
	return errors.Join(err, d.recorder.close())
}

// drain shuts the daemon down gracefully, within the drain timeout.
func (d *Daemon) drain(ctx context.Context) {
	d.log.Info().Msg("draining")
	d.draining.Store(true)
	drainCtx, cancel := context.WithTimeout(ctx, d.settings.DrainTimeout)
	defer cancel()
	d.post(drainCtx, core.DrainRequested{})
	select {
	case <-d.stopped:
	case <-drainCtx.Done():
	}
	// Calls that wait for a grant need the grants of the next owner, which
	// cannot arrive once the listener is closed.
	for d.grants.Waiting() > 0 && sleep(drainCtx, drainPollInterval) {
	}
	var err error
	for _, s := range d.servers {
		err = errors.Join(err, s.Shutdown(drainCtx))
	}
	if err != nil {
		d.log.Warn().Err(err).Msg("drain timeout expired with requests still in progress")
	}
	d.log.Info().Msg("drained")
}

// post queues an event for the reducer. It returns false if ctx or the control
// loop has ended.
func (d *Daemon) post(ctx context.Context, body core.EventBody) bool {
	return d.loop.Post(ctx, core.Event{At: d.clock.now(), Body: body})
}

// step runs one step of the reducer and records it if recording is enabled.
func (d *Daemon) step(e core.Event) []core.Effect {
	effects := d.reducer.Step(e)
	if err := d.recorder.write(e, effects); err != nil {
		d.log.Error().Err(err).Msg("cannot write the recording; recording is disabled")
		d.recorder = nil
	}
	return effects
}

// reportCalls reports grant usage to the reducer: soon after a change, and at
// least once per maxReportInterval.
func (d *Daemon) reportCalls(ctx context.Context) {
	ticker := time.NewTicker(maxReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-d.grants.Activity():
		}
		d.post(ctx, d.grants.Report())
		timer := time.NewTimer(minReportInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}
