package entry

import (
	"time"

	"banyanrun.example/banyanrun/core"
)

// clock returns the time since the Unix epoch. It advances with the monotonic
// clock, so that it never goes backwards when the wall clock is adjusted.
type clock struct{ started time.Time }

func (c clock) now() core.Time {
	return core.Time(c.started.UnixNano()).Add(time.Since(c.started))
}
