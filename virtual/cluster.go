package virtual

import (
	"math/rand/v2"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"
)

// StartTime is the virtual time at which a run begins.
const StartTime = core.Time(1_800_000_000 * int64(time.Second))

// Endpoint identifies a sender or receiver of messages: a host, a worker, Store
// or Callers.
type Endpoint string

// The endpoints that are neither hosts nor workers.
const (
	Store   Endpoint = "store"
	Callers Endpoint = "callers"
)

// DataCentre is the configuration of a data centre.
type DataCentre struct {
	Name   core.DataCentre
	Region core.Region
	Hosts  []core.HostID
	// Workers must set ID, Rack and Capacity; the other fields are filled
	// in.
	Workers []core.ListedWorker
}

// Config is the configuration of a cluster. A duration of zero means its
// default.
type Config struct {
	Seed        uint64
	DataCentres []DataCentre
	// Documents are in the store at the start.
	Documents []core.Document
	// HostDelay, StoreDelay and WorkerDelay are the one-way delays from an
	// entry host to another entry host, to the store and to a worker.
	HostDelay   time.Duration
	StoreDelay  time.Duration
	WorkerDelay time.Duration
	// Jitter is the upper limit of a uniform random delay that is added to
	// each message.
	Jitter time.Duration
	// HostListLag is the delay with which the platform's host list shows
	// changes.
	HostListLag time.Duration
	// UsageLag is the run time after which a task's usage appears in
	// reports.
	UsageLag time.Duration
	Limits   store.Limits
	// AdjustConfig, if set, can change the configuration of each reducer.
	AdjustConfig func(*core.Config)
	// Step, if set, is called instead of Reducer.Step, for example to
	// measure it.
	Step func(host core.HostID, r *core.Reducer, e core.Event) []core.Effect
	// OnStep, if set, is called after every step of a reducer with its
	// effects.
	OnStep func(host core.HostID, e core.Event, effects []core.Effect)
}

// Defaults of Config.
const (
	DefaultHostDelay   = time.Millisecond
	DefaultStoreDelay  = 2 * time.Millisecond
	DefaultWorkerDelay = time.Millisecond
	DefaultHostListLag = 2 * time.Second
	DefaultUsageLag    = 5 * time.Second
)

// Cluster is a run of the connected reducers. It is not safe for concurrent use.
type Cluster struct {
	cfg          Config
	now          core.Time
	queue        timerQueue
	lastSequence uint64
	rng          *rand.Rand
	links        map[link]*linkFault
	pending      map[uint64]*exchange
	lastExchange uint64
	hosts        map[core.HostID]*host
	hostList     []*host
	workers      map[core.WorkerID]*workerState
	workerList   []*workerState
	store        platform
	jobs         map[core.JobID]*Job
	jobIDs       []core.JobID
	calls        []*Call
	edits        []*Edit
	counts       Counts
	reverts      []Revert
}

// New creates a cluster and starts its hosts.
func New(cfg Config) *Cluster {
	setDefault(&cfg.HostDelay, DefaultHostDelay)
	setDefault(&cfg.StoreDelay, DefaultStoreDelay)
	setDefault(&cfg.WorkerDelay, DefaultWorkerDelay)
	setDefault(&cfg.HostListLag, DefaultHostListLag)
	setDefault(&cfg.UsageLag, DefaultUsageLag)
	c := &Cluster{
		cfg: cfg, now: StartTime, rng: rand.New(rand.NewPCG(cfg.Seed, 1)),
		links: map[link]*linkFault{}, pending: map[uint64]*exchange{},
		hosts: map[core.HostID]*host{}, workers: map[core.WorkerID]*workerState{},
		jobs: map[core.JobID]*Job{}, counts: newCounts(),
	}
	list := wire.HostList{}
	for _, dc := range cfg.DataCentres {
		for _, w := range dc.Workers {
			c.addWorker(dc, w)
			list.Workers = append(list.Workers, listedWorker(dc, w))
		}
		for _, id := range dc.Hosts {
			c.addHost(dc, id)
			list.Hosts = append(list.Hosts, listedHost(dc, id))
		}
	}
	c.store = newPlatform(cfg, list)
	for i := range cfg.Documents {
		c.store.addDocument(c, &cfg.Documents[i])
	}
	for _, h := range c.hostList {
		h.start()
	}
	return c
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

func listedWorker(dc DataCentre, w core.ListedWorker) wire.ListedWorker {
	return wire.ListedWorker{
		ID: string(w.ID), Address: string(w.ID), Rack: w.Rack, DataCentre: string(dc.Name),
		Region: string(dc.Region), Capacity: wire.FromResources(w.Capacity),
	}
}

func listedHost(dc DataCentre, id core.HostID) wire.ListedHost {
	return wire.ListedHost{
		ID: string(id), Address: string(id),
		DataCentre: string(dc.Name), Region: string(dc.Region),
	}
}

// Now returns the virtual time.
func (c *Cluster) Now() core.Time { return c.now }

// RunFor advances virtual time by d and runs the timers that come due.
func (c *Cluster) RunFor(d time.Duration) { c.RunUntil(c.now.Add(d)) }

// RunUntil advances virtual time to t and runs the timers due up to and including t.
func (c *Cluster) RunUntil(t core.Time) {
	for {
		next, ok := c.queue.popUntil(t)
		if !ok {
			break
		}
		c.now = max(c.now, next.at)
		next.run()
	}
	c.now = max(c.now, t)
}

// RunWhile advances virtual time timer by timer while cond holds, by at most limit.
// It reports whether cond has become false.
func (c *Cluster) RunWhile(limit time.Duration, cond func() bool) bool {
	until := c.now.Add(limit)
	for cond() {
		next, ok := c.queue.popUntil(until)
		if !ok {
			c.now = max(c.now, until)
			return !cond()
		}
		c.now = max(c.now, next.at)
		next.run()
	}
	return true
}

// At schedules f at t, or at the current time if t has passed.
func (c *Cluster) At(t core.Time, f func()) {
	c.lastSequence++
	c.queue.add(timer{at: max(t, c.now), sequence: c.lastSequence, run: f})
}

// After schedules f in d from now.
func (c *Cluster) After(d time.Duration, f func()) { c.At(c.now.Add(d), f) }

// Owner returns the host that is the active owner of a data centre with the
// highest epoch, or an empty id.
func (c *Cluster) Owner(dc core.DataCentre) core.HostID {
	var owner core.HostID
	var epoch core.Epoch
	for _, h := range c.hostList {
		if !h.alive || h.paused || h.dataCentre.Name != dc {
			continue
		}
		if v := h.view(); v.Owner && v.Epoch > epoch {
			owner, epoch = h.id, v.Epoch
		}
	}
	return owner
}

// workerState is a worker of the cluster. Its exchanges fail unless alive is
// set.
type workerState struct {
	id      core.WorkerID
	reducer *worker.Reducer
	faults  worker.Faults
	alive   bool
	// wakeGeneration counts the WakeAt effects; only the latest one takes
	// effect.
	wakeGeneration uint64
	incarnation    uint64
}
