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
func TestWriteToAClientThatReadsNothingEnds(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &boundedConn{Conn: near, writeTimeout: time.Millisecond, release: func() {}}
	defer conn.Close()
	if _, err := conn.Write([]byte("x")); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write ended with %v, want its deadline", err)
	}
}
