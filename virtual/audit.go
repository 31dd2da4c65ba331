package virtual

import (
	"fmt"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/standin/worker"
)

// MessageStats counts messages and their approximate size.
type MessageStats struct {
	Messages int64
	Bytes    int64
}

// Counts contains the counters of a run.
type Counts struct {
	Steps      int64
	StartsSent int64
	Signals    int64
	Syncs      int64
	Forwards   int64
	HostLists  int64
	// Store counts the calls to the store by their purpose.
	Store map[core.Purpose]int64
	// Peer counts the messages between hosts by kind: heartbeat, summary
	// and documents.
	Peer map[string]MessageStats
	// Metrics sums the counters of all hosts.
	Metrics map[core.Metric]int
}

func newCounts() Counts {
	return Counts{Store: map[core.Purpose]int64{}, Peer: map[string]MessageStats{}, Metrics: map[core.Metric]int{}}
}

// Counts returns the counters so far. The caller must not change its maps.
func (c *Cluster) Counts() Counts { return c.counts }

// StoreReport returns the counters of the store.
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

// WorkerReports returns the audit logs of all workers in the order of Config.
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

// Jobs returns the submitted jobs in the order of submission.
func (c *Cluster) Jobs() []*Job {
	out := make([]*Job, 0, len(c.jobIDs))
	for _, id := range c.jobIDs {
		out = append(out, c.jobs[id])
	}
	return out
}

// Calls returns the interactive calls in the order of their start.
func (c *Cluster) Calls() []*Call { return c.calls }

// Revert records that a host replaced a document by an older revision.
type Revert struct {
	Host core.HostID
	Team core.TeamName
	From core.Revision
	To   core.Revision
}

// Audit is the evaluation of a run from the audit logs of the workers and from
// the responses to callers and operators.
type Audit struct {
	Summary worker.Summary
	// Lost are accepted jobs whose caller does not know a final outcome
	// after their deadline and the recovery time.
	Lost []core.JobID
	// OutcomeChanged are jobs that were reported with two different final
	// outcomes.
	OutcomeChanged []core.JobID
	// Overlapping are tasks, and calls of kinds that are not idempotent,
	// that ran twice at the same time. An idempotent call may be retried
	// while a worker that has not answered still runs it.
	Overlapping []worker.RepeatedWork
	// Repeated are tasks and calls of kinds that are not idempotent that
	// were started more than once, from a checkpoint or not.
	Repeated []worker.RepeatedWork
	// FalseNotRun are ids that were answered as not run although a worker
	// has started them.
	FalseNotRun []string
	// OverAssigned counts the starts that exceeded a worker's capacity.
	OverAssigned int
	// StartsAfterLeaving counts the starts later than 3 s after the host
	// list showed the worker as leaving.
	StartsAfterLeaving int
	Reverts            []Revert
	// LostEdits are the authors of accepted edits that are missing in the
	// store. It requires that every edit has a different author and that
	// the store is up.
	LostEdits []string
}

// Violations describes each violated guarantee.
func (a *Audit) Violations() []string {
	var out []string
	add := func(what string, n int, detail any) {
		if n > 0 {
			out = append(out, fmt.Sprintf("%s: %d %+v", what, n, detail))
		}
	}
	add("lost", len(a.Lost), a.Lost)
	add("final outcome changed", len(a.OutcomeChanged), a.OutcomeChanged)
	add("ran twice at the same time", len(a.Overlapping), a.Overlapping)
	add("not idempotent and started again", len(a.Repeated), a.Repeated)
	add("false not run", len(a.FalseNotRun), a.FalseNotRun)
	add("over-assigned", a.OverAssigned, "")
	add("started on a leaving worker", a.StartsAfterLeaving, "")
	add("reverted", len(a.Reverts), a.Reverts)
	add("lost edits", len(a.LostEdits), a.LostEdits)
	return out
}

// Audit evaluates the run so far. Jobs without an outcome count as lost once
// their deadline and the recovery time have passed.
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

// kind returns a kind from the documents in Config, or nil.
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

// idempotent reports whether a kind is idempotent. Unknown kinds count as
// idempotent.
func (c *Cluster) idempotent(team core.TeamName, kind core.KindName) bool {
	k := c.kind(team, kind)
	return k == nil || k.Idempotent
}

// lostEdits returns the authors of accepted edits that the store does not hold.
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

// trackRevision records the revision of a document that the host begins to use.
func (h *host) trackRevision(f core.Log) {
	if f.Revision == 0 {
		return
	}
	h.revisions[f.Team] = f.Revision
	if h.ready {
		h.checkServedRevision(f.Team)
	}
}

// setReady records whether the host is ready. It checks the revisions of all
// documents when the host becomes ready.
func (h *host) setReady(ready bool) {
	h.ready = ready
	if !ready {
		return
	}
	for _, d := range h.c.cfg.Documents {
		h.checkServedRevision(d.Team)
	}
}

// checkServedRevision records a Revert if a ready host uses an older revision
// of a document than it has used before while ready.
func (h *host) checkServedRevision(team core.TeamName) {
	now, before := h.revisions[team], h.maxServed[team]
	if now < before {
		h.c.reverts = append(h.c.reverts, Revert{Host: h.id, Team: team, From: before, To: now})
	}
	h.maxServed[team] = max(now, before)
}
