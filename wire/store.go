package wire

import "banyanrun.example/banyanrun/core"

// Paths of the platform's store API, which is JSON over HTTP:
//
//	GET    /v1/kv/<key>              Item, or 404
//	GET    /v1/kv?prefix=P           ItemList in key order
//	PUT    /v1/kv/<key>              PutRequest -> PutResponse, or 409 with the current Item
//	DELETE /v1/kv/<key>              204, also when the key does not exist
//	POST   /v1/kv-delete             DeleteRequest -> 204; counts as one call for the rate limit
//	POST   /v1/leases                LeaseRequest -> LeaseResponse
//	PUT    /v1/leases/<id>           renews; LeaseResponse, or 404
//	DELETE /v1/leases/<id>           revokes the lease and deletes its keys
//	GET    /v1/watch?prefix=P&since=N&wait_ms=M
//	                                 long poll: ItemList of the keys changed after revision N,
//	                                 as soon as there is one; empty after wait_ms
//	GET    /v1/hosts?since=V         HostList, which may be stale; without hosts and workers
//	                                 if the list still has version V
//
// Status 429 means that the rate limit was exceeded, and 503 that the store is
// unavailable; in both cases the call had no effect. After any other failure of
// a write it is unknown whether the write took effect.
const (
	PathKV       = "/v1/kv"
	PathKVDelete = "/v1/kv-delete"
	PathLeases   = "/v1/leases"
	PathWatch    = "/v1/watch"
	PathHosts    = "/v1/hosts"
)

// MaxValueBytes is the largest value that the store accepts.
const MaxValueBytes = 1 << 20

// Item is one key of the store. Revision is the store revision of the key's
// latest change; store revisions only increase.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

// ItemList is the response to a list or a watch. Revision is the store revision
// at the time of the response.
type ItemList struct {
	Items    []Item `json:"items"`
	Revision int64  `json:"revision"`
}

// PutRequest writes a value if the key's revision equals IfRevision. An
// IfRevision of zero requires that the key does not exist.
type PutRequest struct {
	Value      []byte `json:"value"`
	IfRevision int64  `json:"if_revision"`
	Lease      string `json:"lease,omitempty"`
}

// PutResponse holds the revision of the write.
type PutResponse struct {
	Revision int64 `json:"revision"`
}

// DeleteRequest deletes the given keys.
type DeleteRequest struct {
	Keys []string `json:"keys"`
}

// LeaseRequest creates a lease.
type LeaseRequest struct {
	TimeToLiveMS int64 `json:"time_to_live_ms"`
}

// LeaseResponse is the response to the creation or renewal of a lease.
type LeaseResponse struct {
	ID           string `json:"id"`
	TimeToLiveMS int64  `json:"time_to_live_ms"`
}

// HostList is the platform's list of workers and entry hosts. Version changes
// whenever the list does. A response with Unchanged set omits the list: with
// 3,800 workers it is about 1 MB, too much to transfer every second.
type HostList struct {
	Version   int64          `json:"version"`
	Unchanged bool           `json:"unchanged,omitempty"`
	Workers   []ListedWorker `json:"workers,omitempty"`
	Hosts     []ListedHost   `json:"hosts,omitempty"`
}

// ListedWorker is one worker in a HostList.
type ListedWorker struct {
	ID         string    `json:"id"`
	Address    string    `json:"address"`
	Rack       string    `json:"rack"`
	DataCentre string    `json:"data_centre"`
	Region     string    `json:"region"`
	Capacity   Resources `json:"capacity"`
	Leaving    bool      `json:"leaving"`
}

// ListedHost is one entry host in a HostList.
type ListedHost struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Leaving    bool   `json:"leaving"`
}

// ToCore converts l to the types of package core.
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
