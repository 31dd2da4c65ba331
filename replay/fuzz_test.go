package replay_test

import (
	"bytes"
	"testing"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/replay"
	"banyanrun.example/banyanrun/wire"
)

// shortRecording returns the recording of a host with default settings that
// receives three ticks. It replays without a difference.
func shortRecording(f *testing.F) []byte {
	f.Helper()
	out := []byte(`{"version":1,"config":{"Host":"h","DataCentre":"a","Region":"r","Incarnation":1,"Seed":1}}` + "\n")
	r := core.New(core.Config{Host: "h", DataCentre: "a", Region: "r", Incarnation: 1, Seed: 1})
	for i := range 3 {
		event := core.Event{At: core.Time(i+1) * core.Time(core.TickPeriod), Body: core.Tick{}}
		line, err := wire.EncodeStep(event, r.Step(event))
		if err != nil {
			f.Fatal(err)
		}
		out = append(append(out, line...), '\n')
	}
	return out
}

// Guards against a damaged recording that crashes the tool or replays as if it
// were complete.
func FuzzRun(f *testing.F) {
	valid := shortRecording(f)
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte(`{"version":2}`))
	header, _, _ := bytes.Cut(valid, []byte("\n"))
	for _, body := range []string{
		`"Submitted","body":{"Request":1,"Spec":{"ID":"j","Team":"t","Kind":"k"}}`,
		`"StoreAnswered","body":{"Op":{"Purpose":9,"Number":1,"Key":"k"},"Outcome":0}`,
		`"PeerHeard","body":{"Heartbeat":{"From":"p","Owner":true,"Epoch":1,"Grants":[{"Worker":"w","Slots":1}]}}`,
		`"WorkerSynced","body":{"Worker":"w","Epoch":1,"Tasks":[{"Task":{"Job":"j","Index":-1}}]}`,
		`"HostsListed","body":{"Workers":[{"ID":"w","DataCentre":"a","Capacity":{"MilliCPU":-1}}]}`,
	} {
		f.Add(append(append([]byte(nil), header...), "\n"+`{"at":1,"event":{"type":`+body+`},"effects":[]}`+"\n"...))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		result, err := replay.Run(bytes.NewReader(data), replay.Options{})
		if err == nil && result == nil {
			t.Fatal("replay gave neither a result nor an error")
		}
		if result != nil && result.Steps > bytes.Count(data, []byte("\n"))+1 {
			t.Fatalf("%d steps were replayed, more than the recording has lines", result.Steps)
		}
	})
}
