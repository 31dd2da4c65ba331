package host

import (
	"encoding/json"
	"strings"
	"testing"

	"banyanrun.example/banyanrun/scheduler"
)

// TestLargestPeerMessagesAreAccepted guards against messages that the receiving host
// rejects as too large: a full batch of orders, and a group of the log that is written
// through another host, with payloads that need an escape sequence for each byte.
func TestLargestPeerMessagesAreAccepted(t *testing.T) {
	// maxPayloadBytes is the greatest length of a payload, maxGroupBytes that of a group.
	const maxPayloadBytes, maxGroupBytes = 4000, 1 << 20
	var orders []workerOrder
	for range maxBatchSize {
		orders = append(orders, workerOrder{Start: &scheduler.StartTask{
			Worker: "i-0123456789", Address: "10.0.0.1:10000", Task: scheduler.TaskID{Job: "0123456789abcdef", Occurrence: 10000, Step: 10000, Index: 10000},
			Run: 1 << 40, Payload: strings.Repeat("<", maxPayloadBytes), Deadline: 1 << 50, Token: 1 << 40,
			Checkpoint: "0123456789abcdef", Ticket: "0123456789abcdef", Via: "10.0.0.1:10000",
		}})
	}
	group := scheduler.Group{Records: []scheduler.Record{{Spec: &scheduler.JobSpec{Payload: strings.Repeat("<", maxGroupBytes)}}}}
	for name, message := range map[string]any{
		"a batch of orders":  orderBatch{"10.0.0.1:10000", newProcessID(), orders},
		"a group of the log": storeRequest{Write: &scheduler.WriteGroup{Group: group}},
	} {
		text, err := json.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		if len(text) > maxPeerBytes {
			t.Errorf("%s has %d bytes, want at most %d", name, len(text), maxPeerBytes)
		}
	}
}
