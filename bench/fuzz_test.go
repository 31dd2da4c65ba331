package bench

import (
	"bytes"
	"testing"
)

// Guards against a malformed trace file that panics instead of returning an error,
// and against a trace that changes when it is encoded and decoded again.
func FuzzDecodeTrace(f *testing.F) {
	f.Add([]byte(`{"Name":"t","Seed":1,"HorizonMS":1000,"Workers":[{"Rack":"r","Count":1,"Capacity":{"Slots":1}}],
"Documents":[{"Team":"a","Kinds":[{"Name":"k"}]}],"Jobs":[{"ID":"j","AtMS":1,"Team":"a","Kind":"k","RunMS":5,"Outcomes":["succeeded"]}],
"Faults":[{"AtMS":1,"Worker":"r-1","Kind":"silent","UntilMS":2}]}`))
	f.Add([]byte(`{"Jobs":[{"Team":"a","Kind":"none"}]}`))
	f.Add([]byte(`{"Jobs":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		trace, err := decodeTrace(data)
		if err != nil {
			return
		}
		first, err := trace.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := decodeTrace(first)
		if err != nil {
			t.Fatalf("cannot decode the encoded trace: %v\n%s", err, first)
		}
		if second, err := again.Encode(); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("second encoding gave %s, %v; want %s", second, err, first)
		}
	})
}
