package entry

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// Guards against a client that stops reading and thereby keeps its request in
// progress forever.
func TestWriteToStalledClientTimesOut(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	conn := &boundedConn{Conn: server, writeTimeout: time.Millisecond, release: func() {}}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write returned %v, want a deadline error", err)
	}
}
