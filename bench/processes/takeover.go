package processes

import (
	"slices"
	"strings"
	"time"

	"banyanrun.example/banyanrun/bench"
	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/standin"
)

const (
	takeoverKills = 6
	// takeoverJobsPerSecond resolves the time of the first start to a tenth of a
	// second.
	takeoverJobsPerSecond = 10.0
	takeoverRunTime       = 200 * time.Millisecond
	ledgerPollInterval    = 100 * time.Millisecond
)

// takeoverRows kills owners under load, alternating between the data centres, and
// measures the time to the first start under a later epoch. Both times are from
// the clock of this machine.
func takeoverRows(c *cluster.Cluster) []bench.Row {
	var durations []float64
	for n := range takeoverKills {
		dc := cluster.DataCentre(n % dataCentres)
		owner := c.WaitForOwner(dc)
		epoch, _ := owner.OwnerEpoch()
		load := startLoad(c, func() []*cluster.Host { return c.HostsIn(dc) }, takeoverJobsPerSecond, takeoverRunTime)
		time.Sleep(time.Second)
		killed := time.Now()
		owner.Kill()
		var first time.Time
		for time.Since(killed) < cluster.WaitTimeout && first.IsZero() {
			time.Sleep(ledgerPollInterval)
			first = firstStart(c.Ledger(), dc, core.Epoch(epoch))
		}
		load.stopAndWait()
		if first.IsZero() {
			c.T.Errorf("takeover: no task started within %s after the owner was killed", cluster.WaitTimeout)
			return nil
		}
		durations = append(durations, first.Sub(killed).Seconds())
		c.T.Logf("takeover %d of data centre %s: %.3f s", n+1, dc, durations[n])
		owner.Start()
		c.WaitUntil("the killed host is ready again", owner.Ready)
	}
	slices.Sort(durations)
	return []bench.Row{
		bench.AtMost("takeover_max", durations[len(durations)-1], "s", maxTakeover.Seconds()),
		bench.Unbounded("takeover_median", durations[len(durations)/2], "s"),
		bench.Unbounded("takeover_kills", float64(len(durations)), "kills"),
	}
}

// firstStart returns the time of the first task start in a data centre under an
// epoch later than after, or the zero time.
func firstStart(ledger standin.Ledger, dc string, after core.Epoch) time.Time {
	var first time.Time
	for _, w := range ledger.Workers {
		if !strings.HasPrefix(w.Worker, dc) {
			continue
		}
		for _, e := range w.Entries {
			at := time.UnixMicro(e.StartUnixUS)
			if e.Entry == "task" && e.Epoch > after && (first.IsZero() || at.Before(first)) {
				first = at
			}
		}
	}
	return first
}
