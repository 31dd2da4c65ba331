package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryLimitMB is memory_mb of the settings: the platform kills a process that
	// exceeds it.
	memoryLimitMB = 284
	// memoryCheckInterval is the interval at which the platform looks at the memory.
	memoryCheckInterval = 250 * time.Millisecond
	// restartDelay is the delay after which the platform restarts a process.
	restartDelay = 500 * time.Millisecond
	// finishTime is finish_s: the time after the traffic at which jobs are asked for.
	finishTime = 14 * time.Second
	// callerCount is the number of callers that hand in jobs, handInTime the time after
	// which they hand in no further ones.
	callerCount = 4
	handInTime  = 20 * time.Second
	// askTime bounds the time in which jobs are asked for.
	askTime = 12 * time.Second
	// maxOwnEnds is the number of ends of one machine's process from which they count.
	maxOwnEnds = 3
)

// residentMB returns the resident memory of a process.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb / 1024
		}
	}
	return 0
}

// guardMemory kills and restarts the hosts that exceed their memory, as the platform
// does, until done is closed. It returns the number of ends of each host.
func (p *platform) guardMemory(done chan struct{}) ([]int, error) {
	ends := make([]int, len(p.hosts))
	peaks := make([]int, len(p.hosts))
	for {
		select {
		case <-done:
			p.rec.printf("highest memory of the hosts in MB: %v, ends: %v", peaks, ends)
			return ends, nil
		case <-time.After(memoryCheckInterval):
		}
		for i, h := range p.hosts {
			used := residentMB(h.cmd.Process.Pid)
			peaks[i] = max(peaks[i], used)
			if used <= memoryLimitMB {
				continue
			}
			ends[i]++
			p.rec.printf("%s uses %d MB of %d and is killed", h.name, used, memoryLimitMB)
			h.kill()
			time.Sleep(restartDelay)
			if err := p.start(h); err != nil {
				return ends, err
			}
		}
	}
}

// repeatedJobs hands in jobs of one small task that are repeated each minute: 20,000
// times, or 20 times without trouble. Nothing else is disturbed.
func repeatedJobs(p *platform, trouble bool) ([]string, error) {
	const jobs = 45
	if err := p.startAll(3, sameKinds(4, 8000)); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	count := 20
	if trouble {
		count = 20000
	}
	done, guarded := make(chan struct{}), make(chan []int, 1)
	go func() {
		ends, err := p.guardMemory(done)
		if err != nil {
			p.rec.printf("restart: %v", err)
		}
		guarded <- ends
	}()
	if err := p.submit(batchQueue, soundJob, step{Count: 1, CPU: 500, MemoryMB: 256}, behaviour{MilliCPU: 500, WorkMS: 2000}); err != nil {
		return nil, err
	}
	accepted := append([]string{soundJob}, p.submitAll(jobs, schedule{count, time.Now().Add(time.Hour), time.Minute})...)
	p.rec.printf("%d jobs were accepted", len(accepted))
	time.Sleep(finishTime)
	violations := p.askFor(accepted)
	close(done)
	ends := <-guarded
	machines := 0
	for _, n := range ends {
		if n >= maxOwnEnds {
			machines++
		}
	}
	if machines >= 2 {
		violations = append(violations, fmt.Sprintf("FAULT: the processes of %d machines have exceeded their memory three times or more: %v", machines, ends))
	}
	return violations, nil
}

// submitAll lets some callers hand in n repeated jobs one after the other, for handInTime at
// most, and returns the jobs that were accepted.
func (p *platform) submitAll(n int, when schedule) []string {
	var callers sync.WaitGroup
	var mu sync.Mutex
	var accepted []string
	var next atomic.Int64
	began := time.Now()
	for range callerCount {
		callers.Go(func() {
			for time.Since(began) < handInTime {
				i := next.Add(1)
				if i > int64(n) {
					return
				}
				id := fmt.Sprintf("ffffffffffffff%02x", i)
				err := p.submitRepeated(batchQueue, id, step{Count: 1, CPU: 500, MemoryMB: 256}, behaviour{MilliCPU: 500, WorkMS: 1000}, when)
				if err != nil {
					p.rec.printf("%v", err)
					continue
				}
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return accepted
}

// askFor asks all hosts for the state of jobs and returns the jobs for which none has an
// answer.
func (p *platform) askFor(jobs []string) []string {
	var violations []string
	began := time.Now()
	for _, id := range jobs {
		if time.Since(began) > askTime {
			break
		}
		known := false
		for _, h := range p.hosts {
			status, _, err := p.call(h, http.MethodGet, batchQueue+id, "")
			known = known || err == nil && status == http.StatusOK
		}
		if !known {
			violations = append(violations, fmt.Sprintf("LOST: no host gives the state of the accepted job %s in time", id))
		}
		if len(violations) == 3 {
			break
		}
	}
	return violations
}
