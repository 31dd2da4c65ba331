package ctl

import (
	"fmt"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// Topology describes a fleet, so that a document can be checked without
// contacting a host.
type Topology struct {
	DataCentres []TopologyDataCentre `json:"data_centres"`
}

// TopologyDataCentre is one data centre of a topology.
type TopologyDataCentre struct {
	Name           core.DataCentre `json:"name"`
	Region         core.Region     `json:"region"`
	Racks          int             `json:"racks"`
	WorkersPerRack int             `json:"workers_per_rack"`
	// Capacity is the capacity of each worker.
	Capacity wire.Resources `json:"capacity"`
	// Hosts is the number of entry hosts.
	Hosts int `json:"hosts"`
}

// maxTopologyWorkers bounds the number of workers in a topology.
const maxTopologyWorkers = 100_000

// ParseTopology decodes a topology file and returns its workers.
func ParseTopology(text []byte) ([]core.ListedWorker, error) {
	var t Topology
	if err := decodeStrictJSON(text, &t); err != nil {
		return nil, fmt.Errorf("not a topology: %w", err)
	}
	var fleet []core.ListedWorker
	for i, dc := range t.DataCentres {
		if dc.Name == "" || dc.Racks < 1 || dc.WorkersPerRack < 1 || dc.Capacity.ToCore().Negative() {
			return nil, fmt.Errorf("data_centres[%d]: name, racks and workers_per_rack are required, "+
				"and no capacity may be negative", i)
		}
		if dc.Racks > maxTopologyWorkers || dc.WorkersPerRack > maxTopologyWorkers ||
			len(fleet)+dc.Racks*dc.WorkersPerRack > maxTopologyWorkers {
			return nil, fmt.Errorf("data_centres[%d]: more than %d workers", i, maxTopologyWorkers)
		}
		fleet = append(fleet, dc.workers()...)
	}
	return fleet, nil
}

func (dc *TopologyDataCentre) workers() []core.ListedWorker {
	var out []core.ListedWorker
	for rack := range dc.Racks {
		for n := range dc.WorkersPerRack {
			name := fmt.Sprintf("%s-r%d", dc.Name, rack+1)
			out = append(out, core.ListedWorker{
				ID: core.WorkerID(fmt.Sprintf("%s-w%d", name, n+1)), Rack: name,
				DataCentre: dc.Name, Region: dc.Region, Capacity: dc.Capacity.ToCore(),
			})
		}
	}
	return out
}
