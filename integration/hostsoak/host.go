package hostsoak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"banyanrun.example/banyanrun/integration/faultproxy"
	"banyanrun.example/banyanrun/platform/emulator"
)

// hostProcess is a host with its process and the proxies of its links.
type hostProcess struct {
	name          string
	callerAddress string
	readyAddress  string
	// storeLink connects the host to the store, peerLink the other hosts to it.
	storeLink, peerLink *faultproxy.Link
	client              *http.Client
	binary              string
	args                []string
	env                 []string
	logPath             string

	// restartMu ensures that overlapping faults do not start the process twice.
	restartMu sync.Mutex
	// pauseChanges counts the starts and ends of pauses.
	pauseChanges atomic.Int64

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// requestTimeout exceeds the deadline that requests carry in their header.
const requestTimeout = callerTimeout + time.Second

// newHost writes the settings file of a host and starts it.
func (r *round) newHost(i int) (*hostProcess, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", emulator.TestIP(), port) }
	h := &hostProcess{
		name: fmt.Sprintf("host-%d", i), callerAddress: address(ports[0]), readyAddress: address(ports[1]), binary: r.cfg.Binary,
		args:    []string{"--metrics-port", "0", "--peer-listen", address(ports[2])},
		logPath: filepath.Join(r.cfg.Folder, fmt.Sprintf("host-%d.log", i)),
		// Callers reuse their connections until the process closes them.
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}},
	}
	if h.storeLink, err = faultproxy.New("127.0.0.1:0", r.emulated.StoreAddress()); err != nil {
		return nil, err
	}
	if h.peerLink, err = faultproxy.New(address(ports[3]), address(ports[2])); err != nil {
		return nil, err
	}
	settings := emulator.HostSettings{
		Name: h.name, IP: emulator.TestIP(), Callers: h.callerAddress, Ready: h.readyAddress, PeerPort: ports[3],
		Advice: r.emulated.AdviceAddress(), Store: h.storeLink.Address(),
	}
	if r.crowds {
		settings.MemoryMB = crowdMemoryMB
	}
	file := filepath.Join(r.cfg.Folder, h.name+".yaml")
	if err := os.WriteFile(file, []byte(settings.FileText()), 0o644); err != nil {
		return nil, err
	}
	h.env = append(os.Environ(), "BANYANRUN_NODE_FILE="+file, raceOptions)
	if err := h.start(); err != nil {
		return nil, err
	}
	if h.waitForExit(earlyExitWindow) {
		// Another process has taken a port since freePorts returned it.
		h.storeLink.Close()
		h.peerLink.Close()
		return nil, fmt.Errorf("%s exited right after its start: %w", h.name, syscall.EADDRINUSE)
	}
	return h, nil
}

// raceOptions keeps processes that are built with the race detector from sleeping for a
// second at their exit, which would count against stopGracePeriod.
const raceOptions = "GORACE=atexit_sleep_ms=0"

// earlyExitWindow is how long newHost watches a new process for an early exit.
const earlyExitWindow = 300 * time.Millisecond

// start starts the process.
func (h *hostProcess) start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.binary, h.args...)
	cmd.Env, cmd.Stdout, cmd.Stderr = h.env, log, log
	// The process must not outlive a soak that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		defer close(exited)
		defer log.Close()
		// The host's own log does not show how its process exited.
		fmt.Fprintln(log, "process exited:", cmd.Wait())
	}()
	return nil
}

// signal sends a signal to the process. An error, which it ignores, means that the
// process has exited.
func (h *hostProcess) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// kill kills the process and waits for its exit.
func (h *hostProcess) kill() {
	h.signal(syscall.SIGKILL)
	h.waitForExit(time.Minute)
}

// waitForExit waits until the process has exited and reports whether it has done
// so within limit.
func (h *hostProcess) waitForExit(limit time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// isRunning reports whether the process has not exited.
func (h *hostProcess) isRunning() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// isReady reports whether the readiness check that the load balancer uses succeeds.
func (h *hostProcess) isReady() bool {
	resp, err := h.client.Get(emulator.ReadyURL(h.readyAddress))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
