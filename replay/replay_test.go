package replay_test

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/embedded"
	"banyanrun.example/banyanrun/entry"
	"banyanrun.example/banyanrun/internal/testaddr"
	"banyanrun.example/banyanrun/replay"
)

const documentJSON = `{"schema":1,"team":"alpha","service":"test","weight":1,
"quota":{"cpus":64,"memory_mb":65536,"slots":64,"connections":64},
"kinds":[{"name":"batch","urgency":"normal","idempotent":true,"request":{"cpus":1,"memory_mb":64,"slots":1},
"run_time":"1s","deadline":"1m","max_attempts":2,"queue_limit":100}]}`

// recordRun runs an embedded daemon with one job and returns the recording.
func recordRun(t *testing.T) []byte {
	t.Helper()
	path := filepath.Join(t.TempDir(), "recording")
	set := entry.Settings{
		Listen: testaddr.Free(t), Record: path, OwnerLease: 6 * time.Second, TaskLease: 30 * time.Second,
		SyncWait: 10 * time.Second, StoreTimeout: 2 * time.Second, WorkerTimeout: 2 * time.Second,
		DrainTimeout: 10 * time.Second, JournalRate: 4, MaxRequests: 64,
	}
	platform, err := embedded.Start(&set, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	daemon, err := entry.New(set, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- daemon.Run(ctx) }()
	base := "http://" + daemon.Address()
	sendUntilAccepted(t, http.MethodPut, base+"/v1/documents/alpha", documentJSON)
	sendUntilAccepted(t, http.MethodPost, base+"/v1/jobs", `{"id":"job-1","team":"alpha","kind":"batch"}`)
	sendUntilAccepted(t, http.MethodGet, base+"/v1/jobs/job-1/wait", "")
	stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// sendUntilAccepted repeats a request until it succeeds. The number of attempts
// bounds the wait for the daemon to start.
func sendUntilAccepted(t *testing.T, method, url, body string) {
	t.Helper()
	last := ""
	for range 300 {
		req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("If-Match", "0")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		_, err = out.ReadFrom(resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode < http.StatusBadRequest {
			return
		}
		last = resp.Status + " " + out.String()
		time.Sleep(100 * time.Millisecond)
	}
	t.Fatalf("%s %s did not succeed: %s", method, url, last)
}

// Guards against state outside the reducer, an order that depends on map
// iteration, and an event that loses data when it is recorded. Each makes a
// replay produce other bytes.
func TestReplayReproducesDaemonRecording(t *testing.T) {
	data := recordRun(t)
	result, err := replay.Run(bytes.NewReader(data), replay.Options{})
	if err != nil {
		t.Fatal(err)
	}
	if d := result.Difference; d != nil {
		t.Fatalf("step %d (%s) differs\nrecorded %s\nreplayed %s", d.Step, d.Event, d.Recorded, d.Replayed)
	}
	if result.Torn || len(result.Outcomes) != 1 || result.Outcomes[0].State != "succeeded" {
		t.Fatalf("outcomes %+v, torn %t; want one success in a whole recording", result.Outcomes, result.Torn)
	}

	t.Run("an altered effect is reported at its step", func(t *testing.T) {
		altered := bytes.Replace(data, []byte(`"Level":0`), []byte(`"Level":1`), 1)
		result, err := replay.Run(bytes.NewReader(altered), replay.Options{})
		if err != nil || result.Difference == nil {
			t.Fatalf("difference %v, error %v; want a difference", result.Difference, err)
		}
	})
	t.Run("a limit ends the replay", func(t *testing.T) {
		result, err := replay.Run(bytes.NewReader(data), replay.Options{Until: 5})
		if err != nil || result.Steps != 5 {
			t.Fatalf("%d steps, error %v; want 5", result.Steps, err)
		}
	})
	t.Run("a truncated last line is not a difference", func(t *testing.T) {
		result, err := replay.Run(bytes.NewReader(data[:len(data)-20]), replay.Options{})
		if err != nil || !result.Torn || result.Difference != nil {
			t.Fatalf("result %+v, error %v; want a torn recording without a difference", result, err)
		}
	})
}
