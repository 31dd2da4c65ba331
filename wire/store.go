package wire

import "banyanrun.example/banyanrun/core"

// The platform's store speaks JSON over HTTP:
//
//	GET    /v1/kv/<key>              Item, or 404
//	GET    /v1/kv?prefix=P           ItemList in key order
//	PUT    /v1/kv/<key>              PutRequest -> PutResponse, or 409 with the Item in force
//	DELETE /v1/kv/<key>              204, also when the key does not exist
//	POST   /v1/kv-delete             DeleteRequest -> 204; counts as one call
//	POST   /v1/leases                LeaseRequest -> LeaseResponse
//	PUT    /v1/leases/<id>           renews; LeaseResponse, or 404
//	DELETE /v1/leases/<id>           revokes the lease and deletes its keys
//	GET    /v1/watch?prefix=P&since=N&wait_ms=M
//	                                 ItemList of keys changed after N, at once or when one changes;
//	                                 an empty list after wait_ms
//	GET    /v1/hosts?since=V         HostList; lags; without content if its version is V
//
// 429 means that the rate limit was hit and the call took no effect; 503 means
// that the store is down and the call took no effect. Any other failure of a
// write leaves its effect unknown.
const (
	PathKV       = "/v1/kv"
	PathKVDelete = "/v1/kv-delete"
	PathLeases   = "/v1/leases"
	PathWatch    = "/v1/watch"
	PathHosts    = "/v1/hosts"
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Item is one key of the store. Revision is that of its latest change; revisions
// of the whole store only grow.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// ItemList is the answer to a list or a watch. Revision is the store's revision
// at the time of the answer.
type ItemList struct {
	Items    []Item `json:"items"`
	Revision int64  `json:"revision"`
}

// PutRequest writes a value if the key's revision is IfRevision. Zero requires
// that the key does not exist.
type PutRequest struct {
	Value      []byte `json:"value"`
	IfRevision int64  `json:"if_revision"`
	Lease      string `json:"lease,omitempty"`
}

// PutResponse carries the revision of the write.
type PutResponse struct {
	Revision int64 `json:"revision"`
}

// DeleteRequest deletes several keys.
type DeleteRequest struct {
	Keys []string `json:"keys"`
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TimeToLiveMS int64 `json:"time_to_live_ms"`
}

// LeaseResponse names a lease.
type LeaseResponse struct {
	ID           string `json:"id"`
	TimeToLiveMS int64  `json:"time_to_live_ms"`
}

// HostList is the platform's list of workers and entry hosts. Version changes
// with the list. An answer with Unchanged set leaves the list out: at 3,800
// workers the whole list has about 1 MB, which is too much to read each second.
type HostList struct {
	Version   int64          `json:"version"`
	Unchanged bool           `json:"unchanged,omitempty"`
	Workers   []ListedWorker `json:"workers,omitempty"`
	Hosts     []ListedHost   `json:"hosts,omitempty"`
}

// ListedWorker is one worker of the platform's list.
type ListedWorker struct {
	ID         string    `json:"id"`
	Address    string    `json:"address"`
	Rack       string    `json:"rack"`
	DataCentre string    `json:"data_centre"`
	Region     string    `json:"region"`
	Capacity   Resources `json:"capacity"`
	Leaving    bool      `json:"leaving"`
}

// ListedHost is one entry host of the platform's list.
type ListedHost struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Leaving    bool   `json:"leaving"`
}

// Core converts the list.
func (l *HostList) ToCore() ([]core.ListedWorker, []core.ListedHost) {
	var workers []core.ListedWorker
	for _, w := range l.Workers {
		workers = append(workers, core.ListedWorker{
			ID: core.WorkerID(w.ID), Address: w.Address, Rack: w.Rack,
			DataCentre: core.DataCentre(w.DataCentre), Region: core.Region(w.Region),
			Capacity: w.Capacity.ToCore(), Leaving: w.Leaving,
		})
	}
	var hosts []core.ListedHost
	for _, h := range l.Hosts {
		hosts = append(hosts, core.ListedHost{
			ID: core.HostID(h.ID), Address: h.Address, Leaving: h.Leaving,
			DataCentre: core.DataCentre(h.DataCentre), Region: core.Region(h.Region),
		})
	}
	return workers, hosts
}
