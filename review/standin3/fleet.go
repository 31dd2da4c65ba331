package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "svc-c3"
	clientHost  = "jobs.example"
	heartbeat   = 1500 * time.Millisecond
	// hostProgram is the start command of the deploy file.
	hostProgram = "target/banyanrun-host"
)

// bounds are the bounds of a site that the hosts and workers of a case get.
type bounds struct{ MaxHoldMS int64 }

// fleet is a small deployment: the platform's store, workers and host processes.
type fleet struct {
	rec     *record
	store   *store
	hist    *history
	bounds  bounds
	dir     string
	root    string
	hosts   []*hostProcess
	workers []*worker
	client  *http.Client
	servers []*http.Server
	stopped chan struct{}
}

// hostProcess is a process of the system.
type hostProcess struct {
	name, ip, front, ready string
	settings               string
	mu                     sync.Mutex
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

func newFleet(rec *record, b bounds) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	f := &fleet{
		rec: rec, store: newStore(), hist: &history{}, bounds: b, dir: dir, root: root,
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}},
		stopped: make(chan struct{}),
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		f.close()
		os.Exit(2)
	}()
	return f, nil
}

// listen serves a handler on a free port of a loopback address.
func (f *fleet) listen(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h}
	f.servers = append(f.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String(), nil
}

// freePorts sets the ports to different ones that are free.
func freePorts(ip string, ports []int) error {
	for i := range ports {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return err
		}
		// The listeners stay open until all ports are chosen, so that these differ.
		defer l.Close()
		ports[i] = l.Addr().(*net.TCPAddr).Port
	}
	return nil
}

// addWorker adds a worker and begins its liveness reports.
func (f *fleet) addWorker(capacity int64, labels ...string) (*worker, error) {
	id := fmt.Sprintf("w%02d", len(f.workers)+1)
	w := newWorker(id, "", capacity, labels, time.Duration(f.bounds.MaxHoldMS)*time.Millisecond, f.hist, f.rec)
	address, err := f.listen("127.0.0.1", w)
	if err != nil {
		return nil, err
	}
	w.address, w.server = address, f.servers[len(f.servers)-1]
	f.workers = append(f.workers, w)
	go func() {
		beat := time.NewTicker(heartbeat)
		defer beat.Stop()
		silent := 0
		for seq := int64(1); ; seq++ {
			w.mu.Lock()
			down := w.crashed
			w.mu.Unlock()
			switch {
			case !down:
				silent = 0
				f.store.put("servers/"+w.id, w.entry(seq))
			default:
				if silent++; silent == 3 {
					f.store.remove("servers/" + w.id)
				}
			}
			select {
			case <-beat.C:
			case <-f.stopped:
				return
			}
		}
	}()
	return w, nil
}

// siteMemoryMB is the memory of a machine of the small sites.
const siteMemoryMB = 284

// addHost prepares a host with an address of its own.
func (f *fleet) addHost(answerDelay time.Duration, memoryMB int) (*hostProcess, error) {
	n, pid := len(f.hosts)+1, os.Getpid()
	h := &hostProcess{name: fmt.Sprintf("edge-%d", n), ip: fmt.Sprintf("127.%d.%d.%d", 60+n, pid>>8&0xff, pid&0xff)}
	f.store.answerDelay[h.name] = answerDelay
	storeAddress, err := f.listen("127.0.0.1", f.store.handler(h.name))
	if err != nil {
		return nil, err
	}
	var ports [3]int
	if err := freePorts(h.ip, ports[:]); err != nil {
		return nil, err
	}
	h.front, h.ready = fmt.Sprintf("%s:%d", h.ip, ports[0]), fmt.Sprintf("%s:%d", h.ip, ports[1])
	text := fmt.Sprintf(`node_name: %q
role: "host"
machine_class: "edge"
serves: ["edge"]
ip: %q
zone: "z"
region: "r"
zones: {z: "r"}
listen: {front: %q, ready: %q}
port_range: [%d, %d]
seeds: []
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: %d, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "vip"
heartbeat_ms: 1500
contracts: ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"]
fault_tolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 4000, ack_timeout_ms: 5000, catch_up_s: 4, drain_ms: 2500, grace_s: 6,
  loss_slack_ms: 200, config_apply_ms: 2500, rollback_slack_ms: 250, max_skew_ms: 6000, recovery_s: 12, max_hold_ms: %d,
  stop_grace_ms: 400, gang_timeout_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120,
  remote_penalty: 2, checkpoint_s: 2, restore_ms: 600, notice_ms: 5500, move_s: 1.5, upkeep_s: 2, require_fencing: false,
  lease_ttl_ms: 3000, thaw_ms: 300, pace_ms: 100, harm_ms: 4000}
orders: "call"
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}
`, h.name, h.ip, h.front, h.ready, ports[2], ports[2], memoryMB, f.bounds.MaxHoldMS, storeAddress)
	h.settings = filepath.Join(f.dir, h.name+".yaml")
	f.hosts = append(f.hosts, h)
	return h, os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the process of a host.
func (f *fleet) start(h *hostProcess) error {
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(f.root, hostProgram))
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, log, log
	cmd.Env = append(os.Environ(), "BANYANRUN_NODE_FILE="+h.settings)
	if err := cmd.Start(); err != nil {
		return err
	}
	f.rec.add("host %s started", h.name)
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// kill ends the process of a host at once.
func (f *fleet) kill(h *hostProcess) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	f.rec.add("host %s killed", h.name)
}

