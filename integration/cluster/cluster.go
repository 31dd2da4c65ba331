// Package cluster runs real entry daemons against the stand-in, with a
// fault-injecting proxy on every link, and keeps the accounts that judge them.
// It serves the integration tests and the soak program.
package cluster

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"time"

	"banyanrun.example/banyanrun/integration/faultproxy"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/wire"
)

// Patience bounds every wait for a condition. It is generous so that no verdict
// depends on the speed of the machine.
const WaitTimeout = 2 * time.Minute

// pollEvery is how often a condition is looked at.
const pollInterval = 50 * time.Millisecond

// tracesVariable names a folder that logs and recordings are kept in.
const tracesEnv = "BANYANRUN_TEST_TRACES"

// T is the part of testing.TB that this package uses. The soak program has its
// own.
type T interface {
	Helper()
	Name() string
	Logf(format string, args ...any)
	Errorf(format string, args ...any)
	Fatalf(format string, args ...any)
	Failed() bool
	Cleanup(f func())
	TempDir() string
}

// Build builds the entry daemon into a folder with further flags of the build.
func Build(folder string, flags ...string) (string, error) {
	return BuildProgram(folder, "banyanrun-entry", flags...)
}

// BuildProgram builds one of the programs in cmd.
func BuildProgram(folder, program string, flags ...string) (string, error) {
	binary := filepath.Join(folder, program)
	args := append(append([]string{"build"}, flags...), "-o", binary, "banyanrun.example/banyanrun/cmd/"+program)
	build := exec.Command("go", args...)
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w\n%s", program, err, out)
	}
	return binary, nil
}

// Config describes a cluster.
type Config struct {
	// Binary is the entry daemon.
	Binary string
	// DataCentres are named a, b and so on; all are in one region, unless
	// Apart puts each in a region of its own.
	DataCentres     int
	SeparateRegions bool
	// Hosts and Workers are the numbers in each data centre.
	Hosts   int
	Workers int
	Seed    uint64
	// Flags follow the flags of every host and so override them.
	HostFlags []string
}

// region is the region of a data centre.
func (c Config) region(dc string) string {
	if c.SeparateRegions {
		return Region + "-" + dc
	}
	return Region
}

// Cluster is a running set of processes with its accounts.
type Cluster struct {
	T       T
	History *History
	Standin *standin.Server
	Hosts   []*Host
	// WorkerLinks lead from all hosts to a worker, by the worker's id.
	WorkerLinks map[string]*faultproxy.Link

	cfg       Config
	ip        string
	folder    string
	hostCount int
}

// Capacity is that of every worker.
var WorkerCapacity = wire.Resources{MilliCPU: 8000, MemoryMB: 16 << 10, Slots: 8, Connections: 64}

// Start starts a cluster, applies the test document and waits until every host
// is ready.
func Start(t T, cfg Config) *Cluster {
	t.Helper()
	c := &Cluster{T: t, History: NewHistory(), cfg: cfg, WorkerLinks: map[string]*faultproxy.Link{}}
	c.folder = t.TempDir()
	if tracesDir := os.Getenv(tracesEnv); tracesDir != "" {
		c.folder = filepath.Join(tracesDir, filepath.Base(t.Name()))
		if err := os.MkdirAll(c.folder, 0o755); err != nil {
			t.Fatalf("create folder for traces: %v", err)
		}
	}
	t.Logf("seed %d", cfg.Seed)
	c.ip = freeIP(t)
	c.startStandin()
	for dc := range cfg.DataCentres {
		for range cfg.Hosts {
			c.AddHost(DataCentre(dc))
		}
	}
	c.WaitUntil("every host is ready", c.allReady)
	c.ApplyDocument()
	return c
}

// DataCentre names the i-th data centre.
func DataCentre(i int) string { return string(rune('a' + i)) }

// Region is the region of all data centres that are not apart.
const Region = "region"

// ipCounter numbers the loopback addresses of this process.
var lastLoopbackIP atomic.Uint32

// freeIP picks a loopback address of the cluster's own. The ports of outgoing
// connections are on another address, so a port stays free while its host is
// down.
func freeIP(t T) string {
	for range 200 {
		n := lastLoopbackIP.Add(1)
		ip := fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, n/200, 1+n%200)
		l, err := net.Listen("tcp", net.JoinHostPort(ip, fmt.Sprint(basePort)))
		if err != nil {
			continue
		}
		l.Close()
		return ip
	}
	t.Fatalf("no loopback address is free")
	return ""
}

