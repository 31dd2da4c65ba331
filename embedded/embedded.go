// Package embedded runs the stand-in of the platform and workers in the process
// of an entry daemon, for a first try on one machine.
package embedded

import (
	"fmt"
	"net/netip"

	"banyanrun.example/banyanrun/entry"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/wire"
)

// Names used where the settings give none.
const (
	defaultHost       = "entry-1"
	defaultDataCentre = "local"
)

// workersOf is the number of workers of each size, two racks of eight.
const workersOf = 8

// Start starts a platform that listens on address, with one data centre that has
// workers of the sizes of both deployments, and points the settings at it. The
// stand-in's administration, which shows the workers' ledger, has the same
// address. Without keys, the daemon is insecure if only this machine can reach it.
func Start(set *entry.Settings, address string) (*standin.Server, error) {
	if set.Host == "" {
		set.Host = defaultHost
	}
	if set.DataCentre == "" {
		set.DataCentre = defaultDataCentre
	}
	if !set.Files().Given() && isLoopback(set.Listen) && (set.PeerListen == "" || isLoopback(set.PeerListen)) {
		set.Insecure = true
	}
	server, err := standin.Start(standin.Config{
		Topology: topology(set.DataCentre), StoreAddress: address,
		Hosts: []wire.ListedHost{{
			ID: set.Host, Address: set.Listen, DataCentre: set.DataCentre, Region: set.DataCentre,
		}},
	})
	if err != nil {
		return nil, fmt.Errorf("start stand-in: %w", err)
	}
	set.Platform = server.StoreAddress()
	return server, nil
}

// isLoopback reports whether an ip:port is reached from this machine only.
func isLoopback(address string) bool {
	at, err := netip.ParseAddrPort(address)
	return err == nil && at.Addr().IsLoopback()
}

// topology has two racks: workers of 32 cores and 128 GB, and of 16 cores and 32
// GB.
func topology(dc string) standin.Topology {
	rack := func(name string, milliCPU, memoryMB int64) standin.Rack {
		return standin.Rack{Name: name, Workers: []standin.WorkerGroup{{
			ID: name + "-worker", Count: workersOf, Capacity: wire.Resources{
				MilliCPU: milliCPU, MemoryMB: memoryMB, Slots: 8, Connections: 64,
			},
		}}}
	}
	return standin.Topology{DataCentres: []standin.DataCentre{{
		Name: dc, Region: dc, Racks: []standin.Rack{
			rack("rack-1", 32_000, 128<<10), rack("rack-2", 16_000, 32<<10),
		},
	}}}
}