func (f *fleet) host(name string) *hostProcess {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// owner returns the host in the record of the owner, or nil.
func (f *fleet) owner() *hostProcess {
	it := f.store.get("banyanrun/owner")
	if it == nil {
		return nil
	}
	for _, h := range f.hosts {
		if strings.Contains(string(it.Value), `"`+h.name+`"`) {
			return h
		}
	}
	return nil
}

// close ends all that the case has started.
func (f *fleet) close() {
	for _, h := range f.hosts {
		h.mu.Lock()
		cmd, exited := h.cmd, h.exited
		h.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-exited
		}
	}
	close(f.stopped)
	for _, s := range f.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// putConfig writes the operator's config with one queue for each prefix.
func (f *fleet) putConfig(queues ...string) {
	var routes []map[string]any
	for i, name := range queues {
		routes = append(routes, map[string]any{
			"name": name, "host": clientHost, "prefix": "/" + name + "/", "kind": "non_idempotent", "timeout_ms": 3000,
			"slo_ms": 500, "priority": i, "service": serviceName, "attempts": 3, "stretch": 1.1,
		})
	}
	f.store.put("op/config", map[string]any{
		"version": 1, "routes": routes, "services": []map[string]any{{"name": serviceName, "admission_check": false}},
		"limits": map[string]any{"max_body_bytes": 262144},
	})
}

// waitReady waits until all hosts answer the readiness check with 200 and one of them is
// the owner. As the platform does, it starts a process again that has exited.
func (f *fleet) waitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range f.hosts {
			if h.hasExited() {
				if err := f.start(h); err != nil {
					return err
				}
			}
			if f.readyStatus(h) == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.hosts) && f.owner() != nil {
			return nil
		}
	}
	for _, h := range f.hosts {
		log, _ := os.ReadFile(filepath.Join(f.dir, h.name+".log"))
		f.rec.add("host %s: readiness %d, the end of its log: %s", h.name, f.readyStatus(h), log[max(0, len(log)-2000):])
	}
	return fmt.Errorf("the hosts were not ready within 15 s")
}

func (h *hostProcess) hasExited() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.exited:
		return true
	default:
		return false
	}
}

// readyStatus returns the status of the readiness check, 0 without an answer.
func (f *fleet) readyStatus(h *hostProcess) int {
	resp, err := f.client.Get("http://" + h.ready + "/v1/ready")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

const clientTimeout = 3 * time.Second

// call makes a client's request and returns the status, 0 without an answer.
func (f *fleet) call(h *hostProcess, method, path string, body []byte) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = clientHost
	req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(clientTimeout.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := *f.client
	client.Timeout = clientTimeout
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

// step is a step of a job.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemMB       int64  `json:"mem_mb"`
	EstimateMS  int64  `json:"estimate_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Constraints string `json:"constraints,omitempty"`
	LongRunning bool   `json:"long_running,omitempty"`
	Fills       bool   `json:"fills,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Image       string `json:"image,omitempty"`
	TargetMS    int64  `json:"target_ms,omitempty"`
}

func jobBody(spec taskSpec, steps ...step) []byte {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	body, err := json.Marshal(map[string]any{"spec": string(text), "steps": steps})
	if err != nil {
		panic(err)
	}
	return body
}

// submit hands a job in as a client does: after no answer or a 502 or 504 it repeats the
// request at the next host, up to four times. It returns the last status.
func (f *fleet) submit(first int, queue, id string, body []byte) int {
	status := 0
	for try := range 5 {
		h := f.hosts[(first+try)%len(f.hosts)]
		began := time.Now()
		status, _ = f.call(h, http.MethodPost, "/"+queue+"/"+id, body)
		f.rec.addAt(began, "client sends POST %s/%s to %s", queue, id, h.name)
		f.rec.add("client gets %d for POST %s/%s", status, queue, id)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		time.Sleep(200 * time.Millisecond)
	}
	return status
}
