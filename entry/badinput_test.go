package entry_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/embedded"
	"banyanrun.example/banyanrun/entry"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/wire"
)

const (
	// maxRequests is the limit on requests in progress that the tests set.
	maxRequests = 2
	// maxPolls and pollInterval bound the wait until the daemon is ready.
	maxPolls     = 600
	pollInterval = 50 * time.Millisecond
)

// testHost is a running daemon with an in-process stand-in for the platform and
// workers.
type testHost struct {
	t       *testing.T
	address string
	standin *standin.Server
}

// startHost starts a daemon and applies a team document.
func startHost(t *testing.T) *testHost {
	t.Helper()
	var set entry.Settings
	// The server closes a connection half a second after it has refused a body
	// as too long. The limit leaves room for these connections in the meantime.
	args := []string{"--listen", "127.0.0.1:0", "--max-requests", fmt.Sprint(maxRequests), "--max-connections", "256"}
	if _, err := flags.ParseArgs(&set, args); err != nil {
		t.Fatal(err)
	}
	server, err := embedded.Start(&set, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	daemon, err := entry.New(set, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var running conc.WaitGroup
	running.Go(func() {
		if err := daemon.Run(ctx); err != nil {
			t.Errorf("daemon stopped: %v", err)
		}
	})
	t.Cleanup(func() { stop(); running.Wait() })
	h := &testHost{t: t, address: daemon.Address(), standin: server}
	for range maxPolls {
		if resp, _ := h.do(httpRequest{path: "/readyz"}); resp.StatusCode == http.StatusOK {
			break
		}
		time.Sleep(pollInterval)
	}
	resp, body := h.do(httpRequest{
		method: http.MethodPut, path: "/v1/documents/team", body: teamDocument(1),
		header: map[string]string{wire.HeaderIfMatch: "0"},
	})
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("document was not applied: %d %s", resp.StatusCode, body)
	}
	return h
}

// teamDocument returns a document with a job kind that requests the given number of
// CPUs, and an interactive kind.
func teamDocument(cpus int) string {
	return fmt.Sprintf(`{"schema": 1, "team": "team", "service": "service", "weight": 1,
		"quota": {"cpus": 8, "memory_mb": 1024, "slots": 8},
		"kinds": [
			{"name": "batch", "urgency": "normal", "idempotent": true, "run_time": "1s", "deadline": "1h",
			 "max_attempts": 2, "queue_limit": 100, "request": {"cpus": %d, "memory_mb": 64, "slots": 1}},
			{"name": "lookup", "urgency": "interactive", "idempotent": true, "run_time": "10ms", "deadline": "5s",
			 "progress_timeout": "4s", "max_attempts": 2, "queue_limit": 10,
			 "request": {"cpus": 1, "memory_mb": 64, "slots": 1, "connections": 1}}]}`, cpus)
}

// httpRequest is a request to the daemon. An empty method means GET.
type httpRequest struct {
	method, path, body string
	header             map[string]string
}

// do sends a request and reads the whole response.
func (h *testHost) do(r httpRequest) (*http.Response, []byte) {
	h.t.Helper()
	req, err := http.NewRequest(r.method, "http://"+h.address+r.path, strings.NewReader(r.body))
	if err != nil {
		h.t.Fatal(err)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		h.t.Fatalf("%s %s: %v", r.method, r.path, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		h.t.Fatalf("%s %s: %v", r.method, r.path, err)
	}
	return resp, body
}

// wantRefusal checks that a response has the reason and the verdict not_run in both
// its headers and its body.
func wantRefusal(t *testing.T, resp *http.Response, body []byte, status int, reason core.Reason) {
	t.Helper()
	var refused wire.Error
	if reason == core.ReasonConflict {
		var conflict wire.DocumentConflict
		if err := json.Unmarshal(body, &conflict); err != nil {
			t.Fatalf("response %d %s: %v", resp.StatusCode, body, err)
		}
		refused = conflict.Error
	} else if err := json.Unmarshal(body, &refused); err != nil {
		t.Fatalf("response %d %s: %v", resp.StatusCode, body, err)
	}
	if resp.StatusCode != status || refused.Reason != reason || refused.Verdict != core.NotRun || refused.Message == "" {
		t.Errorf("response is %d %s; want %d %s not_run", resp.StatusCode, body, status, reason)
	}
	if got := resp.Header.Get(wire.HeaderReason); got != string(reason) {
		t.Errorf("header %s is %q, want %q", wire.HeaderReason, got, reason)
	}
	if got := resp.Header.Get(wire.HeaderVerdict); got != core.NotRun.String() {
		t.Errorf("header %s is %q, want not_run", wire.HeaderVerdict, got)
	}
}

// wantResponsive checks that the reducer still replies.
func (h *testHost) wantResponsive() {
	h.t.Helper()
	if resp, body := h.do(httpRequest{path: "/v1/teams"}); resp.StatusCode != http.StatusOK || !bytes.Contains(body, []byte(`"team"`)) {
		h.t.Fatalf("daemon no longer responds: %d %s", resp.StatusCode, body)
	}
}

// submitRequest returns a job submission with a body.
func submitRequest(body string) httpRequest {
	return httpRequest{method: http.MethodPost, path: "/v1/jobs", body: body}
}

// putRequest returns a document edit based on a revision.
func putRequest(path, body, base string) httpRequest {
	return httpRequest{method: http.MethodPut, path: path, body: body, header: map[string]string{wire.HeaderIfMatch: base}}
}

// jobWith returns a valid job with a payload of the given number of encoded bytes.
func jobWith(id string, payload int) string {
	return `{"id": "` + id + `", "team": "team", "kind": "batch", "payload": "` + strings.Repeat("AAAA", payload/4) + `"}`
}

// Guards against invalid input that is partly applied, that is refused without a
// machine-readable reason, or that stops the daemon.
func TestBadInputIsRefused(t *testing.T) {
	h := startHost(t)
	if resp, body := h.do(submitRequest(jobWith("taken", 4))); resp.StatusCode != http.StatusAccepted {
		t.Fatalf("submit: %d %s", resp.StatusCode, body)
	}
	for _, c := range badInputCases() {
		t.Run(c.name, func(t *testing.T) {
			resp, body := h.do(c.request)
			wantRefusal(t, resp, body, c.status, c.reason)
			h.wantResponsive()
		})
	}
	resp, body := h.do(httpRequest{path: "/v1/documents/team"})
	var version wire.DocumentVersion
	if err := json.Unmarshal(body, &version); err != nil || resp.StatusCode != http.StatusOK ||
		!bytes.Contains(version.Document, []byte(`"milli_cpu":1000`)) {
		t.Errorf("document in force is %d %s, error %v; want the first version", resp.StatusCode, body, err)
	}
	resp, body = h.do(httpRequest{path: "/v1/jobs/taken/wait"})
	if resp.StatusCode != http.StatusOK || !bytes.Contains(body, []byte(`"succeeded"`)) {
		t.Errorf("the accepted job ended as %d %s, want success", resp.StatusCode, body)
	}
}

// badCase is a request that must be refused with the verdict not_run.
type badCase struct {
	name    string
	request httpRequest
	status  int
	reason  core.Reason
}

func badInputCases() []badCase {
	post := func(path, body string) httpRequest {
		return httpRequest{method: http.MethodPost, path: path, body: body}
	}
	oversizedBatch := strings.Repeat(`{"id": "a", "team": "team", "kind": "batch"},`, 1000) + `{"id": "b", "team": "team", "kind": "batch"}`
	return []badCase{
		{"a job whose body is too long", submitRequest(jobWith("a", 128<<10)), 413, core.ReasonTooLarge},
		{"a job whose payload is too long", submitRequest(jobWith("a", 100<<10)), 413, core.ReasonTooLarge},
		{"a batch whose body is too long", post("/v1/jobs/batch", jobWith("a", 8<<20)), 413, core.ReasonTooLarge},
		{"a call whose body is too long", post("/v1/call/team/lookup", strings.Repeat("x", 1<<20+1)), 413, core.ReasonTooLarge},
		{"a document that is too long", putRequest("/v1/documents/team", strings.Repeat(" ", 256<<10+1), "0"), 413, core.ReasonTooLarge},
		{"no body", submitRequest(""), 400, core.ReasonInvalid},
		{"a truncated JSON value", submitRequest(`{"id": "a", "team": "te`), 400, core.ReasonInvalid},
		{"a truncated document", putRequest("/v1/documents/team", teamDocument(2)[:200], "0"), 400, core.ReasonInvalid},
		{"a JSON array instead of an object", submitRequest(`[]`), 400, core.ReasonInvalid},
		{"JSON null instead of an object", submitRequest(`null`), 400, core.ReasonInvalid},
		{"an id of the wrong type", submitRequest(`{"id": 7, "team": "team", "kind": "batch"}`), 400, core.ReasonInvalid},
		{"a payload that is not base64", submitRequest(`{"id": "a", "team": "team", "kind": "batch", "payload": "?"}`), 400, core.ReasonInvalid},
		{"an unknown field", submitRequest(`{"id": "a", "team": "team", "kind": "batch", "priority": 1}`), 400, core.ReasonInvalid},
		{"a second value after the job", submitRequest(jobWith("a", 4) + jobWith("b", 4)), 400, core.ReasonInvalid},
		{"a closing bracket after the job", submitRequest(jobWith("a", 4) + "}"), 400, core.ReasonInvalid},
		{"no id", submitRequest(`{"team": "team", "kind": "batch"}`), 400, core.ReasonInvalid},
		{"an id with a slash", submitRequest(jobWith("a/b", 4)), 400, core.ReasonInvalid},
		{"an id that is the parent directory", submitRequest(jobWith("..", 4)), 400, core.ReasonInvalid},
		{"an id that is too long", submitRequest(jobWith(strings.Repeat("a", 129), 4)), 400, core.ReasonInvalid},
		{"the id of a different job", submitRequest(jobWith("taken", 8)), 409, core.ReasonDuplicateID},
		{"an unknown team", submitRequest(`{"id": "a", "team": "nobody", "kind": "batch"}`), 404, core.ReasonUnknownTeam},
		{"an unknown kind", submitRequest(`{"id": "a", "team": "team", "kind": "none"}`), 404, core.ReasonUnknownKind},
		{"an interactive kind as a job", submitRequest(`{"id": "a", "team": "team", "kind": "lookup"}`), 400, core.ReasonInvalid},
		{"a batch with too many jobs", post("/v1/jobs/batch", `{"jobs": [`+oversizedBatch+`]}`), 400, core.ReasonInvalid},
		{"a batch without jobs", post("/v1/jobs/batch", `{"jobs": []}`), 400, core.ReasonInvalid},
		{"the status of an unknown job", httpRequest{path: "/v1/jobs/none"}, 404, core.ReasonUnknownJob},
		{"a cancellation of an unknown job", httpRequest{method: http.MethodDelete, path: "/v1/jobs/none"}, 404, core.ReasonUnknownJob},
		{"a wait that is too long", httpRequest{path: "/v1/jobs/taken/wait?timeout_ms=600001"}, 400, core.ReasonInvalid},
		{"a wait that is not a number", httpRequest{path: "/v1/jobs/taken/wait?timeout_ms=1s"}, 400, core.ReasonInvalid},
		{"an id with a slash in the path", httpRequest{path: "/v1/jobs/taken%2Fagain"}, 404, core.ReasonUnknownPath},
		{"a path that does not exist", httpRequest{path: "/v2/jobs"}, 404, core.ReasonUnknownPath},
		{"a method that the path does not have", httpRequest{method: http.MethodPut, path: "/v1/jobs"}, 405, core.ReasonUnknownMethod},
		{"a call of an unknown kind", post("/v1/call/team/none", ""), 404, core.ReasonUnknownKind},
		{"a call of a kind that is not interactive", post("/v1/call/team/batch", ""), 404, core.ReasonUnknownKind},
		{"a call with a bad request id", httpRequest{method: http.MethodPost, path: "/v1/call/team/lookup",
			header: map[string]string{wire.HeaderRequestID: "a b"}}, 400, core.ReasonInvalid},
		{"a negative size in a document", putRequest("/v1/documents/team", teamDocument(-1), "1"), 400, core.ReasonInvalid},
		{"a document of another team", putRequest("/v1/documents/other", teamDocument(2), "0"), 400, core.ReasonInvalid},
		{"an edit without its base revision", putRequest("/v1/documents/team", teamDocument(2), ""), 400, core.ReasonInvalid},
		{"an edit of a version that is not in force", putRequest("/v1/documents/team", teamDocument(2), "0"), 409, core.ReasonConflict},
		{"the document of an unknown team", httpRequest{path: "/v1/documents/nobody"}, 404, core.ReasonUnknownTeam},
		{"too many bytes of headers", httpRequest{path: "/v1/teams", header: map[string]string{"X-Long": strings.Repeat("x", 16<<10)}},
			413, core.ReasonTooLarge},
	}
}

// Guards against a job that runs twice because its caller missed the first response
// and submitted it again.
func TestRepeatedSubmitReturnsFirstJob(t *testing.T) {
	h := startHost(t)
	for i, want := range []string{"", `"succeeded"`} {
		resp, body := h.do(submitRequest(jobWith("once", 4)))
		if resp.StatusCode != http.StatusAccepted || !strings.Contains(string(body), want) {
			t.Fatalf("submit %d: response is %d %s, want %s", i+1, resp.StatusCode, body, want)
		}
		if resp, body := h.do(httpRequest{path: "/v1/jobs/once/wait"}); !bytes.Contains(body, []byte(`"succeeded"`)) {
			t.Fatalf("wait: %d %s", resp.StatusCode, body)
		}
	}
	ledger, err := h.standin.Ledger(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	starts := 0
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			if e.Job == "once" {
				starts++
			}
		}
	}
	if starts != 1 {
		t.Errorf("ledger shows %d starts, want 1", starts)
	}
}

// startUpload sends the headers of a job submission and returns when the daemon asks for
// the body.
func (h *testHost) startUpload(length int) (net.Conn, *bufio.Reader) {
	h.t.Helper()
	conn := h.dial()
	fmt.Fprintf(conn, "POST /v1/jobs HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\nExpect: 100-continue\r\n\r\n", length)
	reader := bufio.NewReader(conn)
	for _, want := range []string{"HTTP/1.1 100 Continue\r\n", "\r\n"} {
		if line, err := reader.ReadString('\n'); err != nil || line != want {
			h.t.Fatalf("response begins with %q, error %v; want %q", line, err, want)
		}
	}
	return conn, reader
}

func (h *testHost) dial() net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { conn.Close() })
	return conn
}

