// Package bench measures the reducer against the bounds of the design page.
//
// Each measure runs core.Reducer in a Cell, which drives one reducer, as the owner
// of one data centre, with a fake store and fake workers in virtual time, and
// compares it with baseline schedulers on the same trace. The only real quantity is
// CPU time; all other times are virtual.
package bench
