package bench

import (
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
)

const (
	// A flood lasts from floodStartMS to floodEndMS.
	floodStartMS   = 60_000
	floodEndMS     = 240_000
	floodHorizonMS = 300_000
	// floodMeanRunTime is the mean run time of the flood's tasks. The 48 workers
	// have 384 slots and can start 384/60 = 6.4 such tasks per second, so
	// floodJobsPerSecond is ten times their capacity.
	floodMeanRunTime   = 60 * time.Second
	floodJobsPerSecond = 64.0
)

// floodTrace returns a trace of two teams that use less than half of the cell's
// capacity, and a third team that floods the cell with jobs of kind flood. If flood
// is empty, the third team submits nothing.
func floodTrace(seed uint64, flood core.KindName) *Trace {
	t := &Trace{Name: "flood", Seed: seed, HorizonMS: floodHorizonMS, Workers: workerGroups(smallWorkers, 0)}
	quota := t.totalCapacity()
	third := core.Resources{MilliCPU: quota.MilliCPU / 3, MemoryMB: quota.MemoryMB / 3, Slots: quota.Slots / 3}
	least := newKind("least", core.Background, taskRequest(4_000, 8<<10, 0), floodMeanRunTime)
	least.Preemption = allPreemption
	fixed := newKind("fixed", core.Background, taskRequest(4_000, 8<<10, 0), floodMeanRunTime)
	most := newKind("most", core.Urgent, taskRequest(4_000, 8<<10, 0), floodMeanRunTime)
	normal := newKind("normal", core.Normal, taskRequest(3_000, 8<<10, 0), floodMeanRunTime)
	normal.Preemption = allPreemption
	urgent := newKind("urgent", core.Urgent, taskRequest(1_000, 2<<10, 0), 20*time.Second)
	for _, team := range []core.TeamName{"alpha", "beta", "flooder"} {
		t.Documents = append(t.Documents, core.Document{
			Team: team, Weight: 1, Quota: third, Kinds: []core.Kind{least, fixed, most, normal, urgent},
		})
	}
	t.Jobs = append(t.Jobs, arrivalProcess{
		rng: newRand(seed, 1), team: "alpha", kind: "urgent", perSecond: 3, meanRunTime: 20 * time.Second, untilMS: floodEndMS,
	}.drawJobs()...)
	t.Jobs = append(t.Jobs, arrivalProcess{
		rng: newRand(seed, 2), team: "beta", kind: "normal", perSecond: 1.2, meanRunTime: floodMeanRunTime, untilMS: floodEndMS,
	}.drawJobs()...)
	if flood != "" {
		t.Jobs = append(t.Jobs, arrivalProcess{
			rng: newRand(seed, 3), team: "flooder", kind: flood, perSecond: floodJobsPerSecond, meanRunTime: floodMeanRunTime,
			fromMS: floodStartMS, untilMS: floodEndMS,
		}.drawJobs()...)
	}
	return t
}

// startDelays returns the sorted times from submit to first start of a team's jobs
// that arrived after the start of the flood. A job that never started counts as
// waiting until the end of the trace.
func startDelays(t *Trace, team core.TeamName, started map[core.JobID]core.Time) []time.Duration {
	var out []time.Duration
	for i := range t.Jobs {
		j := &t.Jobs[i]
		if j.Team != team || j.AtMS < floodStartMS {
			continue
		}
		wait := traceTime(t.HorizonMS).Sub(traceTime(j.AtMS))
		if s, ok := started[j.ID]; ok {
			wait = s.Sub(traceTime(j.AtMS))
		}
		out = append(out, wait)
	}
	slices.Sort(out)
	return out
}

// percentile returns the p-th percentile of sorted durations.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}

// runTrace runs a trace up to its horizon.
func runTrace(t *Trace) *Cell {
	c := NewCell(t, nil)
	c.Run(t.HorizonMS)
	return c
}

