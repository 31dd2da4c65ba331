package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// hostProgram is the start command of the deploy file.
const hostProgram = "target/banyanrun-host"

// host is a process of the project, with its own link to the store.
type host struct {
	name, ip, callers, ready string
	// storeLink leads from the host to the store, peerLink from the other hosts to it.
	storeLink, peerLink *gate
	// partition is the one between the host and the store.
	partition partition
	env       []string
	log       *os.File
	rec       *record

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// misses counts the readiness checks in a row that have failed.
	misses int
}

// addHost writes the settings of a host and starts it.
func (d *deployment) addHost(i int) (*host, error) {
	h := &host{name: fmt.Sprintf("edge-%d", i+1), ip: d.ip(200 + i), rec: d.rec}
	var err error
	if h.storeLink, err = forwardGate(d.ip(1)+":0", d.storeAddress, &h.partition); err != nil {
		return nil, err
	}
	ports, err := freePorts(h.ip, 5)
	if err != nil {
		return nil, err
	}
	adviceService, err := serveGate(d.ip(3), d.advice.handler(d.fleet))
	if err != nil {
		return nil, err
	}
	h.callers, h.ready = fmt.Sprintf("%s:%d", h.ip, ports[0]), fmt.Sprintf("%s:%d", h.ip, ports[1])
	text := fmt.Sprintf(`node_name: %q
role: "host"
machine_class: "edge"
serves: ["edge"]
ip: %q
zone: "z1"
region: "r1"
zones: {z1: "r1"}
listen: {front: %q, ready: %q, control: "%s:%d"}
port_range: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform"]
bounds: {contact_ms: 4000, ack_timeout_ms: 5000, drain_ms: 2500, grace_s: 6, config_apply_ms: 2500, recovery_s: 12, max_hold_ms: %d, stop_grace_ms: 400, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remote_penalty: 2, checkpoint_s: 2, restore_ms: 600, lease_ttl_ms: 3000, require_fencing: false}
orders: "call"
advice: %q
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: %d, min_ttl_ms: %d}
`, h.name, h.ip, h.callers, h.ready, h.ip, ports[2], ports[3], ports[3], maxHold.Milliseconds(), adviceService.address(), h.storeLink.address(), maxValueBytes, minLeaseTTL.Milliseconds())
	file := filepath.Join(d.folder, h.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(d.folder, h.name+".log")); err != nil {
		return nil, err
	}
	peers := fmt.Sprintf("%s:%d", h.ip, ports[4])
	if h.peerLink, err = forwardGate(fmt.Sprintf("%s:%d", h.ip, ports[3]), peers, &d.peerPartition); err != nil {
		return nil, err
	}
	h.env = append(os.Environ(), "BANYANRUN_NODE_FILE="+file, "BANYANRUN_PEER_LISTEN="+peers)
	return h, h.start()
}

// start starts the process.
func (h *host) start() error {
	cmd := exec.Command(hostProgram)
	cmd.Env, cmd.Stdout, cmd.Stderr = h.env, h.log, h.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	h.rec.add("host %s starts", h.name)
	go func() {
		err := cmd.Wait()
		h.rec.add("host %s has exited: %v", h.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rec.add("host %s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.exited
}

// isReady reports whether the host's readiness check succeeds.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// cpuSeconds returns the processor time that the process has used.
func (h *host) cpuSeconds() float64 {
	h.mu.Lock()
	pid := h.cmd.Process.Pid
	h.mu.Unlock()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	if len(fields) < 13 {
		return 0
	}
	var user, system float64
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		return 0
	}
	return (user + system) / 100
}

// freePorts returns n ports that are free on an address.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}
