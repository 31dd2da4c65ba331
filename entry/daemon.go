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
	"banyanrun.example/banyanrun/keys"
	"banyanrun.example/banyanrun/storeclient"
	"banyanrun.example/banyanrun/upstream"
)

const (
	// mailbox is the number of events that may wait for the reducer.
	mailbox = 4096
	// reportPeriod is the longest time between two reports of the use of
	// grants while calls are in progress.
	reportPeriod = time.Second
	// reportSpacing bounds the reports while there is much activity.
	reportSpacing = 50 * time.Millisecond
	// drainPoll is how often a stopping host looks for calls that wait.
	drainPoll = 50 * time.Millisecond
	// maxHeaderBytes bounds the request line and headers of a request, and
	// hardHeaderBytes what the server reads of them before it gives up.
	maxHeaderBytes  = 16 << 10
	hardHeaderBytes = 64 << 10
	// headerOverhead is what separates names, values and lines of headers.
	headerOverhead = len(": ") + len("\r\n")
	// readHeaderTimeout bounds the time in which a request's headers arrive.
	readHeaderTimeout = 10 * time.Second
	// readTimeout bounds the time in which a whole request arrives.
	readTimeout = time.Minute
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout = 2 * time.Minute
)

// Daemon is one entry host.
type Daemon struct {
	set     Settings
	log     zerolog.Logger
	lines   logLines
	clock   clock
	store   storeclient.Store
	hosts   storeclient.HostLister
	workers *upstream.Client
	peers   *http.Client
	loop    *control.Loop[core.Event, core.Effect]
	reducer *core.Reducer
	grants  *grant.Pool
	memory  *grant.CallDeduplicator
	open    *pending
	metrics *metrics.Set
	record  *recorder
	slots   chan struct{}
	// keys is nil if the daemon is insecure by its settings.
	keys *keys.Store

	ready    atomic.Bool
	draining atomic.Bool
	stopped  chan struct{}
	stopOnce atomic.Bool
	listener net.Listener
	server   *http.Server
	// peerListener is nil if peers use the callers' address.
	peerListener net.Listener
	peerServer   *http.Server
	// servers serve the listeners.
	servers []*drain.Server
}

// New returns a daemon that listens but does not run yet.
func New(set Settings, log zerolog.Logger) (*Daemon, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	store, err := loadKeys(set)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", set.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", set.Listen, err)
	}
	peerListener, err := listenPeers(set)
	if err != nil {
		listener.Close()
		return nil, err
	}
	started := time.Now()
	client := storeclient.New(storeclient.Config{Address: set.Platform, CallTimeout: set.StoreTimeout})
	d := &Daemon{
		set: set, log: log, clock: clock{started}, store: client, hosts: client,
		workers: upstream.New(upstream.Config{
			DialTimeout: set.WorkerTimeout, CallTimeout: set.WorkerTimeout,
		}),
		peers: newPeerClient(store), open: newPending(), metrics: metrics.NewSet(),
		slots: make(chan struct{}, set.MaxRequests), stopped: make(chan struct{}),
		listener: listener, peerListener: peerListener, keys: store,
	}
	cfg := set.config(started)
	d.reducer = core.New(cfg)
	d.grants = grant.NewPool(d.clock.now)
	d.memory = grant.NewCallDeduplicator(d.clock.now)
	if d.record, err = newRecorder(set.Record, cfg); err != nil {
		return nil, err
	}
	d.loop = control.New(control.Config[core.Event, core.Effect]{
		Step: d.step, Execute: d.execute, ExecuteInline: d.immediate,
		Tick:       func() core.Event { return core.Event{At: d.clock.now(), Body: core.Tick{}} },
		TickPeriod: core.TickPeriod, MailboxSize: mailbox, Observe: d.observe,
	})
	routes := d.routes()
	d.server, d.peerServer = d.newServer(routes), d.newServer(peersOnly(routes))
	return d, nil
}

// Address returns the address that the daemon listens on.
func (d *Daemon) Address() string { return d.listener.Addr().String() }

// Run serves until ctx ends, then drains: it hands over its cell, lets requests
// in progress finish and returns.
func (d *Daemon) Run(ctx context.Context) error {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var parts conc.WaitGroup
	parts.Go(func() { d.loop.Run(running) })
	parts.Go(func() { d.reportCalls(running) })
	parts.Go(func() { d.watchKeys(running) })
	failed := make(chan error, 2)
	d.serve(&parts, failed)
	d.log.Info().Str("address", d.Address()).Str("host", d.set.Host).
		Str("data_centre", d.set.DataCentre).Msg("serving")
	var err error
	select {
	case err = <-failed:
	case <-ctx.Done():
		d.drain(running)
	}
	stop()
	parts.Wait()
	d.workers.Close()
	return errors.Join(err, d.record.close())
}

// drain performs a planned stop within the drain timeout.
func (d *Daemon) drain(ctx context.Context) {
	d.log.Info().Msg("draining")
	d.draining.Store(true)
	limit, cancel := context.WithTimeout(ctx, d.set.DrainTimeout)
	defer cancel()
	d.post(limit, core.DrainRequested{})
	select {
	case <-d.stopped:
	case <-limit.Done():
	}
	// Once the listener is closed, no grants of the next owner arrive.
	for d.grants.Waiting() > 0 && sleep(limit, drainPoll) {
	}
	var err error
	for _, s := range d.servers {
		err = errors.Join(err, s.Shutdown(limit))
	}
	if err != nil {
		d.log.Warn().Err(err).Msg("requests were still in progress at the end of the drain timeout")
	}
	d.log.Info().Msg("drained")
}

// post hands an event to the reducer.
func (d *Daemon) post(ctx context.Context, body core.EventBody) bool {
	return d.loop.Post(ctx, core.Event{At: d.clock.now(), Body: body})
}

// step runs the reducer and records the step if asked to.
func (d *Daemon) step(e core.Event) []core.Effect {
	effects := d.reducer.Step(e)
	if err := d.record.write(e, effects); err != nil {
		d.log.Error().Err(err).Msg("recording stopped")
		d.record = nil
	}
	return effects
}

// reportCalls tells the reducer of the use of grants, soon after a change and at
// least once a period.
func (d *Daemon) reportCalls(ctx context.Context) {
	period := time.NewTicker(reportPeriod)
	defer period.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-period.C:
		case <-d.grants.Activity():
		}
		d.post(ctx, d.grants.Report())
		pause := time.NewTimer(reportSpacing)
		select {
		case <-ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
	}
}
