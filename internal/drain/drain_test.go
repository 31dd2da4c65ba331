package drain_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"banyanrun.example/banyanrun/internal/drain"
)

// slowListener returns an accepted connection late, as on a busy machine.
type slowListener struct {
	net.Listener
	accepted chan struct{}
	release  chan struct{}
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted <- struct{}{}
	<-l.release
	return conn, nil
}

// Guards against a connection that is closed unserved because it was accepted at
// the moment of the shutdown: its caller cannot repeat a billed call.
func TestConnectionAcceptedDuringShutdownIsServed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &slowListener{inner, make(chan struct{}, 1), make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") })}
	var running sync.WaitGroup
	s := drain.Serve(server, l, inner, func(f func()) { running.Go(f) }, func(err error) { t.Error(err) })
	answered := make(chan error, 1)
	go func() {
		resp, err := http.Post("http://"+inner.Addr().String(), "text/plain", strings.NewReader("x"))
		if err == nil {
			resp.Body.Close()
		}
		answered <- err
	}()
	<-l.accepted
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	select {
	case err := <-ended:
		t.Fatalf("the shutdown did not wait for the accepted connection: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(l.release)
	if err := <-answered; err != nil {
		t.Errorf("request on an accepted connection: %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	running.Wait()
}

// Guards against a request that is dropped because it arrives on a kept connection
// just after the shutdown has begun.
func TestRequestOnKeptConnectionIsServedDuringShutdown(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") })}
	var running sync.WaitGroup
	s := drain.Serve(server, inner, inner, func(f func()) { running.Go(f) }, func(err error) { t.Error(err) })
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ask := func() string {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatalf("write: %v", err)
		}
		answer := make([]byte, 1024)
		n, err := conn.Read(answer)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		return string(answer[:n])
	}
	ask()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	// The listener is closed before connections are looked at.
	for {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			break
		}
		c.Close()
	}
	if answer := ask(); !strings.Contains(answer, "Connection: close") {
		t.Errorf("the answer does not tell the client to leave: %q", answer)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	running.Wait()
}
