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

// node is one host: its process and the proxies of its links.
type hostProcess struct {
	name          string
	callerAddress string
	readyAddress  string
	// store leads from the host to the store, peers from the others to it.
	storeLink, peerLink *faultproxy.Link
	client              *http.Client
	binary              string
	args                []string
	env                 []string
	logPath             string

	// restart lets one fault at a time start the process.
	restartMu sync.Mutex
	// pauses changes with the begin and the end of each pause.
	pauseChanges atomic.Int64

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// requestLimit bounds a request of a caller, somewhat above its wait.
const requestTimeout = callerTimeout + time.Second

// newNode writes the settings of a host and starts it.
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
		// Callers keep their connections and use them until the process is gone.
		client: &http.Client{Timeout: requestTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}},
	}
	if h.storeLink, err = faultproxy.New("127.0.0.1:0", r.emulated.StoreAddress()); err != nil {
		return nil, err
	}
	if h.peerLink, err = faultproxy.New(address(ports[3]), address(ports[2])); err != nil {
		return nil, err
	}
	text := emulator.HostSettings{
		Name: h.name, IP: emulator.TestIP(), Callers: h.callerAddress, Ready: h.readyAddress, PeerPort: ports[3],
		Advice: r.emulated.AdviceAddress(), Store: h.storeLink.Address(),
	}.FileText()
	file := filepath.Join(r.cfg.Folder, h.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	h.env = append(os.Environ(), "BANYANRUN_NODE_FILE="+file)
	if err := h.start(); err != nil {
		return nil, err
	}
	if h.waitForExit(earlyExitWindow) {
		// Somebody else has taken a port since it was free.
		h.storeLink.Close()
		h.peerLink.Close()
		return nil, fmt.Errorf("%s has ended at once: %w", h.name, syscall.EADDRINUSE)
	}
	return h, nil
}

// startCheck is how long a new process is watched for an early end.
const earlyExitWindow = 300 * time.Millisecond

// start starts the process.
func (h *hostProcess) start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.binary, h.args...)
	cmd.Env, cmd.Stdout, cmd.Stderr = h.env, log, log
	// The process must not outlive a soak that is ended from outside.
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
		// How the process ended explains what its own log does not.
		fmt.Fprintln(log, "process ended:", cmd.Wait())
	}()
	return nil
}

// signal sends a signal. An error means that the process has ended already.
func (h *hostProcess) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (h *hostProcess) kill() {
	h.signal(syscall.SIGKILL)
	h.waitForExit(time.Minute)
}

// wait waits until the process is gone and reports whether it is.
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

// running reports whether the process is there.
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

// isReady asks as the balancer does.
func (h *hostProcess) isReady() bool {
	resp, err := h.client.Get(emulator.ReadyURL(h.readyAddress))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
