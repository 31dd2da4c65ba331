package document

import (
	"strings"
	"testing"

	"banyanrun.example/banyanrun/core"
)

// equalWorkers returns n workers with the same capacity in one data centre.
func equalWorkers(n int, dc core.DataCentre, capacity core.Resources) []core.ListedWorker {
	out := make([]core.ListedWorker, n)
	for i := range out {
		out[i] = core.ListedWorker{DataCentre: dc, Capacity: capacity}
	}
	return out
}

// TestFleetWarnings guards against accepting, without a warning, a document whose
// jobs can never run on the fleet.
func TestFleetWarnings(t *testing.T) {
	large := core.Resources{MilliCPU: 64000, MemoryMB: 262144, Accelerators: 2, Slots: 16, Connections: 128}
	noAccelerator := large
	noAccelerator.Accelerators = 0
	leaving := equalWorkers(8, "dc-a", large)
	for i := range leaving {
		leaving[i].Leaving = true
	}
	cases := []struct {
		name  string
		fleet []core.ListedWorker
		want  []string
	}{
		{"a fleet that holds everything gives no warning",
			append(equalWorkers(8, "dc-a", large), equalWorkers(8, "dc-b", large)...), nil},
		{"an unknown fleet gives no warning", nil, nil},
		{"a kind that needs an accelerator does not fit without one",
			append(equalWorkers(8, "dc-a", noAccelerator), equalWorkers(8, "dc-b", noAccelerator)...),
			[]string{"beyond data centre dc-a", "beyond data centre dc-b", `no worker can hold a task of kind "fit"`}},
		{"a gang is not spread over data centres",
			append(equalWorkers(1, "dc-a", large), equalWorkers(1, "dc-b", large)...),
			[]string{"beyond data centre dc-a", "beyond data centre dc-b", `hold 4 tasks of kind "fit" at once; the largest holds 2`}},
		{"a worker that is leaving does not count",
			append(leaving, equalWorkers(8, "dc-b", large)...), []string{`data centre "dc-a" has no workers`}},
	}
	text := readFile(t, "testdata/valid.json")
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			doc, warnings, err := Validate(text, tc.fleet)
			if err != nil || doc == nil {
				t.Fatalf("document with warnings was rejected: %v", err)
			}
			if len(warnings) != len(tc.want) {
				t.Fatalf("got %v, want %q", warnings, tc.want)
			}
			for i, w := range warnings {
				if !strings.Contains(w.String(), tc.want[i]) || w.Line == 0 {
					t.Errorf("got %v, want %q with a line", w, tc.want[i])
				}
			}
		})
	}
}

// TestDiff guards against missing a changed field and against reporting an
// unchanged one.
func TestDiff(t *testing.T) {
	old, err := Decode(readFile(t, "testdata/valid.json"))
	if err != nil {
		t.Fatal(err)
	}
	edited := *old
	edited.Weight = 4
	edited.Kinds = append([]core.Kind{{Name: "first", GangSize: 1}}, old.Kinds[1:]...)
	edited.GiveUpFirst = []core.KindName{"fit", "index"}
	var got []string
	for _, c := range Diff(old, &edited) {
		if !strings.Contains(c.Path, "[first].") && !strings.Contains(c.Path, "[preview].") {
			got = append(got, c.String())
		}
	}
	want := "~ weight: 3 -> 4\n~ give_up_first: [index, fit] -> [fit, index]"
	if strings.Join(got, "\n") != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if n := len(Diff(nil, old)); n < 40 {
		t.Errorf("diff of a new document has %d fields, want at least 40", n)
	}
}
