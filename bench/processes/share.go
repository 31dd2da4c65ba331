package processes

import (
	"context"
	"time"

	"banyanrun.example/banyanrun/bench"
	"banyanrun.example/banyanrun/integration/cluster"
)

const (
	// startsPerDC is the part of a data centre in 250 starts a second over 12
	// data centres.
	startsPerDC = 21.0
	jobRun      = time.Second
	warmFor     = 10 * time.Second
	measureFor  = 30 * time.Second
	// writesPerDC is the part of a data centre in 100 store writes a second.
	writesPerDC = 100.0 / 12
)

// Bounds for each node, from section 1.3 of the design page, and calls per job.
const (
	coreBound     = 0.043
	memoryBoundMB = 64.0
	bytesBound    = 2048.0
	callsBound    = 0.5
)

// reading is what the counters of all processes show at a moment.
type reading struct {
	at            time.Time
	reads, writes int64
	starts        int
	cpu           []time.Duration
	peerBytes     int64
}

// shareRows puts the node's part of the target load on every data centre and
// measures what the hosts and the store spend on it.
func shareRows(c *cluster.Cluster) []bench.Row {
	idle := read(c)
	time.Sleep(warmFor)
	quiet := read(c)
	load := startLoad(c, func() []*cluster.Host { return c.Hosts }, startsPerDC*dataCentres, jobRun)
	time.Sleep(warmFor)
	before := read(c)
	time.Sleep(measureFor)
	after := read(c)
	memory := 0.0
	for _, h := range c.Hosts {
		mb, err := residentMB(h.PID())
		if err != nil {
			c.T.Errorf("host %s: %v", h.ID, err)
		}
		memory = max(memory, mb)
	}
	load.end()
	if n := load.skipped.Load(); n > 0 {
		c.T.Logf("%d submits were left out because %d were in progress", n, maxOpen)
	}
	seconds := after.at.Sub(before.at).Seconds()
	busiest, sum := 0.0, 0.0
	for i := range after.cpu {
		share := (after.cpu[i] - before.cpu[i]).Seconds() / seconds
		busiest, sum = max(busiest, share), sum+share
	}
	writes, reads := float64(after.writes-before.writes), float64(after.reads-before.reads)
	jobs := float64(max(1, after.starts-before.starts))
	nodes := float64(len(c.Hosts))
	idleBytes := float64(quiet.peerBytes-idle.peerBytes) / quiet.at.Sub(idle.at).Seconds() / nodes
	return []bench.Row{
		bench.Unbounded("process_starts_per_second_per_dc", jobs/seconds/dataCentres, "starts/s"),
		bench.AtMost("process_store_writes_per_second_per_dc", writes/seconds/dataCentres, "writes/s", writesPerDC),
		bench.AtMost("process_store_calls_per_job", (writes+reads)/jobs, "calls", callsBound),
		bench.AtMost("process_core_share_busiest_node", busiest, "cores", coreBound),
		bench.Unbounded("process_core_share_mean_node", sum/nodes, "cores"),
		bench.AtMost("process_resident_memory_largest_node", memory, "MB", memoryBoundMB),
		bench.AtMost("process_peer_bytes_per_node", float64(after.peerBytes-before.peerBytes)/seconds/nodes, "bytes/s", bytesBound),
		bench.Unbounded("process_peer_bytes_per_node_idle", idleBytes, "bytes/s"),
	}
}

// read reads all counters. Watches count as reads.
func read(c *cluster.Cluster) reading {
	r := reading{at: time.Now()}
	report, err := c.Standin.StoreReport(context.Background())
	if err != nil {
		c.T.Errorf("read counts of the store: %v", err)
	}
	r.reads, r.writes = report.Reads+report.Watches, report.Writes
	for _, w := range c.Ledger().Workers {
		r.starts += len(w.Entries)
	}
	for _, h := range c.Hosts {
		cpu, err := processorTime(h.PID())
		if err != nil {
			c.T.Errorf("host %s: %v", h.ID, err)
		}
		r.cpu = append(r.cpu, cpu)
		r.peerBytes += h.PeerLink.Passed()
	}
	return r
}
