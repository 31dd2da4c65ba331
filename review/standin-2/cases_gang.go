package main

import (
	"fmt"
	"time"
)

const gangJob = "ddddddddddddddd1"

// jobsBehindGang hands in small jobs behind a gang that does not fit beside a lasting job,
// while less than half of the processors are in use. Without trouble there is no gang.
func jobsBehindGang(p *platform, trouble bool) ([]string, error) {
	const jobs = 3
	if err := p.startAll(3, sameKinds(5, 8000)); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	if err := p.fill(16); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	if trouble {
		gang := step{Count: 30, CPU: 1000, MemoryMB: 256, EstimateMS: 60000, Gang: true}
		if err := p.submit(batchQueue, gangJob, gang, behaviour{MilliCPU: 1000, WorkMS: 30000}); err != nil {
			return nil, err
		}
		time.Sleep(time.Second)
	}
	var tasks []string
	for i := range jobs {
		id := fmt.Sprintf("eeeeeeeeeeeeee%02x", i)
		small := step{Count: 1, CPU: 1000, MemoryMB: 256, EstimateMS: 120000}
		if err := p.submit(batchQueue, id, small, behaviour{MilliCPU: 1000, WorkMS: 5000}); err != nil {
			return nil, err
		}
		tasks = append(tasks, id+".0.0.0")
	}
	time.Sleep(finishTime)
	violations := p.watchIdle(tasks, time.Now().Add(10*time.Second))
	for i := range jobs {
		p.call(p.hosts[0], "GET", fmt.Sprintf("%seeeeeeeeeeeeee%02x", batchQueue, i), "")
	}
	return violations, nil
}

// watchIdle samples the workers until a time and returns the tasks that have not begun, for
// idleBound in a row with room for two of them and less than half of the processors in use.
func (p *platform) watchIdle(tasks []string, until time.Time) []string {
	var violations []string
	idleSince, broken := map[string]time.Time{}, map[string]bool{}
	for ; time.Now().Before(until); time.Sleep(sampleInterval) {
		_, free := p.snapshot()
		idle := roomFor(free, 1000) >= 2 && 2*p.usedCPU() < p.capacityCPU()
		for _, name := range tasks {
			if !idle || len(p.startsOf(jobOf(name))) > 0 {
				delete(idleSince, name)
				continue
			}
			if idleSince[name].IsZero() {
				idleSince[name] = time.Now()
			}
			if !broken[name] && time.Since(idleSince[name]) >= idleBound {
				broken[name] = true
				violations = append(violations, fmt.Sprintf("task %s has not begun: for %.1f s with room for %d of it, %d of %d thousandths of a core in use",
					name, idleBound.Seconds(), roomFor(free, 1000), p.usedCPU(), p.capacityCPU()))
			}
		}
	}
	return violations
}

// usedCPU returns what is in use on all workers.
func (p *platform) usedCPU() int64 {
	used := int64(0)
	for _, w := range p.workers {
		w.mu.Lock()
		used += w.usedCPU()
		w.mu.Unlock()
	}
	return used
}

// capacityCPU returns the capacity of all workers.
func (p *platform) capacityCPU() int64 {
	capacity := int64(0)
	for _, w := range p.workers {
		w.mu.Lock()
		capacity += w.kind.milliCPU
		w.mu.Unlock()
	}
	return capacity
}
