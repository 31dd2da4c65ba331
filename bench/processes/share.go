package processes

import (
	"context"
	"time"

	"banyanrun.example/banyanrun/bench"
	"banyanrun.example/banyanrun/integration/cluster"
)

const (
	// startsPerDataCentre is the start rate per data centre at 250 starts per
	// second over 12 data centres.
	startsPerDataCentre = 21.0
	shareRunTime        = time.Second
	warmUpTime          = 10 * time.Second
	measuredTime        = 30 * time.Second
	// maxWritesPerDataCentre is the share of one data centre in 100 store writes
	// per second over 12 data centres.
	maxWritesPerDataCentre = 100.0 / 12
)

// Bounds per host and per job, from section 1.3 of the design page.
const (
	maxCoresPerHost       = 0.043
	maxMemoryMBPerHost    = 64.0
	maxPeerBytesPerSecond = 2048.0
	maxCallsPerJob        = 0.5
)

// counters holds the counters of all processes at one time.
type counters struct {
	at            time.Time
	reads, writes int64
	starts        int
	cpu           []time.Duration
	peerBytes     int64
}

// shareRows runs every data centre at its share of the target load and measures the
// CPU time, memory and traffic of the hosts and the calls to the store.
func shareRows(c *cluster.Cluster) []bench.Row {
	idleStart := readCounters(c)
	time.Sleep(warmUpTime)
	idleEnd := readCounters(c)
	load := startLoad(c, func() []*cluster.Host { return c.Hosts }, startsPerDataCentre*dataCentres, shareRunTime)
	time.Sleep(warmUpTime)
	loadStart := readCounters(c)
	time.Sleep(measuredTime)
	loadEnd := readCounters(c)
	memory := 0.0
	for _, h := range c.Hosts {
		mb, err := residentMB(h.PID())
		if err != nil {
			c.T.Errorf("host %s: %v", h.ID, err)
		}
		memory = max(memory, mb)
	}
	load.stopAndWait()
	if n := load.skipped.Load(); n > 0 {
		c.T.Logf("%d submits were skipped because %d were in progress", n, maxOpenSubmits)
	}
	seconds := loadEnd.at.Sub(loadStart.at).Seconds()
	busiest, sum := 0.0, 0.0
	for i := range loadEnd.cpu {
		share := (loadEnd.cpu[i] - loadStart.cpu[i]).Seconds() / seconds
		busiest, sum = max(busiest, share), sum+share
	}
	writes, reads := float64(loadEnd.writes-loadStart.writes), float64(loadEnd.reads-loadStart.reads)
	jobs := float64(max(1, loadEnd.starts-loadStart.starts))
	hosts := float64(len(c.Hosts))
	idleBytes := float64(idleEnd.peerBytes-idleStart.peerBytes) / idleEnd.at.Sub(idleStart.at).Seconds() / hosts
	return []bench.Row{
		bench.Unbounded("process_starts_per_second_per_dc", jobs/seconds/dataCentres, "starts/s"),
		bench.AtMost("process_store_writes_per_second_per_dc", writes/seconds/dataCentres, "writes/s", maxWritesPerDataCentre),
		bench.AtMost("process_store_calls_per_job", (writes+reads)/jobs, "calls", maxCallsPerJob),
		bench.AtMost("process_core_share_busiest_node", busiest, "cores", maxCoresPerHost),
		bench.Unbounded("process_core_share_mean_node", sum/hosts, "cores"),
		bench.AtMost("process_resident_memory_largest_node", memory, "MB", maxMemoryMBPerHost),
		bench.AtMost("process_peer_bytes_per_node", float64(loadEnd.peerBytes-loadStart.peerBytes)/seconds/hosts, "bytes/s", maxPeerBytesPerSecond),
		bench.Unbounded("process_peer_bytes_per_node_idle", idleBytes, "bytes/s"),
	}
}

// readCounters reads all counters. Watches count as reads.
func readCounters(c *cluster.Cluster) counters {
	r := counters{at: time.Now()}
	report, err := c.Standin.StoreReport(context.Background())
	if err != nil {
		c.T.Errorf("read store counters: %v", err)
	}
	r.reads, r.writes = report.Reads+report.Watches, report.Writes
	for _, w := range c.Ledger().Workers {
		r.starts += len(w.Entries)
	}
	for _, h := range c.Hosts {
		cpu, err := processCPUTime(h.PID())
		if err != nil {
			c.T.Errorf("host %s: %v", h.ID, err)
		}
		r.cpu = append(r.cpu, cpu)
		r.peerBytes += h.PeerLink.ForwardedBytes()
	}
	return r
}
