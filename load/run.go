package load

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"banyanrun.example/banyanrun/control"
	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"
)

// Config describes a run.
type Config struct {
	// Arrivals are the jobs and calls of the run, as FromTrace or a Mix gives
	// them.
	Arrivals []Arrival
	// Hosts are the ip:port of entry hosts, used in turn.
	Hosts []string
	// Admin is the stand-in's ip:port for its ledger, or empty.
	Admin string
	// Prefix makes the ids of a run unique.
	Prefix string
	// Settle bounds the wait for answers after the last arrival.
	Settle time.Duration
	// MaxOpen bounds the requests in progress. Arrivals beyond it are refused
	// by the tool and counted as not run.
	MaxOpen int
	// Progress is called with a line every second. It may be nil.
	Progress func(Line)
}

// maxAnswer bounds an answer that is read.
const maxAnswer = 8 << 20

// Runner carries out a run.
type Runner struct {
	cfg      Config
	accounts *Accounts
	loop     *control.Loop[Event, Effect]
	client   *http.Client
	started  time.Time
	next     atomic.Uint64
	slots    chan struct{}
}

// Run makes every arrival at its time and returns the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if len(cfg.Hosts) == 0 || cfg.MaxOpen < 1 {
		return nil, fmt.Errorf("a run needs hosts (%d) and open requests (%d) above zero", len(cfg.Hosts), cfg.MaxOpen)
	}
	r := &Runner{
		cfg: cfg, accounts: NewAccounts(), started: time.Now(), slots: make(chan struct{}, cfg.MaxOpen),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxOpen, MaxConnsPerHost: 0}},
	}
	arrivals := r.arrivals()
	const mailbox = 4096
	r.loop = control.New(control.Config[Event, Effect]{
		Step: r.accounts.Step, Execute: r.execute, MailboxSize: mailbox,
		ExecuteInline: r.immediate, TickPeriod: time.Second,
		Tick: func() Event { return Event{At: r.since(), Body: Elapsed{}} },
	})
	last := time.Duration(0)
	if len(arrivals) > 0 {
		last = arrivals[len(arrivals)-1].At
	}
	limit, cancel := context.WithTimeout(ctx, last+cfg.Settle)
	defer cancel()
	stopped, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts conc.WaitGroup
	parts.Go(func() { r.loop.Run(stopped) })
	r.feed(limit, arrivals)
	stop()
	parts.Wait()
	return r.report(ctx)
}

func (r *Runner) since() time.Duration { return time.Since(r.started) }

