// Package virtual connects the reducers of entry hosts with the stand-in's
// reducers of the platform and the workers, in virtual time and on one goroutine,
// for tests and measurements of package core. It executes effects as package
// entry does, but without encoding or I/O, can delay, drop and duplicate messages,
// and records what workers and callers saw.
//
// A run is determined by its Config and by the calls on the Cluster.
package virtual
