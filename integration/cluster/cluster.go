// Package cluster runs real entry daemons against the stand-in platform, with a
// fault-injecting proxy on every link. It records what callers observe and checks
// it against the workers' ledgers. The integration tests, the soak program and
// the benchmarks use it.
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

// WaitTimeout bounds every wait for a condition. It is long so that results do
// not depend on the speed of the machine.
const WaitTimeout = 2 * time.Minute

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// tracesEnv names a folder in which logs and recordings are kept after the test.
const tracesEnv = "BANYANRUN_TEST_TRACES"

// T is the subset of testing.TB that this package uses. Reporter implements it
// for programs.
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

// Build builds the entry daemon into a folder, with additional build flags.
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
	// Binary is the path of the entry daemon.
	Binary string
	// DataCentres is the number of data centres, which are named a, b and so on.
	// They share one region unless SeparateRegions is set.
	DataCentres     int
	SeparateRegions bool
	// Hosts and Workers are counted per data centre.
	Hosts   int
	Workers int
	Seed    uint64
	// HostFlags are appended to the flags of every host and override them.
	HostFlags []string
}

// region returns the region of a data centre.
func (c Config) region(dc string) string {
	if c.SeparateRegions {
		return Region + "-" + dc
	}
	return Region
}

// Cluster is a running set of host processes with the stand-in and the history of
// its callers.
type Cluster struct {
	T       T
	History *History
	Standin *standin.Server
	Hosts   []*Host
	// WorkerLinks maps a worker's id to the link from all hosts to it.
	WorkerLinks map[string]*faultproxy.Link

	cfg       Config
	ip        string
	folder    string
	hostCount int
}

// WorkerCapacity is the capacity of each worker.
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

// Region is the common region of the data centres. It is the prefix of their
// regions if Config.SeparateRegions is set.
const Region = "region"

// lastLoopbackIP is the number of the latest loopback address that this process
// has tried.
var lastLoopbackIP atomic.Uint32

// freeIP returns a loopback address that only this cluster uses. Outgoing
// connections use another address, so that a host's port stays free while the
// host is down.
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

// startStandin starts the stand-in platform and its workers, and opens a proxy to
// each worker.
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

// openLink opens a proxy that is closed at the end of the test.
func (c *Cluster) openLink(address, target string) *faultproxy.Link {
	link, err := faultproxy.New(address, target)
	if err != nil {
		c.T.Fatalf("open proxy: %v", err)
	}
	c.T.Cleanup(link.Close)
	return link
}

// WaitUntil waits for a condition and fails the test after WaitTimeout.
func (c *Cluster) WaitUntil(description string, condition func() bool) {
	c.T.Helper()
	for start := time.Now(); time.Since(start) < WaitTimeout; time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	c.T.Fatalf("timed out after %s waiting until %s", WaitTimeout, description)
}

// SetStoreFaults replaces the faults of the store.
func (c *Cluster) SetStoreFaults(f store.Faults) {
	if err := c.Standin.SetStoreFaults(context.Background(), f); err != nil {
		c.T.Fatalf("set faults of the store: %v", err)
	}
}

// ActOnWorker applies an action to a worker.
func (c *Cluster) ActOnWorker(id string, a standin.WorkerAction) {
	if err := c.Standin.ApplyWorkerAction(context.Background(), id, a); err != nil {
		c.T.Fatalf("apply action to worker %s: %v", id, err)
	}
}

// ClearFaults removes all faults of the links, the store and the workers, and
// resumes paused hosts.
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

// Ledger returns the audit logs of all workers and their summary.
func (c *Cluster) Ledger() standin.Ledger {
	ledger, err := c.Standin.Ledger(context.Background())
	if err != nil {
		c.T.Fatalf("read ledger: %v", err)
	}
	return ledger
}

// Started reports whether the ledger contains a start of the job or call.
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

// ClearFaultsAndCheck removes all faults, waits for the outcome of every job and
// checks the history against the ledger.
func (c *Cluster) ClearFaultsAndCheck() {
	c.T.Helper()
	c.ClearFaults()
	c.WaitForJobs()
	c.WaitUntil("no call is in progress at the workers", c.noCallRuns)
	for _, finding := range c.History.Check(c.Ledger()) {
		c.T.Errorf("%s", finding)
	}
}

// noCallRuns reports whether no call is in progress at any worker.
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
