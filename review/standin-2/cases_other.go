package main

import (
	"fmt"
	"slices"
	"time"
)

// workerOtherKind restarts a worker several times under its id and address. With
// trouble, each second life is of another kind: smaller and with another label.
// It has no folder of its own.
func workerOtherKind(p *platform, trouble bool) ([]string, error) {
	big, small := kind{[]string{"big", "r1"}, 16000, 65536}, kind{[]string{"small", "r1"}, 4000, 65536}
	if err := p.startAll(3, append([]kind{big}, slices.Repeat([]kind{small}, 7)...)); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	s := step{Count: 400, CPU: 4000, MemoryMB: 256, Constraints: "big"}
	if err := p.submit(batchQueue, soundJob, s, behaviour{MilliCPU: 4000, Label: "big", WorkMS: 1000}); err != nil {
		return nil, err
	}
	if err := p.waitForStarts(soundJob, 4, 5*time.Second); err != nil {
		return nil, err
	}
	began := time.Now()
	for i := range 6 {
		time.Sleep(calmTime)
		next := big
		if trouble && i%2 == 0 {
			next = small
		}
		p.workers[0].crash()
		time.Sleep(500 * time.Millisecond)
		if err := p.workers[0].begin(next); err != nil {
			return nil, err
		}
	}
	time.Sleep(calmTime)
	var violations []string
	for _, s := range p.allStarts(began) {
		// A start that was sent before the scheduler heard from this life is excused.
		if s.known < 0 {
			continue
		}
		if label := s.run.does.Label; label != "" && !slices.Contains(s.kind.labels, label) {
			violations = append(violations, fmt.Sprintf("ROUTE: %s, needs label %q, %d ms after the first hold", s.describe(), label, s.known.Milliseconds()))
		}
		if s.usedCPU > s.kind.milliCPU {
			violations = append(violations, fmt.Sprintf("LIMIT: %s, %d ms after the first hold", s.describe(), s.known.Milliseconds()))
		}
	}
	return violations, nil
}

const (
	// refusalTime is how long a worker rejects starts.
	refusalTime = 6500 * time.Millisecond
	// pendingDelay is visible_ms and 2 s: an accepted job counts after this time.
	pendingDelay = 5 * time.Second
)

// pendingRefused fills all workers but one, which rejects starts for a while, hands in
// jobs and asks the hosts how many have not begun.
func pendingRefused(p *platform, trouble bool) ([]string, error) {
	const workers, jobs = 12, 8
	if err := p.startAll(3, sameKinds(workers, 4000)); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	if err := p.fill(4 * (workers - 1)); err != nil {
		return nil, err
	}
	for _, w := range p.workers {
		w.mu.Lock()
		w.refusing = trouble && len(w.runs) == 0
		w.mu.Unlock()
	}
	began := time.Now()
	accepted := map[string]time.Time{}
	for i := range jobs {
		id := fmt.Sprintf("eeeeeeeeeeeeee%02x", i)
		if err := p.submit(urgentQueue, id, step{Count: 1, CPU: 500, MemoryMB: 256}, behaviour{MilliCPU: 500, WorkMS: 2000}); err != nil {
			return nil, err
		}
		accepted[id] = time.Now()
	}
	var violations []string
	for time.Since(began) < refusalTime {
		time.Sleep(200 * time.Millisecond)
		for _, h := range p.hosts {
			asked := time.Now()
			n, ok := p.pending(h, urgentQueue)
			waiting := 0
			for id, at := range accepted {
				if asked.Sub(at) > pendingDelay && len(p.startsOf(id)) == 0 {
					waiting++
				}
			}
			if ok && 2*n < waiting {
				violations = append(violations, fmt.Sprintf("%s gives %d pending jobs; %d jobs were accepted more than %s before and have not begun",
					h.name, n, waiting, pendingDelay))
			}
		}
	}
	for _, w := range p.workers {
		w.mu.Lock()
		w.refusing = false
		w.mu.Unlock()
	}
	for id := range accepted {
		if err := p.waitForStarts(id, 1, 10*time.Second); err != nil {
			return nil, err
		}
	}
	return violations, nil
}