// startStandin starts the platform and the workers behind proxies.
func (c *Cluster) startStandin() {
	var topology standin.Topology
	for i := range c.cfg.DataCentres {
		dc := standin.DataCentre{Name: DataCentre(i), Region: c.cfg.region(DataCentre(i))}
		for rack := range 2 {
			dc.Racks = append(dc.Racks, standin.Rack{
				Name: fmt.Sprintf("%s-rack-%d", dc.Name, rack),
				Workers: []standin.WorkerGroup{{
					ID: fmt.Sprintf("%s%d", dc.Name, rack), Count: max(2, c.cfg.Workers/2), Capacity: WorkerCapacity,
				}},
			})
		}
		topology.DataCentres = append(topology.DataCentres, dc)
	}
	server, err := standin.Start(standin.Config{Topology: topology, UsageLag: time.Second})
	if err != nil {
		c.T.Fatalf("start stand-in: %v", err)
	}
	c.Standin = server
	c.T.Cleanup(server.Close)
	for _, w := range server.Workers() {
		link := c.openLink("127.0.0.1:0", w.Address)
		c.WorkerLinks[w.ID] = link
		w.Address = link.Address()
		if err := server.ListWorker(context.Background(), w); err != nil {
			c.T.Fatalf("list worker %s: %v", w.ID, err)
		}
	}
}

// link opens a proxy that ends with the test.
func (c *Cluster) openLink(address, target string) *faultproxy.Link {
	link, err := faultproxy.New(address, target)
	if err != nil {
		c.T.Fatalf("open proxy: %v", err)
	}
	c.T.Cleanup(link.Close)
	return link
}

// Until waits for a condition. It fails the test when Patience has passed.
func (c *Cluster) WaitUntil(description string, condition func() bool) {
	c.T.Helper()
	for start := time.Now(); time.Since(start) < WaitTimeout; time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	c.T.Fatalf("after %s it still does not hold that %s", WaitTimeout, description)
}

// StoreFaults replaces the fault switches of the store.
func (c *Cluster) SetStoreFaults(f store.Faults) {
	if err := c.Standin.SetStoreFaults(context.Background(), f); err != nil {
		c.T.Fatalf("set faults of the store: %v", err)
	}
}

// Worker carries out an action on a worker.
func (c *Cluster) ActOnWorker(id string, a standin.WorkerAction) {
	if err := c.Standin.ActOnWorker(context.Background(), id, a); err != nil {
		c.T.Fatalf("act on worker %s: %v", id, err)
	}
}

// Heal removes every fault of the links, the store and the workers, and resumes
// paused hosts.
func (c *Cluster) ClearFaults() {
	c.SetStoreFaults(store.Faults{})
	for _, h := range c.Hosts {
		h.StoreLink.SetFaults(faultproxy.Faults{})
		h.PeerLink.SetFaults(faultproxy.Faults{})
		h.Resume()
	}
	for id, link := range c.WorkerLinks {
		link.SetFaults(faultproxy.Faults{})
		c.ActOnWorker(id, standin.WorkerAction{Action: standin.ActionFaults})
	}
}

// Ledger returns the account of all workers.
func (c *Cluster) Ledger() standin.Ledger {
	ledger, err := c.Standin.Ledger(context.Background())
	if err != nil {
		c.T.Fatalf("read ledger: %v", err)
	}
	return ledger
}

// Started reports whether the ledger has a start of a job or call.
func (c *Cluster) Started(id string) bool {
	for _, w := range c.Ledger().Workers {
		for _, e := range w.Entries {
			if e.Job == id {
				return true
			}
		}
	}
	return false
}

// Settle removes all faults, waits for the outcome of every job and checks the
// accounts.
func (c *Cluster) ClearFaultsAndCheck() {
	c.T.Helper()
	c.ClearFaults()
	c.WaitForJobs()
	c.WaitUntil("no call is in progress at the workers", c.noCallRuns)
	for _, finding := range c.History.Check(c.Ledger()) {
		c.T.Errorf("%s", finding)
	}
}

// idle reports whether no call runs at any worker.
func (c *Cluster) noCallRuns() bool {
	for _, w := range c.Ledger().Workers {
		for _, e := range w.Entries {
			if e.EndUnixUS == 0 && e.Entry == "call" {
				return false
			}
		}
	}
	return true
}