// Guards against a daemon that accepts any number of requests at a time, and
// against one that keeps refusing requests after its limit was reached once.
func TestRequestsInProgressAreBounded(t *testing.T) {
	h := startHost(t)
	const program = `{"run_ms": 3000}`
	var held []net.Conn
	for range maxRequests {
		conn := h.dial()
		fmt.Fprintf(conn, "POST /v1/call/team/lookup HTTP/1.1\r\nHost: test\r\nContent-Length: %d\r\n\r\n%s", len(program), program)
		held = append(held, conn)
	}
	// A request to the daemon would itself count as in progress, so the workers tell when
	// the calls are.
	for polls := 0; h.runningCalls() < maxRequests; polls++ {
		if polls > maxPolls {
			t.Fatal("the calls do not run")
		}
		time.Sleep(pollInterval)
	}
	resp, body := h.do(httpRequest{path: "/v1/teams"})
	wantRefusal(t, resp, body, http.StatusTooManyRequests, core.ReasonQueueFull)
	if resp.Header.Get("Retry-After") == "" {
		t.Error("refusal has no Retry-After")
	}
	resp, body = h.do(submitRequest(jobWith("refused", 4)))
	wantRefusal(t, resp, body, http.StatusTooManyRequests, core.ReasonQueueFull)
	for _, path := range []string{"/healthz", "/readyz", "/metrics"} {
		if resp, _ := h.do(httpRequest{path: path}); resp.StatusCode != http.StatusOK {
			t.Errorf("%s returns %d at the limit, want 200", path, resp.StatusCode)
		}
	}
	for _, conn := range held {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("response to the request in progress is %v, error %v; want 200", response, err)
		}
	}
	h.wantResponsive()
}

