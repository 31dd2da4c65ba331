// Package processes measures real entry daemons at a small scale: two data centres
// in different regions with three hosts each, behind proxies that delay every
// link. The stand-in of the platform runs in the measuring process.
package processes

import (
	"fmt"
	"net"
	"os"
	"time"

	"banyanrun.example/banyanrun/bench"
	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/integration/faultproxy"
)

const (
	dataCentres          = 2
	hostsPerDataCentre   = 3
	workersPerDataCentre = 8
	nearDelay            = time.Millisecond
	farDelay             = 20 * time.Millisecond
	ownerLease           = 6 * time.Second
	maxTakeover          = ownerLease + 5*time.Second
)

// defaultFlags sets the flags that the integration tests shorten back to the
// defaults of the daemon.
var defaultFlags = []string{
	"--owner-lease", ownerLease.String(), "--task-lease", "30s", "--sync-wait", "10s",
	"--store-timeout", "2s", "--worker-timeout", "5s", "--journal-rate", "4", "--log-level", "warn",
}

// Measures lists the measures that run real processes.
func Measures() []bench.Measure {
	return []bench.Measure{
		{Name: "takeover", Run: onCluster(takeoverRows)},
		{Name: "document", Run: onCluster(documentRows)},
		{Name: "share", Run: onCluster(shareRows)},
	}
}

// onCluster returns a function that runs a measure on its own cluster. Afterwards it
// clears all faults and checks the outcomes that the callers were given against the
// ledgers of the workers.
func onCluster(rows func(*cluster.Cluster) []bench.Row) func(uint64) ([]bench.Row, error) {
	return func(seed uint64) ([]bench.Row, error) {
		folder, err := os.MkdirTemp("", "banyanrun-bench")
		if err != nil {
			return nil, fmt.Errorf("create folder: %w", err)
		}
		defer os.RemoveAll(folder)
		binary, err := cluster.Build(folder)
		if err != nil {
			return nil, err
		}
		var out []bench.Row
		t := cluster.NewReporter("bench", os.Stderr)
		t.Run(func() {
			c := cluster.Start(t, cluster.Config{
				Binary: binary, DataCentres: dataCentres, SeparateRegions: true, Hosts: hostsPerDataCentre,
				Workers: workersPerDataCentre, Seed: seed, HostFlags: defaultFlags,
			})
			setDelays(c)
			out = rows(c)
			c.ClearFaultsAndCheck()
		})
		if t.Failed() {
			return out, fmt.Errorf("the cluster failed or job outcomes do not match the ledgers; see the messages above")
		}
		return out, nil
	}
}

// setDelays sets the delay of every link. The delay of a peer link depends on the
// data centre of the host that opens the connection.
func setDelays(c *cluster.Cluster) {
	constantDelay := func(net.Addr) time.Duration { return nearDelay }
	setDelay := func(l *faultproxy.Link, distance func(net.Addr) time.Duration) {
		l.SetConnDelay(distance)
		l.ResetConns() // Open connections were created without a delay.
	}
	for _, l := range c.WorkerLinks {
		setDelay(l, constantDelay)
	}
	for _, h := range c.Hosts {
		setDelay(h.StoreLink, constantDelay)
		setDelay(h.PeerLink, func(client net.Addr) time.Duration {
			for _, from := range c.Hosts {
				if from.DataCentre != h.DataCentre && ownsSocket(from.PID(), client) {
					return farDelay
				}
			}
			return nearDelay
		})
	}
}
