package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/document"
	"banyanrun.example/banyanrun/wire"
)

// reply is one scripted response of the entry host.
type reply struct {
	status int
	header map[string]string
	body   any // a string is sent unchanged, any other value as JSON
	// truncated closes the connection in the middle of the body.
	truncated bool
}

// scriptedHost sends the n-th reply to the n-th request and records the
// requests.
type scriptedHost struct {
	mu      sync.Mutex
	replies []reply
	log     strings.Builder
}

func (s *scriptedHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, _ := io.ReadAll(r.Body)
	fmt.Fprintf(&s.log, "%s %s", r.Method, r.URL.RequestURI())
	for _, name := range []string{wire.HeaderIfMatch, wire.HeaderAuthor, wire.HeaderRequestID} {
		if v := r.Header.Get(name); v != "" {
			fmt.Fprintf(&s.log, " %s=%s", name, v)
		}
	}
	var compact bytes.Buffer
	if json.Compact(&compact, body) == nil {
		body = compact.Bytes()
	}
	fmt.Fprintf(&s.log, "\n%s", body)
	if len(body) > 0 {
		s.log.WriteString("\n")
	}
	if len(s.replies) == 0 {
		fmt.Fprintln(&s.log, "UNEXPECTED REQUEST")
		return
	}
	s.answer(w)
}

func (s *scriptedHost) answer(w http.ResponseWriter) {
	next := s.replies[0]
	s.replies = s.replies[1:]
	text, ok := next.body.(string)
	if !ok {
		text = indentedJSON(next.body)
	}
	for name, v := range next.header {
		w.Header().Set(name, v)
	}
	if next.truncated {
		w.Header().Set("Content-Length", fmt.Sprint(len(text)+10))
	}
	w.WriteHeader(next.status)
	io.WriteString(w, text)
}

func readTestFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// documentVersion returns a version of the document in testdata with the given
// weight.
func documentVersion(t *testing.T, revision core.Revision, weight int64) *wire.DocumentVersion {
	t.Helper()
	doc, err := document.Decode(readTestFile(t, "testdata/document.json"))
	if err != nil {
		t.Fatal(err)
	}
	doc.Weight = weight
	at := core.Time(time.Date(2026, 1, 2, 3, 4, 5, 6e6, time.UTC).UnixNano())
	v := &core.DocumentVersion{Document: *doc, Revision: revision, Author: "ada", Time: at}
	return wire.FromDocumentVersion(v, document.Encode(doc))
}

func jobStatus(id core.JobID, state core.JobState, verdict core.Verdict) *wire.JobStatus {
	return wire.FromJobStatus(&core.JobStatus{
		ID: id, Team: "alpha", Kind: "fit", State: state, Verdict: verdict,
		Age: 1500 * time.Millisecond, Finished: state.Final(),
	})
}

func refusalError(reason core.Reason, verdict core.Verdict) *wire.Error {
	return wire.FromRefusal(&core.Refusal{
		Reason: reason, Verdict: verdict, Message: "details of " + string(reason), RetryAfter: 2 * time.Second,
	})
}

type testCase struct {
	name    string
	args    string
	stdin   string
	replies []reply
	want    ExitCode
}

// runCommand runs a command line against a scripted host and returns the exit
// code and a transcript of the requests and the output.
func runCommand(t *testing.T, tc testCase) (ExitCode, string) {
	t.Helper()
	host := &scriptedHost{replies: tc.replies}
	server := httptest.NewServer(host)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	args := append([]string{"--entry", address}, strings.Fields(tc.args)...)
	var stdout, stderr bytes.Buffer
	exit := Main(context.Background(), args, strings.NewReader(tc.stdin), &stdout, &stderr)
	if len(host.replies) > 0 {
		t.Errorf("%d replies were not requested", len(host.replies))
	}
	all := fmt.Sprintf("--- command\n%s\n--- requests\n%s--- stdout\n%s--- stderr\n%s--- exit\n%d\n",
		tc.args, host.log.String(), stdout.String(), stderr.String(), exit)
	return exit, strings.ReplaceAll(all, address, "ENTRY")
}

