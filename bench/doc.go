// Package bench measures the reducer against the bounds of the design page.
//
// Each measure drives core.Reducer in virtual time on a Cell, a small fake of the
// store and the workers, and runs baseline schedulers on the same trace. Only
// processor time is read from the machine.
package bench
