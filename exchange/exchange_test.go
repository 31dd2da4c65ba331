package exchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

// Guards against writing a request after it was reported as not written: the
// transport may still hold the request when the exchange has failed.
func TestFailedExchangeBlocksLateWrites(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	state := &exchangeState{}
	conn := &trackedConn{Conn: client}
	state.gotConn(conn, func() {})
	if f := state.fail(context.Canceled); f.Written {
		t.Error("an exchange without a write is reported as written")
	}
	if _, err := conn.Write([]byte("late")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("write after the failure: %v", err)
	}
	if got, _ := io.ReadAll(server); len(got) != 0 {
		t.Errorf("the server read %q", got)
	}
}

// Guards against reporting a written request as not written because its
// connection has served an earlier exchange.
func TestWrittenIsTrackedPerExchange(t *testing.T) {
	client, server := net.Pipe()
	defer server.Close()
	go func() { _, _ = io.Copy(io.Discard, server) }() // ends with the connection
	conn := &trackedConn{Conn: client}
	first := &exchangeState{}
	first.gotConn(conn, func() {})
	if _, err := conn.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	second := &exchangeState{}
	second.gotConn(conn, func() {})
	if _, err := conn.Write([]byte("y")); err != nil {
		t.Fatal(err)
	}
	if f := second.fail(io.EOF); !f.Written {
		t.Error("an exchange with a write is reported as not written")
	}
}

// Guards against an exchange that waits forever for a silent server, and against
// reusing the connection of such an exchange.
func TestSilentConnectionIsNotReused(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]int{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		seen[r.RemoteAddr]++
		mu.Unlock()
		// The server detects a closed connection only after it has read
		// the body.
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == "/silent" {
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	c := NewClient(time.Minute, 4)
	defer c.Close()
	for _, path := range []string{"/answers", "/silent", "/answers"} {
		silent := path == "/silent"
		r := Request{Method: http.MethodPost, URL: server.URL + path, Body: []byte("x")}
		if silent {
			r.ProgressTimeout = 2 * time.Second // expires only in this exchange
		}
		_, f := c.Do(t.Context(), r)
		if silent != (f != nil) {
			t.Fatalf("%s: failure %v", path, f)
		} else if silent && (!f.Written || !errors.Is(f, ErrNoProgress)) {
			t.Errorf("failure %v (written %v), want %v", f, f.Written, ErrNoProgress)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(seen) != 2 {
		t.Errorf("requests by connection: %v, want two connections", seen)
	}
}

// Guards against accepting a response that is not known to be complete.
func TestIncompleteResponseIsFailure(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"a body without a length", func(w http.ResponseWriter, _ *http.Request) {
			w.(http.Flusher).Flush()
			_, _ = w.Write([]byte("0123"))
		}, ErrNoContentLength},
		{"a body over the limit", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("01234")) }, ErrResponseTooLarge},
		{"a body that ends early", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			_, _ = w.Write([]byte("01"))
		}, io.ErrUnexpectedEOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(c.handler)
			defer server.Close()
			client := NewClient(time.Minute, 1)
			defer client.Close()
			_, f := client.Do(t.Context(), Request{Method: http.MethodGet, URL: server.URL, MaxBodyBytes: 4})
			if f == nil || !f.Written || !errors.Is(f, c.want) {
				t.Errorf("failure %v, want a written request and error %v", f, c.want)
			}
		})
	}
}
