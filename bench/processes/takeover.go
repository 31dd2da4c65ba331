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
	kills = 6
	// takeoverLoad is in jobs a second, enough to show the first start within
	// a tenth of a second.
	takeoverLoad = 10.0
	takeoverRun  = 200 * time.Millisecond
	lookEvery    = 100 * time.Millisecond
)

// takeoverRows kills owners under load, in one data centre after the other, and
// measures the time to the first start under a later epoch. Both times are of
// this machine's clock.
func takeoverRows(c *cluster.Cluster) []bench.Row {
	var took []float64
	for n := range kills {
		dc := cluster.DataCentre(n % dataCentres)
		owner := c.Owner(dc)
		epoch, _ := owner.Owns()
		l := startLoad(c, func() []*cluster.Host { return c.In(dc) }, takeoverLoad, takeoverRun)
		time.Sleep(time.Second)
		killed := time.Now()
		owner.Kill()
		var first time.Time
		for time.Since(killed) < cluster.Patience && first.IsZero() {
			time.Sleep(lookEvery)
			first = firstStart(c.Ledger(), dc, core.Epoch(epoch))
		}
		l.end()
		if first.IsZero() {
			c.T.Errorf("takeover: no start within %s of a kill", cluster.Patience)
			return nil
		}
		took = append(took, first.Sub(killed).Seconds())
		c.T.Logf("takeover %d of data centre %s: %.3f s", n+1, dc, took[n])
		owner.Start()
		c.Until("the killed host is ready again", owner.Ready)
	}
	slices.Sort(took)
	return []bench.Row{
		bench.AtMost("takeover_max", took[len(took)-1], "s", takeoverBound.Seconds()),
		bench.Unbounded("takeover_median", took[len(took)/2], "s"),
		bench.Unbounded("takeover_kills", float64(len(took)), "kills"),
	}
}

// firstStart returns the first start of a task at a worker of a data centre under
// an epoch after the given one, or the zero time.
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
