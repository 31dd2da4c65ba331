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
type node struct {
	name    string
	callers string
	ready   string
	// store leads from the host to the store, peers from the others to it.
	store, peers *faultproxy.Link
	client       *http.Client
	binary       string
	args         []string
	env          []string
	log          string

	// restart lets one fault at a time start the process.
	restart sync.Mutex
	// pauses changes with the begin and the end of each pause.
	pauses atomic.Int64

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// requestLimit bounds a request of a caller, somewhat above its wait.
const requestLimit = callerWait + time.Second

// newNode writes the settings of a host and starts it.
func (r *round) newNode(i int) (*node, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	address := func(port int) string { return fmt.Sprintf("%s:%d", emulator.TestIP(), port) }
	n := &node{
		name: fmt.Sprintf("host-%d", i), callers: address(ports[0]), ready: address(ports[1]), binary: r.cfg.Binary,
		args: []string{"--metrics-port", "0", "--peer-listen", address(ports[2])},
		log:  filepath.Join(r.cfg.Folder, fmt.Sprintf("host-%d.log", i)),
		// Callers keep their connections and use them until the process is gone.
		client: &http.Client{Timeout: requestLimit, Transport: &http.Transport{MaxIdleConnsPerHost: callersAtATime}},
	}
	if n.store, err = faultproxy.New("127.0.0.1:0", r.world.StoreAddress()); err != nil {
		return nil, err
	}
	if n.peers, err = faultproxy.New(address(ports[3]), address(ports[2])); err != nil {
		return nil, err
	}
	text := emulator.HostSettings{
		Name: n.name, IP: emulator.TestIP(), Callers: n.callers, Ready: n.ready, PeerPort: ports[3],
		Advice: r.world.AdviceAddress(), Store: n.store.Address(),
	}.FileText()
	file := filepath.Join(r.cfg.Folder, n.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	n.env = append(os.Environ(), "BANYANRUN_NODE_FILE="+file)
	if err := n.start(); err != nil {
		return nil, err
	}
	if n.wait(startCheck) {
		// Somebody else has taken a port since it was free.
		n.store.Close()
		n.peers.Close()
		return nil, fmt.Errorf("%s has ended at once: %w", n.name, syscall.EADDRINUSE)
	}
	return n, nil
}

// startCheck is how long a new process is watched for an early end.
const startCheck = 300 * time.Millisecond

// start starts the process.
func (n *node) start() error {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(n.binary, n.args...)
	cmd.Env, cmd.Stdout, cmd.Stderr = n.env, log, log
	// The process must not outlive a soak that is ended from outside.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	go func() {
		defer close(exited)
		defer log.Close()
		// How the process ended explains what its own log does not.
		fmt.Fprintln(log, "process ended:", cmd.Wait())
	}()
	return nil
}

// signal sends a signal. An error means that the process has ended already.
func (n *node) signal(s os.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.wait(time.Minute)
}

// wait waits until the process is gone and reports whether it is.
func (n *node) wait(limit time.Duration) bool {
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// running reports whether the process is there.
func (n *node) running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// isReady asks as the balancer does.
func (n *node) isReady() bool {
	resp, err := n.client.Get(emulator.ReadyURL(n.ready))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
