// Package core holds every decision of the scheduler as one reducer.
//
// Reducer.Step takes an Event and returns the Effects that the caller carries
// out. The package performs no I/O, starts no goroutine, takes no lock, reads no
// clock and draws no random number from outside its own state. The same events
// therefore give the same effects, which is what makes a recorded run
// replayable.
package core
