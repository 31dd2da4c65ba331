package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// callerDeadline is how long a caller waits for a response.
	callerDeadline = 3 * time.Second
	// maxAttempts is the number of times that a caller submits a job.
	maxAttempts = 5
)

// step is a step of a job.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu"`
	MemoryMB     int64  `json:"mem_mb"`
	EstimateMS   int64  `json:"estimate_ms,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Constraints  string `json:"constraints,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
}

// jobOf returns the job's id in the name of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

// call makes a caller's request to a host and records it.
func (p *platform) call(h *host, method, path, body string) (int, []byte, error) {
	req, err := http.NewRequest(method, "http://"+h.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = callerHost
	req.Header.Set("X-Request-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	req.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: callerDeadline}
	resp, err := client.Do(req)
	if err != nil {
		p.rec.printf("%s %s at %s: %v", method, path, h.name, err)
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	p.rec.printf("%s %s at %s: status %d %s", method, path, h.name, resp.StatusCode, text)
	return resp.StatusCode, text, err
}

// schedule is when a repeated job runs.
type schedule struct {
	count    int
	first    time.Time
	interval time.Duration
}

// submit submits a job of one step at the hosts in turn until it is accepted.
func (p *platform) submit(queue, id string, s step, does behaviour) error {
	return p.submitRepeated(queue, id, s, does, schedule{})
}

// submitRepeated submits a job that runs as its schedule says, or once if that is empty.
func (p *platform) submitRepeated(queue, id string, s step, does behaviour, when schedule) error {
	payload, err := json.Marshal(does)
	if err != nil {
		return err
	}
	job := map[string]any{"spec": string(payload), "steps": []step{s}}
	if when.count > 0 {
		job["repeat_count"], job["first_ms"], job["interval_ms"] = when.count, when.first.UnixMilli(), when.interval.Milliseconds()
	}
	body, err := json.Marshal(job)
	if err != nil {
		return err
	}
	for attempt := range maxAttempts {
		status, _, err := p.call(p.hosts[attempt%len(p.hosts)], http.MethodPost, queue+id, string(body))
		if err == nil && status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted in %d attempts", id, maxAttempts)
}

// pending asks a host for the number of jobs of a queue that have not begun.
func (p *platform) pending(h *host, queue string) (int, bool) {
	status, text, err := p.call(h, http.MethodGet, queue, "")
	var out struct {
		Pending int `json:"pending"`
	}
	if err != nil || status != http.StatusOK || json.Unmarshal(text, &out) != nil {
		return 0, false
	}
	return out.Pending, true
}

// waitForStarts waits until a number of starts of a job have been carried out.
func (p *platform) waitForStarts(job string, n int, limit time.Duration) error {
	for deadline := time.Now().Add(limit); len(p.startsOf(job)) < n; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d starts of job %s after %s, want %d", len(p.startsOf(job)), job, limit, n)
		}
	}
	return nil
}
