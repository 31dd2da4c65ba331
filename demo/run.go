package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/iter"
	"github.com/sourcegraph/conc/pool"

	"banyanrun.example/banyanrun/control"
	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/ctl"
	"banyanrun.example/banyanrun/standin/worker"
	"banyanrun.example/banyanrun/wire"
)

const (
	// maxConcurrentCalls limits the interactive calls in progress.
	maxConcurrentCalls = 4
	// maxConcurrentWaits limits the jobs that are waited for at once.
	maxConcurrentWaits = 16
	// maxPolls and pollInterval bound the wait for a host or job to reach a
	// state.
	maxPolls     = 200
	pollInterval = 50 * time.Millisecond
	// tickPeriod has no effect on the results, since the audit ignores ticks.
	tickPeriod  = time.Minute
	mailboxSize = 256
)

// Config describes a run.
type Config struct {
	Entry    string
	Platform string
	Examples []*Example
	// CallSuffix is appended to request ids, so that they differ from those of
	// earlier runs.
	CallSuffix string
	Out        io.Writer
}

// runner sends the requests and posts their outcomes to the audit.
type runner struct {
	cfg      Config
	entry    client
	platform client
	started  time.Time
	loop     *control.Loop[Event, Effect]
	exit     chan int
}

// Run runs the demonstration and returns the exit code. The error describes
// what could not be done.
func Run(ctx context.Context, cfg Config) (int, error) {
	r := &runner{
		cfg: cfg, entry: newClient(cfg.Entry), platform: newClient(cfg.Platform),
		started: time.Now(), exit: make(chan int, 1),
	}
	audit := NewAudit()
	r.loop = control.New(control.Config[Event, Effect]{
		Step: audit.Step, ExecuteInline: r.executeImmediate, Execute: func(context.Context, Effect) {},
		Tick: func() Event { return r.newEvent(Tick{}) }, TickPeriod: tickPeriod, MailboxSize: mailboxSize,
	})
	loopCtx, stopLoop := context.WithCancel(context.WithoutCancel(ctx))
	background := pool.New()
	background.Go(func() { r.loop.Run(loopCtx) })
	defer background.Wait()
	defer stopLoop()
	runErr := r.runExamples(ctx)
	if err := r.readLedger(ctx); err != nil {
		return 1, errors.Join(runErr, fmt.Errorf("read ledger: %w", err))
	}
	r.post(RunEnded{})
	return <-r.exit, runErr
}

// executeImmediate executes an effect of the audit.
func (r *runner) executeImmediate(f Effect) bool {
	switch f := f.(type) {
	case Print:
		fmt.Fprintln(r.cfg.Out, f.Line)
	case Exit:
		r.exit <- f.Code
	}
	return true
}

func (r *runner) newEvent(body EventBody) Event {
	return Event{At: core.Time(time.Since(r.started)), Body: body}
}

func (r *runner) post(body EventBody) { r.loop.Post(context.Background(), r.newEvent(body)) }

