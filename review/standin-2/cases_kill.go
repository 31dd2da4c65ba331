package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

const (
	// ackTimeout is ack_timeout_ms: how long the core is stable and the links are
	// undisturbed before ends count that are not taken note of.
	ackTimeout = 5 * time.Second
	// killRestartDelay is the delay after which the platform restarts a killed process.
	killRestartDelay = 300 * time.Millisecond
	// killInterval is the time from a takeover to the second kill.
	killInterval = 900 * time.Millisecond
	// workerDelay is how long a worker takes to answer a call: about the round trip
	// to another region.
	workerDelay = 40 * time.Millisecond
	// hostDelay is how long an event of the store takes to reach a host, half of the
	// time between regions.
	hostDelay = 10 * time.Millisecond
	// observationTime is how long the workers are observed after the kills.
	observationTime = 30 * time.Second
)

// ownerKilledTwice kills the process that last wrote to the store under a condition, and
// once more shortly after it has taken over again. Then it hands in a job and checks
// whether the ends that the workers list are taken note of.
func ownerKilledTwice(p *platform, trouble bool) ([]string, error) {
	const workers, tasks = 120, 60
	p.workerDelay, p.store.watchDelay = workerDelay, hostDelay
	if err := p.startAll(3, sameKinds(workers, 8000)); err != nil {
		return nil, err
	}
	time.Sleep(calmTime)
	each := step{Count: workers, CPU: 1000, MemoryMB: 256, LongRunning: true, AntiAffinity: 1}
	if err := p.submit(urgentQueue, fillingJob, each, behaviour{MilliCPU: 1000}); err != nil {
		return nil, err
	}
	if err := p.waitForStarts(fillingJob, workers, 10*time.Second); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for range 2 {
			if err := p.killOwner(); err != nil {
				return nil, err
			}
			time.Sleep(killInterval)
		}
	}
	time.Sleep(calmTime)
	calmSince := time.Now()
	if err := p.submit(urgentQueue, soundJob, step{Count: tasks, CPU: 1000, MemoryMB: 256}, behaviour{MilliCPU: 1000, WorkMS: 1000}); err != nil {
		return nil, err
	}
	time.Sleep(observationTime)
	p.call(p.hosts[0], http.MethodGet, urgentQueue+soundJob, "")
	p.rec.printf("job %s of %d tasks: %d starts", soundJob, tasks, len(p.startsOf(soundJob)))
	listed, ignored := p.countEnds(calmSince)
	p.rec.printf("%d ends were listed at least %s ago, %d of them were not taken note of within this time", listed, ackTimeout, ignored)
	if 5*ignored > listed {
		return []string{fmt.Sprintf("Acks: %d of %d ends that workers list were not taken note of within %s; the %d tasks of the job were started %d times",
			ignored, listed, ackTimeout, tasks, len(p.startsOf(soundJob)))}, nil
	}
	return nil, nil
}

// killOwner kills the owner of the cell, restarts it and waits for the next owner record.
func (p *platform) killOwner() error {
	name, revision := p.owner()
	for _, h := range p.hosts {
		if h.name != name {
			continue
		}
		p.rec.printf("%s is killed", name)
		h.kill()
		time.Sleep(killRestartDelay)
		if err := p.start(h); err != nil {
			return err
		}
		for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			if next, current := p.owner(); current > revision {
				p.rec.printf("%s has taken over", next)
				return nil
			}
		}
		return errors.New("no host has taken over")
	}
	return fmt.Errorf("there is no host %q to kill", name)
}

// owner returns the host in the owner record and the revision of the record.
func (p *platform) owner() (string, int64) {
	p.store.mu.Lock()
	defer p.store.mu.Unlock()
	it := p.store.items["banyanrun/owner"]
	var record struct {
		Host string `json:"host"`
	}
	if json.Unmarshal(it.Value, &record) != nil {
		return "", 0
	}
	return record.Host, it.Revision
}

// countEnds returns the number of ends since a time that are older than ackTimeout, and
// how many of them were not taken note of within ackTimeout.
func (p *platform) countEnds(since time.Time) (listed, ignored int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.ends {
		if e.at.Before(since) || time.Since(e.at) < ackTimeout {
			continue
		}
		listed++
		if e.notedAt.IsZero() || e.notedAt.Sub(e.at) > ackTimeout {
			ignored++
		}
	}
	return listed, ignored
}