// TestCommands guards against commands that send the wrong request, print
// something other than the host's response, or return an exit code that
// misleads a script.
func TestCommands(t *testing.T) {
	g := goldie.New(t)
	cases := append(documentCases(t), jobCases()...)
	cases = append(cases, callCases()...)
	cases = append(cases, viewCases()...)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			exit, all := runCommand(t, tc)
			if exit != tc.want {
				t.Errorf("exit code %d, want %d", exit, tc.want)
			}
			g.Assert(t, strings.ReplaceAll(tc.name, " ", "-"), []byte(all))
		})
	}
}

func documentCases(t *testing.T) []testCase {
	const file = " testdata/document.json"
	conflict := &wire.DocumentConflict{
		Error: *refusalError(core.ReasonConflict, core.NotRun), Current: documentVersion(t, 9, 7),
		Proposed: documentVersion(t, 0, 3).Document,
	}
	history := &wire.DocumentHistory{Versions: []wire.DocumentVersion{*documentVersion(t, 9, 7), *documentVersion(t, 4, 3)}}
	unknown := reply{status: 404, body: refusalError(core.ReasonUnknownTeam, core.NotRun)}
	return []testCase{
		{"validate accepts a document", "validate" + file, "", nil, ExitOK},
		{"validate warns about a small fleet", "validate --topology testdata/topology.json" + file, "", nil, ExitOK},
		{"validate strict refuses warnings", "validate --strict --topology testdata/topology.json" + file, "", nil, ExitNotRun},
		{"validate refuses a broken document", "validate -", `{"schema": 1, "team": 3}`, nil, ExitNotRun},
		{"apply sends nothing for a broken document", "apply --author ada -", `{}`, nil, ExitNotRun},
		{"apply needs an author", "apply" + file, "", nil, ExitUsage},
		{"apply creates a document", "apply --author ada" + file, "",
			[]reply{unknown, {status: 200, body: documentVersion(t, 4, 3)}}, ExitOK},
		{"apply uses the given base", "apply --author ada --base 4 --json" + file, "",
			[]reply{{status: 200, body: documentVersion(t, 5, 3)}}, ExitOK},
		{"apply shows a conflict", "apply --author ada --base 4" + file, "",
			[]reply{{status: 409, body: conflict}}, ExitConflict},
		{"apply in doubt when the answer is lost", "apply --author ada --base 4" + file, "",
			[]reply{{status: 200, body: documentVersion(t, 5, 3), truncated: true}}, ExitMayHaveRun},
		{"get prints a document that can be applied", "get alpha", "", []reply{{status: 200, body: documentVersion(t, 4, 3)}}, ExitOK},
		{"get of an unknown team", "get alpha", "", []reply{unknown}, ExitNotRun},
		{"get of a later schema", "get alpha", "",
			[]reply{{status: 200, body: &wire.DocumentVersion{Revision: 3, Document: json.RawMessage(`{"schema": 2}`)}}},
			ExitUnreachable},
		{"history counts changes", "history alpha", "", []reply{{status: 200, body: history}}, ExitOK},
		{"diff with the document in force", "diff" + file, "", []reply{{status: 200, body: documentVersion(t, 9, 7)}}, ExitOK},
		{"diff of two revisions as json", "diff --json --team alpha --from 4 --to 9", "",
			[]reply{{status: 200, body: history}}, ExitOK},
		{"diff of a revision that is not kept", "diff --team alpha --from 1 --to 9", "",
			[]reply{{status: 200, body: history}}, ExitNotRun},
	}
}

