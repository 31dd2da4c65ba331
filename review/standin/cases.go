package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]setup{
	"reclaim": {hosts: 2, workers: 6, play: playReclaim},
	"steps":   {hosts: 6, workers: 12, play: playSteps},
	"gangs":   {hosts: 6, workers: 48, play: playGangs, advised: true},
	"specs":   {hosts: 6, workers: 24, play: playSpecs},
	"kinds":   {hosts: 6, workers: 24, play: playKinds},
}

// smallJob returns an ordinary job: a few short tasks.
func (d *deployment) smallJob() *job {
	return d.clients.newJob("preview", step{Count: 2, CPU: 1400, MemMB: 512, EstimateMS: 300, runTime: 300 * time.Millisecond})
}

// pipelineSteps is the number of steps of the pipeline.
const pipelineSteps = 40

// playSteps plays ordinary traffic, and one client that hands in a pipeline of 40 steps. With
// trouble, each step names all earlier steps in after, otherwise only the one before it.
func playSteps(d *deployment, trouble bool) (int, error) {
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); d.clients.traffic(6, 20*time.Second, d.smallJob) }()
	time.Sleep(5 * time.Second)
	var steps []step
	for i := range pipelineSteps {
		s := step{Count: 1, CPU: 500, MemMB: 256, EstimateMS: 20, runTime: 20 * time.Millisecond}
		for k := range i {
			if trouble || k == i-1 {
				s.After = append(s.After, k)
			}
		}
		steps = append(steps, s)
	}
	j := d.clients.newJob("pipeline", steps...)
	d.rec.add("a client hands in job %s of %d steps; the last one's after is %v", j.id, len(steps), steps[len(steps)-1].After)
	d.clients.submit(j)
	wg.Wait()
	time.Sleep(finish)
	for _, h := range d.hosts {
		before := h.cpuSeconds()
		time.Sleep(200 * time.Millisecond)
		d.rec.add("host %s has used %.1f s of processor time, of these %.2f s in the last 0.2 s", h.name, h.cpuSeconds(), h.cpuSeconds()-before)
	}
	return d.verdict("LOST", d.clients.lost()), nil
}

// gangWidth is the number of tasks of a gang.
const gangWidth = 6

// playGangs plays a light load of gangs on a queue with advice. With trouble, their tasks
// have to run on different workers.
func playGangs(d *deployment, trouble bool) (int, error) {
	d.clients.traffic(3, 25*time.Second, func() *job {
		s := step{Count: gangWidth, CPU: 1000, MemMB: 512, EstimateMS: 800, Gang: true, runTime: 800 * time.Millisecond}
		if trouble {
			s.Apart = 1
		}
		return d.clients.newJob("gang", s)
	})
	time.Sleep(finish)
	var idle []string
	for _, line := range d.idleJobs() {
		id := strings.Fields(line)[1]
		step := id + ".0.0"
		room := 0
		for _, w := range d.fleet.workers {
			if good(step, w.id) {
				room++
			}
		}
		if room >= 2*gangWidth {
			d.advice.mu.Lock()
			idle = append(idle, fmt.Sprintf("%s; %d idle workers are good for it, and %d calls for advice were made", line, room, d.advice.calls[step]))
			d.advice.mu.Unlock()
		}
	}
	return d.verdict("LOST", idle), nil
}

// specBytes is the largest length of a spec.
const specBytes = 4000

// playSpecs plays steady traffic of jobs of two steps, whose specs are XML, and many users
// who come at once. With trouble, the store is down meanwhile.
func playSpecs(d *deployment, trouble bool) (int, error) {
	spec := "<values>" + strings.Repeat("<v>1</v>", (specBytes-17)/8) + "</values>"
	next := func() *job {
		s := step{Count: 2, CPU: 1400, MemMB: 512, EstimateMS: 500, runTime: 500 * time.Millisecond}
		second := s
		second.After = []int{0}
		return d.clients.newJob(spec, s, second)
	}
	var wg sync.WaitGroup
	play := func(perSecond float64, length time.Duration) {
		wg.Add(1)
		go func() { defer wg.Done(); d.clients.traffic(perSecond, length, next) }()
	}
	play(baseRate, 20*time.Second)
	time.Sleep(6 * time.Second)
	d.rec.add("many users come at once")
	play((burstFactor-1)*baseRate, 3*time.Second)
	if trouble {
		time.Sleep(300 * time.Millisecond)
		d.rec.add("the store is down")
		d.store.setDown(true)
		time.Sleep(outage)
		d.store.setDown(false)
		d.rec.add("the store is back")
	}
	wg.Wait()
	time.Sleep(finish)
	idle := d.idleJobs()
	return d.verdict("LOST", append(idle, d.clients.lost()...)), nil
}

