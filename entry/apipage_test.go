package entry

import (
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"

	"banyanrun.example/banyanrun/core"
)

// apiPage returns the text of the API page.
func apiPage(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../docs/api.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// section returns the text of a level-two section of a page.
func section(t *testing.T, page, title string) string {
	t.Helper()
	found := regexp.MustCompile(`(?s)\n## ` + title + `\n(.*?)(\n## |\z)`).FindStringSubmatch(page)
	if found == nil {
		t.Fatalf("page has no section %q", title)
	}
	return found[1]
}

// Guards against API calls missing from the page, and against documentation of
// calls that do not exist.
func TestAPIPageListsTheRoutes(t *testing.T) {
	documented := map[string]bool{}
	row := regexp.MustCompile("(?m)^\\| `([A-Z]+ /[^` ]*)` \\|")
	for _, found := range row.FindAllStringSubmatch(section(t, apiPage(t), "Calls"), -1) {
		if documented[found[1]] {
			t.Errorf("call %s is listed twice", found[1])
		}
		documented[found[1]] = true
	}
	for _, r := range Routes() {
		call := r.Method + " " + r.Path
		if !documented[call] {
			t.Errorf("call %s is not on the page", call)
		}
		delete(documented, call)
	}
	for call := range documented {
		t.Errorf("call %s is on the page only", call)
	}
}

// declaredReasons parses the source of package core and returns the declared
// reasons.
func declaredReasons(t *testing.T) []core.Reason {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "../core/refusal.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	var out []core.Reason
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if typed, ok := spec.Type.(*ast.Ident); !ok || typed.Name != "Reason" {
			return true
		}
		for _, value := range spec.Values {
			text, err := strconv.Unquote(value.(*ast.BasicLit).Value)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, core.Reason(text))
		}
		return true
	})
	return out
}

// Guards against a reason that clients cannot rely on: one that the page does not
// list, or whose HTTP status differs from the page.
func TestAPIPageListsTheReasons(t *testing.T) {
	documented := map[core.Reason]int{}
	row := regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (\\d{3}) \\|")
	for _, found := range row.FindAllStringSubmatch(section(t, apiPage(t), "Refusals"), -1) {
		status, err := strconv.Atoi(found[2])
		if _, twice := documented[core.Reason(found[1])]; twice || err != nil {
			t.Errorf("reason %s is listed twice or its status is not a number: %v", found[1], err)
		}
		documented[core.Reason(found[1])] = status
	}
	reasons := declaredReasons(t)
	if len(reasons) < 20 {
		t.Fatalf("found %d reasons in the source", len(reasons))
	}
	for _, reason := range reasons {
		if got, want := documented[reason], statusOf(&core.Refusal{Reason: reason}); got != want {
			t.Errorf("reason %s has status %d on the page and %d in the code", reason, got, want)
		}
		delete(documented, reason)
	}
	if only := slices.Collect(maps.Keys(documented)); len(only) > 0 {
		t.Errorf("reasons on the page only: %v", only)
	}
}

// Guards against a verdict that the page does not list.
func TestAPIPageListsTheVerdicts(t *testing.T) {
	text := section(t, apiPage(t), "Verdicts")
	for _, v := range []core.Verdict{core.NotRun, core.MayHaveRun, core.Ran} {
		if !regexp.MustCompile("(?m)^\\| `" + v.String() + "` \\|").MatchString(text) {
			t.Errorf("verdict %s is not on the page", v)
		}
	}
}
