package standin

import (
	"fmt"

	"banyanrun.example/banyanrun/wire"
)

// Topology lists the workers of a stand-in by data centre and rack.
// ParseTopology reads one from a file, whose format is simpler.
type Topology struct {
	DataCentres []DataCentre
}

type DataCentre struct {
	Name   string
	Region string
	Racks  []Rack
}

type Rack struct {
	Name    string
	Workers []WorkerGroup
}

// WorkerGroup is Count equal workers. If Count is above 1, their ids are
// <ID>-1, <ID>-2 and so on.
type WorkerGroup struct {
	ID       string
	Count    int
	Capacity wire.Resources
}

// DefaultTopology returns three data centres, each in a region of its own and
// with two racks of eight workers.
func DefaultTopology() Topology {
	capacity := wire.Resources{MilliCPU: 32_000, MemoryMB: 128 << 10, Slots: 8, Connections: 64}
	var t Topology
	for _, name := range []string{"a", "b", "c"} {
		dc := DataCentre{Name: "dc-" + name, Region: "region-" + name}
		for rack := 1; rack <= 2; rack++ {
			dc.Racks = append(dc.Racks, Rack{
				Name:    fmt.Sprintf("rack-%d", rack),
				Workers: []WorkerGroup{{ID: fmt.Sprintf("%s-%d", name, rack), Count: 8, Capacity: capacity}},
			})
		}
		t.DataCentres = append(t.DataCentres, dc)
	}
	return t
}

// workers returns all workers without addresses, or an error if an id or a
// capacity is invalid.
func (t Topology) workers() ([]wire.ListedWorker, error) {
	var list []wire.ListedWorker
	seen := map[string]bool{}
	for _, dc := range t.DataCentres {
		for _, rack := range dc.Racks {
			for _, group := range rack.Workers {
				for _, id := range group.ids() {
					if id == "" || seen[id] {
						return nil, fmt.Errorf("worker id %q in rack %q of data centre %q is empty or not unique", id, rack.Name, dc.Name)
					}
					seen[id] = true
					list = append(list, wire.ListedWorker{
						ID: id, Rack: rack.Name, DataCentre: dc.Name, Region: dc.Region, Capacity: group.Capacity,
					})
				}
				if c := group.Capacity.ToCore(); c.Negative() || c.IsZero() {
					return nil, fmt.Errorf("capacity of worker %q is %v; each field must be at least 0 and one above 0", group.ID, c)
				}
			}
		}
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("topology has no workers")
	}
	return list, nil
}

func (g WorkerGroup) ids() []string {
	if g.Count <= 1 {
		return []string{g.ID}
	}
	ids := make([]string, g.Count)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", g.ID, i+1)
	}
	return ids
}
