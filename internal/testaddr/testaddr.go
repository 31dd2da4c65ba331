// Package testaddr gives tests addresses with a known behaviour.
package testaddr

import (
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

// Refusing returns an address at which every connection is refused until the test
// ends. Its port is bound, so no other process can listen there meanwhile.
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

// IP returns a loopback address of this process's own.
func IP() net.IP {
	pid := os.Getpid()
	return net.IPv4(127, 128, byte(pid>>8), byte(pid))
}

// Free returns an address that nobody listens on. It is on a loopback address of
// this process's own, so that no other process takes the port before the test does.
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
