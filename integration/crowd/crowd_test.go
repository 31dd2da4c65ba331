// Package crowd tests with real processes that clients which send much and finish
// little neither end nor hang a process, and that ordinary callers are still answered.
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/integration/cluster"
)

const (
	// connectAttempts is how often a client of a crowd connects.
	connectAttempts = 3
	// sendTimeout bounds the time in which a client sends its request, so that the test
	// goes on if the server does not read it.
	sendTimeout = 8 * time.Second
	// reconnectDelay is the pause of a client whose connection was closed.
	reconnectDelay = 200 * time.Millisecond
	// waitTimeout bounds the wait for a process. It is far above what any process
	// needs, so that only a fault exceeds it.
	waitTimeout = 2 * time.Minute
)

// request is the request that every client of a crowd sends.
type request struct {
	method, path, host string
	header             string
	body               []byte
	// chunkBytes is the size of the chunks of the body. If it is 0, the body has a
	// content length.
	chunkBytes int
	// omittedBytes is how many bytes at the end the clients leave out.
	omittedBytes int
	// writeBytes is the size of one write. If it is 0, all is written at once.
	writeBytes int
	// returning means that the clients send the request again whenever the server
	// closes their connection.
	returning bool
}

// chunkedEndBytes is the length of what ends a chunked body, and of one byte more.
const chunkedEndBytes = len("x\r\n0\r\n\r\n")

// bytes returns what a client sends.
func (r *request) bytes() []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", r.method, r.path, r.host, r.header)
	if r.chunkBytes == 0 {
		fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	} else {
		out.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		for rest := r.body; len(rest) > 0; {
			n := min(r.chunkBytes, len(rest))
			fmt.Fprintf(&out, "%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		out.WriteString("0\r\n\r\n")
	}
	return out.Bytes()[:out.Len()-r.omittedBytes]
}

// gather lets clients send a request to address, all at once. It returns when all have
// sent it or have given up. Their connections stay open until the test ends.
func gather(t *testing.T, address string, clients int, r request) {
	raw := r.bytes()
	done := make(chan struct{})
	var sent, finished conc.WaitGroup
	for range clients {
		hasSent := make(chan struct{})
		sent.Go(func() { <-hasSent })
		finished.Go(func() {
			conn := send(address, raw, r.writeBytes)
			close(hasSent)
			for r.returning && waitClosed(conn, done) {
				conn = send(address, raw, r.writeBytes)
			}
			<-done
			if conn != nil {
				conn.Close()
			}
		})
	}
	t.Cleanup(func() { close(done); finished.Wait() })
	sent.Wait()
}

// waitClosed waits until the server closes a connection, and returns false if done is
// closed first.
func waitClosed(conn net.Conn, done <-chan struct{}) bool {
	if conn == nil {
		time.Sleep(reconnectDelay)
	} else {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-done:
				conn.Close()
			case <-stop:
			}
		}()
		// The error says how the connection was closed.
		_, _ = io.Copy(io.Discard, conn)
		conn.Close()
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

// send connects and sends raw until it is sent. It returns the last connection, which is
// nil if none was accepted.
func send(address string, raw []byte, writeBytes int) net.Conn {
	var conn net.Conn
	for range connectAttempts {
		next, err := net.DialTimeout("tcp", address, sendTimeout)
		if err != nil {
			time.Sleep(reconnectDelay)
			continue
		}
		if conn != nil {
			conn.Close()
		}
		conn = next
		if writeAll(conn, raw, writeBytes) {
			break
		}
		time.Sleep(reconnectDelay)
	}
	return conn
}

// writeAll reports whether raw was written, or the server does not read it.
func writeAll(conn net.Conn, raw []byte, writeBytes int) bool {
	if err := conn.SetWriteDeadline(time.Now().Add(sendTimeout)); err != nil {
		return false
	}
	for len(raw) > 0 {
		n := len(raw)
		if writeBytes > 0 {
			n = min(n, writeBytes)
		}
		if _, err := conn.Write(raw[:n]); err != nil {
			return os.IsTimeout(err)
		}
		raw = raw[n:]
	}
	return true
}

// eventually fails the test if a condition does not become true.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(reconnectDelay) {
		if condition() {
			return
		}
	}
	t.Fatalf("not true after %v: %s", waitTimeout, what)
}

// build builds a program once for all tests.
func build(t *testing.T, program string) string {
	t.Helper()
	binary, err := cluster.BuildProgram(t.TempDir(), program)
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

// headerLines returns n different short header lines.
func headerLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}