func jobCases() []testCase {
	const twoJobs = `{"jobs": [{"id": "a", "team": "alpha", "kind": "fit", "payload": "e30="},
		{"id": "b", "team": "alpha", "kind": "fit"}]}`
	queued := jobStatus("a", core.JobQueued, core.NotRun)
	done := jobStatus("a", core.JobSucceeded, core.Ran)
	done.Result = []byte("fits\nwell")
	failed := jobStatus("b", core.JobFailed, core.Ran)
	failed.Error = refusalError(core.ReasonJobFault, core.Ran)
	lost := jobStatus("b", core.JobFailed, core.MayHaveRun)
	return []testCase{
		{"submit one job", "submit --team alpha --kind fit --id a --payload {}", "", []reply{{status: 202, body: queued}}, ExitOK},
		{"submit stops at nothing but a failed connection", "submit --file -", twoJobs,
			[]reply{{status: 503, body: refusalError(core.ReasonQueueFull, core.NotRun)}, {status: 202, body: jobStatus("b", core.JobQueued, core.NotRun)}},
			ExitNotRun},
		{"submit reports what was not sent", "submit --file -", twoJobs, []reply{{status: 202, body: queued, truncated: true}}, ExitMayHaveRun},
		{"submit a batch", "submit --batch --file -", twoJobs,
			[]reply{{status: 200, body: &wire.BatchResponse{Jobs: []wire.BatchResult{
				{Status: queued}, {Error: refusalError(core.ReasonStoreUnavailable, core.MayHaveRun)}}}}}, ExitMayHaveRun},
		{"submit a batch with a short answer", "submit --batch --file -", twoJobs,
			[]reply{{status: 200, body: &wire.BatchResponse{Jobs: []wire.BatchResult{{Status: queued}}}}}, ExitMayHaveRun},
		{"submit refuses an unknown field", "submit --file -", `{"jobs": [{"idd": "a"}]}`, nil, ExitUsage},
		{"submit refuses both file and flags", "submit --file - --kind fit", twoJobs, nil, ExitUsage},
		{"status of two jobs", "status a b", "", []reply{{status: 200, body: done}, {status: 200, body: failed}}, ExitOK},
		{"status escapes an id", "status a/b?c", "", []reply{{status: 404, body: refusalError(core.ReasonUnknownJob, core.NotRun)}}, ExitNotRun},
		{"status of a dotted id", "status ..", "", nil, ExitUsage},
		{"wait returns how the jobs ended", "wait a b", "", []reply{{status: 200, body: done}, {status: 200, body: failed}}, ExitFailed},
		{"wait asks again until its limit", "wait --limit 45s a", "",
			[]reply{{status: 200, body: queued}, {status: 200, body: queued}, {status: 200, body: queued}}, ExitUnfinished},
		{"wait for a job that may have run", "wait --json b", "", []reply{{status: 200, body: lost}}, ExitMayHaveRun},
		{"wait limit out of range", "wait --limit 1ms a", "", nil, ExitUsage},
		{"cancel a job", "cancel a", "", []reply{{status: 200, body: jobStatus("a", core.JobCancelled, core.NotRun)}}, ExitOK},
		{"cancel too late", "cancel b", "", []reply{{status: 200, body: failed}}, ExitFailed},
		{"cancel in doubt", "cancel b", "", []reply{{status: 502, body: "bad gateway"}}, ExitMayHaveRun},
		{"explain a waiting job", "explain a", "", []reply{{status: 200, body: explanation()}}, ExitOK},
	}
}

func explanation() *wire.Explanation {
	return wire.FromExplanation(&core.Explanation{
		Status: core.JobStatus{ID: "a", Team: "alpha", Kind: "fit", State: core.JobQueued,
			Tasks: []core.TaskStatus{{Index: 0, Attempt: 1, State: "waiting"}, {Index: 1, Attempt: 2, State: "running", Worker: "w1", Throttled: true}}},
		Position: 3, Reasons: []string{"no worker has 8000m cpu free", "two jobs of the team are ahead"},
		Rejected: []core.FilterCount{{Filter: "resources", Workers: 14}, {Filter: "leaving", Workers: 2}},
		Steps:    []core.Step{{At: 1_000_000_000, Text: "accepted"}, {At: 2_500_000_000, Text: "started", Worker: "w1"}},
	})
}

