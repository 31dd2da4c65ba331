package capacity

import (
	"encoding/json"
	"fmt"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// MessageSize is the encoded size of a message body.
type MessageSize struct {
	Name  string
	Bytes int
}

// MessageSizes returns the encoded sizes of typical message bodies.
func MessageSizes() []MessageSize {
	job := core.JobID("job-0000001")
	ref := wire.TaskRef{Job: job, Attempt: 1}
	payload := make([]byte, payloadBytes)
	spec := core.JobSpec{ID: job, Team: "team-001", Kind: kindLong, Payload: payload, Origin: dataCentre, Submitted: 1}
	doc := teamDocument("team-001")
	heartbeat := core.Heartbeat{
		From: ownerHost, Address: "10.0.0.1:7600", Incarnation: 1 << 60, Owner: true, Epoch: 64,
		GrantVersion: 100, DocumentDigest: 1 << 60,
	}
	grants := heartbeat
	grants.GrantsWhole = true
	for i := range 50 {
		grants.Grants = append(grants.Grants, core.Grant{
			Team: "team-001", Kind: kindShort, Worker: core.WorkerID(fmt.Sprintf("worker-%04d", i)),
			Address: "10.0.0.1:21000", Slots: 4,
		})
	}
	return []MessageSize{
		{"sync_request", encodedSize(wire.SyncRequest{Epoch: 64, Owner: ownerHost, Since: 12345, LeaseMS: 30000, WaitMS: 10000})},
		{"sync_response_idle", encodedSize(wire.SyncResponse{Epoch: 64, Incarnation: 1, Sequence: 12345})},
		{"sync_response_one_task", encodedSize(wire.SyncResponse{Epoch: 64, Incarnation: 1, Sequence: 12345, Tasks: []wire.TaskReport{{TaskRef: ref, RunTimeMS: 1000}}})},
		{"start_request", encodedSize(wire.StartRequest{TaskRef: ref, Epoch: 64, Team: "team-001", Kind: kindLong, LeaseMS: 30000, Payload: payload})},
		{"heartbeat", encodedSize(wire.Heartbeat(heartbeat))},
		{"heartbeat_50_grants", encodedSize(wire.Heartbeat(grants))},
		{"summary", encodedSize(core.Summary{From: ownerHost, Address: "10.0.0.1:7600", DataCentre: dataCentre, Region: dataCentre, Epoch: 64})},
		{"journal_accepted", encodedSize(core.Record{Kind: core.RecordAccepted, Job: job, Spec: &spec})},
		{"journal_finished", encodedSize(core.Record{Kind: core.RecordFinished, Job: job, State: core.JobSucceeded, At: 1})},
		{"document_3_kinds", encodedSize(doc)},
	}
}

// encodedSize returns the length of the JSON encoding, or -1 if v cannot be encoded.
func encodedSize(v any) int {
	data, err := json.Marshal(v)
	if err != nil {
		return -1
	}
	return len(data)
}
