package load_test

import (
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/embedded"
	"banyanrun.example/banyanrun/entry"
	"banyanrun.example/banyanrun/internal/testaddr"
	"banyanrun.example/banyanrun/load"
	"banyanrun.example/banyanrun/wire"

	"github.com/jessevdk/go-flags"
)

// startDaemon runs an embedded daemon in this process and applies a document.
// It returns the addresses of the daemon and of the ledger.
func startDaemon(t *testing.T, documentPath, team string) (host, admin string) {
	t.Helper()
	var set entry.Settings
	if _, err := flags.ParseArgs(&set, []string{"--listen", testaddr.Free(t), "--data-centre", "dc"}); err != nil {
		t.Fatal(err)
	}
	platform, err := embedded.Start(&set, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d, err := entry.New(set, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var run conc.WaitGroup
	run.Go(func() {
		if err := d.Run(ctx); err != nil {
			t.Errorf("daemon: %v", err)
		}
	})
	t.Cleanup(platform.Close)
	t.Cleanup(run.Wait)
	t.Cleanup(stop)
	document, err := os.ReadFile(documentPath)
	if err != nil {
		t.Fatal(err)
	}
	for putDocument(set.Listen, team, document) != http.StatusOK {
		if t.Context().Err() != nil {
			t.Fatal("the document was not accepted before the test's deadline")
		}
		time.Sleep(50 * time.Millisecond)
	}
	return set.Listen, platform.StoreAddress()
}

// putDocument applies a document and returns the HTTP status, or 0 if there was
// no response.
func putDocument(host, team string, document []byte) int {
	req, err := http.NewRequest(http.MethodPut, "http://"+host+wire.PathDocuments+"/"+team, bytes.NewReader(document))
	if err != nil {
		return 0
	}
	req.Header.Set(wire.HeaderIfMatch, "0")
	req.Header.Set(wire.HeaderAuthor, "operator")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Guards against a tool that sends requests the daemon rejects, or misreads its
// responses or the ledger, and so reports a run that did not happen.
func TestMixRunMatchesDaemonLedger(t *testing.T) {
	host, admin := startDaemon(t, filepath.Join("testdata", "document.json"), "alpha")
	mix := load.Mix{Name: "test", Seed: 1, DurationMS: 2000, Rates: []load.Rate{
		{Team: "alpha", Kind: "batch", PerSecond: 10, RunMS: 50},
		{Team: "alpha", Kind: "lookup", Call: true, PerSecond: 10, RunMS: 20},
	}}
	arrivals := mix.Arrivals()
	arrivals = append(arrivals, load.Arrival{ID: "unknown", Team: "alpha", Kind: "no-such-kind", RunMS: 1})
	report, err := load.Run(t.Context(), load.Config{
		Arrivals: arrivals, Hosts: []string{host}, Admin: admin, Prefix: "t-", Settle: time.Minute, MaxOpen: 500,
	})
	if err != nil {
		t.Fatal(err)
	}
	if want := len(arrivals) - 1; report.Completed != want || report.NotRun != 1 || report.Due != want+1 {
		t.Errorf("report is %+v; want %d due, %d completed and the unknown kind not run", report.Snapshot, want+1, want)
	}
	if report.Findings == nil || *report.Findings != (load.Findings{}) {
		t.Errorf("findings are %+v; want none", report.Findings)
	}
	for _, kind := range []string{"alpha/batch", "alpha/lookup"} {
		k := report.Kinds[kind]
		if k.Answered == 0 || k.Started != k.Answered || k.WaitP99 > k.AnswerP99 {
			t.Errorf("times of %s are %+v; want a start for each answer, and no wait beyond it", kind, k)
		}
	}
}
