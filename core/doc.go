// Package core implements the scheduling decisions as a single deterministic
// reducer.
//
// Reducer.Step consumes an Event and returns the Effects that the caller must
// execute. The package performs no I/O, starts no goroutines, takes no locks,
// reads no clock, and uses no source of randomness other than its seeded
// generator. The same sequence of events therefore always produces the same
// effects, so a recorded run can be replayed.
package core
