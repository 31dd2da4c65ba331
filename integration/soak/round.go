package main

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/integration/cluster"
	"banyanrun.example/banyanrun/integration/faultproxy"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
)

const (
	// hostCount is the number of entry hosts in the only data centre.
	hostCount = 3
	// jobCount is the number of jobs in a round.
	jobCount = 60
	// maxFaultDuration exceeds the task lease of 4 s.
	maxFaultDuration = 9 * time.Second
)

// fault is a fault that a round can inject. It lasts until end is called.
type fault struct {
	name string
	// losesTasks is set for faults that make workers lose tasks.
	losesTasks bool
	inject     func(*cluster.Cluster, *rand.Rand) (end func())
}

// randomHost selects a host.
func randomHost(c *cluster.Cluster, r *rand.Rand) *cluster.Host { return c.Hosts[r.IntN(len(c.Hosts))] }

// randomWorker selects a worker and returns its id.
func randomWorker(c *cluster.Cluster, r *rand.Rand) string {
	list := c.Standin.Workers()
	return list[r.IntN(len(list))].ID
}

// faults are the kinds of faults from which a round selects two.
var faults = []fault{
	{"kill the owner", false, func(c *cluster.Cluster, _ *rand.Rand) func() { return killHost(c.WaitForOwner("a")) }},
	{"kill any host", false, func(c *cluster.Cluster, r *rand.Rand) func() { return killHost(randomHost(c, r)) }},
	{"pause the owner", false, func(c *cluster.Cluster, _ *rand.Rand) func() {
		h := c.WaitForOwner("a")
		h.Pause()
		return h.Resume
	}},
	{"store refuses", false, func(c *cluster.Cluster, _ *rand.Rand) func() {
		return injectStoreFaults(c, store.Faults{Outage: store.OutageRefuse})
	}},
	{"store hangs", false, func(c *cluster.Cluster, _ *rand.Rand) func() {
		return injectStoreFaults(c, store.Faults{Outage: store.OutageHang})
	}},
	{"store loses responses", false, func(c *cluster.Cluster, r *rand.Rand) func() {
		return injectStoreFaults(c, store.Faults{LoseEvery: 2 + r.Int64N(3)})
	}},
	{"store is slow", false, func(c *cluster.Cluster, r *rand.Rand) func() {
		return injectStoreFaults(c, store.Faults{DelayMS: 100 + r.Int64N(700)})
	}},
	{"owner partitioned from the store", false, func(c *cluster.Cluster, _ *rand.Rand) func() {
		return injectLinkFaults(c.WaitForOwner("a").StoreLink, faultproxy.Faults{DropToTarget: true, DropToClient: true})
	}},
	{"peers cannot reach a host", false, func(c *cluster.Cluster, r *rand.Rand) func() {
		return injectLinkFaults(randomHost(c, r).PeerLink, faultproxy.Faults{Refuse: true})
	}},
	{"responses of a worker are dropped", true, func(c *cluster.Cluster, r *rand.Rand) func() {
		return injectLinkFaults(c.WorkerLinks[randomWorker(c, r)], faultproxy.Faults{DropToClient: true})
	}},
	{"link to a worker is slow", false, func(c *cluster.Cluster, r *rand.Rand) func() {
		return injectLinkFaults(c.WorkerLinks[randomWorker(c, r)], faultproxy.Faults{Delay: time.Duration(r.IntN(600)) * time.Millisecond})
	}},
	{"worker restarts", true, func(c *cluster.Cluster, r *rand.Rand) func() {
		id := randomWorker(c, r)
		c.ActOnWorker(id, standin.WorkerAction{Action: standin.ActionKill})
		return func() { c.ActOnWorker(id, standin.WorkerAction{Action: standin.ActionRestart}) }
	}},
	{"worker misdirects and truncates responses", false, func(c *cluster.Cluster, r *rand.Rand) func() {
		f := worker.Faults{MisdirectNext: 3, TruncateNext: 3}
		c.ActOnWorker(randomWorker(c, r), standin.WorkerAction{Action: standin.ActionFaults, Faults: f})
		return func() {}
	}},
}

func killHost(h *cluster.Host) func() {
	h.Kill()
	return h.Start
}

func injectStoreFaults(c *cluster.Cluster, f store.Faults) func() {
	c.SetStoreFaults(f)
	return func() { c.SetStoreFaults(store.Faults{}) }
}

func injectLinkFaults(link *faultproxy.Link, f faultproxy.Faults) func() {
	link.SetFaults(f)
	return func() {
		link.SetFaults(faultproxy.Faults{})
		link.ResetConns()
	}
}

// runRound injects one pair of faults under load and checks the outcomes.
func runRound(t *cluster.Reporter, binary string, seed uint64) {
	r := rand.New(rand.NewPCG(seed, seed))
	first, second := faults[r.IntN(len(faults))], faults[r.IntN(len(faults))]
	t.Logf("%s; %s", first.name, second.name)
	c := cluster.Start(t, cluster.Config{Binary: binary, DataCentres: 1, Hosts: hostCount, Workers: 4, Seed: seed})
	if first.losesTasks || second.losesTasks {
		c.History.AllowTaskLoss()
	}
	c.WaitForOwner("a")
	hosts := append([]*cluster.Host{}, c.Hosts...)
	gap := time.Duration(r.Int64N(int64(3 * time.Second)))
	faultDuration := time.Duration(r.Int64N(int64(maxFaultDuration)))
	var done atomic.Bool
	var load conc.WaitGroup
	load.Go(func() { submitJobs(c, hosts, rand.New(rand.NewPCG(seed, 1))) })
	load.Go(func() { makeCalls(c, hosts, &done) })
	time.Sleep(gap)
	endFirst := first.inject(c, r)
	time.Sleep(gap / 2)
	endSecond := second.inject(c, r)
	time.Sleep(faultDuration)
	endFirst()
	time.Sleep(gap / 2)
	endSecond()
	done.Store(true)
	load.Wait()
	for _, h := range hosts {
		if !h.Alive() {
			h.Start()
		}
	}
	c.ClearFaultsAndCheck()
}

// submitJobs submits the jobs of a round. Submissions without a response are
// repeated at the end of the round.
func submitJobs(c *cluster.Cluster, hosts []*cluster.Host, r *rand.Rand) {
	kinds := []string{cluster.KindBatch, cluster.KindBatch, cluster.KindBilled, cluster.KindBilled, cluster.KindGang}
	var submits conc.WaitGroup
	for i := range jobCount {
		kind := kinds[r.IntN(len(kinds))]
		run := time.Duration(100+r.IntN(4000)) * time.Millisecond
		at := r.IntN(len(hosts))
		submits.Go(func() {
			// The history records refusals and lost responses for the final check.
			_ = c.Submit(hosts[at:at+1], fmt.Sprintf("%s-%d", kind, i), kind, run)
		})
		time.Sleep(100 * time.Millisecond)
	}
	submits.Wait()
}

// makeCalls makes interactive calls until done is set.
func makeCalls(c *cluster.Cluster, hosts []*cluster.Host, done *atomic.Bool) {
	kinds := []string{cluster.KindLookup, cluster.KindBilledLookup}
	var callers conc.WaitGroup
	for k := range hostCount {
		callers.Go(func() {
			for n := 0; !done.Load(); n++ {
				c.Call(hosts[k:k+1], fmt.Sprintf("call-%d-%d", k, n), kinds[n%2], 30*time.Millisecond, 0)
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	callers.Wait()
}
