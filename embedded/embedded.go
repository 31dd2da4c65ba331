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
const workersPerRack = 8

// Start starts a platform that listens on address, with one data centre that has
// workers of the sizes of both deployments, and points the settings at it. The
// stand-in's administration, which shows the workers' ledger, has the same
// address. Without keys, the daemon is insecure if only this machine can reach it.
func Start(settings *entry.Settings, address string) (*standin.Server, error) {
	if settings.Host == "" {
		settings.Host = defaultHost
	}
	if settings.DataCentre == "" {
		settings.DataCentre = defaultDataCentre
	}
	if !settings.Files().AnySet() && isLoopback(settings.Listen) && (settings.PeerListen == "" || isLoopback(settings.PeerListen)) {
		settings.Insecure = true
	}
	server, err := standin.Start(standin.Config{
		Topology: topology(settings.DataCentre), StoreAddress: address,
		Hosts: []wire.ListedHost{{
			ID: settings.Host, Address: settings.Listen, DataCentre: settings.DataCentre, Region: settings.DataCentre,
		}},
	})
	if err != nil {
		return nil, fmt.Errorf("start stand-in: %w", err)
	}
	settings.Platform = server.StoreAddress()
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
			ID: name + "-worker", Count: workersPerRack, Capacity: wire.Resources{
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