// runningCalls returns the number of interactive requests that run at the workers.
func (h *testHost) runningCalls() int {
	h.t.Helper()
	ledger, err := h.standin.Ledger(context.Background())
	if err != nil {
		h.t.Fatal(err)
	}
	n := 0
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			if e.Entry == "call" && e.EndUnixUS == 0 {
				n++
			}
		}
	}
	return n
}

// Guards against clients that do not finish their requests and thereby keep ordinary
// ones from being served.
func TestUnfinishedRequestsAreNotInProgress(t *testing.T) {
	h := startHost(t)
	job := jobWith("held", 4)
	conn, reader := h.startUpload(len(job))
	for range 2 * maxRequests {
		h.startUpload(len(job))
	}
	h.wantResponsive()
	if _, err := io.WriteString(conn, job); err != nil {
		t.Fatal(err)
	}
	held, err := http.ReadResponse(reader, nil)
	if err != nil || held.StatusCode != http.StatusAccepted {
		t.Fatalf("response to the finished request is %v, error %v; want 202", held, err)
	}
	h.wantResponsive()
}

// Guards against a daemon that reads headers of any size.
func TestOversizedHeadersEndTheConnection(t *testing.T) {
	h := startHost(t)
	conn, err := net.Dial("tcp", h.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// The server reads exactly this many bytes. If some were left unread, it would
	// reset the connection, and the response could be lost.
	const limit = 64<<10 + 4096
	head := "GET /v1/teams HTTP/1.1\r\nHost: test\r\nX-Long: "
	if _, err := io.WriteString(conn, head+strings.Repeat("x", limit-len(head))); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("response is %v, error %v; want 431", resp, err)
	}
	h.wantResponsive()
}
