package host

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"banyanrun.example/banyanrun/platform"
	"banyanrun.example/banyanrun/scheduler"
)

// peerServer serves the calls between hosts of a daemon at an address.
type peerServer struct {
	daemon *Daemon
	server *http.Server
	// results receives a value after each batch of results that the daemon has received.
	results chan struct{}
}

// startPeer starts a daemon without its reducer at an address, or at a free one.
func startPeer(t *testing.T, address string) *peerServer {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &peerServer{results: make(chan struct{}, 8)}
	p.daemon = New(&platform.Settings{Host: "host", PeerAddress: listener.Addr().String()}, io.Discard, Options{})
	ctx, cancel := context.WithCancel(context.Background())
	p.daemon.runCtx = ctx
	gates, err := p.daemon.newGates()
	if err != nil {
		t.Fatal(err)
	}
	routes := p.daemon.peerRoutes(gates.peers)
	p.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		routes.ServeHTTP(w, r)
		if r.URL.Path == pathResults {
			p.results <- struct{}{}
		}
	})}
	go func() {
		// The error says that the server was closed.
		_ = p.server.Serve(listener)
	}()
	t.Cleanup(func() {
		cancel()
		p.server.Close()
	})
	return p
}

// startWorker starts a worker that answers its nth call with clock n once release[n-1]
// is closed. It announces each call on the returned channel.
func startWorker(t *testing.T, release []chan struct{}) (address string, called <-chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls := make(chan int, len(release))
	var count atomic.Int64
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := int(count.Add(1))
		calls <- n
		<-release[n-1]
		fmt.Fprintf(w, `{"born":1,"clock_ms":%d,"active":[],"finished":[]}`, n)
	})}
	go func() {
		// The error says that the server was closed.
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String(), calls
}

// TestResultForAnEarlierProcessIsIgnored guards against a worker that gets no Holds any
// more after two kills of the owner: the result of a call that an agent made for the
// killed process arrives at the next process at the same address, which has made a call
// with the same number.
func TestResultForAnEarlierProcessIsIgnored(t *testing.T) {
	release := []chan struct{}{make(chan struct{}), make(chan struct{})}
	worker, called := startWorker(t, release)
	agent := startPeer(t, "127.0.0.1:0")
	hold := scheduler.Call{ID: 1, Operation: scheduler.Hold{
		Worker: "w", Address: worker, Wait: 10 * time.Second, Via: agent.daemon.settings.PeerAddress,
	}}
	call := func(p *peerServer) <-chan scheduler.Result {
		result := make(chan scheduler.Result, 1)
		go func() { result <- p.daemon.call(context.Background(), hold) }()
		return result
	}

	killed := startPeer(t, "127.0.0.1:0")
	call(killed)
	<-called
	if err := killed.server.Close(); err != nil {
		t.Fatal(err)
	}
	successor := startPeer(t, killed.daemon.settings.PeerAddress)
	result := call(successor)
	<-called
	close(release[0])
	<-successor.results
	close(release[1])
	answered, ok := (<-result).(scheduler.HoldAnswered)
	if !ok || answered.Clock != 2 {
		t.Errorf("the call got the result %+v, want that of its own call with clock 2", answered)
	}
}

// TestBatchesOfOrdersAreBounded guards against a message that starts any number of calls
// to workers: with more orders than a host sends, or with more than the memory for other
// hosts covers.
func TestBatchesOfOrdersAreBounded(t *testing.T) {
	stop := make([]scheduler.StopTask, maxBatchSize+1)
	orders := make([]workerOrder, len(stop))
	for i := range orders {
		orders[i] = workerOrder{ID: scheduler.CallID(i + 1), Stop: &stop[i]}
	}
	for _, c := range []struct {
		name   string
		orders []workerOrder
		// memoryMB is the memory of the host.
		memoryMB, status int
	}{
		{"no more orders than a host sends", orders[:maxBatchSize], defaultMemoryMB, http.StatusOK},
		{"more orders than a host sends", orders, defaultMemoryMB, http.StatusBadRequest},
		{"an order without an operation", []workerOrder{{ID: 1}}, defaultMemoryMB, http.StatusBadRequest},
		{"more orders than there is memory for", orders[:maxBatchSize], MinMemoryMB / 2, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New(&platform.Settings{Host: "host", MemoryMB: c.memoryMB}, io.Discard, Options{})
			ctx, cancel := context.WithCancel(context.Background())
			// The orders are not carried out.
			cancel()
			d.runCtx = ctx
			gates, err := d.newGates()
			if err != nil {
				t.Fatal(err)
			}
			body, err := json.Marshal(orderBatch{Process: newProcessID(), Orders: c.orders})
			if err != nil {
				t.Fatal(err)
			}
			w := httptest.NewRecorder()
			d.peerRoutes(gates.peers).ServeHTTP(w, httptest.NewRequest(http.MethodPost, pathOrders, bytes.NewReader(body)))
			d.peerOrders.Wait()
			if w.Code != c.status {
				t.Errorf("got status %d, %s; want %d", w.Code, w.Body, c.status)
			}
		})
	}
}
