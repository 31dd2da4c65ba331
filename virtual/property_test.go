package virtual

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
)

// TestMain sets a fixed seed for the property tests unless the command line
// sets one, so that the result does not vary between runs.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	defaults := map[string]string{"rapid.seed": "1", "rapid.checks": "25", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"}
	for name, value := range defaults {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

const (
	// faultTime is the duration of load and faults. All faults have ended
	// after healTime.
	faultTime = 50 * time.Second
	healTime  = 70 * time.Second
)

// fault is a named fault. inject starts it and returns the function that ends
// it.
type fault struct {
	name   string
	inject func(c *Cluster, a, b int) (end func())
}

// pick returns list[i], wrapping around at the end.
func pick[E any](list []E, i int) E { return list[i%len(list)] }

func (c *Cluster) hostAt(i int) core.HostID     { return pick(c.hostList, i).id }
func (c *Cluster) workerAt(i int) core.WorkerID { return pick(c.workerList, i).id }

// ownerOr returns the owner of the first data centre, or host i if there is
// none.
func (c *Cluster) ownerOr(i int) core.HostID {
	if o := c.Owner(c.cfg.DataCentres[0].Name); o != "" {
		return o
	}
	return c.hostAt(i)
}

func (c *Cluster) endpointAt(i int) Endpoint {
	endpoints := []Endpoint{Store}
	for _, h := range c.hostList {
		endpoints = append(endpoints, Endpoint(h.id))
	}
	for _, w := range c.workerList {
		endpoints = append(endpoints, Endpoint(w.id))
	}
	return pick(endpoints, i)
}

func hostFaults() []fault {
	kill := func(c *Cluster, id core.HostID) func() {
		if !c.hosts[id].alive {
			return func() {}
		}
		c.KillHost(id)
		return func() {
			if !c.hosts[id].alive {
				c.RestartHost(id)
			}
		}
	}
	pause := func(c *Cluster, id core.HostID) func() {
		c.PauseHost(id)
		return func() { c.ResumeHost(id) }
	}
	return []fault{
		{"kill the owner", func(c *Cluster, a, _ int) func() { return kill(c, c.ownerOr(a)) }},
		{"kill a host", func(c *Cluster, a, _ int) func() { return kill(c, c.hostAt(a)) }},
		{"pause the owner", func(c *Cluster, a, _ int) func() { return pause(c, c.ownerOr(a)) }},
		{"pause a host", func(c *Cluster, a, _ int) func() { return pause(c, c.hostAt(a)) }},
		{"pause the owner before a start", func(c *Cluster, a, b int) func() {
			c.PauseHostAt(c.ownerOr(a), time.Duration(b%20)*time.Second, func(f core.Effect) bool {
				_, ok := f.(core.StartTask)
				return ok
			})
			return func() {}
		}},
		{"drain a host", func(c *Cluster, a, _ int) func() {
			id := c.hostAt(a)
			c.Drain(id)
			return func() { c.RestartHost(id) }
		}},
	}
}

func storeFaults() []fault {
	outage := func(o store.Outage) func(*Cluster, int, int) func() {
		return func(c *Cluster, _, _ int) func() {
			c.SetOutage(o)
			return func() { c.SetOutage(store.OutageNone) }
		}
	}
	return []fault{
		{"store refuses", outage(store.OutageRefuse)},
		{"store hangs", outage(store.OutageHang)},
		{"store is slow", func(c *Cluster, a, _ int) func() {
			c.DelayStore(time.Duration(a%30) * 100 * time.Millisecond)
			return func() { c.DelayStore(0) }
		}},
		{"store reads are stale", func(c *Cluster, a, _ int) func() {
			c.StaleStore(time.Duration(a%10) * time.Second)
			return func() { c.StaleStore(0) }
		}},
		{"answers of the store are lost", func(c *Cluster, a, b int) func() {
			p := core.Purpose(a % (int(core.PurposeDocumentHistory) + 1))
			c.LoseStoreAnswers(p, 1+b%3)
			return func() { c.LoseStoreAnswers(p, 0) }
		}},
	}
}

func linkFaults() []fault {
	return []fault{
		{"a host reaches only callers", func(c *Cluster, a, _ int) func() {
			one := []Endpoint{Endpoint(c.hostAt(a))}
			var rest []Endpoint
			for i := range 1 + len(c.hostList) + len(c.workerList) {
				if p := c.endpointAt(i); p != one[0] {
					rest = append(rest, p)
				}
			}
			c.Partition(one, rest, true)
			return func() { c.Partition(one, rest, false) }
		}},
		{"a link drops", func(c *Cluster, a, b int) func() {
			from, to := c.endpointAt(a), c.endpointAt(b)
			c.Drop(from, to, true)
			return func() { c.Drop(from, to, false) }
		}},
		{"the owner's link to a worker drops the answers", func(c *Cluster, a, b int) func() {
			from, to := Endpoint(c.workerAt(a)), Endpoint(c.ownerOr(b))
			c.Drop(from, to, true)
			return func() { c.Drop(from, to, false) }
		}},
		{"a link is slow", func(c *Cluster, a, b int) func() {
			from, to := c.endpointAt(a), c.endpointAt(b)
			c.Delay(from, to, 3*time.Second)
			return func() { c.Delay(from, to, 0) }
		}},
		{"a link repeats", func(c *Cluster, a, b int) func() {
			from, to := c.endpointAt(a), c.endpointAt(b)
			if to == Store {
				return func() {}
			}
			c.Duplicate(from, to, true)
			return func() { c.Duplicate(from, to, false) }
		}},
	}
}

func workerFaults() []fault {
	return []fault{
		{"kill a worker", func(c *Cluster, a, _ int) func() {
			id := c.workerAt(a)
			c.KillWorker(id)
			return func() { c.RestartWorker(id) }
		}},
		{"restart a worker", func(c *Cluster, a, _ int) func() {
			c.RestartWorker(c.workerAt(a))
			return func() {}
		}},
		{"a worker is silent", func(c *Cluster, a, _ int) func() {
			id := c.workerAt(a)
			c.SilenceWorker(id, true)
			return func() { c.SilenceWorker(id, false) }
		}},
		{"a worker is mute", func(c *Cluster, a, _ int) func() {
			id := c.workerAt(a)
			c.MuteWorker(id, true)
			return func() { c.MuteWorker(id, false) }
		}},
		{"a worker fails everything", func(c *Cluster, a, _ int) func() {
			id := c.workerAt(a)
			c.FailWorker(id, true)
			return func() { c.FailWorker(id, false) }
		}},
		{"a worker leaves", func(c *Cluster, a, _ int) func() {
			c.LeaveWorker(c.workerAt(a), false)
			return func() {}
		}},
	}
}

// scheduleLoad schedules jobs, cancellations, calls and edits over faultTime.
// The number of jobs is random.
func scheduleLoad(c *Cluster, rt *rapid.T) {
	kinds := []core.KindName{"batch", "billed", "gang"}
	teams := []core.TeamName{"red", "blue"}
	n := rapid.IntRange(5, 60).Draw(rt, "jobs")
	for i := range n {
		at := time.Duration(i) * faultTime / time.Duration(n)
		kind, team := pick(kinds, i), pick(teams, i/2)
		run := 200 + int64(i*7919%13)*900
		c.After(at, func() {
			c.Submit(Job{
				ID: core.JobID(fmt.Sprintf("%s-%d", kind, i)), Team: team, Kind: kind,
				Host: c.randomHost(c.hostList[i%len(c.hostList)]), Program: worker.Program{RunMS: run},
				Deadline: time.Minute, PollGrace: 2 * time.Minute,
			})
			if i%9 == 4 {
				c.After(time.Duration(i%5)*time.Second, func() {
					c.Cancel(core.JobID(fmt.Sprintf("%s-%d", kind, i)), c.randomHost(c.hostList[0]))
				})
			}
		})
	}
	for i := range 4 * n {
		at := time.Duration(i) * faultTime / time.Duration(4*n)
		c.After(at, func() {
			c.Call(Call{
				ID: "call-" + strconv.Itoa(i), Team: pick(teams, i), Kind: pick([]core.KindName{"lookup", "preview"}, i/2),
				Host: c.randomHost(pick(c.hostList, i)), Program: worker.Program{RunMS: 30 + int64(i%7)*300},
			})
		})
	}
	for i := range 6 {
		c.After(time.Duration(i)*7*time.Second, func() {
			host := c.hosts[c.randomHost(pick(c.hostList, i))]
			d := testDocument("red")
			d.Weight = int64(i + 1)
			for _, author := range []string{"a", "b"} {
				c.Edit(Edit{Document: d, Base: host.revisions["red"], Author: author + strconv.Itoa(i), Host: host.id})
			}
		})
	}
}

// runFaults runs a schedule of up to four faults, ends them all, and checks the
// guarantees.
func runFaults(rt *rapid.T, cfg Config, faults []fault) *Cluster {
	cfg.Seed = rapid.Uint64().Draw(rt, "seed")
	cfg.Jitter = time.Duration(rapid.IntRange(0, 20).Draw(rt, "jitter")) * time.Millisecond
	c := New(cfg)
	c.RunFor(5 * time.Second)
	scheduleLoad(c, rt)
	begin := c.now
	var ends []func()
	for i := range rapid.IntRange(0, 4).Draw(rt, "faults") {
		f := rapid.SampledFrom(faults).Draw(rt, "fault "+strconv.Itoa(i))
		a, b := rapid.IntRange(0, 99).Draw(rt, "a"), rapid.IntRange(0, 99).Draw(rt, "b")
		start := time.Duration(rapid.IntRange(0, 500).Draw(rt, "at")) * faultTime / 500
		duration := time.Duration(rapid.IntRange(0, 300).Draw(rt, "for")) * 100 * time.Millisecond
		rt.Logf("%v for %v: %s %d %d", start, duration, f.name, a, b)
		c.After(start, func() {
			end := f.inject(c, a, b)
			ends = append(ends, end)
			c.After(duration, end)
		})
	}
	c.RunUntil(begin.Add(healTime))
	for _, end := range ends {
		end()
	}
	for _, h := range c.hostList {
		if !h.alive {
			c.RestartHost(h.id)
		}
	}
	c.RunUntil(begin.Add(faultTime + time.Minute + recovery + time.Minute))
	checkGuarantees(rt, c)
	return c
}

// checkFaults runs random schedules of faults.
func checkFaults(t *testing.T, cfg Config, faults []fault) {
	t.Helper()
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) { runFaults(rt, cfg, faults) })
}

