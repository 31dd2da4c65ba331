package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin"
	"banyanrun.example/banyanrun/standin/worker"
)

// Report is the result of a run.
type Report struct {
	Snapshot
	Reasons map[core.Reason]int `json:"reasons"`
	// Findings is nil if no ledger was read.
	Findings *Findings `json:"findings"`
	// Kinds holds percentiles by team and kind.
	Kinds   map[string]Times    `json:"kinds"`
	Answers map[string][]Sample `json:"-"`
	Waits   map[string][]Sample `json:"-"`
}

// Findings counts the contradictions between the answers and the workers'
// ledger.
type Findings struct {
	// Lost counts accepted jobs without a final answer, and arrivals that were
	// answered as completed although no worker finished them.
	Lost int `json:"lost"`
	// Overlapping counts arrivals with a task that ran twice at the same time.
	Overlapping int `json:"doubled"`
	// FalseNotRun counts arrivals that were answered as not run although a
	// worker started them.
	FalseNotRun int `json:"false_refusals"`
}

// Times holds percentiles in seconds. A wait lasts from the due time to the
// first start on a worker and needs a ledger. Answer times cover completed work
// only.
type Times struct {
	Answered  int     `json:"answered"`
	AnswerP50 float64 `json:"answer_p50"`
	AnswerP99 float64 `json:"answer_p99"`
	Started   int     `json:"started"`
	WaitP50   float64 `json:"wait_p50"`
	WaitP99   float64 `json:"wait_p99"`
}

// report builds the report of the run and, if there is a ledger, checks the
// answers against it.
func (r *Runner) report(ctx context.Context) (*Report, error) {
	a := r.audit
	a.Step(Event{At: r.elapsed(), Body: Tick{}})
	if r.cfg.Admin != "" {
		ledger, err := r.ledger(ctx)
		if err != nil {
			return nil, err
		}
		a.Step(Event{At: r.elapsed(), Body: LedgerRead{Ledger: ledger, Started: r.started}})
	}
	out := &Report{
		Snapshot: a.snapshot, Reasons: a.reasons, Findings: a.findings, Answers: a.answers, Waits: a.waits,
		Kinds: map[string]Times{},
	}
	for _, arrival := range a.arrivals {
		answers, waits := a.answers[arrival.kindLabel()], a.waits[arrival.kindLabel()]
		out.Kinds[arrival.kindLabel()] = Times{
			Answered: len(answers), AnswerP50: percentile(answers, 50), AnswerP99: percentile(answers, 99),
			Started: len(waits), WaitP50: percentile(waits, 50), WaitP99: percentile(waits, 99),
		}
	}
	return out, nil
}

// percentile returns a percentile of the durations in seconds, or 0 if there
// are none.
func percentile(points []Sample, p int) float64 {
	if len(points) == 0 {
		return 0
	}
	durations := make([]time.Duration, 0, len(points))
	for _, pt := range points {
		durations = append(durations, pt.Duration)
	}
	slices.Sort(durations)
	return durations[min(len(durations)-1, len(durations)*p/100)].Seconds()
}

// ledger reads the workers' ledger from the stand-in.
func (r *Runner) ledger(ctx context.Context) (*standin.Ledger, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.cfg.Admin+standin.PathAdminLedger, nil)
	if err != nil {
		return nil, fmt.Errorf("build request for ledger: %w", err)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("read ledger: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read ledger: status %s", resp.Status)
	}
	var ledger standin.Ledger
	if err := json.NewDecoder(resp.Body).Decode(&ledger); err != nil {
		return nil, fmt.Errorf("decode ledger: %w", err)
	}
	return &ledger, nil
}

// span is the start and end of one run of a task, in microseconds.
type span struct{ from, to int64 }

// reconcile compares the answers with the ledger and takes the waiting times
// from it. It assumes that this program and the workers share a clock.
func (a *Audit) reconcile(ledger *standin.Ledger, started time.Time) {
	runs := map[core.JobID]map[int][]span{}
	succeeded := map[core.JobID]bool{}
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			id := core.JobID(e.Job)
			if _, ok := a.arrivals[id]; !ok {
				continue
			}
			if runs[id] == nil {
				runs[id] = map[int][]span{}
			}
			runs[id][e.Task] = append(runs[id][e.Task], span{e.StartUnixUS, e.EndUnixUS})
			succeeded[id] = succeeded[id] || e.Outcome == worker.OutcomeSucceeded
		}
	}
	a.findings = &Findings{}
	for id, arrival := range a.arrivals {
		outcome := a.outcomes[id]
		unresolved := a.accepted[id] && (outcome == "" || outcome == Unanswered)
		if unresolved || outcome == Completed && !succeeded[id] {
			a.findings.Lost++
		}
		if outcome == NotRun && len(runs[id]) > 0 {
			a.findings.FalseNotRun++
		}
		if anyOverlap(runs[id]) {
			a.findings.Overlapping++
		}
		if first, ok := firstStart(runs[id]); ok {
			wait := time.UnixMicro(first).Sub(started.Add(arrival.At))
			a.waits[arrival.kindLabel()] = append(a.waits[arrival.kindLabel()], Sample{arrival.At, max(0, wait)})
		}
	}
}

// anyOverlap reports whether a task ran twice at the same time.
func anyOverlap(tasks map[int][]span) bool {
	for _, spans := range tasks {
		slices.SortFunc(spans, func(x, y span) int { return int(x.from - y.from) })
		for i := 1; i < len(spans); i++ {
			if end := spans[i-1].to; end == 0 || spans[i].from < end {
				return true
			}
		}
	}
	return false
}

// firstStart returns the earliest start of any task.
func firstStart(tasks map[int][]span) (first int64, ok bool) {
	for _, spans := range tasks {
		for _, s := range spans {
			if !ok || s.from < first {
				first, ok = s.from, true
			}
		}
	}
	return first, ok
}
