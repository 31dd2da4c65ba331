package main

import (
	"fmt"
	"os"
	"sync"
)

// reporter is cluster.T outside of a test.
type reporter struct {
	name string

	mu       sync.Mutex
	failed   bool
	cleanups []func()
}

// stop is the panic that ends a round after Fatalf.
type stop struct{}

func newReporter(name string) *reporter { return &reporter{name: name} }

// run calls f and then the cleanups, the latest first.
func (r *reporter) run(f func()) {
	defer func() {
		for i := len(r.cleanups) - 1; i >= 0; i-- {
			r.cleanups[i]()
		}
	}()
	defer func() {
		switch cause := recover().(type) {
		case nil, stop:
		default:
			panic(cause)
		}
	}()
	f()
}

// Helper implements cluster.T.
func (r *reporter) Helper() {}

// Name implements cluster.T.
func (r *reporter) Name() string { return r.name }

// Logf implements cluster.T.
func (r *reporter) Logf(format string, args ...any) { fmt.Printf("  "+format+"\n", args...) }

// Errorf implements cluster.T.
func (r *reporter) Errorf(format string, args ...any) {
	r.mu.Lock()
	r.failed = true
	r.mu.Unlock()
	r.Logf(format, args...)
}

// Fatalf implements cluster.T. It must be called on the goroutine of the round.
func (r *reporter) Fatalf(format string, args ...any) {
	r.Errorf(format, args...)
	panic(stop{})
}

// Failed implements cluster.T.
func (r *reporter) Failed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

// Cleanup implements cluster.T.
func (r *reporter) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanups = append(r.cleanups, f)
}

// TempDir implements cluster.T.
func (r *reporter) TempDir() string {
	folder, err := os.MkdirTemp("", "banyanrun-soak-round")
	if err != nil {
		r.Fatalf("create folder: %v", err)
	}
	r.Cleanup(func() { os.RemoveAll(folder) })
	return folder
}
