package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	hostName = "jobs.example"
	prefix   = "/jobs/"
	// requestLimit is the clients' time limit, retries how often they try again.
	requestLimit = 3 * time.Second
	retries      = 4
	// finish is the deployment's finish_s.
	finish = 14 * time.Second
)

// step is a step of a job. The fields without a name in JSON are for the workers.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	MemMB       int64  `json:"mem_mb"`
	EstimateMS  int64  `json:"estimate_ms,omitempty"`
	After       []int  `json:"after,omitempty"`
	Constraints string `json:"constraints,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Apart       int    `json:"anti_affinity,omitempty"`

	runTime time.Duration
}

// job is a job and what its client knows of it.
type job struct {
	id    string
	spec  string
	steps []step

	accepted, unknown, cancelled bool
	acceptedAt                   time.Time
	// state is the last state that a client was told.
	state string
}

// clients are the clients of a deployment.
type clients struct {
	rec  *record
	http *http.Client
	// targets returns the hosts that get new connections.
	targets func() []*host

	mu   sync.Mutex
	jobs map[string]*job
	list []*job
}

func newClients(rec *record, targets func() []*host) *clients {
	return &clients{rec: rec, targets: targets, jobs: map[string]*job{}, http: &http.Client{
		Timeout: requestLimit, Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

// demandOf returns what a task needs, and false if no client sent its job.
func (c *clients) demandOf(task string) (demand, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return demand{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[parts[0]]
	n, err := strconv.Atoi(parts[2])
	i, err2 := strconv.Atoi(parts[3])
	if j == nil || err != nil || err2 != nil || n < 0 || n >= len(j.steps) || i < 0 || i >= j.steps[n].Count {
		return demand{}, false
	}
	s := j.steps[n]
	needs := demand{cpu: s.CPU, mem: s.MemMB, runTime: s.runTime, label: s.Constraints, apart: s.Apart}
	if s.Gang {
		needs.gang = s.Count
	}
	return needs, true
}

// newJob returns a job with a random ID that the workers know.
func (c *clients) newJob(spec string, steps ...step) *job {
	j := &job{id: fmt.Sprintf("%016x", rand.Uint64()), spec: spec, steps: steps}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.id] = j
	c.list = append(c.list, j)
	return j
}

// all returns the jobs in the order of their creation.
func (c *clients) all() []*job {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*job(nil), c.list...)
}

// send makes one request to a host.
func (c *clients) send(h *host, method, path string, body []byte) (int, []byte, time.Duration, error) {
	req, err := http.NewRequest(method, "http://"+h.callers+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, 0, err
	}
	req.Host = hostName
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Deadline-Ms", strconv.FormatInt(requestLimit.Milliseconds(), 10))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	after, err2 := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err2 != nil {
		after = 0
	}
	return resp.StatusCode, text, time.Duration(after) * time.Second, err
}

// try makes a request, and repeats it at another host up to retries times while it
// gets no answer, or one that asks for another try. It returns the last status, or 0.
func (c *clients) try(method string, j *job, body []byte, noted func(status int)) (int, []byte) {
	var last *host
	for attempt := 0; ; attempt++ {
		hosts := c.targets()
		if len(hosts) == 0 {
			return 0, nil
		}
		i := rand.IntN(len(hosts))
		if hosts[i] == last {
			i = (i + 1) % len(hosts)
		}
		last = hosts[i]
		status, text, after, err := c.send(hosts[i], method, prefix+j.id, body)
		if err != nil {
			c.rec.add("client: %s %s at %s gets no answer: %v", method, j.id, hosts[i].name, err)
			status = 0
		} else {
			c.rec.add("client: %s %s at %s gets %d %s", method, j.id, hosts[i].name, status, text)
		}
		noted(status)
		again := status == 0 || status == 502 || status == 503 || status == 504 || status == 429
		if !again || attempt == retries {
			return status, text
		}
		time.Sleep(max(after, time.Duration(100+rand.IntN(200))*time.Millisecond))
	}
}

// submit hands a job in.
func (c *clients) submit(j *job) int {
	body, err := json.Marshal(map[string]any{"spec": j.spec, "steps": j.steps})
	if err != nil {
		panic(err)
	}
	status, _ := c.try(http.MethodPost, j, body, func(status int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		switch {
		case status/100 == 2 && !j.accepted:
			j.accepted, j.acceptedAt = true, time.Now()
		case status == 0 || status == 502 || status == 504:
			j.unknown = true
		}
	})
	return status
}

// status asks for the state of a job. It returns the HTTP status, or 0, and the state.
func (c *clients) status(j *job) (int, string) {
	status, text := c.try(http.MethodGet, j, nil, func(int) {})
	var out struct {
		State string `json:"state"`
	}
	if status == http.StatusOK {
		if err := json.Unmarshal(text, &out); err != nil {
			out.State = "unreadable"
		}
	}
	c.mu.Lock()
	j.state = out.State
	c.mu.Unlock()
	return status, out.State
}

// traffic hands in jobs at a rate for a time, and waits for the answers.
func (c *clients) traffic(perSecond float64, length time.Duration, next func() *job) {
	over := make(chan struct{})
	time.AfterFunc(length, func() { close(over) })
	c.trafficUntil(perSecond, over, next)
}

// trafficUntil hands in jobs at a rate until the traffic is over, and waits for the answers.
func (c *clients) trafficUntil(perSecond float64, over <-chan struct{}, next func() *job) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-over:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		j := next()
		wg.Add(1)
		go func() { defer wg.Done(); c.submit(j) }()
	}
}

// lost asks for all accepted jobs, which is done finish after the end of the traffic, and
// describes each that isn't known or gets no answer in time.
func (c *clients) lost() []string {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var lost []string
	for _, j := range c.all() {
		if !j.accepted || j.cancelled {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, state := c.status(j)
			if status != http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				lost = append(lost, fmt.Sprintf("job %s was accepted at %.3f s; asked for %v after the traffic, the last of %d tries got %d %s", j.id, j.acceptedAt.Sub(c.rec.start).Seconds(), finish, retries+1, status, state))
			}
		}()
	}
	wg.Wait()
	return lost
}