const (
	// baseRate is the traffic in jobs a second, burstFactor how many times as much comes in
	// a burst.
	baseRate, burstFactor = 45, 1.7
	// outage is how long the store is down.
	outage = 2200 * time.Millisecond
)

// idleJobs returns the accepted jobs of which, for 3 s, nothing runs though they are not
// complete.
func (d *deployment) idleJobs() []string {
	counts := func() map[string]int {
		d.fleet.mu.Lock()
		defer d.fleet.mu.Unlock()
		n := map[string]int{}
		for task, starts := range d.fleet.starts {
			id, _, _ := strings.Cut(task, ".")
			n[id] += starts
		}
		return n
	}
	before := counts()
	time.Sleep(3 * time.Second)
	after := counts()
	var idle []string
	for _, j := range d.clients.all() {
		tasks := 0
		for _, s := range j.steps {
			tasks += s.Count
		}
		if j.accepted && !j.cancelled && after[j.id] < tasks && after[j.id] == before[j.id] {
			idle = append(idle, fmt.Sprintf("job %s was accepted at %.3f s; %v after the end of the traffic, %d of its %d tasks have started, and none in 3 s", j.id, j.acceptedAt.Sub(d.rec.start).Seconds(), finish, after[j.id], tasks))
		}
	}
	return idle
}

// playKinds plays a load that keeps the workers full, and workers that crash and come back
// under the same id as machines of half the size.
func playKinds(d *deployment, trouble bool) (int, error) {
	next := func() *job {
		return d.clients.newJob("batch", step{Count: 8, CPU: 2000, MemMB: 1024, EstimateMS: 1000, runTime: time.Second})
	}
	var wg sync.WaitGroup
	wg.Add(1)
	go func() { defer wg.Done(); d.clients.traffic(26, 20*time.Second, next) }()
	time.Sleep(6 * time.Second)
	if trouble {
		crashed := d.fleet.workers[:len(d.fleet.workers)*15/100]
		for _, w := range crashed {
			w.crash()
		}
		time.Sleep(500 * time.Millisecond)
		for _, w := range crashed {
			w.restart(workerCPU/2, workerMem/2, []string{"b", w.labels[1]})
		}
	}
	wg.Wait()
	return d.verdict("LIMIT", d.fleet.breaches("LIMIT")), nil
}

const (
	// ownerKey and logKeys are where the project keeps its leader and its log.
	ownerKey, logKeys = "banyanrun/owner", "banyanrun/log/"
	// nearlyFull is the number of groups in the log from which the next leader soon writes
	// a snapshot, which it does at 400.
	nearlyFull = 385
)

// logLength returns the number of groups in the log, and the key of the first one.
func (d *deployment) logLength() (int, string) {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	keys := d.store.keys(logKeys)
	if len(keys) == 0 {
		return 0, ""
	}
	return len(keys), keys[0]
}

// owner returns the host that leads, or nil.
func (d *deployment) owner() *host {
	value, ok := d.store.get(ownerKey)
	for _, h := range d.hosts {
		if ok && strings.Contains(string(value), `"`+h.name+`"`) {
			return h
		}
	}
	return nil
}

