package bench

import (
	"bytes"
	"testing"
)

// Guards against a trace file that stops the program instead of being refused,
// and against a trace that is not the same after it was written again.
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
			t.Fatalf("trace that was written again cannot be read: %v\n%s", err, first)
		}
		if second, err := again.Encode(); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("second round gave %s, %v; want %s", second, err, first)
		}
	})
}
