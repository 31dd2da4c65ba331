package cluster

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"

	"banyanrun.example/banyanrun/integration/faultproxy"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/wire"
)

const (
	// basePort is checked when the cluster's address is chosen. The i-th host,
	// counted from 1, listens on basePort+i.
	basePort = 7600
	// logTailLines is the number of lines of a host's log that a failed test
	// prints.
	logTailLines = 25
)

// Host is one entry host with its process and the proxies of its links.
type Host struct {
	ID         string
	DataCentre string
	// Address is where callers reach the host, without a proxy.
	Address string
	// StoreLink connects the host to the platform, PeerLink its peers to the
	// host.
	StoreLink *faultproxy.Link
	PeerLink  *faultproxy.Link

	cluster    *Cluster
	startCount int

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error
}

// AddHost adds a host to the platform's list and starts it.
func (c *Cluster) AddHost(dc string) *Host {
	c.T.Helper()
	c.hostCount++
	h := &Host{
		ID: fmt.Sprintf("%s-host-%d", dc, c.hostCount), DataCentre: dc, cluster: c,
		Address: net.JoinHostPort(c.ip, fmt.Sprint(basePort+c.hostCount)),
	}
	h.StoreLink = c.openLink("127.0.0.1:0", c.Standin.StoreAddress())
	h.PeerLink = c.openLink("127.0.0.1:0", h.Address)
	err := c.Standin.ListHost(context.Background(), wire.ListedHost{
		ID: h.ID, Address: h.PeerLink.Address(), DataCentre: dc, Region: c.cfg.region(dc),
	})
	if err != nil {
		c.T.Fatalf("list host %s: %v", h.ID, err)
	}
	c.Hosts = append(c.Hosts, h)
	c.T.Cleanup(h.reportLog)
	c.T.Cleanup(h.Kill)
	h.Start()
	return h
}

// Start starts the host's process. The host must not be running.
func (h *Host) Start() {
	c := h.cluster
	h.startCount++
	log, err := os.OpenFile(h.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		c.T.Fatalf("open log of host %s: %v", h.ID, err)
	}
	defer log.Close()
	args := []string{
		"--host", h.ID, "--listen", h.Address, "--advertise", h.PeerLink.Address(),
		"--data-centre", h.DataCentre, "--region", c.cfg.region(h.DataCentre), "--platform", h.StoreLink.Address(),
		"--owner-lease", "2s", "--task-lease", "4s", "--sync-wait", "1s",
		"--store-timeout", "1s", "--worker-timeout", "2s", "--drain-timeout", "60s",
		"--journal-rate", "20", "--seed", fmt.Sprint(c.cfg.Seed + uint64(c.hostCount)),
	}
	if os.Getenv(tracesEnv) != "" {
		args = append(args, "--record", filepath.Join(c.folder, fmt.Sprintf("%s.%d.record", h.ID, h.startCount)))
	}
	cmd := exec.Command(c.cfg.Binary, append(args, c.cfg.HostFlags...)...)
	// The proxies forward plain TCP, and authorization is tested elsewhere.
	cmd.Env = append(os.Environ(), "BANYANRUN_INSECURE=true")
	cmd.Stderr = log
	// The process must not outlive a test that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		c.T.Fatalf("start host %s: %v", h.ID, err)
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited, h.exitErr = cmd, exited, nil
	h.mu.Unlock()
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		h.exitErr = err
		h.mu.Unlock()
		close(exited)
	}()
}

func (h *Host) logPath() string { return filepath.Join(h.cluster.folder, h.ID+".log") }

