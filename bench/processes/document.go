package processes

import (
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/bench"
	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/integration/cluster"
)

const (
	documentEdits    = 120
	maxDocumentDelay = 4 * time.Second
	// revisionPollInterval is the interval at which each host is asked for its
	// revision.
	revisionPollInterval = 5 * time.Millisecond
)

// documentRows edits the document at each host in turn and measures the delay from
// the response to the operator until the last host has applied the revision.
func documentRows(c *cluster.Cluster) []bench.Row {
	var delays []float64
	revision := c.Hosts[0].DocumentRevision()
	for n := range documentEdits {
		e, err := c.PutDocument(c.Hosts[n%len(c.Hosts)], revision, 1+n%2)
		if err != nil || e.Status != http.StatusOK {
			c.T.Errorf("edit %d: status %d, error %v", n, e.Status, err)
			return nil
		}
		respondedAt := time.Now()
		revision = e.Version.Revision
		delays = append(delays, waitForRevision(c, revision).Sub(respondedAt).Seconds())
	}
	slices.Sort(delays)
	return []bench.Row{
		bench.AtMost("document_in_force_p99", delays[len(delays)*99/100], "s", maxDocumentDelay.Seconds()),
		bench.Unbounded("document_in_force_median", delays[len(delays)/2], "s"),
		bench.Unbounded("document_edits", float64(len(delays)), "edits"),
	}
}

// waitForRevision waits until every host has applied a revision and returns the
// time at which the last one had.
func waitForRevision(c *cluster.Cluster, revision core.Revision) time.Time {
	times := make([]time.Time, len(c.Hosts))
	var all conc.WaitGroup
	for i, h := range c.Hosts {
		all.Go(func() {
			for start := time.Now(); h.DocumentRevision() < revision; time.Sleep(revisionPollInterval) {
				if time.Since(start) > cluster.WaitTimeout {
					c.T.Errorf("host %s has not applied revision %d", h.ID, revision)
					break
				}
			}
			times[i] = time.Now()
		})
	}
	all.Wait()
	return slices.MaxFunc(times, time.Time.Compare)
}
