package standin

import (
	"bytes"
	"encoding/json"
	"fmt"

	"banyanrun.example/banyanrun/wire"
)

// maxFileWorkers limits the workers of a topology file, because each takes a
// port.
const maxFileWorkers = 10_000

// topologyFile is the JSON format of a topology file.
type topologyFile struct {
	DataCentres []fileDataCentre `json:"data_centres"`
}

// fileDataCentre is a data centre of a topology file. All its workers have the
// same capacity.
type fileDataCentre struct {
	Name           string         `json:"name"`
	Region         string         `json:"region"`
	Racks          int            `json:"racks"`
	WorkersPerRack int            `json:"workers_per_rack"`
	Capacity       wire.Resources `json:"capacity"`
	// Hosts is the number of entry hosts, which the stand-in does not
	// start.
	Hosts int `json:"hosts"`
}

// ParseTopology decodes a topology file. Unknown fields and data after the JSON
// value are errors.
func ParseTopology(data []byte) (Topology, error) {
	var file topologyFile
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&file); err != nil {
		return Topology{}, fmt.Errorf("decode topology: %w", err)
	}
	if rest := bytes.TrimSpace(data[decoder.InputOffset():]); len(rest) > 0 {
		return Topology{}, fmt.Errorf("decode topology: data after the JSON value")
	}
	t, err := file.topology()
	if err != nil {
		return Topology{}, err
	}
	_, err = t.workers()
	return t, err
}

// topology checks the counts and expands them to racks and workers. The names
// are those that banyanctl derives from the same file.
func (f topologyFile) topology() (Topology, error) {
	var t Topology
	total := 0
	for i, dc := range f.DataCentres {
		if dc.Name == "" || dc.Region == "" || dc.Racks < 1 || dc.WorkersPerRack < 1 || dc.Hosts < 0 {
			return t, fmt.Errorf("data_centres[%d]: name and region are required, racks and workers_per_rack "+
				"must be at least 1 and hosts at least 0", i)
		}
		if dc.Racks > maxFileWorkers || dc.WorkersPerRack > maxFileWorkers {
			return t, fmt.Errorf("data_centres[%d]: racks and workers_per_rack must be at most %d", i, maxFileWorkers)
		}
		if total += dc.Racks * dc.WorkersPerRack; total > maxFileWorkers {
			return t, fmt.Errorf("data_centres[%d]: topology has more than %d workers", i, maxFileWorkers)
		}
		t.DataCentres = append(t.DataCentres, DataCentre{Name: dc.Name, Region: dc.Region, Racks: dc.racks()})
	}
	return t, nil
}

// racks returns the racks with their workers.
func (dc fileDataCentre) racks() []Rack {
	racks := make([]Rack, dc.Racks)
	for i := range racks {
		rack := Rack{Name: fmt.Sprintf("%s-r%d", dc.Name, i+1)}
		for n := range dc.WorkersPerRack {
			rack.Workers = append(rack.Workers, WorkerGroup{
				ID: fmt.Sprintf("%s-w%d", rack.Name, n+1), Count: 1, Capacity: dc.Capacity,
			})
		}
		racks[i] = rack
	}
	return racks
}
