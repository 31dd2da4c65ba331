// Package bench measures the reducer against the bounds of the design page.
//
// Each measure runs core.Reducer in virtual time in a Cell, which simulates the
// store and the workers, and compares it with baseline schedulers on the same
// trace. The only real quantity is CPU time; all other times are virtual.
package bench
