package standin

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a stand-in that cannot read the example topologies, which
// users also pass to banyanctl.
func TestParseTopologyReadsTheExamples(t *testing.T) {
	files, err := filepath.Glob("../examples/*/topology.json")
	if err != nil || len(files) != 2 {
		t.Fatalf("examples: %v, %v; want two files", files, err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		topology, err := ParseTopology(data)
		if err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		workers, err := topology.workers()
		if err != nil || len(workers) != 48 {
			t.Fatalf("%s: %d workers, %v; want 48", file, len(workers), err)
		}
		first := workers[0]
		if want := first.DataCentre + "-r1-w1"; first.ID != want || first.Rack != first.DataCentre+"-r1" {
			t.Errorf("%s: first worker is %q in rack %q, want %q", file, first.ID, first.Rack, want)
		}
		if first.Capacity.MilliCPU < 16_000 || first.Capacity.Slots != 8 {
			t.Errorf("%s: capacity is %+v", file, first.Capacity)
		}
	}
}

// Guards against an invalid topology file that starts a stand-in with other
// workers than the user wanted.
func TestParseTopologyRejectsInvalidFiles(t *testing.T) {
	const capacity = `"capacity": {"milli_cpu": 1000, "memory_mb": 10, "slots": 1}`
	for _, c := range []struct{ name, file, want string }{
		{"no data centre", `{"data_centres": []}`, "no workers"},
		{"an unknown field", `{"data_centres": [{"nmae": "a"}]}`, "unknown field"},
		{"no region", `{"data_centres": [{"name": "a", "racks": 1, "workers_per_rack": 1, ` + capacity + `}]}`, "region"},
		{"no racks", `{"data_centres": [{"name": "a", "region": "r", "workers_per_rack": 1, ` + capacity + `}]}`, "racks"},
		{"no capacity", `{"data_centres": [{"name": "a", "region": "r", "racks": 1, "workers_per_rack": 1}]}`, "capacity"},
		{"a negative capacity", `{"data_centres": [{"name": "a", "region": "r", "racks": 1, "workers_per_rack": 1, ` +
			`"capacity": {"memory_mb": -1, "slots": 1}}]}`, "capacity"},
		{"a product that is too large", `{"data_centres": [{"name": "a", "region": "r", "racks": 200, "workers_per_rack": 200, ` +
			capacity + `}]}`, "more than"},
		{"one data centre twice", `{"data_centres": [{"name": "a", "region": "r", "racks": 1, "workers_per_rack": 1, ` + capacity +
			`}, {"name": "a", "region": "r", "racks": 1, "workers_per_rack": 1, ` + capacity + `}]}`, "not unique"},
		{"data after the value", `{"data_centres": []} }`, "after the JSON value"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ParseTopology([]byte(c.file)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error is %v, want one with %q", err, c.want)
			}
		})
	}
}
