package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// restartExcuse and idleBound are the times of the rule on tasks that last: from
	// restartExcuse after its last run, a task may have nothing running for less than
	// idleBound while there is capacity for it twice over.
	restartExcuse = 6 * time.Second
	idleBound     = 3 * time.Second
	// sampleInterval is the interval at which the rule is checked.
	sampleInterval = 50 * time.Millisecond
	// calmTime is how long the hosts and the store run before a case begins, so that
	// their start is no excuse.
	calmTime = 5 * time.Second
)

// watchedTask is a task that lasts and that the check follows.
type watchedTask struct {
	name string
	need int64
	// idleSince is when it last stopped running or, if it has not run, its job was
	// accepted. It is zero while the task runs.
	idleSince time.Time
	// roomSince is since when there has been capacity for it twice over.
	roomSince time.Time
	broken    bool
	longest   time.Duration
}

// watch samples the workers until a time and returns the violations.
func (p *platform) watch(tasks []*watchedTask, until time.Time) []string {
	var violations []string
	for ; time.Now().Before(until); time.Sleep(sampleInterval) {
		running, free := p.snapshot()
		for _, t := range tasks {
			if running[t.name] {
				t.idleSince, t.broken = time.Time{}, false
				continue
			}
			now := time.Now()
			if t.idleSince.IsZero() {
				t.idleSince = now
			}
			if roomFor(free, t.need) < 2 {
				t.roomSince = time.Time{}
				continue
			}
			if t.roomSince.IsZero() {
				t.roomSince = now
			}
			t.longest = max(t.longest, now.Sub(t.idleSince))
			counts := t.idleSince.Add(restartExcuse)
			if t.roomSince.After(counts) {
				counts = t.roomSince
			}
			if !t.broken && now.Sub(counts) >= idleBound {
				t.broken = true
				violations = append(violations, fmt.Sprintf("task %s has had no run for %.1f s, for the last %.1f s of them with room for %d of it",
					t.name, now.Sub(t.idleSince).Seconds(), now.Sub(t.roomSince).Seconds(), roomFor(free, t.need)))
				p.rec.printf("%s", violations[len(violations)-1])
			}
		}
	}
	for _, t := range tasks {
		p.rec.printf("task %s: longest time without a run %.1f s", t.name, t.longest.Seconds())
	}
	return violations
}

// snapshot returns the running tasks and the free capacity of each worker.
func (p *platform) snapshot() (running map[string]bool, free []int64) {
	running = map[string]bool{}
	for _, w := range p.workers {
		w.mu.Lock()
		if w.alive {
			free = append(free, w.kind.milliCPU-w.usedCPU())
			for name := range w.runs {
				running[name] = true
			}
		}
		w.mu.Unlock()
	}
	return running, free
}

// roomFor returns how many tasks of a size fit.
func roomFor(free []int64, need int64) int64 {
	n := int64(0)
	for _, f := range free {
		n += max(0, f) / need
	}
	return n
}

// sameKinds returns n equal kinds of workers.
func sameKinds(n int, milliCPU int64) []kind {
	return slices.Repeat([]kind{{[]string{"std", "r1"}, milliCPU, 65536}}, n)
}

const (
	failingJob = "aaaaaaaaaaaaaaa1"
	soundJob   = "bbbbbbbbbbbbbbb1"
	fillingJob = "ccccccccccccccc1"
)

// lastingFailures runs a job of lasting tasks that fail soon after each start, beside a
// sound lasting task that fails once. All workers are sound.
func lastingFailures(p *platform, trouble bool) ([]string, error) {
	const workers, failuresBefore = 4, 6
	if err := p.startAll(3, sameKinds(workers, 8000)); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	one := step{Count: 1, CPU: 1000, MemoryMB: 256, LongRunning: true}
	if err := p.submit(urgentQueue, soundJob, one, behaviour{MilliCPU: 1000}); err != nil {
		return nil, err
	}
	if err := p.waitForStarts(soundJob, 1, 5*time.Second); err != nil {
		return nil, err
	}
	does := behaviour{MilliCPU: 1000}
	if trouble {
		does.FailMS = 1500
	}
	each := step{Count: workers, CPU: 1000, MemoryMB: 256, LongRunning: true, AntiAffinity: 1}
	if err := p.submit(batchQueue, failingJob, each, does); err != nil {
		return nil, err
	}
	began := time.Now()
	// The sound task fails after the others have failed a few times, or at that time
	// in the run without trouble.
	go func() {
		for time.Since(began) < 20*time.Second && (!trouble || p.failures(failingJob) < workers*failuresBefore) {
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		p.failOnce(soundJob)
	}()
	tasks := []*watchedTask{{name: soundJob + ".0.0.0", need: 1000, idleSince: began}}
	for i := range workers {
		tasks = append(tasks, &watchedTask{name: fmt.Sprintf("%s.0.0.%d", failingJob, i), need: 1000, idleSince: began})
	}
	return p.watch(tasks, began.Add(38*time.Second)), nil
}

// failures returns the number of failed runs of a job's tasks.
func (p *platform) failures(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, e := range p.ends {
		if jobOf(e.task) == job && e.how == "failed" {
			n++
		}
	}
	return n
}

// failOnce fails the current runs of a job.
func (p *platform) failOnce(job string) {
	for _, w := range p.workers {
		w.mu.Lock()
		for _, r := range w.runs {
			if jobOf(r.task) == job {
				r.failNow = true
			}
		}
		w.mu.Unlock()
	}
}

// lastingHeadroom hands in a lasting job of one task while other jobs use 85 % of the
// processors, or half of them without trouble.
func lastingHeadroom(p *platform, trouble bool) ([]string, error) {
	if err := p.startAll(3, sameKinds(10, 8000)); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	filling := 40
	if trouble {
		filling = 68
	}
	if err := p.fill(filling); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	last := step{Count: 1, CPU: 1000, MemoryMB: 256, EstimateMS: 600000, LongRunning: true}
	if err := p.submit(urgentQueue, soundJob, last, behaviour{MilliCPU: 1000}); err != nil {
		return nil, err
	}
	accepted := time.Now()
	tasks := []*watchedTask{{name: soundJob + ".0.0.0", need: 1000, idleSince: accepted}}
	return p.watch(tasks, accepted.Add(32*time.Second)), nil
}

// fill runs a lasting job of n tasks of one core each.
func (p *platform) fill(n int) error {
	s := step{Count: n, CPU: 1000, MemoryMB: 256, LongRunning: true}
	if err := p.submit(urgentQueue, fillingJob, s, behaviour{MilliCPU: 1000}); err != nil {
		return err
	}
	return p.waitForStarts(fillingJob, n, 10*time.Second)
}
