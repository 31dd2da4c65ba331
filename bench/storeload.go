package bench

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"banyanrun.example/banyanrun/core"
)

const (
	targetDataCentres    = 12
	workersPerDataCentre = 317 // 3,800 over 12 data centres
	hostsPerDataCentre   = 6
	storeWarmUpMS        = 30_000
	storeHorizonMS       = 150_000
)

// itoa formats the number in a generated id.
func itoa(n int) string { return strconv.Itoa(n) }

// dataCentreTrace returns a trace for one data centre at its share of the peak
// start rate. A third of the jobs is not idempotent and needs a journal record
// before the start.
func dataCentreTrace(seed uint64) *Trace {
	t := &Trace{Name: "centre", Seed: seed, HorizonMS: storeHorizonMS, Workers: workerGroups(workersPerDataCentre, 0)}
	billed := newKind("billed", core.Normal, taskRequest(2_000, 4<<10, 0), time.Minute)
	billed.Idempotent = false
	kinds := []core.Kind{newKind("batch", core.Normal, taskRequest(2_000, 4<<10, 0), time.Minute), billed}
	const teams = targetTeams / targetDataCentres
	const rate = float64(targetStartsPerSecond) / targetDataCentres / teams
	for n := range teams {
		team := core.TeamName(fmt.Sprintf("team-%03d", n))
		t.Documents = append(t.Documents, core.Document{Team: team, Weight: 1, Kinds: kinds})
		for i, k := range []core.KindName{"batch", "billed"} {
			share := []float64{2, 1}[i] / 3
			t.Jobs = append(t.Jobs, arrivalProcess{
				rng: newRand(seed, uint64(2*n+i)), team: team, kind: k, perSecond: rate * share,
				meanRunTime: time.Minute, untilMS: storeHorizonMS,
			}.drawJobs()...)
		}
	}
	return t
}

// storeLoad is the load of one data centre on the store and between its hosts.
type storeLoad struct {
	reads, writes, starts        int
	journalBytes, heartbeatBytes int
}

// measureDataCentre runs one data centre whose owner has five peers.
func measureDataCentre(seed uint64) storeLoad {
	var l storeLoad
	counting := false
	c := NewCell(dataCentreTrace(seed), func(_ core.EventBody, effects []core.Effect, _ time.Duration) {
		if counting {
			l.heartbeatBytes += encodedHeartbeatBytes(effects)
		}
	})
	c.addPeers(hostsPerDataCentre - 1)
	c.Run(storeWarmUpMS)
	reads, writes, starts := c.store.reads, c.store.writes, c.Stats.Starts
	c.store.measureBytes, counting = true, true
	c.run(traceTime(storeHorizonMS))
	l.reads, l.writes, l.starts = c.store.reads-reads, c.store.writes-writes, c.Stats.Starts-starts
	l.journalBytes = c.store.journalBytes
	return l
}

// encodedHeartbeatBytes returns the total size of the encoded heartbeats among
// effects.
func encodedHeartbeatBytes(effects []core.Effect) int {
	n := 0
	for _, f := range effects {
		if h, ok := f.(core.SendHeartbeat); ok {
			// Encoding a heartbeat cannot fail, since it is plain data.
			data, _ := json.Marshal(h.Heartbeat)
			n += len(data)
		}
	}
	return n
}

// addPeers adds n entry hosts to the data centre, each of which sends one heartbeat
// per second.
func (c *Cell) addPeers(n int) {
	for i := range n {
		id := core.HostID("entry-" + itoa(i+2))
		c.hosts = append(c.hosts, core.ListedHost{
			ID: id, Address: string(id), DataCentre: dataCentre, Region: region,
		})
		c.scheduleHeartbeats(id)
	}
}

// scheduleHeartbeats posts a heartbeat of a follower every second.
func (c *Cell) scheduleHeartbeats(id core.HostID) {
	c.after(time.Second, func() {
		c.step(core.PeerHeard{Heartbeat: core.Heartbeat{From: id, Address: string(id), Incarnation: 1}})
		c.scheduleHeartbeats(id)
	})
}

// storeRows measures the load on the store and between hosts at the peak start
// rate.
func storeRows(seed uint64) []Row {
	const writeBound, callBound, bytesBound = 100.0, 0.5, 2048.0
	var sum storeLoad
	for n := range uint64(targetDataCentres) {
		l := measureDataCentre(seed + n)
		sum.reads += l.reads
		sum.writes += l.writes
		sum.starts += l.starts
		sum.journalBytes += l.journalBytes
		sum.heartbeatBytes += l.heartbeatBytes
	}
	const seconds = float64(storeHorizonMS-storeWarmUpMS) / 1000
	return []Row{
		AtMost("store_writes_per_second", float64(sum.writes)/seconds, "writes/s", writeBound),
		Unbounded("store_starts_per_second", float64(sum.starts)/seconds, "starts/s"),
		AtMost("store_calls_per_job", float64(sum.reads+sum.writes)/float64(max(1, sum.starts)), "calls", callBound),
		AtMost("heartbeat_bytes_per_node", float64(sum.heartbeatBytes)/seconds/targetDataCentres, "bytes/s", bytesBound),
		Unbounded("journal_bytes_per_worker", float64(sum.journalBytes)/seconds/targetWorkers, "bytes/s"),
		Unbounded("journal_bytes_per_owner", float64(sum.journalBytes)/seconds/targetDataCentres, "bytes/s"),
	}
}
