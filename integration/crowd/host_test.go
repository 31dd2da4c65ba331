package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"banyanrun.example/banyanrun/integration/testhosts"
	"banyanrun.example/banyanrun/platform/emulator"
)

// The limits of the machine in the tests' settings.
const (
	hostMemoryMB = 128
	hostMaxFDs   = 1024
	// reservedFDs are the descriptors that the platform reserves for files.
	reservedFDs = 200
	// maxBodyBytes is the limit on bodies in the emulated configuration, maxPeerBytes
	// the one on messages between hosts.
	maxBodyBytes = 256 << 10
	maxPeerBytes = 8 << 20
)

// largeJob returns the largest valid job of small steps. It is due in a few hours.
func largeJob(t *testing.T) []byte {
	steps := make([]map[string]int, 4600)
	for i := range steps {
		steps[i] = map[string]int{"count": 1, "cpu": 10, "mem_mb": 10, "estimate_ms": 60000}
	}
	body, err := json.Marshal(map[string]any{
		"spec": `{"cpu":10,"mem_mb":10}`, "steps": steps, "repeat_count": 1, "first_ms": time.Now().Add(3 * time.Hour).UnixMilli(), "interval_ms": 1000,
	})
	if err != nil || len(body) > maxBodyBytes || len(body) < maxBodyBytes*9/10 {
		t.Fatalf("a job of %d bytes, %v", len(body), err)
	}
	return body
}

// repeated returns prefix, as many items as fit into n bytes, and suffix.
func repeated(prefix, item, suffix string, n int) []byte {
	count := (n - len(prefix) - len(suffix)) / len(item)
	return []byte(prefix + strings.TrimSuffix(strings.Repeat(item, count), ",") + suffix)
}

// submit returns a request that submits a job on a queue of the emulated configuration.
func submit(body []byte, change func(*request)) request {
	r := request{
		method: http.MethodPost, path: emulator.BatchQueue + "00000000000000aa", host: emulator.CallerHostName,
		header: "Content-Type: application/json\r\n", body: body,
	}
	change(&r)
	return r
}

// hostCrowd is a crowd of clients at the hosts.
type hostCrowd struct {
	name    string
	clients int
	request request
	// port selects the port that the clients connect to.
	port func(*testhosts.Process) string
}

func callersPort(p *testhosts.Process) string { return p.Callers }
func peersPort(p *testhosts.Process) string   { return p.Peers }
func readyPort(p *testhosts.Process) string   { return p.Ready }

func hostCrowds(t *testing.T) []hostCrowd {
	job := largeJob(t)
	text := repeated(`{"spec":"`, "x", `","steps":[]}`, maxBodyBytes)
	unfinished := func(r *request) { r.omittedBytes = 1 }
	return []hostCrowd{
		{"whole bodies", 300, submit(job, func(*request) {}), callersPort},
		{"whole bodies of empty steps", 40, submit(repeated(`{"spec":"","steps":[`, "{},", "]}", maxBodyBytes), func(*request) {}), callersPort},
		{"bodies without their last byte", 500, submit(job, unfinished), callersPort},
		{"bodies in pieces without their last byte", 500, submit(text, func(r *request) { r.omittedBytes, r.writeBytes = 1, 1000 }), callersPort},
		{"large chunks without their end", 500, submit(text, func(r *request) { r.chunkBytes, r.omittedBytes = 64<<10, chunkedEndBytes }), callersPort},
		{"chunks of one byte without their end", 400, submit(text, func(r *request) { r.chunkBytes, r.omittedBytes = 1, chunkedEndBytes }), callersPort},
		{"many header lines without their end", 500, request{
			method: http.MethodGet, path: "/", host: emulator.CallerHostName, header: headerLines(2600), omittedBytes: len("\r\n"),
		}, callersPort},
		{"more connections than descriptors", 1200, submit([]byte("{}"), unfinished), callersPort},
		{"more connections to the readiness check than descriptors", 1200, request{
			method: http.MethodGet, path: "/v1/ready", host: "ready", body: []byte("{}"), omittedBytes: 1,
		}, readyPort},
		{"messages between hosts without their last byte", 40, request{
			method: http.MethodPost, path: "/peer/v1/orders", host: "peer", body: bytes.Repeat([]byte(" "), maxPeerBytes), omittedBytes: 1,
		}, peersPort},
		{"whole messages between hosts of empty steps", 2, request{
			method: http.MethodPost, path: "/peer/v1/request", host: "peer",
			body: repeated(`{"kind":"submit","spec":{"payload":"","steps":[`, "{},", "]}}", maxPeerBytes),
		}, peersPort},
		{"more connections of hosts than descriptors", 1200, request{
			method: http.MethodPost, path: "/peer/v1/request", host: "peer", body: []byte("{}"), omittedBytes: 1,
		}, peersPort},
	}
}

