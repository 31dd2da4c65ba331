package entry

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

// Guards against a client that reads nothing and so holds a request in progress
// for good.
func TestWriteToStalledClientTimesOut(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	conn := &boundedConn{Conn: server, writeTimeout: time.Millisecond, release: func() {}}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write ended with %v, want its deadline", err)
	}
}
