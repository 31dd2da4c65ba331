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
	// Arrivals are the jobs and calls of the run, from FromTrace or
	// Mix.Arrivals.
	Arrivals []Arrival
	// Hosts are the addresses (ip:port) of entry hosts, used in rotation.
	Hosts []string
	// Admin is the ip:port of the stand-in's admin API, which serves the
	// workers' ledger. If it is empty, the answers are not checked.
	Admin string
	// Prefix is prepended to the ids, so that they are unique across runs.
	Prefix string
	// Settle is how long to wait for answers after the last arrival.
	Settle time.Duration
	// MaxOpen limits the requests in progress. Arrivals beyond it are not sent
	// and count as not run.
	MaxOpen int
	// Progress, if not nil, is called with a snapshot every second.
	Progress func(Snapshot)
}

// maxResponseBytes bounds the part of a response body that is read.
const maxResponseBytes = 8 << 20

// Runner executes one run.
type Runner struct {
	cfg      Config
	audit    *Audit
	loop     *control.Loop[Event, Effect]
	client   *http.Client
	started  time.Time
	nextHost atomic.Uint64
	slots    chan struct{}
}

// Run sends every arrival at its time and returns the report.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if len(cfg.Hosts) == 0 || cfg.MaxOpen < 1 {
		return nil, fmt.Errorf("numbers of hosts (%d) and open requests (%d) must be above zero", len(cfg.Hosts), cfg.MaxOpen)
	}
	r := &Runner{
		cfg: cfg, audit: NewAudit(), started: time.Now(), slots: make(chan struct{}, cfg.MaxOpen),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: cfg.MaxOpen, MaxConnsPerHost: 0}},
	}
	arrivals := r.sortedArrivals()
	const mailboxSize = 4096
	r.loop = control.New(control.Config[Event, Effect]{
		Step: r.audit.Step, Execute: r.execute, MailboxSize: mailboxSize,
		ExecuteInline: r.executeImmediate, TickPeriod: time.Second,
		Tick: func() Event { return Event{At: r.elapsed(), Body: Tick{}} },
	})
	last := time.Duration(0)
	if len(arrivals) > 0 {
		last = arrivals[len(arrivals)-1].At
	}
	runCtx, cancel := context.WithTimeout(ctx, last+cfg.Settle)
	defer cancel()
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	var background conc.WaitGroup
	background.Go(func() { r.loop.Run(loopCtx) })
	r.dispatch(runCtx, arrivals)
	stopLoop()
	background.Wait()
	return r.report(ctx)
}

func (r *Runner) elapsed() time.Duration { return time.Since(r.started) }

// sortedArrivals returns the arrivals in order of time, with prefixed ids.
func (r *Runner) sortedArrivals() []Arrival {
	out := slices.Clone(r.cfg.Arrivals)
	for i := range out {
		out[i].ID = core.JobID(r.cfg.Prefix) + out[i].ID
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

// dispatch sends each arrival at its time, independently of earlier responses
// (open loop), and returns when all are answered or ctx has ended.
func (r *Runner) dispatch(ctx context.Context, arrivals []Arrival) {
	var requests conc.WaitGroup
	for _, a := range arrivals {
		if !sleep(ctx, a.At-r.elapsed()) {
			break
		}
		r.loop.Post(ctx, Event{At: r.elapsed(), Body: ArrivalDue{a}})
		select {
		case r.slots <- struct{}{}:
			requests.Go(func() {
				defer func() { <-r.slots }()
				r.perform(ctx, a)
			})
		default:
			r.postAnswer(a, NotRun, core.ReasonQueueFull)
		}
	}
	requests.Wait()
}

// sleep waits for d. It returns false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(max(0, d))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// execute does nothing: the goroutines of dispatch send the requests.
func (r *Runner) execute(context.Context, Effect) {}

// executeImmediate passes progress to the configured function.
func (r *Runner) executeImmediate(f Effect) bool {
	if p, ok := f.(Progress); ok && r.cfg.Progress != nil {
		r.cfg.Progress(p.Snapshot)
	}
	return true
}

// postAnswer posts the final answer to an arrival.
func (r *Runner) postAnswer(a Arrival, o Outcome, reason core.Reason) {
	r.loop.Post(context.Background(), Event{At: r.elapsed(), Body: Answered{ID: a.ID, State: o, Reason: reason}})
}

// perform sends the requests of one arrival.
func (r *Runner) perform(ctx context.Context, a Arrival) {
	program, err := json.Marshal(worker.Program{RunMS: a.RunMS, Fail: a.Fails})
	if err != nil {
		r.postAnswer(a, NotRun, core.ReasonInternal)
		return
	}
	if a.Interactive {
		path := wire.PathCalls + "/" + string(a.Team) + "/" + string(a.Kind)
		_, outcome, reason := r.send(ctx, http.MethodPost, path, program, a.ID)
		r.postAnswer(a, outcome, reason)
		return
	}
	body, err := json.Marshal(wire.JobRequest{ID: a.ID, Team: a.Team, Kind: a.Kind, Payload: program})
	if err != nil {
		r.postAnswer(a, NotRun, core.ReasonInternal)
		return
	}
	_, outcome, reason := r.send(ctx, http.MethodPost, wire.PathJobs, body, a.ID)
	if outcome != Completed {
		r.postAnswer(a, outcome, reason)
		return
	}
	r.loop.Post(ctx, Event{At: r.elapsed(), Body: Accepted{a.ID}})
	var cancels conc.WaitGroup
	defer cancels.Wait()
	waitCtx, cancelWait := context.WithCancel(ctx)
	defer cancelWait()
	if a.CancelAt > 0 {
		cancels.Go(func() {
			if sleep(waitCtx, a.CancelAt-r.elapsed()) {
				r.send(waitCtx, http.MethodDelete, wire.PathJobs+"/"+string(a.ID), nil, a.ID)
			}
		})
	}
	r.awaitJob(ctx, a)
}

// awaitJob polls an accepted job until it has a final state or ctx ends.
func (r *Runner) awaitJob(ctx context.Context, a Arrival) {
	path := wire.PathJobs + "/" + string(a.ID) + "/" + wire.SegmentWait
	const pollInterval = 200 * time.Millisecond
	for ctx.Err() == nil {
		data, outcome, _ := r.send(ctx, http.MethodGet, path, nil, a.ID)
		var s wire.JobStatus
		if outcome == Completed && json.Unmarshal(data, &s) == nil && s.Finished {
			reason := core.Reason("")
			if s.Error != nil {
				reason = s.Error.Reason
			}
			r.postAnswer(a, outcomeOf(&s), reason)
			return
		}
		sleep(ctx, pollInterval)
	}
	r.postAnswer(a, Unanswered, "")
}

// outcomeOf converts the final status of a job to an outcome.
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

// send sends one request to the next host. If no response arrives, the request
// may have run.
func (r *Runner) send(ctx context.Context, method, path string, body []byte, id core.JobID) ([]byte, Outcome, core.Reason) {
	host := r.cfg.Hosts[r.nextHost.Add(1)%uint64(len(r.cfg.Hosts))]
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
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
