package crowd

import (
	"bufio"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// sampleInterval is the interval between two looks at a process.
const sampleInterval = 20 * time.Millisecond

const (
	// settledSamples is the number of equal samples after which a process has settled,
	// settleTimeout bounds the wait for them.
	settledSamples = 50
	settleTimeout  = 15 * time.Second
)

// listenState is the state of a listening socket in /proc/net/tcp.
const listenState = "0A"

// watch samples what a process holds until it is stopped.
type watch struct {
	t         *testing.T
	pid       int
	addresses map[string]bool
	stop      chan struct{}
	done      chan struct{}
	// peakBytes is the greatest sum of the process's memory and of the bytes in the
	// buffers of its connections, peakSockets the greatest number of its sockets.
	peakBytes   int64
	peakSockets int
}

// startWatch watches a process that listens on addresses.
func startWatch(t *testing.T, pid int, addresses ...string) *watch {
	w := &watch{t: t, pid: pid, addresses: map[string]bool{}, stop: make(chan struct{}), done: make(chan struct{})}
	for _, a := range addresses {
		w.addresses[procAddress(t, a)] = true
	}
	go func() {
		defer close(w.done)
		for {
			w.sample()
			select {
			case <-w.stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return w
}

// settle waits until what the process holds has not changed for a while, so that it has
// read all that it will read from a crowd.
func (w *watch) settle() {
	last, unchanged := [2]int64{}, 0
	for deadline := time.Now().Add(settleTimeout); unchanged < settledSamples && time.Now().Before(deadline); time.Sleep(sampleInterval) {
		now := [2]int64{w.queuedBytes(), int64(w.sockets())}
		if unchanged++; now != last {
			last, unchanged = now, 0
		}
	}
}

// check stops the watch and compares the peaks with their bounds.
func (w *watch) check(maxBytes int64, maxSockets int) {
	w.t.Helper()
	close(w.stop)
	<-w.done
	peak := max(w.peakBytes, w.status("VmHWM:"))
	w.t.Logf("process %d took %d MB of %d and %d sockets of %d", w.pid, peak>>20, maxBytes>>20, w.peakSockets, maxSockets)
	if peak > maxBytes {
		w.t.Errorf("process %d took %d MB of %d", w.pid, peak>>20, maxBytes>>20)
	}
	if w.peakSockets > maxSockets {
		w.t.Errorf("process %d had %d sockets of %d", w.pid, w.peakSockets, maxSockets)
	}
}

func (w *watch) sample() {
	w.peakBytes = max(w.peakBytes, w.status("VmRSS:")+w.queuedBytes())
	w.peakSockets = max(w.peakSockets, w.sockets())
}

// status returns a size of the process in bytes, or 0 if it has ended.
func (w *watch) status(field string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", w.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), field)
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}

func (w *watch) sockets() int {
	// Descriptors that are closed in the meantime cannot be read.
	names, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", w.pid))
	if err != nil {
		w.t.Error(err)
	}
	n := 0
	for _, name := range names {
		if target, err := os.Readlink(name); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// queuedBytes returns the bytes in the kernel's buffers of the accepted connections:
// those that were not read, and those that the clients have not acknowledged.
func (w *watch) queuedBytes() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		w.t.Error(err)
		return 0
	}
	defer file.Close()
	total := int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !w.addresses[fields[1]] || fields[3] == listenState {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, text := range []string{sent, received} {
			n, err := strconv.ParseInt(text, 16, 64)
			if err != nil {
				w.t.Error(err)
			}
			total += n
		}
	}
	return total
}

// procAddress returns an address in the form of /proc/net/tcp.
func procAddress(t *testing.T, address string) string {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	var ip [4]byte
	binary.NativeEndian.PutUint32(ip[:], binary.BigEndian.Uint32(tcp.IP.To4()))
	return fmt.Sprintf("%s:%04X", strings.ToUpper(hex.EncodeToString(ip[:])), tcp.Port)
}
