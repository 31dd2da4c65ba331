package bench

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"banyanrun.example/banyanrun/core"
)

const (
	targetCentres = 12
	centreWorkers = 317 // 3,800 over 12 data centres
	centreHosts   = 6
	storeWarmMS   = 30_000
	storeEndMS    = 150_000
)

// itoa formats a number of a generated id.
func itoa(n int) string { return strconv.Itoa(n) }

// centreTrace is one data centre at its share of the peak start rate. A third of
// the jobs is not idempotent and needs a record before its start.
func centreTrace(seed uint64) *Trace {
	t := &Trace{Name: "centre", Seed: seed, HorizonMS: storeEndMS, Workers: racks(centreWorkers, 0)}
	billed := kind("billed", core.Normal, request(2_000, 4<<10, 0), time.Minute)
	billed.Idempotent = false
	kinds := []core.Kind{kind("batch", core.Normal, request(2_000, 4<<10, 0), time.Minute), billed}
	const teams = targetTeams / targetCentres
	const rate = float64(startsPerSecond) / targetCentres / teams
	for n := range teams {
		team := core.TeamName(fmt.Sprintf("team-%03d", n))
		t.Documents = append(t.Documents, core.Document{Team: team, Weight: 1, Kinds: kinds})
		for i, k := range []core.KindName{"batch", "billed"} {
			share := []float64{2, 1}[i] / 3
			t.Jobs = append(t.Jobs, arrivals{
				rng: generator(seed, uint64(2*n+i)), team: team, kind: k, perSecond: rate * share,
				mean: time.Minute, untilMS: storeEndMS,
			}.draw()...)
		}
	}
	return t
}

// storeLoad is what one data centre asked of the store and its hosts.
type storeLoad struct {
	reads, writes, starts  int
	journalBytes, peerByte int
}

// measureCentre runs one data centre whose owner has five peers.
func measureCentre(seed uint64) storeLoad {
	var l storeLoad
	counting := false
	c := NewCell(centreTrace(seed), func(_ core.EventBody, effects []core.Effect, _ time.Duration) {
		if counting {
			l.peerByte += heartbeatBytes(effects)
		}
	})
	c.addPeers(centreHosts - 1)
	c.Run(storeWarmMS)
	reads, writes, starts := c.store.reads, c.store.writes, c.Stats.Tasks
	c.store.measureBytes, counting = true, true
	c.run(at(storeEndMS))
	l.reads, l.writes, l.starts = c.store.reads-reads, c.store.writes-writes, c.Stats.Tasks-starts
	l.journalBytes = c.store.journalBytes
	return l
}

// heartbeatBytes sums the encoded heartbeats among effects.
func heartbeatBytes(effects []core.Effect) int {
	n := 0
	for _, f := range effects {
		if h, ok := f.(core.SendHeartbeat); ok {
			// A heartbeat is plain data, which always encodes.
			data, _ := json.Marshal(h.Heartbeat)
			n += len(data)
		}
	}
	return n
}

// addPeers lists other entry hosts of the data centre, which send a heartbeat a
// second.
func (c *Cell) addPeers(n int) {
	for i := range n {
		id := core.HostID("entry-" + itoa(i+2))
		c.hosts = append(c.hosts, core.ListedHost{
			ID: id, Address: string(id), DataCentre: dataCentre, Region: region,
		})
		c.beat(id)
	}
}

// beat posts the heartbeat of a follower for ever.
func (c *Cell) beat(id core.HostID) {
	c.after(time.Second, func() {
		c.step(core.PeerHeard{Heartbeat: core.Heartbeat{From: id, Address: string(id), Incarnation: 1}})
		c.beat(id)
	})
}

// storeRows measures the load on the store and between hosts at peak.
func storeRows(seed uint64) []Row {
	const writeBound, callBound, bytesBound = 100.0, 0.5, 2048.0
	var sum storeLoad
	for n := range uint64(targetCentres) {
		l := measureCentre(seed + n)
		sum.reads += l.reads
		sum.writes += l.writes
		sum.starts += l.starts
		sum.journalBytes += l.journalBytes
		sum.peerByte += l.peerByte
	}
	const seconds = float64(storeEndMS-storeWarmMS) / 1000
	return []Row{
		AtMost("store_writes_per_second", float64(sum.writes)/seconds, "writes/s", writeBound),
		Figure("store_starts_per_second", float64(sum.starts)/seconds, "starts/s"),
		AtMost("store_calls_per_job", float64(sum.reads+sum.writes)/float64(max(1, sum.starts)), "calls", callBound),
		AtMost("heartbeat_bytes_per_node", float64(sum.peerByte)/seconds/targetCentres, "bytes/s", bytesBound),
		Figure("journal_bytes_per_worker", float64(sum.journalBytes)/seconds/targetWorkers, "bytes/s"),
		Figure("journal_bytes_per_owner", float64(sum.journalBytes)/seconds/targetCentres, "bytes/s"),
	}
}
