package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or its deletion.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is a stand-in for the platform's metadata store. Each host reaches it at an
// address of its own, so that the path of a single host can be cut.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]*item
	history []item
	leases  map[int64]*lease
	changed chan struct{}
	// answerDelay is the time that a response takes for each host.
	answerDelay map[string]time.Duration
	// onWrite, if set, is called under the lock for each key that a host has written.
	onWrite func(host, key string, value []byte)
}

func newStore() *store {
	s := &store{
		rev: 1, items: map[string]*item{}, leases: map[int64]*lease{}, changed: make(chan struct{}),
		answerDelay: map[string]time.Duration{},
	}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.removeKeysOf(id)
}

// removeKeysOf removes the keys under a lease.
func (s *store) removeKeysOf(id int64) {
	for key, it := range s.items {
		if it.Lease == id && id != 0 {
			s.rev++
			s.removeAt(s.rev, key)
		}
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setAt(rev int64, key string, value []byte, lease int64) {
	it := &item{Key: key, Value: value, Rev: rev, Created: rev, Lease: lease}
	if old := s.items[key]; old != nil {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, *it)
	s.notify()
}

func (s *store) removeAt(rev int64, key string) {
	if s.items[key] == nil {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Rev: rev, Deleted: true})
	s.notify()
}

// put writes a key as the operator or a worker.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.setAt(s.rev, key, text, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.removeAt(s.rev, key)
}

func (s *store) get(key string) *item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if it := s.items[key]; it != nil {
		found := *it
		return &found
	}
	return nil
}

// handler returns the handler for the calls of one host.
func (s *store) handler(host string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		status, out := s.call(r, host, body)
		s.mu.Lock()
		delay := s.answerDelay[host]
		s.mu.Unlock()
		time.Sleep(delay)
		respond(w, status, out)
	})
}

func respond(w http.ResponseWriter, status int, out any) {
	text, err := json.Marshal(out)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}

func (s *store) call(r *http.Request, host string, body []byte) (int, any) {
	q, none := r.URL.Query(), struct{}{}
	id, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	if r.URL.Path == "/v1/kv-watch" {
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		return s.watch(r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.URL.Path == "/v1/kv-key":
		if it := s.items[q.Get("key")]; it != nil {
			found := *it
			return 200, found
		}
		return 404, none
	case r.URL.Path == "/v1/kv-range":
		return s.list(q.Get("prefix"), q.Get("after"))
	case r.URL.Path == "/v1/kv-txn":
		return s.transaction(host, body)
	case r.URL.Path == "/v1/kv-lease":
		var in struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(body, &in) != nil || in.TTL <= 0 {
			return 400, none
		}
		s.rev++
		ttl := time.Duration(max(in.TTL, 1000)) * time.Millisecond
		s.leases[s.rev] = &lease{ttl, time.Now().Add(ttl)}
		return 200, map[string]int64{"lease": s.rev, "ttl_ms": ttl.Milliseconds()}
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		l := s.leases[id]
		if l == nil {
			return 404, none
		}
		l.ends = time.Now().Add(l.ttl)
		return 200, map[string]int64{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		if s.leases[id] == nil {
			return 404, none
		}
		s.endLease(id)
		return 200, none
	}
	return 404, none
}

const (
	pageItems = 500
	pageBytes = 1 << 20
)

func (s *store) list(prefix, after string) (int, any) {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		size += len(s.items[key].Value)
		if len(items) == pageItems || len(items) > 0 && size > pageBytes {
			more = true
			break
		}
		items = append(items, *s.items[key])
	}
	return 200, map[string]any{"items": items, "more_pages": more, "store_revision": s.rev}
}

func (s *store) watch(r *http.Request, prefix string, after int64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events, rev, changed := []item{}, s.rev, s.changed
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		answer := map[string]any{"events": events, "store_revision": rev}
		if len(events) > 0 {
			return 200, answer
		}
		select {
		case <-changed:
		case <-timeout:
			return 200, answer
		case <-r.Context().Done():
			return 200, answer
		}
	}
}

func (s *store) transaction(host string, body []byte) (int, any) {
	var in struct {
		Expected []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expected_rev"`
		Sets []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set_keys"`
		Remove []string `json:"remove"`
	}
	if json.Unmarshal(body, &in) != nil || len(in.Expected)+len(in.Sets)+len(in.Remove) > 32 {
		return 400, struct{}{}
	}
	met, current := true, []item{}
	for _, e := range in.Expected {
		it := item{Key: e.Key}
		if s.items[e.Key] != nil {
			it = *s.items[e.Key]
		}
		met = met && it.Rev == e.Rev
		current = append(current, it)
	}
	if !met {
		return 412, map[string]any{"items": current}
	}
	for _, w := range in.Sets {
		if w.Lease != 0 && s.leases[w.Lease] == nil {
			return 404, struct{}{}
		}
	}
	s.rev++
	for _, key := range in.Remove {
		s.removeAt(s.rev, key)
	}
	for _, w := range in.Sets {
		s.setAt(s.rev, w.Key, w.Value, w.Lease)
		if s.onWrite != nil {
			s.onWrite(host, w.Key, w.Value)
		}
	}
	return 200, map[string]int64{"rev": s.rev}
}