func callCases() []testCase {
	const call = "call --id r1 --data {} alpha preview"
	digest := map[string]string{wire.HeaderDigest: "d24ec4f1a98c6e5b", wire.HeaderWorker: "w1"} // xxhash64 of "a"
	return []testCase{
		{"call prints the body", call, "", []reply{{status: 200, header: digest, body: "a"}}, ExitOK},
		{"call as json", "--json " + call, "", []reply{{status: 200, header: digest, body: "a"}}, ExitOK},
		{"call with a damaged body", call, "", []reply{{status: 200, header: digest, body: "b"}}, ExitMayHaveRun},
		{"call with a truncated body", call, "", []reply{{status: 200, body: "a", truncated: true}}, ExitMayHaveRun},
		{"call refused", call, "", []reply{{status: 503, body: refusalError(core.ReasonNoCapacity, core.NotRun)}}, ExitNotRun},
		{"call failed at the worker", call, "",
			[]reply{{status: 502, header: map[string]string{wire.HeaderVerdict: "ran"}, body: "trace"}}, ExitFailed},
		{"call without a verdict", call, "", []reply{{status: 500, body: "{}"}}, ExitMayHaveRun},
		{"call is not redirected", call, "", []reply{{status: 307, header: map[string]string{"Location": "/elsewhere"}, body: ""}}, ExitMayHaveRun},
	}
}

func viewCases() []testCase {
	capacity := core.Resources{MilliCPU: 32000, MemoryMB: 131072, Accelerators: 2, Slots: 8, Connections: 64}
	assigned := core.Resources{MilliCPU: 2250, MemoryMB: 4096, Slots: 3}
	hosts := wire.FromHostViews([]core.HostView{
		{ID: "h1", Address: "127.0.0.1:7600", DataCentre: "dc-a", Region: "north", Owner: true, Epoch: 4},
		{ID: "h2", Address: "127.0.0.1:7401", DataCentre: "dc-a", Region: "north", HeartbeatAge: 350 * time.Millisecond, Draining: true},
		{ID: "h3", HeartbeatAge: -1},
	})
	workers := wire.FromWorkerViews([]core.WorkerView{
		{ID: "w1", Rack: "r1", DataCentre: "dc-a", State: core.WorkerReady, Capacity: capacity, Assigned: assigned, Tasks: 2, Epoch: 4},
		{ID: "w2", Rack: "r1", DataCentre: "dc-a", State: core.WorkerSilent, Capacity: capacity},
	})
	teams := wire.FromTeamViews([]core.TeamView{
		{Team: "alpha", Weight: 3, Quota: capacity, InUse: assigned, Share: 0.375, Revision: 9, OldestWait: 90 * time.Second,
			Queued: []core.KindCount{{Kind: "fit", Count: 2}, {Kind: "preview"}, {Kind: "index", Count: 7}}},
		{Team: "beta", Weight: 1},
	})
	return []testCase{
		{"hosts", "hosts", "", []reply{{status: 200, body: hosts}}, ExitOK},
		{"workers", "workers", "", []reply{{status: 200, body: workers}}, ExitOK},
		{"workers in one state as json", "--json workers --state silent", "", []reply{{status: 200, body: workers}}, ExitOK},
		{"workers in an unknown state", "workers --state asleep", "", nil, ExitUsage},
		{"teams", "teams", "", []reply{{status: 200, body: teams}}, ExitOK},
		{"one team", "teams --team beta", "", []reply{{status: 200, body: teams}}, ExitOK},
		{"view with an answer that is not json", "teams", "", []reply{{status: 200, body: "<html>"}}, ExitUnreachable},
		{"unexpected argument", "hosts now", "", nil, ExitUsage},
		{"timeout out of range", "--timeout 1ns hosts", "", nil, ExitUsage},
		{"entry without a port", "--entry 10.0.0.1 hosts", "", nil, ExitUsage},
	}
}
