package document

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"banyanrun.example/banyanrun/core"
)

func readFile(t testing.TB, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// TestInvalidDocuments guards against accepting invalid documents and against
// messages that do not locate the error.
func TestInvalidDocuments(t *testing.T) {
	files, err := filepath.Glob("testdata/invalid/*.json")
	if err != nil || len(files) < 10 {
		t.Fatalf("found %d files: %v", len(files), err)
	}
	g := goldie.New(t, goldie.WithFixtureDir("testdata/findings"))
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		t.Run(name, func(t *testing.T) {
			doc, _, err := Validate(readFile(t, file), nil)
			var docErr *Error
			if !errors.As(err, &docErr) || doc != nil {
				t.Fatalf("got %v, %v; want an *Error", doc, err)
			}
			g.Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// TestDocumentSizeLimit guards against accepting documents too large to fit into
// a store value together with their history.
func TestDocumentSizeLimit(t *testing.T) {
	valid := readFile(t, "testdata/valid.json")
	padded := append(bytes.Repeat([]byte(" "), MaxBytes-len(valid)), valid...)
	if _, err := Decode(padded); err != nil {
		t.Errorf("document of exactly the maximum size was rejected: %v", err)
	}
	_, err := Decode(append(padded, ' '))
	if err == nil || !strings.Contains(err.Error(), "at most 262144 are allowed") {
		t.Errorf("document over the maximum size gave error %v", err)
	}
}

// TestFindingsAreBounded guards against an error message that grows with the
// input.
func TestFindingsAreBounded(t *testing.T) {
	_, err := Decode([]byte(`{"schema": 1, "kinds": [` + strings.Repeat("1,", 999) + `1]}`))
	var docErr *Error
	if !errors.As(err, &docErr) || len(docErr.Findings) != maxFindings || docErr.Omitted < 900 {
		t.Errorf("got %v", err)
	}
}

// TestRoundTrip guards against losing a field when a document is read and applied
// again.
func TestRoundTrip(t *testing.T) {
	doc, err := Decode(readFile(t, "testdata/valid.json"))
	if err != nil {
		t.Fatal(err)
	}
	for i := range doc.Kinds {
		// Fields such as start_within and preemption are optional. Different
		// kinds set different ones, so that together they cover every field;
		// the comparison below would miss a field that none of them sets.
		for j := i + 1; j < len(doc.Kinds); j++ {
			if reflect.DeepEqual(doc.Kinds[i], doc.Kinds[j]) {
				t.Errorf("kinds %d and %d are equal", i, j)
			}
		}
	}
	assertEveryFieldSet(t, doc)
	again, err := Decode(Encode(doc))
	if err != nil || !reflect.DeepEqual(doc, again) {
		t.Errorf("got %+v, %v; want %+v", again, err, doc)
	}
	if doc.Kinds[0].GangSize != 1 {
		t.Errorf("gang_size defaults to %d, want 1", doc.Kinds[0].GangSize)
	}
}

// assertEveryFieldSet fails the test if a field of core.Kind is zero in all kinds
// of the document, or if a field of the document, its quota or its first service
// is zero. That happens when a field is added to core but not to the JSON form.
func assertEveryFieldSet(t *testing.T, doc *core.Document) {
	t.Helper()
	kind := reflect.TypeOf(core.Kind{})
	for f := range kind.NumField() {
		set := false
		for _, k := range doc.Kinds {
			set = set || !reflect.ValueOf(k).Field(f).IsZero()
		}
		if !set {
			t.Errorf("field %s of core.Kind is never set", kind.Field(f).Name)
		}
	}
	for _, v := range []any{*doc, doc.Quota, doc.Services[0]} {
		for f := range reflect.TypeOf(v).NumField() {
			if reflect.ValueOf(v).Field(f).IsZero() {
				t.Errorf("field %s of %T is not set", reflect.TypeOf(v).Field(f).Name, v)
			}
		}
	}
}

// FuzzDecode guards against inputs that crash the decoder, are rejected without a
// position, or are accepted but do not survive encoding and decoding.
func FuzzDecode(f *testing.F) {
	files, err := filepath.Glob("testdata/invalid/*.json")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range append(files, "testdata/valid.json") {
		f.Add(readFile(f, file))
	}
	fleet := []core.ListedWorker{{DataCentre: "dc-a", Capacity: core.Resources{MilliCPU: 1000, MemoryMB: 1000, Slots: 8}}}
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Decode(text)
		var docErr *Error
		if err != nil && (!errors.As(err, &docErr) || len(docErr.Findings) == 0 || docErr.Findings[0].Line < 1) {
			t.Fatalf("rejected without a position: %v", err)
		}
		if err != nil {
			return
		}
		Validate(text, fleet)
		if encoded := Encode(doc); len(encoded) <= MaxBytes {
			if again, err := Decode(encoded); err != nil || !reflect.DeepEqual(doc, again) {
				t.Fatalf("%v\nbefore %+v\nafter  %+v", err, doc, again)
			}
		}
		if changes := Diff(doc, doc); len(changes) != 0 {
			t.Fatalf("a document differs from itself: %v", changes)
		}
	})
}

// TestDocumentationExampleIsValid guards against an invalid example in
// docs/document.md.
func TestDocumentationExampleIsValid(t *testing.T) {
	page := string(readFile(t, "../docs/document.md"))
	_, rest, _ := strings.Cut(page, "```json\n")
	example, _, found := strings.Cut(rest, "```")
	if !found {
		t.Fatal("docs/document.md has no JSON example")
	}
	if _, _, err := Validate([]byte(example), nil); err != nil {
		t.Error(err)
	}
}

// TestDocumentationListsEveryField guards against fields that docs/document.md
// does not describe.
func TestDocumentationListsEveryField(t *testing.T) {
	page := string(readFile(t, "../docs/document.md"))
	for _, v := range []any{documentForm{}, resourcesForm{}, kindForm{}, preemptionForm{}, serviceForm{}} {
		for f := range reflect.TypeOf(v).NumField() {
			name, _, _ := strings.Cut(reflect.TypeOf(v).Field(f).Tag.Get("json"), ",")
			if !strings.Contains(page, "\n| `"+name+"` |") {
				t.Errorf("field %s of %T is not described in docs/document.md", name, v)
			}
		}
	}
}
