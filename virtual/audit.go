package virtual

import (
	"fmt"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
)

// Traffic counts messages and their approximate bytes.
type MessageStats struct {
	Messages int64
	Bytes    int64
}

// Counts sums what the cluster has carried out.
type Counts struct {
	Steps      int64
	StartsSent int64
	Signals    int64
	Syncs      int64
	Forwards   int64
	HostLists  int64
	// Store counts the calls to the store by purpose.
	Store map[core.Purpose]int64
	// Peer counts the messages between hosts by their kind: heartbeat,
	// summary and documents.
	Peer map[string]MessageStats
	// Metrics sums the counters of all hosts.
	Metrics map[core.Metric]int
}

func newCounts() Counts {
	return Counts{Store: map[core.Purpose]int64{}, Peer: map[string]MessageStats{}, Metrics: map[core.Metric]int{}}
}

// Counts returns the sums so far. Its maps must not be changed.
func (c *Cluster) Counts() Counts { return c.counts }

// StoreReport returns the store's own counts.
func (c *Cluster) StoreReport() store.Report {
	for _, f := range c.store.reducer.Step(store.Event{At: c.now, Body: store.ReportRequested{}}) {
		if a, ok := f.(store.Answer); ok {
			if report, ok := a.Body.(store.Report); ok {
				return report
			}
		}
	}
	return store.Report{}
}

// WorkerReports returns the accounts of all workers, in the order of Config.
func (c *Cluster) WorkerReports() []worker.Report {
	var out []worker.Report
	for _, w := range c.workerList {
		for _, f := range w.reducer.Step(worker.Event{At: c.now, Body: worker.ReportRequested{}}) {
			if a, ok := f.(worker.Answer); ok {
				if report, ok := a.Body.(worker.Report); ok {
					out = append(out, report)
				}
			}
		}
	}
	return out
}

// Jobs returns the submitted jobs in the order of their submission.
func (c *Cluster) Jobs() []*Job {
	out := make([]*Job, 0, len(c.jobIDs))
	for _, id := range c.jobIDs {
		out = append(out, c.jobs[id])
	}
	return out
}

// Calls returns the interactive requests in the order of their beginning.
func (c *Cluster) Calls() []*Call { return c.calls }

// Revert is a host that had an older document in force after a newer one.
type Revert struct {
	Host core.HostID
	Team core.TeamName
	From core.Revision
	To   core.Revision
}

// Accounts judges a run by the ledgers of the workers and by what callers and
// operators were told.
type Audit struct {
	Summary worker.Summary
	// Lost are accepted jobs whose callers know no final outcome by their
	// deadline and the recovery time.
	Lost []core.JobID
	// Changed are jobs with two different final outcomes.
	OutcomeChanged []core.JobID
	// Doubled are tasks, and calls that are not idempotent, that ran twice at
	// one moment. An idempotent call may be tried again while the worker that
	// gave no answer still runs it.
	Overlapping []worker.RepeatedWork
	// Repeated are tasks and calls that are not idempotent and were started
	// more than once, from a checkpoint or not.
	Repeated []worker.RepeatedWork
	// FalseRefusals are ids that were answered as not run and are in a ledger.
	FalseNotRun []string
	// OverAssigned counts starts that exceeded a worker's capacity.
	OverAssigned int
	// LateStarts counts starts later than 3 s after the list showed the
	// worker as leaving.
	StartsAfterLeaving int
	Reverts            []Revert
	// LostEdits are the authors of accepted edits that the store does not
	// hold. Each edit needs an author of its own, and the store must be up.
	LostEdits []string
}

// Faults lists what violates a guarantee.
func (a *Audit) Violations() []string {
	var out []string
	add := func(what string, n int, detail any) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%s: %d %+v", what, n, detail))
		}
	}
	add("lost", len(a.Lost), a.Lost)
	add("final outcome changed", len(a.OutcomeChanged), a.OutcomeChanged)
	add("ran twice at a moment", len(a.Overlapping), a.Overlapping)
	add("not idempotent, started again", len(a.Repeated), a.Repeated)
	add("false not run", len(a.FalseNotRun), a.FalseNotRun)
	add("over-assigned", a.OverAssigned, "")
	add("started on a leaving worker", a.StartsAfterLeaving, "")
	add("reverted", len(a.Reverts), a.Reverts)
	add("lost edits", len(a.LostEdits), a.LostEdits)
	return out
}