// runExamples runs all examples.
func (r *runner) runExamples(ctx context.Context) error {
	if err := r.awaitReady(ctx); err != nil {
		return err
	}
	for _, e := range r.cfg.Examples {
		for _, d := range e.Documents {
			if err := r.apply(ctx, d); err != nil {
				return fmt.Errorf("apply document of team %s: %w", d.Team, err)
			}
		}
	}
	p := pool.New().WithErrors()
	for _, e := range r.cfg.Examples {
		p.Go(func() error { return r.runJobs(ctx, e) })
		p.Go(func() error { return r.runCalls(ctx, e) })
		p.Go(func() error { return r.cancelRunning(ctx, e) })
	}
	if err := p.Wait(); err != nil {
		return err
	}
	for _, e := range r.cfg.Examples {
		if err := r.cancelQueued(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the entry host is ready.
func (r *runner) awaitReady(ctx context.Context) error {
	for range maxPolls {
		resp := r.entry.do(ctx, &ctl.Request{Method: http.MethodGet, Path: "/readyz", ReadOnly: true})
		if resp.Failure == nil && resp.Status == http.StatusOK {
			return nil
		}
		if !sleepPollInterval(ctx) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("entry host %s is not ready", r.cfg.Entry)
}

// sleepPollInterval waits for pollInterval. It returns false if ctx ended
// first.
func sleepPollInterval(ctx context.Context) bool {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// apply applies a document and declares its kinds to the audit.
func (r *runner) apply(ctx context.Context, d Document) error {
	if err := r.entry.apply(ctx, d); err != nil {
		return err
	}
	for _, k := range d.Kinds {
		r.post(KindDeclared{Team: d.Team, Kind: k.Name, Idempotent: k.Idempotent, Tasks: max(1, k.GangSize)})
	}
	return nil
}

// runJobs submits the ordinary jobs, the first of them twice, and the
// unschedulable ones, and waits until they have ended.
func (r *runner) runJobs(ctx context.Context, e *Example) error {
	accepted, err := r.submit(ctx, append(append([]wire.JobRequest{}, e.Jobs...), e.Unschedulable...))
	if err != nil {
		return err
	}
	if len(e.Jobs) > 0 {
		resubmitted, err := r.entry.submit(ctx, e.Jobs[:1])
		if err != nil {
			return err
		}
		if resubmitted[0].Error != nil {
			return fmt.Errorf("submit job %s again: %s", e.Jobs[0].ID, resubmitted[0].Error.Message)
		}
	}
	r.awaitJobs(ctx, accepted)
	return nil
}

// submit submits jobs as one batch and returns those that were accepted.
func (r *runner) submit(ctx context.Context, jobs []wire.JobRequest) ([]wire.JobRequest, error) {
	results, err := r.entry.submit(ctx, jobs)
	if err != nil {
		return nil, fmt.Errorf("submit %d jobs: %w", len(jobs), err)
	}
	var accepted []wire.JobRequest
	for i, j := range jobs {
		if failure := results[i].Error; failure != nil {
			r.post(Finished{Work: workOf(j), Outcome: Refused, Verdict: failure.Verdict, Note: refusalNote(failure)})
			continue
		}
		r.post(Accepted{workOf(j)})
		accepted = append(accepted, j)
	}
	return accepted, nil
}

// awaitJobs waits until the jobs have ended. A job without a final answer is
// left for the audit to report.
func (r *runner) awaitJobs(ctx context.Context, jobs []wire.JobRequest) {
	each := iter.Iterator[wire.JobRequest]{MaxGoroutines: maxConcurrentWaits}
	each.ForEach(jobs, func(j *wire.JobRequest) {
		if s, err := r.entry.wait(ctx, j.ID); err == nil {
			r.postFinished(*j, s)
		}
	})
}

// postFinished posts the final answer about a job. It does nothing if the
// status is not final.
func (r *runner) postFinished(j wire.JobRequest, s *wire.JobStatus) {
	outcomes := map[core.JobState]Outcome{
		core.JobSucceeded: Completed, core.JobFailed: Failed, core.JobCancelled: Cancelled, core.JobRefused: Refused,
	}
	outcome, final := outcomes[s.State]
	if !final {
		return
	}
	note := ""
	if outcome == Failed || outcome == Refused {
		note = refusalNote(s.Error)
	}
	r.post(Finished{Work: workOf(j), Outcome: outcome, Verdict: s.Verdict, Note: note})
}

// runCalls sends the interactive calls.
func (r *runner) runCalls(ctx context.Context, e *Example) error {
	each := iter.Iterator[Call]{MaxGoroutines: maxConcurrentCalls}
	each.ForEach(e.Calls, func(c *Call) {
		w := Work{worker.EntryCall, c.ID + r.cfg.CallSuffix, c.Team, c.Kind}
		r.post(Accepted{w})
		resp := r.entry.do(ctx, &ctl.Request{
			Method: http.MethodPost, Path: wire.PathCalls + "/" + string(c.Team) + "/" + string(c.Kind),
			Header: http.Header{wire.HeaderRequestID: {w.ID}}, Body: c.Body,
		})
		var verdict core.Verdict
		if resp.Failure != nil || verdict.UnmarshalText([]byte(resp.Header.Get(wire.HeaderVerdict))) != nil {
			return // No answer: the audit reports the call as lost.
		}
		f := Finished{Work: w, Outcome: Failed, Verdict: verdict, Note: resp.Header.Get(wire.HeaderReason)}
		switch {
		case resp.Status == http.StatusOK:
			f.Outcome = Completed
		case verdict == core.NotRun:
			f.Outcome = Refused
		}
		r.post(f)
	})
	return nil
}

// cancelRunning submits the long-running jobs and cancels each while it runs.
func (r *runner) cancelRunning(ctx context.Context, e *Example) error {
	if len(e.LongRunning) == 0 {
		return nil
	}
	accepted, err := r.submit(ctx, e.LongRunning)
	if err != nil {
		return err
	}
	for _, j := range accepted {
		if err := r.awaitState(ctx, j.ID, core.JobRunning); err != nil {
			return err
		}
		if err := r.cancel(ctx, j); err != nil {
			return err
		}
	}
	return nil
}

// cancelQueued submits more jobs than can run at once and cancels the last one
// while it is queued.
func (r *runner) cancelQueued(ctx context.Context, e *Example) error {
	if len(e.Oversubscribed) == 0 {
		return nil
	}
	accepted, err := r.submit(ctx, e.Oversubscribed)
	if err != nil || len(accepted) == 0 {
		return err
	}
	last := accepted[len(accepted)-1]
	if err := r.awaitState(ctx, last.ID, core.JobQueued); err != nil {
		return err
	}
	if err := r.cancel(ctx, last); err != nil {
		return err
	}
	r.awaitJobs(ctx, accepted[:len(accepted)-1])
	return nil
}

// awaitState waits until a job is in the given state.
func (r *runner) awaitState(ctx context.Context, id core.JobID, state core.JobState) error {
	for range maxPolls {
		s, err := r.entry.status(ctx, id)
		if err != nil {
			return fmt.Errorf("status of job %s: %w", id, err)
		}
		if s.State == state {
			return nil
		}
		if s.State.Final() || !sleepPollInterval(ctx) {
			return fmt.Errorf("job %s is %s and was never seen as %s", id, s.State, state)
		}
	}
	return fmt.Errorf("job %s was never seen as %s", id, state)
}

// cancel cancels a job and posts its final answer.
func (r *runner) cancel(ctx context.Context, j wire.JobRequest) error {
	s, err := r.entry.cancel(ctx, j.ID)
	if err != nil {
		return fmt.Errorf("cancel job %s: %w", j.ID, err)
	}
	r.postFinished(j, s)
	return nil
}

// readLedger posts the entries of the workers' ledger.
func (r *runner) readLedger(ctx context.Context) error {
	ledger, err := r.platform.ledger(ctx)
	if err != nil {
		return err
	}
	for _, w := range ledger.Workers {
		for _, e := range w.Entries {
			r.post(LedgerEntry{e})
		}
	}
	return nil
}

func workOf(j wire.JobRequest) Work { return Work{worker.EntryTask, string(j.ID), j.Team, j.Kind} }

// refusalNote formats the reason and verdict of a refusal.
func refusalNote(e *wire.Error) string {
	if e == nil {
		return ""
	}
	return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
}
