// Package testaddr provides network addresses for tests.
package testaddr

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// Refusing returns an address that refuses every connection until the test ends.
// Its port is bound but not listening, so that no other process can listen on it.
func Refusing(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := syscall.Close(fd); err != nil {
			t.Error(err)
		}
	})
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// IP returns a loopback address derived from the process id, so that concurrent
// test processes use different addresses.
func IP() net.IP {
	pid := os.Getpid()
	return net.IPv4(127, 128, byte(pid>>8), byte(pid))
}

// Free returns an address with an unused port. It uses the loopback address of
// IP, so that no other process takes the port before the test does.
func Free(t *testing.T) string {
	t.Helper()
	ip := IP()
	l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}
