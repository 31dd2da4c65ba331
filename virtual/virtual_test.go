package virtual

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/worker"
)

// recovery is how long after its deadline a job may be without an outcome.
const recovery = 90 * time.Second

// testDocument returns a document with a kind for each case that recovery
// treats differently.
func testDocument(team core.TeamName) core.Document {
	request := core.Resources{MilliCPU: 2000, MemoryMB: 4000, Slots: 1, Connections: 1}
	return core.Document{
		Team: team, Service: "test", Weight: 1,
		Quota: core.Resources{MilliCPU: 64000, MemoryMB: 256000, Slots: 32, Connections: 256},
		Kinds: []core.Kind{
			{Name: "batch", Urgency: core.Normal, Idempotent: true, Request: request,
				RunTime: 5 * time.Second, Deadline: time.Minute, MaxAttempts: 5, QueueLimit: 500},
			{Name: "billed", Urgency: core.Urgent, Request: request,
				RunTime: 5 * time.Second, Deadline: time.Minute, MaxAttempts: 5, QueueLimit: 500},
			{Name: "gang", Urgency: core.Normal, Idempotent: true, Request: request, GangSize: 3,
				RestartGang: true, RunTime: 5 * time.Second, Deadline: time.Minute, MaxAttempts: 5, QueueLimit: 500},
			{Name: "lookup", Urgency: core.Interactive, Request: core.Resources{MilliCPU: 500, MemoryMB: 500, Slots: 1, Connections: 4},
				RunTime: 50 * time.Millisecond, Deadline: 5 * time.Second, MaxAttempts: 3, QueueLimit: 100},
			{Name: "preview", Urgency: core.Interactive, Idempotent: true, Request: core.Resources{MilliCPU: 500, MemoryMB: 500, Slots: 1, Connections: 4},
				RunTime: 50 * time.Millisecond, Deadline: 5 * time.Second, MaxAttempts: 3, QueueLimit: 100},
		},
	}
}

// testDataCentre returns a data centre dc with hosts dc-h1, dc-h2, ... and
// workers dc-w1, dc-w2, ...
func testDataCentre(dc, region string, hosts, workers int) DataCentre {
	dataCentre := DataCentre{Name: core.DataCentre(dc), Region: core.Region(region)}
	for i := range hosts {
		dataCentre.Hosts = append(dataCentre.Hosts, core.HostID(fmt.Sprintf("%s-h%d", dc, i+1)))
	}
	for i := range workers {
		dataCentre.Workers = append(dataCentre.Workers, core.ListedWorker{
			ID: core.WorkerID(fmt.Sprintf("%s-w%d", dc, i+1)), Rack: strconv.Itoa(i / 2),
			Capacity: core.Resources{MilliCPU: 16000, MemoryMB: 64000, Slots: 8, Connections: 64},
		})
	}
	return dataCentre
}

// testCluster returns a cluster with one data centre, three hosts and four
// workers.
func testCluster(seed uint64) *Cluster {
	return New(Config{
		Seed: seed, DataCentres: []DataCentre{testDataCentre("a", "r", 3, 4)}, Jitter: time.Millisecond,
		Documents: []core.Document{testDocument("red"), testDocument("blue")},
	})
}

// waitForOwner runs the cluster until data centre a has an owner, and for 3 s
// more.
func waitForOwner(t *testing.T, c *Cluster) core.HostID {
	t.Helper()
	if !c.RunWhile(time.Minute, func() bool { return c.Owner("a") == "" }) {
		t.Fatal("no host became the owner within a minute")
	}
	c.RunFor(3 * time.Second)
	return c.Owner("a")
}

// submit submits n jobs of a kind at a host.
func submit(c *Cluster, host core.HostID, kind core.KindName, n int, runMS int64) []*Job {
	var jobs []*Job
	for range n {
		jobs = append(jobs, c.Submit(Job{
			ID: core.JobID(fmt.Sprintf("%s-%d", kind, len(c.jobIDs))), Team: "red", Kind: kind, Host: host,
			Program: worker.Program{RunMS: runMS}, Deadline: time.Minute, PollGrace: 2 * time.Minute,
		}))
	}
	return jobs
}

// checkGuarantees fails the test for each violated guarantee.
func checkGuarantees(t interface {
	Helper()
	Errorf(string, ...any)
}, c *Cluster) {
	t.Helper()
	for _, violation := range c.Audit(recovery).Violations() {
		t.Errorf("%s", violation)
	}
}

// Guards against a cluster that loses work without any fault.
func TestWorkWithoutFaultsSucceeds(t *testing.T) {
	c := testCluster(1)
	owner := waitForOwner(t, c)
	for _, kind := range []core.KindName{"batch", "billed", "gang"} {
		submit(c, owner, kind, 10, 3000)
		submit(c, c.randomHost(c.hosts[owner]), kind, 10, 3000)
	}
	for i := range 50 {
		c.After(time.Duration(i)*100*time.Millisecond, func() {
			c.Call(Call{ID: strconv.Itoa(i), Team: "red", Kind: "lookup", Host: owner, Program: worker.Program{RunMS: 30}})
		})
	}
	c.RunFor(time.Minute)
	for _, j := range c.Jobs() {
		if j.State != core.JobSucceeded {
			t.Errorf("job %s: %v %v", j.ID, j.State, j.Refusal)
		}
	}
	for _, call := range c.Calls() {
		if call.Refusal != nil || call.Worker == "" {
			t.Errorf("call %s: %v", call.ID, call.Refusal)
		}
	}
	checkGuarantees(t, c)
}
