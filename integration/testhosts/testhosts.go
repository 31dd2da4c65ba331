// Package testhosts runs banyanrun-host processes on an emulated platform for tests.
package testhosts

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/platform/emulator"
)

const (
	// requestTimeout bounds a request of Call. callerTimeout is the one in its header.
	requestTimeout, callerTimeout = 20 * time.Second, 3 * time.Second
	// logTailBytes is how much of a host's log a failed test prints.
	logTailBytes = 3000
)

// Config describes the hosts.
type Config struct {
	Binary         string
	Hosts, Workers int
	// MemoryMB and MaxFDs are the limits in the hosts' settings.
	MemoryMB, MaxFDs int
}

// Process is a host process.
type Process struct {
	// Callers, Ready and Peers are the addresses of the host's ports.
	Callers, Ready, Peers string

	t      cluster.T
	binary string
	env    []string
	log    *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Start starts hosts on an emulated platform. They are killed when the test ends.
func Start(t cluster.T, cfg Config) []*Process {
	emulated, err := emulator.Start(emulator.Config{Workers: cfg.Workers, Seed: 1})
	if err != nil {
		t.Fatalf("start the emulated platform: %v", err)
	}
	t.Cleanup(func() {
		for _, violation := range emulated.Close() {
			t.Errorf("at the workers: %s", violation)
		}
	})
	emulated.Post(emulator.Event{PutKey: "op/config", PutValue: []byte(emulator.TestConfiguration)})
	var list []*Process
	for i := range cfg.Hosts {
		list = append(list, newProcess(t, cfg, emulated, i))
	}
	return list
}

// newProcess writes the settings file of a host and starts it.
func newProcess(t cluster.T, cfg Config, emulated *emulator.Server, i int) *Process {
	ports := freePorts(t, 3)
	address := func(port int) string { return net.JoinHostPort(emulator.TestIP(), fmt.Sprint(port)) }
	settings := emulator.HostSettings{
		Name: fmt.Sprintf("host-%d", i), IP: emulator.TestIP(), Callers: address(ports[0]), Ready: address(ports[1]), PeerPort: ports[2],
		Advice: emulated.AdviceAddress(), Store: emulated.StoreAddress(), MemoryMB: cfg.MemoryMB, MaxFDs: cfg.MaxFDs,
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, []byte(settings.FileText()), 0o644); err != nil {
		t.Fatalf("write the settings: %v", err)
	}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatalf("create the log: %v", err)
	}
	p := &Process{
		Callers: settings.Callers, Ready: settings.Ready, Peers: address(ports[2]),
		t: t, binary: cfg.Binary, env: append(os.Environ(), "BANYANRUN_NODE_FILE="+file), log: log,
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", settings.Name, p.logTail())
		}
	})
	p.Start()
	t.Cleanup(p.Kill)
	return p
}

// Start starts the process. It must not be running.
func (p *Process) Start() {
	cmd := exec.Command(p.binary, "--metrics-port", "0")
	cmd.Env, cmd.Stdout, cmd.Stderr = p.env, p.log, p.log
	// The process must not outlive the test.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.t.Fatalf("start a host: %v", err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	go func() {
		defer close(exited)
		// The error says how the process ended, which its callers judge by its log.
		_ = cmd.Wait()
	}()
}

// PID returns the id of the latest process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	// An error means that the process has ended.
	_ = cmd.Process.Kill()
	<-exited
}

// Terminate asks the process to stop.
func (p *Process) Terminate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// An error means that the process has ended.
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// LimitDescriptors sets the number of descriptors that the running process may have.
func (p *Process) LimitDescriptors(n int) {
	limit := unix.Rlimit{Cur: uint64(n), Max: uint64(n)}
	if err := unix.Prlimit(p.PID(), unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		p.t.Fatalf("limit the descriptors of a host: %v", err)
	}
}

// Alive reports whether the process has not ended.
func (p *Process) Alive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PeakMemoryMB returns the greatest resident memory that the process has had.
func (p *Process) PeakMemoryMB() int {
	peak, err := PeakMemoryMB(p.PID())
	if err != nil {
		p.t.Fatalf("memory of a host: %v", err)
	}
	return peak
}

// PeakMemoryMB returns the greatest resident memory that a process has had.
func PeakMemoryMB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, found := strings.Cut(string(text), "VmHWM:")
	if !found {
		return 0, fmt.Errorf("process %d has ended", pid)
	}
	var kilobytes int
	_, err = fmt.Sscan(rest, &kilobytes)
	return kilobytes / 1024, err
}

// Call sends a request to the process and returns the status, or 0 without a response.
func (p *Process) Call(method, path, body string) (status int, retryAfter string) {
	req, err := emulator.NewRequest(method, p.Callers, path, body, callerTimeout)
	if err != nil {
		p.t.Errorf("request %s %s: %v", method, path, err)
		return 0, ""
	}
	client := http.Client{Timeout: requestTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, resp.Header.Get("Retry-After")
}

// IsReady reports whether the readiness check succeeds.
func (p *Process) IsReady() bool {
	client := http.Client{Timeout: requestTimeout}
	resp, err := client.Get(emulator.ReadyURL(p.Ready))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// LogBytes returns the size of the log.
func (p *Process) LogBytes() int64 {
	info, err := p.log.Stat()
	if err != nil {
		p.t.Fatalf("size of a host's log: %v", err)
	}
	return info.Size()
}

func (p *Process) logTail() string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailBytes):])
}

// freePorts returns ports that are free at the moment.
func freePorts(t cluster.T, n int) []int {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(emulator.TestIP(), "0"))
		if err != nil {
			t.Fatalf("find a free port: %v", err)
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports
}
