package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// serviceName is the name of the workers' service.
const serviceName = "svc"

// Queues of the configuration, by the first element of a caller's path. They have the
// figures of a small deployment: urgent has the priority 0.
const (
	urgentQueue = "/u/"
	batchQueue  = "/b/"
	callerHost  = "jobs.example"
)

const configuration = `{"version":1,"routes":[
{"name":"urgent","host":"jobs.example","prefix":"/u/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":500,"priority":0,"service":"svc","attempts":4,"stretch":1.5},
{"name":"batch","host":"jobs.example","prefix":"/b/","kind":"non_idempotent","timeout_ms":3000,"slo_ms":3000,"priority":2,"service":"svc","attempts":3,"stretch":4}],
"services":[{"name":"svc","admission_check":false}],"limits":{"max_body_bytes":262144}}`

// startTimeout bounds the start of the hosts.
const startTimeout = 15 * time.Second

// platform is the stand-in of the users' platform with the project's host processes.
type platform struct {
	rec     *record
	program string
	folder  string
	store   *store
	address string
	server  *http.Server
	workers []*worker
	hosts   []*host
	stop    chan struct{}
	// workerDelay is added to each response of a worker.
	workerDelay time.Duration

	mu     sync.Mutex
	starts []start
	ends   []*end
}

// newPlatform starts the store. startAll starts the rest.
func newPlatform(rec *record, program string) (*platform, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	p := &platform{rec: rec, program: program, folder: folder, store: newStore(), stop: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.address = listener.Addr().String()
	p.server = &http.Server{Handler: p.store}
	go func() { _ = p.server.Serve(listener) }()
	p.store.put("op/config", []byte(configuration))
	return p, nil
}

// startAll starts one worker for each kind and the hosts, and waits until all hosts are
// ready and have found the workers.
func (p *platform) startAll(hosts int, kinds []kind) error {
	for i, k := range kinds {
		w := &worker{p: p, id: fmt.Sprintf("w-%02d", i), address: "127.0.0.1:0", service: serviceName}
		if err := w.begin(k); err != nil {
			return err
		}
		p.workers = append(p.workers, w)
	}
	go p.simulate()
	for i := range hosts {
		h, err := p.startHost(i)
		if err != nil {
			return err
		}
		p.hosts = append(p.hosts, h)
	}
	for deadline := time.Now().Add(startTimeout); !p.isReady(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return errors.New("the hosts are not ready in time")
		}
	}
	p.rec.printf("%d hosts are ready, %d workers are known", len(p.hosts), len(p.workers))
	time.Sleep(2 * time.Second)
	return nil
}

// simulate advances the workers and the store's leases.
func (p *platform) simulate() {
	ticker := time.NewTicker(simulationStep)
	defer ticker.Stop()
	for {
		select {
		case <-p.stop:
			return
		case <-ticker.C:
		}
		p.store.expireLeases()
		for _, w := range p.workers {
			w.advance()
		}
	}
}

func (p *platform) isReady() bool {
	for _, h := range p.hosts {
		if !h.isReady() {
			return false
		}
	}
	for _, w := range p.workers {
		w.mu.Lock()
		learned := !w.learnedAt.IsZero()
		w.mu.Unlock()
		if !learned {
			return false
		}
	}
	return true
}

func (p *platform) noteStart(s start) {
	p.mu.Lock()
	p.starts = append(p.starts, s)
	p.mu.Unlock()
	p.rec.printf("started %s", s.describe())
}

func (p *platform) noteEnd(worker string, r *workerRun, how string) *end {
	e := &end{at: time.Now(), task: r.task, how: how}
	p.mu.Lock()
	p.ends = append(p.ends, e)
	p.mu.Unlock()
	p.rec.printf("ended %s run %d on worker %s: %s", r.task, r.number, worker, how)
	return e
}

// noteAcknowledged notes that the scheduler has taken note of an end.
func (p *platform) noteAcknowledged(e *end) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.notedAt = time.Now()
}

// startsOf returns the starts of the tasks of a job.
func (p *platform) startsOf(job string) []start {
	p.mu.Lock()
	defer p.mu.Unlock()
	var starts []start
	for _, s := range p.starts {
		if jobOf(s.run.task) == job {
			starts = append(starts, s)
		}
	}
	return starts
}

// allStarts returns all starts since a time.
func (p *platform) allStarts(since time.Time) []start {
	p.mu.Lock()
	defer p.mu.Unlock()
	var starts []start
	for _, s := range p.starts {
		if s.at.After(since) {
			starts = append(starts, s)
		}
	}
	return starts
}

// close ends everything that the platform has started.
func (p *platform) close() {
	for _, h := range p.hosts {
		h.kill()
	}
	close(p.stop)
	for _, w := range p.workers {
		_ = w.server.Close()
	}
	_ = p.server.Close()
	_ = os.RemoveAll(p.folder)
}