// arrivals returns the arrivals in the order of their times, with the prefix.
func (r *Runner) arrivals() []Arrival {
	out := slices.Clone(r.cfg.Arrivals)
	for i := range out {
		out[i].ID = core.JobID(r.cfg.Prefix) + out[i].ID
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

// feed posts arrivals at their times whatever the answers (open loop), and waits
// until all are answered or ctx ends.
func (r *Runner) feed(ctx context.Context, arrivals []Arrival) {
	var open conc.WaitGroup
	for _, a := range arrivals {
		if !pause(ctx, a.At-r.since()) {
			break
		}
		r.loop.Post(ctx, Event{At: r.since(), Body: Due{a}})
		select {
		case r.slots <- struct{}{}:
			open.Go(func() {
				defer func() { <-r.slots }()
				r.carryOut(ctx, a)
			})
		default:
			r.answer(a, NotRun, core.ReasonQueueFull)
		}
	}
	open.Wait()
}

// pause waits and reports whether ctx is still alive.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// execute has nothing to do: requests are made by feed's goroutines.
func (r *Runner) execute(context.Context, Effect) {}

// immediate hands lines of progress on.
func (r *Runner) immediate(f Effect) bool {
	if p, ok := f.(Progress); ok && r.cfg.Progress != nil {
		r.cfg.Progress(p.Line)
	}
	return true
}

// answer posts the final answer about an arrival.
func (r *Runner) answer(a Arrival, o Outcome, reason core.Reason) {
	r.loop.Post(context.Background(), Event{At: r.since(), Body: Answered{ID: a.ID, State: o, Reason: reason}})
}

// carryOut makes the requests of one arrival.
func (r *Runner) carryOut(ctx context.Context, a Arrival) {
	program, err := json.Marshal(worker.Program{RunMS: a.RunMS, Fail: a.Fails})
	if err != nil {
		r.answer(a, NotRun, core.ReasonInternal)
		return
	}
	if a.Interactive {
		path := wire.PathCalls + "/" + string(a.Team) + "/" + string(a.Kind)
		_, outcome, reason := r.send(ctx, http.MethodPost, path, program, a.ID)
		r.answer(a, outcome, reason)
		return
	}
	body, err := json.Marshal(wire.JobRequest{ID: a.ID, Team: a.Team, Kind: a.Kind, Payload: program})
	if err != nil {
		r.answer(a, NotRun, core.ReasonInternal)
		return
	}
	_, outcome, reason := r.send(ctx, http.MethodPost, wire.PathJobs, body, a.ID)
	if outcome != Completed {
		r.answer(a, outcome, reason)
		return
	}
	r.loop.Post(ctx, Event{At: r.since(), Body: Accepted{a.ID}})
	var cancelling conc.WaitGroup
	defer cancelling.Wait()
	waiting, answered := context.WithCancel(ctx)
	defer answered()
	if a.CancelAt > 0 {
		cancelling.Go(func() {
			if pause(waiting, a.CancelAt-r.since()) {
				r.send(waiting, http.MethodDelete, wire.PathJobs+"/"+string(a.ID), nil, a.ID)
			}
		})
	}
	r.await(ctx, a)
}

// await waits for the final state of an accepted job.
func (r *Runner) await(ctx context.Context, a Arrival) {
	path := wire.PathJobs + "/" + string(a.ID) + "/" + wire.SegmentWait
	const spacing = 200 * time.Millisecond
	for ctx.Err() == nil {
		data, outcome, _ := r.send(ctx, http.MethodGet, path, nil, a.ID)
		var s wire.JobStatus
		if outcome == Completed && json.Unmarshal(data, &s) == nil && s.Finished {
			reason := core.Reason("")
			if s.Error != nil {
				reason = s.Error.Reason
			}
			r.answer(a, outcomeOf(&s), reason)
			return
		}
		pause(ctx, spacing)
	}
	r.answer(a, Unanswered, "")
}

// outcomeOf converts a final state.
func outcomeOf(s *wire.JobStatus) Outcome {
	switch {
	case s.State == core.JobSucceeded:
		return Completed
	case s.State == core.JobCancelled:
		return Cancelled
	case s.Verdict == core.NotRun:
		return NotRun
	case s.Verdict == core.MayHaveRun:
		return MayHaveRun
	}
	return Failed
}

// send makes one request of the next host. Without an answer the request may
// have run.
func (r *Runner) send(ctx context.Context, method, path string, body []byte, id core.JobID) ([]byte, Outcome, core.Reason) {
	host := r.cfg.Hosts[r.next.Add(1)%uint64(len(r.cfg.Hosts))]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host+path, bytes.NewReader(body))
	if err != nil {
		return nil, NotRun, core.ReasonInvalid
	}
	req.Header.Set(wire.HeaderRequestID, string(id))
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, MayHaveRun, core.ReasonUpstream
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	switch {
	case err != nil:
		return nil, MayHaveRun, core.ReasonUpstream
	case resp.StatusCode < http.StatusBadRequest:
		return data, Completed, ""
	}
	outcome := MayHaveRun
	if resp.Header.Get(wire.HeaderVerdict) == core.NotRun.String() {
		outcome = NotRun
	}
	return data, outcome, core.Reason(resp.Header.Get(wire.HeaderReason))
}