// signal sends a signal to the process. An error, which it ignores, means that the
// process has exited.
func (h *Host) signal(s os.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// PID returns the id of the latest process.
func (h *Host) PID() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

// Pause suspends the process with SIGSTOP.
func (h *Host) Pause() { h.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (h *Host) Resume() { h.signal(syscall.SIGCONT) }

// Kill kills the process and waits until it has exited.
func (h *Host) Kill() {
	h.signal(syscall.SIGKILL)
	<-h.exitedChan()
}

// Terminate requests a planned stop with SIGTERM.
func (h *Host) Terminate() { h.signal(syscall.SIGTERM) }

// exitedChan returns a channel that is closed when the process has exited.
func (h *Host) exitedChan() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.exited
}

// Alive reports whether the process is running or paused.
func (h *Host) Alive() bool {
	select {
	case <-h.exitedChan():
		return false
	default:
		return true
	}
}

// Stop performs a planned stop and fails the test if the process does not exit
// cleanly.
func (h *Host) Stop() {
	t := h.cluster.T
	t.Helper()
	h.Terminate()
	h.cluster.WaitUntil(h.ID+" has exited", func() bool { return !h.Alive() })
	h.mu.Lock()
	err := h.exitErr
	h.mu.Unlock()
	if err != nil {
		t.Errorf("host %s did not exit cleanly: %v", h.ID, err)
	}
}

// Remove removes the host from the platform's list and from the cluster.
func (h *Host) Remove() {
	c := h.cluster
	if err := c.Standin.ApplyHostAction(context.Background(), h.ID, standin.ActionGone); err != nil {
		c.T.Fatalf("remove host %s: %v", h.ID, err)
	}
	c.Hosts = slices.DeleteFunc(c.Hosts, func(o *Host) bool { return o == h })
}

// MarkLeaving marks the host as leaving in the platform's list.
func (h *Host) MarkLeaving() {
	if err := h.cluster.Standin.ApplyHostAction(context.Background(), h.ID, standin.ActionLeave); err != nil {
		h.cluster.T.Fatalf("mark host %s as leaving: %v", h.ID, err)
	}
}

// Ready reports whether the host's readiness check succeeds.
func (h *Host) Ready() bool {
	status, _, err := getView("http://" + h.Address + "/readyz")
	return err == nil && status == http.StatusOK
}

// OwnerEpoch reports whether the host considers itself the owner of its data
// centre, and its epoch.
func (h *Host) OwnerEpoch() (uint64, bool) {
	var view wire.HostsView
	if err := getJSON("http://"+h.Address+wire.PathHostsView, &view); err != nil {
		return 0, false
	}
	for _, v := range view.Hosts {
		if string(v.ID) == h.ID && v.Owner {
			return uint64(v.Epoch), true
		}
	}
	return 0, false
}

func (c *Cluster) allReady() bool {
	for _, h := range c.Hosts {
		if !h.Ready() {
			return false
		}
	}
	return true
}

// HostsIn returns the hosts of a data centre.
func (c *Cluster) HostsIn(dc string) []*Host {
	var out []*Host
	for _, h := range c.Hosts {
		if h.DataCentre == dc {
			out = append(out, h)
		}
	}
	return out
}

// WaitForOwner waits until a host other than the given ones owns the data centre,
// and returns it.
func (c *Cluster) WaitForOwner(dc string, except ...*Host) *Host {
	c.T.Helper()
	var owner *Host
	c.WaitUntil("data centre "+dc+" has an owner", func() bool {
		for _, h := range c.HostsIn(dc) {
			if slices.Contains(except, h) || !h.Alive() {
				continue
			}
			if _, ok := h.OwnerEpoch(); ok {
				owner = h
				return true
			}
		}
		return false
	})
	return owner
}

// reportLog prints the end of the host's log if the test has failed, and fails the
// test if the log contains a data race.
func (h *Host) reportLog() {
	t := h.cluster.T
	data, err := os.ReadFile(h.logPath())
	if err != nil {
		t.Errorf("read log of host %s: %v", h.ID, err)
		return
	}
	if at := bytes.Index(data, []byte("DATA RACE")); at >= 0 {
		t.Errorf("host %s has a data race:\n%s", h.ID, data[at:min(len(data), at+4000)])
	}
	if t.Failed() {
		lines := strings.Split(strings.TrimSpace(string(data)), "\n")
		t.Logf("log of %s:\n%s", h.ID, strings.Join(lines[max(0, len(lines)-logTailLines):], "\n"))
	}
}
