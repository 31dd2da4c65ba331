package standin_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/storeclient"
	"banyanrun.example/banyanrun/upstream"
	"banyanrun.example/banyanrun/wire"
)

// Guards against a restart that loses the audit log, keeps the worker's tasks,
// or does not open the port again.
func TestRestartKeepsOnlyTheAuditLog(t *testing.T) {
	s, err := standin.Start(standin.Config{Topology: standin.DefaultTopology()})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	w := s.Workers()[0]
	c := upstream.New(upstream.Config{DialTimeout: time.Minute, CallTimeout: time.Minute})
	defer c.Close()
	start := wire.StartRequest{
		TaskRef: wire.TaskRef{Job: "j", Attempt: 1}, Epoch: 1, LeaseMS: 60_000,
		LatestStartUnixMS: time.Now().Add(time.Minute).UnixMilli(), Payload: []byte(`{"run_ms":60000}`),
	}
	if _, err := c.Start(t.Context(), w.Address, start); err != nil {
		t.Fatal(err)
	}
	before, syncError := c.Sync(t.Context(), w.Address, wire.SyncRequest{Epoch: 1, LeaseMS: 60_000})
	if syncError != nil {
		t.Fatal(syncError)
	}
	for _, a := range []standin.Action{standin.ActionKill, standin.ActionRestart} {
		if err := s.ApplyWorkerAction(t.Context(), w.ID, standin.WorkerAction{Action: a}); err != nil {
			t.Fatal(err)
		}
	}
	fresh := upstream.New(upstream.Config{DialTimeout: time.Minute, CallTimeout: time.Minute})
	defer fresh.Close()
	after, syncError := fresh.Sync(t.Context(), w.Address, wire.SyncRequest{Epoch: 1, Since: before.Sequence})
	if syncError != nil || !after.Full || len(after.Tasks) != 0 || after.Incarnation <= before.Incarnation {
		t.Errorf("sync after the restart: %+v, %v", after, syncError)
	}
	ledger, err := s.Ledger(t.Context())
	if err != nil || ledger.Summary.Starts != 1 || ledger.Summary.Ends[worker.OutcomeLost] != 1 {
		t.Errorf("summary %+v, %v", ledger.Summary, err)
	}
}

// Guards against an administration API that accepts a misspelt fault switch or
// does not change the host list.
func TestAdministrationOverHTTP(t *testing.T) {
	s, err := standin.Start(standin.Config{Topology: standin.DefaultTopology()})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	id := s.Workers()[0].ID
	for _, c := range []struct {
		path, body string
		status     int
	}{
		{standin.PathAdminStore, `{"stale_ms":5}`, 200},
		{standin.PathAdminStore, `{"stale":5}`, 400},
		{standin.PathAdminStore, `{"outage":"total"}`, 400},
		{standin.PathAdminHosts, `{"id":"h1","address":"127.0.0.1:1","data_centre":"dc-a"}`, 200},
		{standin.PathAdminHosts, `{"id":"h2"}`, 400},
		{standin.PathAdminHosts + "/h1", `{"action":"leave"}`, 200},
		{standin.PathAdminWorkers + "/" + id, `{"action":"leave"}`, 200},
		{standin.PathAdminWorkers + "/" + id, `{"action":"explode"}`, 400},
		{standin.PathAdminWorkers + "/none", `{"action":"kill"}`, 400},
	} {
		answer, err := http.Post("http://"+s.StoreAddress()+c.path, "application/json", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if answer.StatusCode != c.status {
			t.Errorf("%s %s: status %d, want %d", c.path, c.body, answer.StatusCode, c.status)
		}
	}
	client := storeclient.New(storeclient.Config{Address: s.StoreAddress(), CallTimeout: time.Minute})
	defer client.Close()
	list := client.Hosts(t.Context())
	if len(list.Hosts) != 1 || !list.Hosts[0].Leaving || !list.Workers[0].Leaving || list.Workers[1].Leaving {
		t.Errorf("host list %+v", list)
	}
}

// Guards against an invalid topology that is noticed only when a worker is
// missing. The topology file format is tested with ParseTopology.
func TestTopologyIsChecked(t *testing.T) {
	slots := wire.Resources{Slots: 1}
	for _, c := range []struct {
		name  string
		group standin.WorkerGroup
		ok    bool
	}{
		{"a valid group", standin.WorkerGroup{ID: "w", Count: 2, Capacity: slots}, true},
		{"a group without capacity", standin.WorkerGroup{ID: "w"}, false},
		{"a negative capacity", standin.WorkerGroup{ID: "w", Capacity: wire.Resources{Slots: 1, MemoryMB: -1}}, false},
		{"a worker without id", standin.WorkerGroup{Capacity: slots}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, err := standin.Start(standin.Config{Topology: standin.Topology{DataCentres: []standin.DataCentre{{
				Name: "d", Region: "r", Racks: []standin.Rack{{Name: "k", Workers: []standin.WorkerGroup{c.group}}},
			}}}})
			if err == nil {
				s.Close()
			}
			if (err == nil) != c.ok {
				t.Errorf("error %v", err)
			}
		})
	}
}
