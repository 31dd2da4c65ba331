// Package standin is a small stand-in for the platform and its workers, with
// fault switches and an audit log of everything that the workers started.
//
// Its state is held by the reducers of the packages store and worker. Each runs
// on a control.Loop of its own, one for the platform and one for each worker.
// This package adds the HTTP servers and the administration API.
package standin

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc"
)

// Config is the configuration of a stand-in. The zero value of every field but
// Topology is valid.
type Config struct {
	Topology Topology
	// Hosts are the entry hosts that the host list shows at the start.
	Hosts []wire.ListedHost
	// StoreAddress is the platform's listen address; empty means a free
	// port of 127.0.0.1.
	StoreAddress string
	// WorkerIP is the IP address on which the workers listen; empty means
	// 127.0.0.1.
	WorkerIP string
	// WorkerBasePort is the port of the first worker; the other workers use
	// the ports after it. Zero means free ports.
	WorkerBasePort int
	Limits         store.Limits
	// Faults are the store's fault switches at the start.
	Faults store.Faults
	// UsageLag is the run time after which a task's usage appears in
	// reports.
	UsageLag time.Duration
	// Retention is how long syncs report an ended task; zero means
	// DefaultRetention.
	Retention time.Duration
	// DefaultRun is the run time without a payload; zero means
	// DefaultRunTime.
	DefaultRun time.Duration
}

const (
	// DefaultRetention keeps ended tasks beyond an hour-long loss of
	// contact with a data centre.
	DefaultRetention = 2 * time.Hour
	// DefaultRunTime is the run time of a task or call without a payload.
	DefaultRunTime = 100 * time.Millisecond
)

// Server is a running stand-in.
type Server struct {
	clock          clock
	cancel         context.CancelFunc
	goroutines     conc.WaitGroup
	platform       *platform
	platformServer *http.Server
	address        string
	workers        []*workerServer
	workersByID    map[string]*workerServer
}

// Start starts a stand-in.
func Start(cfg Config) (*Server, error) {
	list, err := cfg.Topology.workers()
	if err != nil {
		return nil, err
	}
	cfg.Retention = cmp.Or(cfg.Retention, DefaultRetention)
	cfg.DefaultRun = cmp.Or(cfg.DefaultRun, DefaultRunTime)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{clock: clock{time.Now()}, cancel: cancel, workersByID: map[string]*workerServer{}}
	listeners, err := listen(cfg, list)
	if err != nil {
		cancel()
		return nil, err
	}
	s.address = listeners[0].Addr().String()
	for i, l := range listeners[1:] {
		list[i].Address = l.Addr().String()
		ws := newWorkerServer(s.clock, list[i], cfg)
		s.workers = append(s.workers, ws)
		s.workersByID[ws.listed.ID] = ws
		s.goroutines.Go(func() { ws.run(ctx) })
		s.serve(ws.newHTTPServer(), l)
	}
	reducer := store.New(cfg.Limits, cfg.Faults, wire.HostList{Workers: slices.Clone(list), Hosts: cfg.Hosts})
	s.platform = newPlatform(s.clock, reducer, s.notifyWorker)
	router := httprouter.New()
	router.RedirectTrailingSlash, router.RedirectFixedPath = false, false
	s.platform.addRoutes(router)
	s.addAdminRoutes(router)
	s.platformServer = &http.Server{Handler: router}
	s.goroutines.Go(func() { s.platform.run(ctx) })
	s.serve(s.platformServer, listeners[0])
	return s, nil
}

// serve runs an HTTP server until it is closed.
func (s *Server) serve(server *http.Server, l net.Listener) {
	// Serve always returns an error, which is http.ErrServerClosed after
	// Close.
	s.goroutines.Go(func() { _ = server.Serve(l) })
}

// listen opens the platform's port and a port for each worker.
func listen(cfg Config, list []wire.ListedWorker) ([]net.Listener, error) {
	addresses := []string{cfg.StoreAddress}
	if cfg.StoreAddress == "" {
		addresses[0] = "127.0.0.1:0"
	}
	ip := cfg.WorkerIP
	if ip == "" {
		ip = "127.0.0.1"
	}
	for i := range list {
		port := 0
		if cfg.WorkerBasePort > 0 {
			port = cfg.WorkerBasePort + i
		}
		addresses = append(addresses, net.JoinHostPort(ip, strconv.Itoa(port)))
	}
	var listeners []net.Listener
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				open.Close()
			}
			return nil, fmt.Errorf("listen on %s: %w", address, err)
		}
		listeners = append(listeners, l)
	}
	return listeners, nil
}

// Close ends the stand-in and waits for its goroutines.
func (s *Server) Close() {
	s.platformServer.Close()
	for _, ws := range s.workers {
		ws.stop()
	}
	s.cancel()
	s.goroutines.Wait()
}

// StoreAddress returns the host:port of the platform and of the administration
// API.
func (s *Server) StoreAddress() string { return s.address }

// Workers returns the workers with their addresses.
func (s *Server) Workers() []wire.ListedWorker {
	var list []wire.ListedWorker
	for _, ws := range s.workers {
		list = append(list, ws.listed)
	}
	return list
}

// errClosed is returned when the stand-in or the caller's context has ended.
var errClosed = errors.New("stand-in is closed or the request was cancelled")

func errorIfClosed(ok bool) error {
	if ok {
		return nil
	}
	return errClosed
}

// notifyWorker notifies a worker of a change of its entry in the host list.
func (s *Server) notifyWorker(ctx context.Context, w store.WorkerListingChanged) {
	if ws := s.workersByID[w.ID]; ws != nil {
		ws.post(ctx, worker.ListingChanged{Leaving: w.Leaving})
	}
}
