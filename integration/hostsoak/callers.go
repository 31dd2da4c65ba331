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

// callerWait is how long a caller waits for an answer.
const callerTimeout = 3 * time.Second

// job is a job as its caller knows it.
type job struct {
	path string
	body string
	// accepted means that a 2xx was received, unsure that some try may have been
	// accepted.
	accepted, maybeAccepted, cancelled, ended bool
}

// book holds the callers' accounts.
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

// open lists the accepted jobs that have not ended.
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

// change changes a job's account.
func (h *history) update(id string, f func(*job)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.jobs[id])
}

// checkStarts finds tasks of jobs all of whose tries were refused.
func (h *history) checkStarts(starts map[string]int) {
	for task, n := range starts {
		id, _, _ := strings.Cut(task, ".")
		j := h.jobs[id]
		switch {
		case j == nil:
			h.report("task %s of a job that nobody handed in was started", task)
		case !j.accepted && !j.maybeAccepted:
			h.report("task %s was started %d times, and every try of its job was refused", task, n)
		}
	}
}

// call hands in jobs until done is closed.
func (r *round) runCaller(caller int, done chan struct{}) {
	rng := rand.New(rand.NewPCG(r.seed, uint64(100+caller)))
	var mine []string
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(50+rng.IntN(250)) * time.Millisecond):
		}
		id := fmt.Sprintf("%08x%04x%04x", uint32(r.seed), caller, n)
		body, err := randomBody(rng)
		if err != nil {
			r.history.report("encode a job: %v", err)
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
		mine = append(mine, id)
		r.checkJob(r.hosts[rng.IntN(len(r.hosts))], mine[rng.IntN(len(mine))])
		if rng.IntN(15) == 0 {
			r.cancel(r.hosts[rng.IntN(len(r.hosts))], id)
		}
	}
}

// randomBody draws a job of one or two steps.
func randomBody(rng *rand.Rand) (string, error) {
	step := emulator.JobStep{CPU: 500 * (1 + rng.IntN(6)), MemoryMB: 200, EstimateMS: 200, Count: 1 + rng.IntN(5)}
	steps := []emulator.JobStep{step}
	if rng.IntN(3) == 0 {
		step.After = []int{0}
		steps = append(steps, step)
	}
	return emulator.JobBody(steps)
}

// triesPerJob is how often a caller hands a job in.
const maxSubmitAttempts = 5

// submit hands a job in until it is accepted or the tries are used up.
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

// poll asks for a job's state and checks it against what is known.
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
		r.history.report("job %s was accepted, and %s says that it does not exist", id, h.name)
	case status != http.StatusOK:
	case decodeErr != nil:
		r.history.report("the state of job %s cannot be read: %q", id, text)
	case state == "complete":
		r.history.update(id, func(j *job) { j.accepted, j.ended = true, true })
	case (state == "cancelled" || state == "failed") && !known.cancelled:
		r.history.report("job %s is shown as %s by %s without a cause", id, state, h.name)
		r.history.update(id, func(j *job) { j.ended = true })
	}
}

// cancel cancels a job. Its state is of no interest from then on.
func (r *round) cancel(h *hostProcess, id string) {
	var path string
	r.history.update(id, func(j *job) { j.cancelled, path = true, j.path })
	// Whether the cancellation arrives is not checked: the job may end either way.
	_, _, _ = r.send(h, http.MethodDelete, path+id, "")
}

// send makes one request at a host. In a round of planned stops only, a request
// that is broken off after the host has read it is a finding.
func (r *round) send(h *hostProcess, method, path, body string) (int, []byte, error) {
	req, err := emulator.NewRequest(method, h.callerAddress, path, body, callerTimeout)
	if err != nil {
		return 0, nil, err
	}
	start := time.Now()
	resp, err := h.client.Do(req)
	if err != nil {
		if r.plannedStopsOnly && !errors.Is(err, syscall.ECONNREFUSED) {
			r.history.report("planned stops only, and %s %s at %s failed after %s: %v", method, path, h.name, time.Since(start), err)
		}
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil && r.plannedStopsOnly {
		r.history.report("planned stops only, and the answer to %s %s of %s was cut: %v", method, path, h.name, err)
	}
	return resp.StatusCode, text, err
}
