package ingress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
)

const (
	testBodyLimit = 1 << 20
	testTimeout   = time.Minute
)

// testServer is a server that reads bodies within the bounds of a gate.
type testServer struct {
	gate    *Gate
	address string
	// passedOn counts the requests that were passed on. They wait for release.
	passedOn atomic.Int64
	release  chan struct{}
}

// startServer starts a server whose clients may hold the given number of bytes.
func startServer(t *testing.T, bytes int64) *testServer {
	t.Helper()
	s := &testServer{release: make(chan struct{})}
	s.gate = NewGate(Config{
		Port: "test", Bytes: bytes, Connections: 100, ReceiveBuffer: 4 << 10, SendBuffer: 4 << 10, WriteTimeout: testTimeout,
		BodyTimeout: testTimeout, Metrics: metrics.NewSet(), Log: zerolog.Nop(),
	})
	l, err := s.gate.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(s.serve)}
	s.gate.Configure(server)
	var running conc.WaitGroup
	running.Go(func() {
		if err := server.Serve(s.gate.Limit(l)); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("server ended: %v", err)
		}
	})
	t.Cleanup(func() {
		if err := server.Close(); err != nil {
			t.Error(err)
		}
		running.Wait()
	})
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	body, err := ReadBody(w, r, testBodyLimit)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	PassOn(r)
	s.passedOn.Add(1)
	if r.URL.Path == "/wait" {
		<-s.release
	}
	if r.URL.Path == "/echo" {
		_, _ = w.Write(body) // An error means that the client does not read.
		return
	}
	fmt.Fprint(w, len(body))
}

// post sends a request and returns the status and the body of the response.
func (s *testServer) post(t *testing.T, path string, body io.Reader) (int, string) {
	t.Helper()
	resp, err := (&http.Client{Timeout: testTimeout}).Post("http://"+s.address+path, "text/plain", body)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(text)
}

// stall sends a request without its last byte on a connection that stays open.
func (s *testServer) stall(t *testing.T, bytes int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	// An error means that the server has closed the connection to make room.
	_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", bytes, strings.Repeat("x", bytes-1))
	return conn
}

// waitFor fails the test if a condition does not become true.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not true after %v: %s", testTimeout, what)
		}
	}
}

// Guards against unfinished requests that hold the memory which ordinary requests need,
// and against charges that are not released.
func TestOrdinaryRequestsPassBesideUnfinishedOnes(t *testing.T) {
	s := startServer(t, 2<<20)
	var conns []net.Conn
	for range 10 {
		conns = append(conns, s.stall(t, 300<<10))
	}
	if status, text := s.post(t, "/", strings.NewReader("ordinary")); status != http.StatusOK || text != "8" {
		t.Errorf("got status %d, %q", status, text)
	}
	if s.gate.evicted.Get() == 0 {
		t.Error("no unfinished request was closed")
	}
	for _, c := range conns {
		c.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	waitFor(t, "all charges are released", func() bool {
		return s.gate.sum() == 0
	})
}

// Guards against taking a client that is only slow for one that holds memory.
func TestSlowBodyIsServed(t *testing.T) {
	s := startServer(t, 2<<20)
	body, writer := io.Pipe()
	go func() {
		for range 100 {
			time.Sleep(time.Millisecond)
			if _, err := io.WriteString(writer, strings.Repeat("x", testBodyLimit/100)); err != nil {
				t.Error(err)
			}
		}
		writer.Close()
	}()
	if status, text := s.post(t, "/", body); status != http.StatusOK || text != fmt.Sprint(testBodyLimit/100*100) {
		t.Errorf("got status %d, %q", status, text)
	}
}

// Guards against requests that wait for memory without an end, and against a refusal of
// a request that was passed on.
func TestRequestWithoutRoomIsRefusedBeforeItIsPassedOn(t *testing.T) {
	s := startServer(t, 2<<20)
	var waiting conc.WaitGroup
	for i := range int64(2) {
		waiting.Go(func() {
			if status, _ := s.post(t, "/wait", strings.NewReader(strings.Repeat("x", 500<<10))); status != http.StatusOK {
				t.Errorf("a request that was passed on got status %d", status)
			}
		})
		waitFor(t, "the request is passed on", func() bool { return s.passedOn.Load() == i+1 })
	}
	if status, text := s.post(t, "/", strings.NewReader(strings.Repeat("x", 700<<10))); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, %q, want a refusal", status, text)
	}
	if status, _ := s.post(t, "/", strings.NewReader("small")); status != http.StatusOK {
		t.Errorf("a small request got status %d", status)
	}
	close(s.release)
	waiting.Wait()
}

// Guards against encrypted connections whose requests are not charged.
func TestEncryptedRequestsAreCharged(t *testing.T) {
	g := NewGate(Config{
		Port: "test", Bytes: 2 << 20, Connections: 100, TLS: true, WriteTimeout: testTimeout, Metrics: metrics.NewSet(), Log: zerolog.Nop(),
	})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		before := g.sum()
		body, err := ReadBody(w, r, testBodyLimit)
		if charged := g.sum() - before; err != nil || charged < int64(len(body)) {
			t.Errorf("a body of %d bytes is charged with %d, %v", len(body), charged, err)
		}
	}))
	server.Listener = g.Limit(server.Listener)
	g.Configure(server.Config)
	server.StartTLS()
	defer server.Close()
	resp, err := server.Client().Post(server.URL, "text/plain", strings.NewReader(strings.Repeat("x", 100<<10)))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
}

// Guards against answers that clients do not read and that hold the memory which ordinary
// requests need.
func TestOrdinaryRequestsPassBesideUnreadAnswers(t *testing.T) {
	s := startServer(t, 2<<20)
	for range 10 {
		conn, err := net.Dial("tcp", s.address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		// An error means that the server has closed the connection to make room.
		_, _ = fmt.Fprintf(conn, "POST /echo HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", 300<<10, strings.Repeat("x", 300<<10))
	}
	if status, text := s.post(t, "/", strings.NewReader("ordinary")); status != http.StatusOK || text != "8" {
		t.Errorf("got status %d, %q", status, text)
	}
}

// Guards against a client that stops reading and thereby keeps its request in progress
// forever.
func TestWriteToStalledClientTimesOut(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	c := &conn{Conn: server, gate: &Gate{cfg: Config{WriteTimeout: time.Millisecond}}}
	defer server.Close()
	if _, err := c.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write returned %v, want a deadline error", err)
	}
}

// Guards against work that outlives its request and is not charged.
func TestHeldWorkIsBounded(t *testing.T) {
	g := startServer(t, 1<<20).gate
	release, err := g.Hold(600 << 10)
	if err != nil {
		t.Fatal(err)
	}
	var refused *RefusedError
	if _, err := g.Hold(600 << 10); !errors.As(err, &refused) {
		t.Errorf("got %v, want a refusal", err)
	}
	release()
	if _, err := g.Hold(600 << 10); err != nil {
		t.Errorf("got %v after the release", err)
	}
}
