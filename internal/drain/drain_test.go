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

// slowListener delays the return of accepted connections, as happens on a busy
// machine.
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

// Guards against closing, without serving its request, a connection that is
// accepted while the shutdown begins. The caller could not safely repeat a billed
// call.
func TestConnectionAcceptedDuringShutdownIsServed(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &slowListener{inner, make(chan struct{}, 1), make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "served") })}
	var running sync.WaitGroup
	s := drain.Serve(server, l, inner, func(f func()) { running.Go(f) }, func(err error) { t.Error(err) })
	requestDone := make(chan error, 1)
	go func() {
		resp, err := http.Post("http://"+inner.Addr().String(), "text/plain", strings.NewReader("x"))
		if err == nil {
			resp.Body.Close()
		}
		requestDone <- err
	}()
	<-l.accepted
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	select {
	case err := <-ended:
		t.Fatalf("shutdown did not wait for the accepted connection: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	close(l.release)
	if err := <-requestDone; err != nil {
		t.Errorf("request on an accepted connection: %v", err)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	running.Wait()
}

// Guards against dropping a request that arrives on a kept-alive connection just
// after the shutdown has begun.
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
	sendRequest := func() string {
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatalf("write: %v", err)
		}
		resp := make([]byte, 1024)
		n, err := conn.Read(resp)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		return string(resp[:n])
	}
	sendRequest()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	// Waits until the listener is closed, which happens before the shutdown
	// checks the open connections.
	for {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			break
		}
		c.Close()
	}
	if resp := sendRequest(); !strings.Contains(resp, "Connection: close") {
		t.Errorf("response does not tell the client to close the connection: %q", resp)
	}
	if err := <-ended; err != nil {
		t.Errorf("shutdown: %v", err)
	}
	running.Wait()
}
