package entry

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"banyanrun.example/banyanrun/control"
	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/storeclient"
	"banyanrun.example/banyanrun/wire"
)

// familyPattern matches the names of metric families.
var familyPattern = regexp.MustCompile(`banyanrun_[a-z_]+[a-z]`)

// sourceFamilies returns the metric families that occur in the source.
func sourceFamilies(t *testing.T) map[string]bool {
	t.Helper()
	out := map[string]bool{}
	for _, dir := range []string{".", "../core", "../internal/ingress"} {
		files, err := filepath.Glob(filepath.Join(dir, "*.go"))
		if err != nil || len(files) < 5 {
			t.Fatalf("%s has %d files: %v", dir, len(files), err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, name := range familyPattern.FindAllString(string(text), -1) {
				out[name] = true
			}
		}
	}
	return out
}

// Guards against alert rules on metrics that do not exist, which would never fire,
// and against metrics missing from the page.
func TestOperationsPageNamesTheMetrics(t *testing.T) {
	data, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	families := sourceFamilies(t)
	for _, name := range familyPattern.FindAllString(section(t, page, "Alarms"), -1) {
		if !families[name] && !families[strings.TrimSuffix(name, "_sum")] {
			t.Errorf("alert rules use metric %s, which does not occur in the source", name)
		}
	}
	for _, row := range regexp.MustCompile("(?m)^\\| `(banyanrun_[a-z_]+)` \\|").FindAllStringSubmatch(section(t, page, "Metrics"), -1) {
		if !families[row[1]] {
			t.Errorf("table lists metric %s, which does not occur in the source", row[1])
		}
		delete(families, row[1])
	}
	if missing := slices.Sorted(maps.Keys(families)); len(missing) > 0 {
		t.Errorf("metrics missing from the table: %v", missing)
	}
}

// Guards against an alert rule without a row that says what to do, and against a
// row without a rule.
func TestOperationsPageExplainsTheAlarms(t *testing.T) {
	data, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := func(pattern string) []string {
		var out []string
		for _, found := range regexp.MustCompile(pattern).FindAllStringSubmatch(section(t, string(data), "Alarms"), -1) {
			out = append(out, found[1])
		}
		return out
	}
	rules, rows := names(`- alert: (\w+)\n`), names("(?m)^\\| `(\\w+)` \\|")
	if len(rules) == 0 || !slices.Equal(rules, rows) {
		t.Errorf("alert rules are %v, but the table explains %v", rules, rows)
	}
}

// metricsText returns the metrics of a daemon in the Prometheus text format.
func metricsText(d *Daemon) string {
	var b bytes.Buffer
	d.metrics.WritePrometheus(&b)
	return b.String()
}

// newTestDaemon returns a daemon without a listener and without a reducer.
func newTestDaemon() *Daemon {
	return &Daemon{
		log: zerolog.Nop(), metrics: metrics.NewSet(),
		loop: control.New(control.Config[core.Event, core.Effect]{MailboxSize: 8}),
	}
}

// Guards against undecodable stored values that no metric reports.
func TestUnreadableValuesAreCounted(t *testing.T) {
	d := newTestDaemon()
	d.postStoreResult(context.Background(), core.StoreOp{Purpose: core.PurposeJournalLoad}, storeclient.Result{
		Items: []wire.Item{{Key: "cells/a/journal/1", Value: []byte(`{"version":2}`)}},
	})
	if text := metricsText(d); !strings.Contains(text, `banyanrun_store_unreadable_total{purpose="journal_load"} 1`) {
		t.Errorf("metrics are\n%s", text)
	}
}

// Guards against a panic in a handler that stops the daemon or that no metric
// reports.
func TestHandlerPanicsAreCounted(t *testing.T) {
	d := newTestDaemon()
	response := httptest.NewRecorder()
	d.handlePanic(response, httptest.NewRequest(http.MethodGet, "/v1/teams", nil), "index out of range")
	if response.Code != http.StatusInternalServerError || !strings.Contains(response.Body.String(), `"may_have_run"`) {
		t.Errorf("response is %d %s", response.Code, response.Body)
	}
	if text := metricsText(d); !strings.Contains(text, `banyanrun_refusals_total{reason="internal"} 1`) {
		t.Errorf("metrics are\n%s", text)
	}
}
