package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// printf writes a line with the time since the start in seconds.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// conclude records and prints the outcome and returns the exit code.
func (r *record) conclude(violations []string, err error) int {
	code, text := exitHeld, "the rule held"
	switch {
	case err != nil:
		code, text = exitFailed, "the case could not run: "+err.Error()
	case len(violations) > 0:
		code, text = exitBroken, fmt.Sprintf("the rule was broken %d times", len(violations))
	}
	for _, v := range violations {
		r.printf("BROKEN %s", v)
		fmt.Println(v)
	}
	r.printf("%s", text)
	fmt.Println(text)
	return code
}

func (r *record) close() { _ = r.file.Close() }
