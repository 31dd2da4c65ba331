// Package embedded runs a stand-in for the platform and its workers in the
// process of an entry daemon, so that the system can be tried out on one machine.
package embedded

import (
	"fmt"
	"net/netip"

	"banyanrun.example/banyanrun/entry"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/wire"
)

// Defaults for names that are not set.
const (
	defaultHost       = "entry-1"
	defaultDataCentre = "local"
)

// workersPerRack is the number of workers in each of the two racks.
const workersPerRack = 8

// Start starts a platform that listens on address and sets settings.Platform to
// it. The platform has one data centre with workers of both sizes that the
// deployments use. The stand-in's admin API, which shows the workers' ledgers,
// listens on the same address. If no certificate files are set and the daemon
// listens on loopback addresses only, Start also sets settings.Insecure.
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

// isLoopback reports whether an ip:port address is on the loopback interface.
func isLoopback(address string) bool {
	at, err := netip.ParseAddrPort(address)
	return err == nil && at.Addr().IsLoopback()
}

// topology returns a data centre of two racks, one with workers of 32 cores and
// 128 GB and one with workers of 16 cores and 32 GB.
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
