package core

import "time"

// Time is a clock reading of the host in nanoseconds since the Unix epoch. The
// caller derives it from the monotonic clock, so it never goes backwards within
// a process. Except for deadlines in journal records, only readings of the same
// host are compared.
type Time int64

// Add returns t + d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns t - o.
func (t Time) Sub(o Time) time.Duration { return time.Duration(t - o) }

// Before reports whether t is before o.
func (t Time) Before(o Time) bool { return t < o }