// waitRows measures how long urgent jobs wait while another team floods the cell.
func waitRows(seed uint64) []Row {
	const bound = 1.5
	calm := floodTrace(seed, "")
	calmP99 := percentile(startDelays(calm, "alpha", runTrace(calm).Stats.Started), 99)
	firstFitCalmP99 := percentile(startDelays(calm, "alpha", runBaseline(calm, firstFit, 0, floodHorizonMS).started), 99)
	var rows []Row
	for _, flood := range []core.KindName{"least", "fixed"} {
		t := floodTrace(seed, flood)
		floodP99 := percentile(startDelays(t, "alpha", runTrace(t).Stats.Started), 99)
		firstFitP99 := percentile(startDelays(t, "alpha", runBaseline(t, firstFit, 0, floodHorizonMS).started), 99)
		name := map[core.KindName]string{"least": "urgent_wait_flood_p99_ratio", "fixed": "urgent_wait_flood_not_preemptible_p99_ratio"}[flood]
		rows = append(rows,
			AtMost(name, floodP99.Seconds()/calmP99.Seconds(), "ratio", bound).
				WithBaseline(firstFitP99.Seconds()/max(workerLatency, firstFitCalmP99).Seconds()),
			Unbounded(name[:len(name)-len("_ratio")], floodP99.Seconds(), "s").WithBaseline(firstFitP99.Seconds()))
	}
	return append(rows, Unbounded("urgent_wait_calm_p99", calmP99.Seconds(), "s").WithBaseline(firstFitCalmP99.Seconds()))
}

// otherTeamSuccesses returns the number of jobs of the other teams that ended by
// the end of the flood, given the end times of the successful jobs.
func otherTeamSuccesses(t *Trace, ended map[core.JobID]core.Time) float64 {
	n := 0.0
	for i := range t.Jobs {
		j := &t.Jobs[i]
		if end, ok := ended[j.ID]; ok && j.Team != "flooder" && end <= traceTime(floodEndMS) {
			n++
		}
	}
	return n
}

// successTimes returns the end times of the jobs that succeeded.
func (c *Cell) successTimes() map[core.JobID]core.Time {
	out := map[core.JobID]core.Time{}
	for id, s := range c.Stats.FinalStatus {
		if s.State == core.JobSucceeded {
			out[id] = c.Stats.Ended[id]
		}
	}
	return out
}

// floodRows measures the share of their completions that the other teams keep while
// one team floods the cell.
func floodRows(seed uint64) []Row {
	const bound = 0.95
	calm := floodTrace(seed, "")
	calmSuccesses := otherTeamSuccesses(calm, runTrace(calm).successTimes())
	firstFitCalmSuccesses := otherTeamSuccesses(calm, runBaseline(calm, firstFit, 0, floodHorizonMS).ended)
	var rows []Row
	for _, f := range []struct {
		kind core.KindName
		name string
	}{{"least", "other_teams_kept_least_urgent_flood"}, {"most", "other_teams_kept_most_urgent_flood"}} {
		t := floodTrace(seed, f.kind)
		keptShare := otherTeamSuccesses(t, runTrace(t).successTimes()) / calmSuccesses
		firstFitKeptShare := otherTeamSuccesses(t, runBaseline(t, firstFit, 0, floodHorizonMS).ended) / firstFitCalmSuccesses
		rows = append(rows, AtLeast(f.name, keptShare, "ratio", bound).WithBaseline(firstFitKeptShare))
	}
	return rows
}

// urgentStartTrace returns a trace of urgent arrivals in a cell that stays full of
// batch jobs.
func urgentStartTrace(seed uint64) *Trace {
	t := floodTrace(seed, "")
	t.Name, t.Jobs = "urgent_start", nil
	rng := newRand(seed, 4)
	const batch = 1500 // about four times the slots of the cell
	for n := range batch {
		team := t.Documents[n%2+1].Team
		t.Jobs = append(t.Jobs, Job{
			ID: core.JobID("batch-" + string(team) + "-" + itoa(n)), AtMS: 0, Team: team, Kind: "least",
			RunMS: exponentialRunMS(rng, 10*time.Minute),
		})
	}
	t.Jobs = append(t.Jobs, arrivalProcess{
		rng: rng, team: "alpha", kind: "urgent", perSecond: 3, meanRunTime: 20 * time.Second,
		fromMS: floodStartMS, untilMS: floodEndMS,
	}.drawJobs()...)
	return t
}

// urgentStartRows measures how long urgent jobs wait in a cell full of batch jobs.
func urgentStartRows(seed uint64) []Row {
	const bound = 4.0
	t := urgentStartTrace(seed)
	p99 := percentile(startDelays(t, "alpha", runTrace(t).Stats.Started), 99)
	firstFitP99 := percentile(startDelays(t, "alpha", runBaseline(t, firstFit, 0, floodHorizonMS).started), 99)
	return []Row{AtMost("urgent_start_full_cell_p99", p99.Seconds(), "s", bound).WithBaseline(firstFitP99.Seconds())}
}
