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

// Call is one interactive request of an example.
type Call struct {
	ID   string          `json:"id"`
	Team core.TeamName   `json:"team"`
	Kind core.KindName   `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// Example is the work of one deployment.
type Example struct {
	Documents []Document
	// Jobs are submitted as a batch, and the first of them once more.
	Jobs []wire.JobRequest
	// Never can never run.
	Unschedulable []wire.JobRequest
	Calls         []Call
	// Long are cancelled while they run.
	LongRunning []wire.JobRequest
	// Crowd are more than run at once; the last one is cancelled as it waits.
	Oversubscribed []wire.JobRequest
}

// Document is a service document with its text.
type Document struct {
	core.Document
	Text []byte
}

// ReadExample reads a folder. README.md of the examples describes the files.
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

// readJobs reads a file of jobs. A file that does not exist has none.
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

// readCalls reads the interactive requests.
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
