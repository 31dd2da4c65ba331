package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// advice is the service that knows which workers may run a step, with the figures of the
// deployment's queue knot-diag.
type advice struct {
	mu    sync.Mutex
	calls map[string]int
}

const (
	adviceDecide = 49 * time.Millisecond
	advicePeriod = 710 * time.Microsecond
	adviceValid  = 2500 * time.Millisecond
	// adviceGood is the share of workers that may run a step, in percent.
	adviceGood = 45
	// maxWaitingCalls is the number of waiting calls of a host from which others get 429.
	maxWaitingCalls = 32
)

// good reports whether a worker may run a step. That doesn't change.
func good(step, worker string) bool {
	h := fnv.New64a()
	_, _ = h.Write([]byte(step + "/" + worker))
	return h.Sum64()>>17%100 < adviceGood
}

// ticket returns the ticket for a step on a worker in its current life.
func ticket(step, worker string, born time.Time) string {
	return fmt.Sprintf("%s-%s-%d", step, worker, born.UnixMilli())
}

// handler returns the service for one host. It handles its calls one after the other.
func (a *advice) handler(f *fleet) http.Handler {
	turn, waiting := make(chan struct{}, 1), make(chan struct{}, maxWaitingCalls)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Workers) > 100 {
			respond(w, http.StatusBadRequest, nil)
			return
		}
		select {
		case waiting <- struct{}{}:
		default:
			respond(w, http.StatusTooManyRequests, nil)
			return
		}
		turn <- struct{}{}
		time.Sleep(adviceDecide + time.Duration(len(in.Workers))*advicePeriod)
		<-turn
		<-waiting
		rows := [][]string{}
		f.mu.Lock()
		for _, worker := range f.workers {
			if contains(in.Workers, worker.id) && good(in.Step, worker.id) {
				rows = append(rows, []string{worker.id, ticket(in.Step, worker.id, worker.born)})
			}
		}
		f.mu.Unlock()
		a.mu.Lock()
		a.calls[in.Step]++
		a.mu.Unlock()
		f.rec.add("advice: %s is asked for on %d workers, %d are good", in.Step, len(in.Workers), len(rows))
		respond(w, http.StatusOK, map[string]any{"good": rows, "valid_ms": adviceValid.Milliseconds()})
	})
}

// stepOf returns the step of a task.
func stepOf(task string) string { return task[:max(0, strings.LastIndexByte(task, '.'))] }
