package ctl

import (
	"path/filepath"
	"testing"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/document"
)

// TestExamples guards against examples that do not do what their README
// describes.
func TestExamples(t *testing.T) {
	for _, deployment := range []string{"steinbruch", "prairie"} {
		t.Run(deployment, func(t *testing.T) {
			dir := filepath.Join("..", "examples", deployment)
			fleet, err := ParseTopology(readTestFile(t, filepath.Join(dir, "topology.json")))
			if err != nil || len(fleet) != 48 {
				t.Fatalf("topology has %d workers: %v", len(fleet), err)
			}
			documents := map[core.TeamName]*core.Document{}
			for file, warnings := range map[string]int{"document.json": 0, "trial.json": 1} {
				doc, found, err := document.Validate(readTestFile(t, filepath.Join(dir, file)), fleet)
				if err != nil || len(found) != warnings {
					t.Fatalf("%s: %v, %v; want %d warnings", file, err, found, warnings)
				}
				documents[doc.Team] = doc
			}
			for file, gang := range map[string]bool{"jobs.json": false, "batch.json": false, "gang.json": true, "never.json": false} {
				jobs, err := ParseJobs(readTestFile(t, filepath.Join(dir, file)))
				if err != nil {
					t.Fatalf("%s: %v", file, err)
				}
				for _, j := range jobs {
					kind, ok := documents[j.Team].Kind(j.Kind)
					if !ok || kind.Urgency == core.Interactive || (kind.GangSize > 1) != gang {
						t.Errorf("%s: job %s has kind %q, which does not fit its file", file, j.ID, j.Kind)
					}
				}
			}
		})
	}
}
