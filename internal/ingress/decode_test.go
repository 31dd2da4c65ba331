package ingress

import (
	"encoding/json"
	"runtime"
	"strings"
	"testing"
)

// Guards against charges below the memory that a body takes once it is decoded.
func TestDecodedBytesCoverMemory(t *testing.T) {
	// large has the size of the largest type that is decoded in great numbers, a step of
	// a job.
	type large struct {
		Words [27]int64
		Texts []string `json:"texts"`
		Ints  []int    `json:"ints"`
	}
	for _, c := range []struct{ name, item string }{
		{"empty objects", "{}"},
		{"lists of small integers", `{"ints":[1,2,3,4,5,6,7,8,9,1,2,3,4,5,6,7,8,9]}`},
		{"lists of empty strings", `{"texts":["","","","","","","","","",""]}`},
		{"unknown fields", `{"a":{"b":{"c":[{},{}]}}}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := []byte("[" + strings.Repeat(c.item+",", 1<<18/len(c.item)) + c.item + "]")
			var list []large
			before := heapBytes()
			if err := json.Unmarshal(text, &list); err != nil {
				t.Fatal(err)
			}
			// While a slice grows, the old one of 4/5 of its size is there as well.
			used := (heapBytes() - before) * 9 / 5
			runtime.KeepAlive(list)
			if charged := decodedBytes(text); used > charged {
				t.Errorf("%d values of %d bytes take %d bytes, charged %d", len(list), len(text), used, charged)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