func (f fault) String() string { return f.name }

func testConfig() Config {
	return Config{
		DataCentres: []DataCentre{testDataCentre("a", "r", 3, 4)},
		Documents:   []core.Document{testDocument("red"), testDocument("blue")},
	}
}

// Guards against takeovers that lose jobs, run them twice, or report wrongly
// that they have not run.
func TestFaultsOfHosts(t *testing.T) {
	checkFaults(t, testConfig(), hostFaults())
}

// Guards against work that is lost or run twice when the store fails.
func TestFaultsOfTheStore(t *testing.T) {
	checkFaults(t, testConfig(), storeFaults())
}

// Guards against owners and workers whose views differ after lost or late
// messages.
func TestFaultsOfLinks(t *testing.T) {
	checkFaults(t, testConfig(), linkFaults())
}

// Guards against wrong conclusions about what has run on a worker that failed.
func TestFaultsOfWorkers(t *testing.T) {
	checkFaults(t, testConfig(), workerFaults())
}

func allFaults() []fault {
	return append(append(append(hostFaults(), storeFaults()...), linkFaults()...), workerFaults()...)
}

// Guards against faults that are handled singly but not in combination.
func TestFaultsOfAllKindsTogether(t *testing.T) {
	checkFaults(t, testConfig(), allFaults())
}

// Guards against faults of the links between data centres, and against a job
// that is lost, run twice or wrongly reported as not run when it moves to the
// other data centre. Within a region, a job moves when the wait there is
// shorter.
func TestFaultsWithTwoDataCentres(t *testing.T) {
	for _, tc := range []struct{ name, other string }{
		{"in two regions", "r2"},
		{"in one region", "r"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.DataCentres = []DataCentre{testDataCentre("a", "r", 2, 2), testDataCentre("b", tc.other, 2, 2)}
			checkFaults(t, cfg, allFaults())
		})
	}
}