// Accounts judges the run so far. Jobs count as lost after their deadline and
// recovery.
func (c *Cluster) Audit(recovery time.Duration) *Audit {
	reports := c.WorkerReports()
	a := &Audit{Summary: worker.Summarize(reports), Reverts: slices.Clone(c.reverts), LostEdits: c.lostEdits()}
	a.OverAssigned, a.StartsAfterLeaving = a.Summary.OverAssigned, a.Summary.StartsAfterLeaving
	for _, d := range a.Summary.Overlapping {
		if d.Entry == worker.EntryTask || !c.idempotent(d.Team, d.Kind) {
			a.Overlapping = append(a.Overlapping, d)
		}
	}
	ran := map[string]bool{}
	for _, r := range reports {
		for _, e := range r.Entries {
			ran[string(e.Entry)+e.Job] = true
		}
	}
	for _, r := range a.Summary.Repeated {
		if !c.idempotent(r.Team, r.Kind) {
			a.Repeated = append(a.Repeated, r)
		}
	}
	for _, j := range c.Jobs() {
		if j.Accepted != 0 && j.Ended == 0 && !j.SubmitOnly && c.now.Sub(j.Submitted) > j.Deadline+recovery {
			a.Lost = append(a.Lost, j.ID)
		}
		if j.OutcomeChanged {
			a.OutcomeChanged = append(a.OutcomeChanged, j.ID)
		}
		if j.ReportedNotRun && ran[string(worker.EntryTask)+string(j.ID)] {
			a.FalseNotRun = append(a.FalseNotRun, string(j.ID))
		}
	}
	for _, call := range c.calls {
		if call.Refusal != nil && call.Refusal.Verdict == core.NotRun && ran[string(worker.EntryCall)+call.ID] {
			a.FalseNotRun = append(a.FalseNotRun, call.ID)
		}
	}
	return a
}

// kind returns a kind by the first documents, or nil.
func (c *Cluster) kind(team core.TeamName, name core.KindName) *core.Kind {
	for i := range c.cfg.Documents {
		if d := &c.cfg.Documents[i]; d.Team == team {
			if k, ok := d.Kind(name); ok {
				return k
			}
		}
	}
	return nil
}

// idempotent reports whether a kind is idempotent.
func (c *Cluster) idempotent(team core.TeamName, kind core.KindName) bool {
	k := c.kind(team, kind)
	return k == nil || k.Idempotent
}

// lostEdits lists the accepted edits that the store does not hold.
func (c *Cluster) lostEdits() []string {
	var out []string
	for _, e := range c.edits {
		if e.Applied == nil {
			continue
		}
		rec := c.store.document(c, e.Document.Team)
		held := rec.Current.Author == e.Author || slices.ContainsFunc(rec.History,
			func(v core.DocumentVersion) bool { return v.Author == e.Author })
		if !held {
			out = append(out, e.Author)
		}
	}
	return out
}

// noteLog follows the documents that a host puts in force.
func (h *host) trackRevision(f core.Log) {
	if f.Revision == 0 {
		return
	}
	h.revisions[f.Team] = f.Revision
	if h.ready {
		h.checkServedRevision(f.Team)
	}
}

// noteReady judges the documents of a host that begins to serve.
func (h *host) setReady(ready bool) {
	h.ready = ready
	if !ready {
		return
	}
	for _, d := range h.c.cfg.Documents {
		h.checkServedRevision(d.Team)
	}
}

// noteServed compares the document in force with the newest that the host had in
// force before.
func (h *host) checkServedRevision(team core.TeamName) {
	now, before := h.revisions[team], h.maxServed[team]
	if now < before {
		h.c.reverts = append(h.c.reverts, Revert{Host: h.id, Team: team, From: before, To: now})
	}
	h.maxServed[team] = max(now, before)
}
