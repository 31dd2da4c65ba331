// Package integration tests real entry daemons behind a fault-injecting proxy. The
// tests check the workers' ledgers and the responses that callers received.
package integration

import (
	"fmt"
	"os"
	"testing"
	"time"

	"banyanrun.example/banyanrun/integration/cluster"
)

// binary is the path of the entry daemon under test.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "banyanrun-integration")
	if err == nil {
		binary, err = cluster.Build(folder, "-race")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// clusterSlots limits the number of concurrent clusters, so that their processes
// do not starve each other.
var clusterSlots = make(chan struct{}, 4)

// startCluster starts a cluster in parallel with other tests.
func startCluster(t *testing.T, seed uint64, dataCentres, hosts int) *cluster.Cluster {
	t.Helper()
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	return cluster.Start(t, cluster.Config{
		Binary: binary, DataCentres: dataCentres, Hosts: hosts, Workers: 4, Seed: seed,
	})
}

// submitJobs submits n jobs of a kind and waits until all are accepted.
func submitJobs(c *cluster.Cluster, hosts []*cluster.Host, kind string, n int, run time.Duration) {
	c.T.Helper()
	for i := range n {
		c.SubmitUntilAccepted(hosts, fmt.Sprintf("%s-%d", kind, i), kind, run)
	}
}
