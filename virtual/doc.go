// Package virtual connects reducers of entry hosts with the stand-in's reducers
// of the platform and the workers, in virtual time and on one goroutine. It is a
// fake at the interfaces for tests and measurements of package core: it carries
// out effects as package entry does, but without encoding or I/O, delays, drops
// and repeats messages, and keeps accounts of what workers and callers saw.
//
// A run is determined by its Config and by the calls made on the Cluster.
package virtual
