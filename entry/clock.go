package entry

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

// clock reads the time since the Unix epoch by the monotonic clock, so that it
// never goes backwards when the wall clock is set.
type clock struct{ started time.Time }

// now returns the current time.
func (c clock) now() core.Time {
	return core.Time(c.started.UnixNano()).Add(time.Since(c.started))
}