// waitFor waits until a condition is true, and reports whether it became so in time.
func waitFor(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// cut cuts a host off from the store, the other hosts and the workers, or heals the cut.
func (d *deployment) cut(h *host, cut bool) {
	// With two hosts, all calls between hosts are between these two.
	for _, p := range []*partition{&h.partition, &d.peerPartition, &d.fleet.partition} {
		if cut {
			p.begin()
		} else {
			p.heal()
		}
	}
	if cut {
		d.fleet.mu.Lock()
		d.fleet.cutToken = d.ownerToken()
		d.fleet.mu.Unlock()
	}
}

// ownerToken returns the fencing token of the host that leads.
func (d *deployment) ownerToken() int64 {
	var record struct {
		Generation int64 `json:"generation"`
	}
	value, _ := d.store.get(ownerKey)
	if err := json.Unmarshal(value, &record); err != nil {
		return 0
	}
	return record.Generation
}

const (
	// reclaimRounds is how often the disruption is repeated.
	reclaimRounds = 3
	// reclaimRate is the traffic in jobs a second.
	reclaimRate = 40
	// lull is how long no jobs come before the cut. All tasks end meanwhile.
	lull = time.Second
)

// playReclaim plays traffic with lulls. With trouble, three times, the leader is cut off in
// a lull for about two seconds; the other host takes over, serves the traffic, and is
// stopped as planned while the cut heals.
func playReclaim(d *deployment, trouble bool) (int, error) {
	for range reclaimRounds {
		if err := d.reclaimRound(trouble); err != nil {
			return caseNotValid, err
		}
	}
	time.Sleep(finish)
	for _, b := range d.fleet.breaches("TWICE") {
		d.rec.add("also: TWICE: %s", b)
	}
	return d.verdict("LOST", d.clients.lost()), nil
}

// startTraffic starts the traffic of the case. The function that it returns ends it, and
// waits for the answers.
func (d *deployment) startTraffic() func() {
	next := func() *job {
		return d.clients.newJob("preview", step{Count: 2, CPU: 1400, MemMB: 512, EstimateMS: 200, runTime: 200 * time.Millisecond})
	}
	over, done := make(chan struct{}), make(chan struct{})
	go func() { defer close(done); d.clients.trafficUntil(reclaimRate, over, next) }()
	return func() {
		close(over)
		<-done
	}
}

// reclaimRound plays traffic until the log is nearly long enough for a snapshot, a lull,
// and more traffic, with trouble with the disruption.
func (d *deployment) reclaimRound(trouble bool) error {
	stop := d.startTraffic()
	long := waitFor(20*time.Second, func() bool { n, _ := d.logLength(); return n >= nearlyFull && d.owner() != nil })
	stop()
	if !long {
		return fmt.Errorf("the log is not long enough")
	}
	time.Sleep(lull)
	first, second := d.owner(), d.hosts[0]
	if second == first {
		second = d.hosts[1]
	}
	n, oldest := d.logLength()
	if !trouble {
		stop = d.startTraffic()
		waitFor(4*time.Second, func() bool { _, key := d.logLength(); return key != oldest })
		time.Sleep(time.Second)
		stop()
		return nil
	}
	d.rec.add("%s leads; it is cut off (%d groups in the log, the first is %s)", first.name, n, oldest)
	d.cut(first, true)
	cutAt := time.Now()
	took := waitFor(3*time.Second, func() bool { return d.owner() == second })
	stop = d.startTraffic()
	short := waitFor(time.Second, func() bool { _, key := d.logLength(); return key != oldest })
	time.Sleep(100 * time.Millisecond)
	n, oldest = d.logLength()
	d.rec.add("%s leads (%v); %d groups in the log, the first is %s (a snapshot: %v)", second.name, took, n, oldest, short)
	second.signal(syscall.SIGTERM)
	handedOver := waitFor(2*time.Second, func() bool { return d.owner() != second })
	d.cut(first, false)
	d.rec.add("%s leads no more (%v); the cut of %s heals after %v", second.name, handedOver, first.name, time.Since(cutAt).Round(time.Millisecond))
	<-second.exited
	if err := second.start(); err != nil {
		return err
	}
	ready := waitFor(10*time.Second, func() bool { return first.isReady() && second.isReady() })
	stop()
	if !ready {
		return fmt.Errorf("the hosts are not ready again")
	}
	return nil
}
