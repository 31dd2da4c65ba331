package host_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestOperationsPageListsTheMetrics guards against metrics that are missing from the
// operations page, and against rows for metrics that no code sets.
func TestOperationsPageListsTheMetrics(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(page), "### Metrics on the platform\n")
	if !found {
		t.Fatal(`the section "Metrics on the platform" is missing`)
	}
	family := regexp.MustCompile(`banyanrun_[a-z_]+[a-z]`)
	sources := map[string]bool{}
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	shared, err := filepath.Glob("../internal/ingress/*.go")
	if err != nil || len(shared) == 0 {
		t.Fatalf("%d files of package ingress: %v", len(shared), err)
	}
	files = append(files, shared...)
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range family.FindAllString(string(text), -1) {
			sources[f] = true
		}
	}
	for _, row := range regexp.MustCompile("(?m)^\\| `(banyanrun_[a-z_]+)` \\|").FindAllStringSubmatch(table, -1) {
		if !sources[row[1]] {
			t.Errorf("the table lists the metric %s, which no code sets", row[1])
		}
		delete(sources, row[1])
	}
	for name := range sources {
		t.Errorf("the table does not list the metric %s", name)
	}
}
