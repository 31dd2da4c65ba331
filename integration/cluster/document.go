package cluster

import (
	"encoding/json"
	"net/http"
	"strconv"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// Team is the team of the test document.
const Team = "blue"

// Kinds of the test document.
const (
	// KindBatch is idempotent, KindBilled is not.
	KindBatch  = "batch"
	KindBilled = "billed"
	KindGang   = "gang"
	// KindLookup and KindBilledLookup are interactive; only the first is
	// idempotent.
	KindLookup       = "lookup"
	KindBilledLookup = "billed-lookup"
)

// GangSize is the number of tasks of a KindGang job.
const GangSize = 3

// Document returns the test document with the given weight. Tests change the
// weight to create new revisions.
func Document(weight int) string {
	return `{
  "schema": 1, "team": "blue", "service": "integration", "weight": ` + strconv.Itoa(weight) + `,
  "quota": {"cpus": 64, "memory_mb": 131072, "slots": 64, "connections": 512},
  "kinds": [
    {"name": "batch", "urgency": "normal", "idempotent": true,
     "request": {"cpus": 1, "memory_mb": 512, "slots": 1}, "run_time": "300ms",
     "deadline": "10m", "max_attempts": 10, "queue_limit": 5000},
    {"name": "billed", "urgency": "normal", "idempotent": false,
     "request": {"cpus": 1, "memory_mb": 512, "slots": 1}, "run_time": "300ms",
     "deadline": "10m", "max_attempts": 1, "queue_limit": 5000},
    {"name": "gang", "urgency": "normal", "idempotent": true,
     "request": {"cpus": 1, "memory_mb": 512, "slots": 1}, "run_time": "300ms",
     "gang_size": 3, "restart_gang": true,
     "deadline": "10m", "max_attempts": 10, "queue_limit": 500},
    {"name": "replica", "urgency": "normal", "idempotent": true,
     "request": {"cpus": 0.5, "memory_mb": 256, "slots": 1}, "run_time": "1h",
     "deadline": "720h", "max_attempts": 10, "queue_limit": 10},
    {"name": "lookup", "urgency": "interactive", "idempotent": true,
     "request": {"cpus": 0.1, "memory_mb": 64, "slots": 1, "connections": 1}, "run_time": "40ms",
     "deadline": "20s", "max_attempts": 6, "queue_limit": 1000, "progress_timeout": "1s"},
    {"name": "billed-lookup", "urgency": "interactive", "idempotent": false,
     "request": {"cpus": 0.1, "memory_mb": 64, "slots": 1, "connections": 1}, "run_time": "40ms",
     "deadline": "20s", "max_attempts": 6, "queue_limit": 1000, "progress_timeout": "1s"}
  ],
  "services": [{"name": "standing", "kind": "replica", "replicas": 2, "payload": "{\"run_ms\":3600000}"}]
}`
}

// EditResult is the response to an operator's edit.
type EditResult struct {
	Status   int
	Version  wire.DocumentVersion
	Conflict wire.DocumentConflict
}

// PutDocument replaces the test document at a host if base is still its revision.
func (c *Cluster) PutDocument(h *Host, base core.Revision, weight int) (EditResult, error) {
	header := http.Header{}
	header.Set(wire.HeaderIfMatch, strconv.FormatInt(int64(base), 10))
	header.Set(wire.HeaderAuthor, "operator")
	r, err := send(http.MethodPut, "http://"+h.Address+wire.PathDocuments+"/"+Team, header, []byte(Document(weight)))
	if err != nil {
		return EditResult{}, err
	}
	e := EditResult{Status: r.status}
	switch r.status {
	case http.StatusOK:
		err = json.Unmarshal(r.body, &e.Version)
	case http.StatusConflict:
		err = json.Unmarshal(r.body, &e.Conflict)
	}
	return e, err
}

// DocumentRevision returns the revision of the test document that the host uses,
// or 0 if it cannot be read.
func (h *Host) DocumentRevision() core.Revision {
	var v wire.DocumentVersion
	if err := getJSON("http://"+h.Address+wire.PathDocuments+"/"+Team, &v); err != nil {
		return 0
	}
	return v.Revision
}

// ApplyDocument applies the test document and waits until every host uses it.
func (c *Cluster) ApplyDocument() {
	c.T.Helper()
	e, err := c.PutDocument(c.Hosts[0], 0, 1)
	if err != nil || e.Status != http.StatusOK {
		c.T.Fatalf("apply document: status %d, error %v", e.Status, err)
	}
	c.WaitUntil("every host uses the document", func() bool {
		for _, h := range c.Hosts {
			if h.DocumentRevision() < e.Version.Revision {
				return false
			}
		}
		return true
	})
}
