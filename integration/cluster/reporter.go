package cluster

import (
	"fmt"
	"io"
	"os"
	"sync"
)

// Reporter implements T outside of a test.
type Reporter struct {
	name   string
	output io.Writer

	mu       sync.Mutex
	failed   bool
	cleanups []func()
}

// fatalPanic is the value with which Fatalf panics to end a run.
type fatalPanic struct{}

// NewReporter returns a Reporter that prints to out.
func NewReporter(name string, out io.Writer) *Reporter { return &Reporter{name: name, output: out} }

// Run calls f and then the cleanups in reverse order.
func (r *Reporter) Run(f func()) {
	defer func() {
		for i := len(r.cleanups) - 1; i >= 0; i-- {
			r.cleanups[i]()
		}
	}()
	defer func() {
		switch cause := recover().(type) {
		case nil, fatalPanic:
		default:
			panic(cause)
		}
	}()
	f()
}

// Helper implements T.
func (r *Reporter) Helper() {}

// Name implements T.
func (r *Reporter) Name() string { return r.name }

// Logf implements T.
func (r *Reporter) Logf(format string, args ...any) { fmt.Fprintf(r.output, "  "+format+"\n", args...) }

// Errorf implements T.
func (r *Reporter) Errorf(format string, args ...any) {
	r.mu.Lock()
	r.failed = true
	r.mu.Unlock()
	r.Logf(format, args...)
}

// Fatalf implements T. It must be called on the goroutine of Run.
func (r *Reporter) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	panic(fatalPanic{})
}

// Failed implements T.
func (r *Reporter) Failed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// Cleanup implements T.
func (r *Reporter) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

// TempDir implements T.
func (r *Reporter) TempDir() string {
	folder, err := os.MkdirTemp("", "banyanrun-cluster")
	if err != nil {
		r.Fatalf("create temporary folder: %v", err)
	}
	r.Cleanup(func() { os.RemoveAll(folder) })
	return folder
}
