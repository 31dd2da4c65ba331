package integration

import (
	"testing"
	"time"

	"banyanrun.example/banyanrun/integration/cluster"
)

func TestKilledOwnerLosesNoJobAndDoublesNone(t *testing.T) {
	c := start(t, 101, 1, 3)
	owner := c.Owner("a")
	// 32 slots: the later jobs are still queued when the owner dies.
	submitMany(c, c.Hosts, cluster.Gang, 2, 3*time.Second)
	submitMany(c, c.Hosts, cluster.Billed, 20, 3*time.Second)
	submitMany(c, c.Hosts, cluster.Batch, 20, 2*time.Second)
	c.Until("jobs run", func() bool { return c.Ledger().Summary.Starts >= 20 })
	owner.Kill()
	c.Owner("a", owner)
	owner.Start()
	c.Settle()
}
