package main

import (
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

// Guards against a stand-in that starts with its default workers although a
// topology was given, or that ignores a topology file it cannot read.
func TestTopologySetting(t *testing.T) {
	for _, c := range []struct{ name, file, wantErr string }{
		{"the first example", "../../examples/steinbruch/topology.json", ""},
		{"the second example", "../../examples/prairie/topology.json", ""},
		{"a file of another form", "../../examples/prairie/document.json", "unknown field"},
		{"a file that does not exist", "testdata/none.json", "topology"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s settings
			if _, err := flags.ParseArgs(&s, []string{"--topology", c.file}); err != nil {
				t.Fatal(err)
			}
			cfg, err := s.config()
			if c.wantErr != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantErr) {
					t.Fatalf("error is %v, want one with %q", err, c.wantErr)
				}
				return
			}
			if err != nil || len(cfg.Topology.DataCentres) != 3 || cfg.Topology.DataCentres[0].Name == "dc-a" {
				t.Fatalf("data centres are %+v, %v; want those of the file", cfg.Topology.DataCentres, err)
			}
		})
	}
}
