package cluster

import (
	"net/http"
	"net/url"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// GetJSON reads a view of a host and decodes it into out. It fails the test if
// the host does not answer.
func (c *Cluster) GetJSON(h *Host, path string, out any) {
	c.T.Helper()
	if err := getJSON("http://"+h.Address+path, out); err != nil {
		c.T.Fatalf("read %s of %s: %v", path, h.ID, err)
	}
}

// JobState returns the state of a job at a host, or accepting if the host does not
// know the job or does not answer.
func (c *Cluster) JobState(h *Host, id string) core.JobState {
	var s wire.JobStatus
	if err := getJSON("http://"+h.Address+wire.PathJobs+"/"+id, &s); err != nil {
		return core.JobAccepting
	}
	return s.State
}

// HasJournalRecord reports whether the data centre's journal in the store
// contains a matching record.
func (c *Cluster) HasJournalRecord(dc string, match func(core.Record) bool) bool {
	c.T.Helper()
	query := url.Values{"prefix": {"cells/" + dc + "/journal/"}}.Encode()
	var list wire.ItemList
	status, body, err := getView("http://" + c.Standin.StoreAddress() + wire.PathKV + "?" + query)
	if err != nil || status != http.StatusOK {
		return false
	}
	if err := decodeJSON(body, &list); err != nil {
		c.T.Fatalf("decode journal of %s: %v", dc, err)
	}
	for _, item := range list.Items {
		value, err := wire.DecodeValue(item.Value)
		if err != nil {
			c.T.Fatalf("decode journal group %s: %v", item.Key, err)
		}
		group, ok := value.(core.JournalGroup)
		if !ok {
			continue
		}
		for _, r := range group.Records {
			if match(r) {
				return true
			}
		}
	}
	return false
}

// WaitRequest makes one request that waits for the outcome of a job, and returns
// the status and body of the response.
func (c *Cluster) WaitRequest(h *Host, id string) (int, []byte, error) {
	r, err := send(http.MethodGet, "http://"+h.Address+wire.PathJobs+"/"+id+"/"+wire.SegmentWait, nil, nil)
	if err != nil {
		return 0, nil, err
	}
	return r.status, r.body, nil
}

// WorkerState returns the state of a worker in a host's view, or an empty string
// if the host does not know the worker or does not answer.
func (c *Cluster) WorkerState(h *Host, id string) string {
	var view wire.WorkersView
	if err := getJSON("http://"+h.Address+wire.PathWorkers, &view); err != nil {
		return ""
	}
	for _, w := range view.Workers {
		if string(w.ID) == id {
			return w.State.String()
		}
	}
	return ""
}
