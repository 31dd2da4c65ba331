package demo

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/ctl"
	"banyanrun.example/banyanrun/document"
	"banyanrun.example/banyanrun/wire"
)

// Call is one interactive call of an example.
type Call struct {
	ID   string          `json:"id"`
	Team core.TeamName   `json:"team"`
	Kind core.KindName   `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// Example is the work of one deployment.
type Example struct {
	Documents []Document
	// Jobs are submitted as one batch, and the first of them a second time.
	Jobs []wire.JobRequest
	// Unschedulable are jobs that no worker can ever run.
	Unschedulable []wire.JobRequest
	Calls         []Call
	// LongRunning jobs are cancelled while they run.
	LongRunning []wire.JobRequest
	// Oversubscribed are more jobs than can run at once; the last one is
	// cancelled while it is queued.
	Oversubscribed []wire.JobRequest
}

// Document is a service document and its source text.
type Document struct {
	core.Document
	Text []byte
}

// ReadExample reads the folder of an example. README.md in examples describes
// its files.
func ReadExample(dir string) (*Example, error) {
	e := &Example{}
	for _, name := range []string{"document.json", "trial.json"} {
		text, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			return nil, err
		}
		doc, err := document.Decode(text)
		if err != nil {
			return nil, fmt.Errorf("%s/%s: %w", dir, name, err)
		}
		e.Documents = append(e.Documents, Document{*doc, text})
	}
	for _, list := range []struct {
		file   string
		target *[]wire.JobRequest
	}{
		{"batch.json", &e.Jobs}, {"jobs.json", &e.Jobs}, {"gang.json", &e.Jobs},
		{"never.json", &e.Unschedulable}, {"long.json", &e.LongRunning}, {"crowd.json", &e.Oversubscribed},
	} {
		jobs, err := readJobs(filepath.Join(dir, list.file))
		if err != nil {
			return nil, err
		}
		*list.target = append(*list.target, jobs...)
	}
	return e, e.readCalls(filepath.Join(dir, "calls.json"))
}

// readJobs reads a file of jobs. It returns none if the file does not exist.
func readJobs(path string) ([]wire.JobRequest, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	jobs, err := ctl.ParseJobs(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return jobs, nil
}

// readCalls reads the file of interactive calls.
func (e *Example) readCalls(path string) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	var file struct {
		Calls []Call `json:"calls"`
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	e.Calls = file.Calls
	return nil
}