// TestHostsSurviveCrowds guards against clients that end or hang a host: with many
// bodies of legal size, whole or unfinished, with many connections, or at the ports for
// other hosts and for the readiness check.
func TestHostsSurviveCrowds(t *testing.T) {
	binary := build(t, "banyanrun-host")
	for _, c := range hostCrowds(t) {
		t.Run(c.name, func(t *testing.T) {
			hosts := startHosts(t, binary)
			var watches []*watch
			for _, p := range hosts {
				watches = append(watches, startWatch(t, p.PID(), p.Callers, p.Ready, p.Peers))
			}
			gather(t, c.port(hosts[0]), c.clients, c.request)
			watches[0].settle()
			for i, p := range hosts {
				expectOrdinaryJob(t, p, i)
			}
			for i, p := range hosts {
				watches[i].check(hostMemoryMB<<20, hostMaxFDs-reservedFDs)
				p.Terminate()
			}
			for _, p := range hosts {
				eventually(t, "the stopped host has ended", func() bool { return !p.Alive() })
			}
		})
	}
}

// startHosts starts two hosts with the limits of the tests and waits until they serve.
func startHosts(t *testing.T, binary string) []*testhosts.Process {
	hosts := testhosts.Start(t, testhosts.Config{Binary: binary, Hosts: 2, Workers: 2, MemoryMB: hostMemoryMB, MaxFDs: hostMaxFDs})
	for _, p := range hosts {
		p.LimitDescriptors(hostMaxFDs)
	}
	for i, p := range hosts {
		expectOrdinaryJob(t, p, 10+i)
	}
	return hosts
}

// expectOrdinaryJob fails the test if a host is not ready, or does not accept a job and
// give its state.
func expectOrdinaryJob(t *testing.T, p *testhosts.Process, number int) {
	t.Helper()
	body, err := emulator.JobBody([]emulator.JobStep{{Count: 1, CPU: 10, MemoryMB: 10, EstimateMS: 100}})
	if err != nil {
		t.Fatal(err)
	}
	path := fmt.Sprintf("%s%016x", emulator.UrgentQueue, number)
	eventually(t, "the host is ready, accepts an ordinary job and gives its state", func() bool {
		if !p.Alive() {
			t.Fatal("the host has ended")
		}
		submitted, _ := p.Call(http.MethodPost, path, body)
		state, _ := p.Call(http.MethodGet, path, "")
		return submitted == http.StatusOK && state == http.StatusOK && p.IsReady()
	})
}

// TestSlowUploadIsServed guards against taking a client that is only slow for one that
// holds memory.
func TestSlowUploadIsServed(t *testing.T) {
	hosts := startHosts(t, build(t, "banyanrun-host"))
	r := submit(largeJob(t), func(r *request) { r.header += "Connection: close\r\nX-Request-Deadline-Ms: 60000\r\n" })
	raw := r.bytes()
	conn, err := net.Dial("tcp", hosts[0].Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const pieces = 40
	for i := range pieces {
		if _, err := conn.Write(raw[len(raw)*i/pieces : len(raw)*(i+1)/pieces]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	const accepted = "HTTP/1.1 200"
	answer := make([]byte, len(accepted))
	if _, err := conn.Read(answer); err != nil || string(answer) != accepted {
		t.Errorf("got %q, %v; want %q", answer, err, accepted)
	}
}
