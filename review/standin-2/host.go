package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// host is a process of the project's host program.
type host struct {
	name     string
	callers  string
	ready    string
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}
}

// settingsText is the settings file of a host with the figures of a small deployment.
const settingsText = `node_name: "%s"
role: "host"
machine_class: "edge"
serves: ["edge"]
ip: "%s"
zone: "z"
region: "r"
zones: {z: "r"}
listen: {front: "%s", ready: "%s", control: "%s"}
port_range: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4200, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
heartbeat_ms: 1500
bounds: {contact_ms: 4000, ack_timeout_ms: 5000, drain_ms: 2500, grace_s: 6, config_apply_ms: 2500, max_hold_ms: 10000, stop_grace_ms: 400, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, remote_penalty: 2, checkpoint_s: 2, restore_ms: 100, pace_ms: 100, harm_ms: 4000}
orders: "call"
platform: {address: "%s", form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}
`

// startHost writes the settings of a host and starts its process.
func (p *platform) startHost(i int) (*host, error) {
	// Each host has a loopback address of its own, since its port for metrics is fixed.
	ip := fmt.Sprintf("127.%d.%d.%d", 60+i, os.Getpid()>>8&0xff, 1+os.Getpid()%250)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return fmt.Sprintf("%s:%d", ip, ports[n]) }
	h := &host{name: fmt.Sprintf("host-%d", i), callers: at(0), ready: at(1)}
	h.settings = filepath.Join(p.folder, h.name+".yaml")
	text := fmt.Sprintf(settingsText, h.name, ip, at(0), at(1), at(2), ports[3], ports[3], p.address)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	return h, p.start(h)
}

// start starts the process of a host.
func (p *platform) start(h *host) error {
	logFile, err := os.OpenFile(filepath.Join(p.folder, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command(p.program)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.folder, "BANYANRUN_NODE_FILE=" + h.settings}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	p.rec.printf("%s starts at %s", h.name, h.callers)
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	_ = h.cmd.Process.Kill()
	<-h.exited
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
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
