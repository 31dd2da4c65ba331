package capacity

import (
	"fmt"
	"runtime"
	"sort"
	"time"

	"banyanrun.example/banyanrun/core"
)

// EventCost is the wall-clock time of the reducer steps of one event type.
type EventCost struct {
	Event string
	Count int
	Mean  time.Duration
	P99   time.Duration
}

// Sample holds the measurements of one scenario.
type Sample struct {
	Size      Size
	HeapBytes int64
	Costs     []EventCost
	// StoreWrites is the number of store calls that write.
	StoreWrites int64
	Jobs        int
}

// Measure runs a scenario and replays its events into a new reducer.
func Measure(s Size, seed uint64) (*Sample, error) {
	r, err := runScenario(s, seed)
	if err != nil {
		return nil, err
	}
	out := &Sample{Size: s, Jobs: r.jobs}
	for p, n := range r.counts.Store {
		if writePurposes[p] {
			out.StoreWrites += n
		}
	}
	out.HeapBytes, out.Costs, err = r.replay()
	return out, err
}

// writePurposes lists the purposes of store operations that write.
var writePurposes = map[core.Purpose]bool{
	core.PurposeLeaseGrant: true, core.PurposeLeaseKey: true, core.PurposeOwnerSwap: true,
	core.PurposeOwnerUpdate: true, core.PurposeLeaseRenew: true, core.PurposeLeaseRevoke: true,
	core.PurposeJournalWrite: true, core.PurposeJournalOpen: true, core.PurposeJournalDelete: true,
	core.PurposeDocumentWrite: true,
}

// heapInUse returns the heap size after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// replay passes the recorded events to a new reducer. It returns the heap that the
// reducer holds afterwards and the costs of its steps.
func (r *recording) replay() (int64, []EventCost, error) {
	before := heapInUse()
	reducer := core.New(r.config)
	times := map[string][]time.Duration{}
	for i := range r.steps {
		e, err := r.steps[i].step.DecodeEvent()
		if err != nil {
			return 0, nil, fmt.Errorf("step %d: %w", i, err)
		}
		start := time.Now()
		reducer.Step(e)
		times[r.steps[i].eventType] = append(times[r.steps[i].eventType], time.Since(start))
	}
	heapBytes := heapInUse() - before
	runtime.KeepAlive(reducer)
	runtime.KeepAlive(r)
	for _, t := range times {
		heapBytes -= int64(cap(t)) * 8
	}
	return heapBytes, eventCosts(times), nil
}

// eventCosts summarizes step times by event type.
func eventCosts(times map[string][]time.Duration) []EventCost {
	var out []EventCost
	for eventType, t := range times {
		sort.Slice(t, func(a, b int) bool { return t[a] < t[b] })
		sum := time.Duration(0)
		for _, d := range t {
			sum += d
		}
		out = append(out, EventCost{
			Event: eventType, Count: len(t), Mean: sum / time.Duration(len(t)), P99: t[len(t)*99/100],
		})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Event < out[b].Event })
	return out
}

// FitLine fits a line through points by least squares.
func FitLine(x, y []float64) (slope, intercept float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy = sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}
