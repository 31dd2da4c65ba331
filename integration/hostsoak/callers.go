package hostsoak

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"banyanrun.example/banyanrun/platform/emulator"
)

// callerTimeout is the deadline of a request, which its header carries.
const callerTimeout = 3 * time.Second

// job is a job as its caller observed it.
type job struct {
	path string
	body string
	// accepted is set once a response has shown that the job was accepted,
	// maybeAccepted once the outcome of an attempt to submit it was unknown.
	accepted, maybeAccepted, cancelled, ended bool
}

// history records what callers observed and the violations that were found.
type history struct {
	mu         sync.Mutex
	jobs       map[string]*job
	violations []string
}

func newHistory() *history { return &history{jobs: map[string]*job{}} }

func (h *history) report(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

func (h *history) allViolations() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.violations
}

// openJobs returns the ids of the accepted jobs that have neither ended nor been
// cancelled.
func (h *history) openJobs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var ids []string
	for id, j := range h.jobs {
		if j.accepted && !j.ended && !j.cancelled {
			ids = append(ids, id)
		}
	}
	return ids
}

// update applies f to a recorded job.
func (h *history) update(id string, f func(*job)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.jobs[id])
}

// checkStarts reports started tasks of jobs that were never submitted or that were
// refused at every attempt.
func (h *history) checkStarts(starts map[string]int) {
	for task, n := range starts {
		id, _, _ := strings.Cut(task, ".")
		j := h.jobs[id]
		switch {
		case j == nil:
			h.report("task %s of a job that was never submitted was started", task)
		case !j.accepted && !j.maybeAccepted:
			h.report("task %s was started %d times although every attempt to submit its job was refused", task, n)
		}
	}
}

// runCaller submits, polls and cancels jobs until done is closed.
func (r *round) runCaller(caller int, done chan struct{}) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(100+caller)))
	var submitted []string
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(50+rng.IntN(250)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%04x%04x", uint32(r.seed), caller, n)
		body, err := randomBody(rng)
		if err != nil {
			r.history.report("encode job: %v", err)
			return
		}
		j := &job{path: emulator.UrgentQueue, body: body}
		if rng.IntN(3) == 0 {
			j.path = emulator.BatchQueue
		}
		r.history.mu.Lock()
		r.history.jobs[id] = j
		r.history.mu.Unlock()
		r.submit(rng, id, j)
		submitted = append(submitted, id)
		r.checkJob(r.hosts[rng.IntN(len(r.hosts))], submitted[rng.IntN(len(submitted))])
		if rng.IntN(15) == 0 {
			r.cancel(r.hosts[rng.IntN(len(r.hosts))], id)
		}
	}
}

// randomBody returns the body of a random job of one or two steps.
func randomBody(rng *rand.Rand) (string, error) {
	step := emulator.JobStep{CPU: 500 * (1 + rng.IntN(6)), MemoryMB: 200, EstimateMS: 200, Count: 1 + rng.IntN(5)}
	steps := []emulator.JobStep{step}
	if rng.IntN(3) == 0 {
		step.After = []int{0}
		steps = append(steps, step)
	}
	return emulator.JobBody(steps)
}

// maxSubmitAttempts is the number of times a caller tries to submit a job.
const maxSubmitAttempts = 5

// submit submits a job until it is accepted or maxSubmitAttempts is reached.
func (r *round) submit(rng *rand.Rand, id string, j *job) {
	for range maxSubmitAttempts {
		status, _, err := r.send(r.hosts[rng.IntN(len(r.hosts))], http.MethodPost, j.path+id, j.body)
		switch {
		case err == nil && status == http.StatusOK:
			r.history.update(id, func(j *job) { j.accepted = true })
			return
		case err == nil && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
		case errors.Is(err, syscall.ECONNREFUSED):
		default:
			r.history.update(id, func(j *job) { j.maybeAccepted = true })
		}
		time.Sleep(time.Duration(100+rng.IntN(400)) * time.Millisecond)
	}
}

// checkJob reads a job's state from a host and checks it against the history.
func (r *round) checkJob(h *hostProcess, id string) {
	r.history.mu.Lock()
	known := *r.history.jobs[id]
	r.history.mu.Unlock()
	status, text, err := r.send(h, http.MethodGet, known.path+id, "")
	if err != nil {
		return
	}
	state, decodeErr := emulator.DecodeState(text)
	switch {
	case status == http.StatusGone && known.accepted && !known.cancelled:
		r.history.report("job %s was accepted, but %s reports that it does not exist", id, h.name)
	case status != http.StatusOK:
	case decodeErr != nil:
		r.history.report("state of job %s cannot be decoded: %q", id, text)
	case state == "complete":
		r.history.update(id, func(j *job) { j.accepted, j.ended = true, true })
	case (state == "cancelled" || state == "failed") && !known.cancelled:
		r.history.report("job %s is reported as %s by %s without a cause", id, state, h.name)
		r.history.update(id, func(j *job) { j.ended = true })
	}
}

// cancel cancels a job. Its state is not checked any more.
func (r *round) cancel(h *hostProcess, id string) {
	var path string
	r.history.update(id, func(j *job) { j.cancelled, path = true, j.path })
	// The result is ignored: the job may end either way.
	_, _, _ = r.send(h, http.MethodDelete, path+id, "")
}

// send makes one request to a host. In a round with planned stops only, a request
// that fails for another reason than a refused connection is a violation.
func (r *round) send(h *hostProcess, method, path, body string) (int, []byte, error) {
	req, err := emulator.NewRequest(method, h.callerAddress, path, body, callerTimeout)
	if err != nil {
		return 0, nil, err
	}
	start := time.Now()
	resp, err := h.client.Do(req)
	if err != nil {
		if r.plannedStopsOnly && !errors.Is(err, syscall.ECONNREFUSED) {
			r.history.report("planned stops only, but %s %s at %s failed after %s: %v", method, path, h.name, time.Since(start), err)
		}
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil && r.plannedStopsOnly {
		r.history.report("planned stops only, but the response to %s %s of %s was truncated: %v", method, path, h.name, err)
	}
	return resp.StatusCode, text, err
}
