package crowd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/internal/testaddr"
	"banyanrun.example/banyanrun/wire"
)

const (
	// entryMemoryMB is the memory of the machine in the tests' settings.
	entryMemoryMB = 192
	// entryMaxRequests and entryMaxConnections are the daemon's limits in the tests
	// that reach them.
	entryMaxRequests, entryMaxConnections = 32, 100
	// entryMaxSockets is above what any test of the daemon opens.
	entryMaxSockets = 2000
	// The limits on bodies.
	maxCallBytes, maxBatchBytes, maxEntryPeerBytes = 1 << 20, 8 << 20, 16 << 20
)

// entryCrowd is a crowd of clients at an entry daemon.
type entryCrowd struct {
	name    string
	clients int
	request request
	flags   []string
	// toPeers means that the clients connect to the port for other hosts.
	toPeers bool
}

func entryCrowds(t *testing.T) []entryCrowd {
	post := func(path string, body []byte, change func(*request)) request {
		r := request{method: http.MethodPost, path: path, host: "entry", body: body}
		change(&r)
		return r
	}
	unchanged := func(*request) {}
	unfinished := func(r *request) { r.omittedBytes = 1 }
	returning := func(r *request) { r.omittedBytes, r.returning = 1, true }
	call := wire.PathCalls + "/" + cluster.Team + "/" + cluster.KindLookup
	text := bytes.Repeat([]byte(" "), maxBatchBytes)
	// The worker returns the result, so that the answers are as large as the calls.
	program, err := json.Marshal(map[string]any{"run_ms": 10, "result": strings.Repeat("x", maxCallBytes-100)})
	if err != nil {
		t.Fatal(err)
	}
	return []entryCrowd{
		{name: "whole calls", clients: 300, request: post(call, program, unchanged)},
		{name: "calls without their last byte", clients: 300, request: post(call, text[:maxCallBytes], unfinished)},
		{name: "calls in pieces without their last byte", clients: 300, request: post(call, text[:maxCallBytes], func(r *request) {
			r.omittedBytes, r.writeBytes = 1, 1000
		})},
		{name: "calls in chunks of one byte without their end", clients: 200, request: post(call, text[:maxCallBytes], func(r *request) {
			r.chunkBytes, r.omittedBytes = 1, chunkedEndBytes
		})},
		{name: "batches without their last byte", clients: 40, request: post(wire.PathJobsBatch, text, unfinished)},
		{name: "batches in large chunks without their end", clients: 40, request: post(wire.PathJobsBatch, text, func(r *request) {
			r.chunkBytes, r.omittedBytes = 1<<20, chunkedEndBytes
		})},
		{name: "whole batches of empty jobs", clients: 4, request: post(wire.PathJobsBatch, repeated(`{"jobs":[`, "{},", "]}", maxBatchBytes), unchanged)},
		{name: "whole batches of large jobs", clients: 10, request: post(wire.PathJobsBatch, largeBatch(t), unchanged)},
		{name: "many header lines without their end", clients: 500, request: request{
			method: http.MethodGet, path: "/", host: "entry", header: headerLines(2600 * 3), omittedBytes: len("\r\n"),
		}},
		{name: "unfinished requests beyond the limit on requests", clients: 60, flags: []string{"--max-requests", fmt.Sprint(entryMaxRequests)},
			request: post(wire.PathJobs, []byte("{}"), returning)},
		{name: "unfinished requests beyond the limit on connections", clients: 150, flags: []string{"--max-connections", fmt.Sprint(entryMaxConnections)},
			request: post(wire.PathJobs, []byte("{}"), returning)},
		{name: "messages between hosts without their last byte", clients: 30, toPeers: true,
			request: post("/peer/v1/documents", bytes.Repeat([]byte(" "), maxEntryPeerBytes), unfinished)},
		{name: "whole messages between hosts of empty documents", clients: 2, toPeers: true,
			request: post("/peer/v1/documents", repeated(`{"Versions":[`, "{},", "]}", maxEntryPeerBytes), unchanged)},
	}
}

// largeBatch returns a batch of jobs with payloads of nearly the allowed length.
func largeBatch(t *testing.T) []byte {
	var batch wire.BatchRequest
	payload := make([]byte, 60<<10)
	for i := range maxBatchBytes / (len(payload)*4/3 + 200) {
		batch.Jobs = append(batch.Jobs, wire.JobRequest{
			ID: core.JobID(fmt.Sprintf("large-%d", i)), Team: cluster.Team, Kind: cluster.KindBatch, Payload: payload,
		})
	}
	body, err := json.Marshal(batch)
	if err != nil || len(body) > maxBatchBytes {
		t.Fatalf("a batch of %d bytes, %v", len(body), err)
	}
	return body
}

// TestEntrySurvivesCrowds guards against clients that end or hang an entry daemon: with
// many bodies of legal size, whole or unfinished, with many connections, or at the port
// for other hosts.
func TestEntrySurvivesCrowds(t *testing.T) {
	t.Setenv("BANYANRUN_MEMORY_MB", fmt.Sprint(entryMemoryMB))
	binary := build(t, "banyanrun-entry")
	for _, c := range entryCrowds(t) {
		t.Run(c.name, func(t *testing.T) {
			peers := testaddr.Free(t)
			flags := append([]string{"--drain-timeout", "1s", "--peer-listen", peers}, c.flags...)
			entries := cluster.Start(t, cluster.Config{Binary: binary, DataCentres: 1, Hosts: 1, Workers: 2, Seed: 1, HostFlags: flags})
			host := entries.Hosts[0]
			watch := startWatch(t, host.PID(), host.Address, peers)
			address := host.Address
			if c.toPeers {
				address = peers
			}
			gather(t, address, c.clients, c.request)
			watch.settle()
			expectOrdinaryEntryJob(t, host)
			watch.check(entryMemoryMB<<20, entryMaxSockets)
			host.Terminate()
			eventually(t, "the stopped daemon has ended", func() bool { return !host.Alive() })
		})
	}
}

// expectOrdinaryEntryJob fails the test if a daemon is not ready, or does not accept a
// job and give its state.
func expectOrdinaryEntryJob(t *testing.T, h *cluster.Host) {
	t.Helper()
	body, err := json.Marshal(wire.JobRequest{ID: "ordinary", Team: cluster.Team, Kind: cluster.KindBatch, Payload: cluster.JobPayload("ordinary", time.Millisecond)})
	if err != nil {
		t.Fatal(err)
	}
	base := "http://" + h.Address
	eventually(t, "the daemon is ready, accepts an ordinary job and gives its state", func() bool {
		if !h.Alive() {
			t.Fatal("the daemon has ended")
		}
		return status(http.MethodPost, base+wire.PathJobs, body) == http.StatusAccepted &&
			status(http.MethodGet, base+wire.PathJobs+"/ordinary", nil) == http.StatusOK && h.Ready()
	})
}

// status sends a request on a connection of its own and returns the status of the
// response, or 0 without one.
func status(method, url string, body []byte) int {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	req.Close = true
	resp, err := (&http.Client{Timeout: sendTimeout}).Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}
