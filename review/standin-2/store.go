package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store's answers and calls.
const (
	maxPageItems  = 500
	maxTxnEntries = 32
	maxValueBytes = 1 << 20
	minLeaseTTL   = time.Second
)

// item is a key with its value, or the deletion of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"rev"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	// changed is closed and replaced at each change.
	changed chan struct{}
	// watchDelay is added to the response of a watch that has events, as on the way to a
	// host in another region.
	watchDelay time.Duration
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
}

// put writes a key outside of a transaction, as the operator and the workers do.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(item{Key: key, Value: value})
	s.notify()
}

// set stores an item at the current revision. The lock must be held.
func (s *store) set(it item) {
	it.Revision, it.Created = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	s.items[it.Key] = it
	s.history = append(s.history, it)
}

// drop removes a key at the current revision. The lock must be held.
func (s *store) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases ends the leases that have run out.
func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The lock must be held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.drop(key)
		}
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		s.mu.Lock()
		it, ok := s.items[r.URL.Query().Get("key")]
		s.mu.Unlock()
		if !ok {
			respond(w, http.StatusNotFound, nil)
			return
		}
		respond(w, http.StatusOK, it)
	case path == "/v1/kv-range":
		s.list(w, r)
	case path == "/v1/kv-watch":
		s.watch(w, r)
	case path == "/v1/kv-txn":
		s.transaction(w, r)
	case path == "/v1/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/v1/kv-keep/"):
		s.renew(w, strings.TrimPrefix(path, "/v1/kv-keep/"))
	case strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/v1/kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		respond(w, http.StatusOK, map[string]any{})
	default:
		respond(w, http.StatusNotFound, nil)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxPageItems
	respond(w, http.StatusOK, map[string]any{"items": items[:min(len(items), maxPageItems)], "more_pages": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events, changed, revision := []item{}, s.changed, s.revision
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			time.Sleep(s.watchDelay)
			respond(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			respond(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transaction(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Conditions []item   `json:"expected_rev"`
		Writes     []item   `json:"set_keys"`
		Removals   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Conditions)+len(in.Writes)+len(in.Removals) > maxTxnEntries {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	met, current := true, []item{}
	for _, c := range in.Conditions {
		it, ok := s.items[c.Key]
		if !ok {
			it = item{Key: c.Key}
		}
		met = met && it.Revision == c.Revision
		current = append(current, it)
	}
	if !met {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, it := range in.Writes {
		if len(it.Value) > maxValueBytes {
			respond(w, http.StatusBadRequest, nil)
			return
		}
		if it.Lease != 0 && s.leases[it.Lease] == nil {
			respond(w, http.StatusNotFound, nil)
			return
		}
	}
	s.revision++
	for _, it := range in.Writes {
		s.set(it)
	}
	for _, key := range in.Removals {
		s.drop(key)
	}
	s.notify()
	respond(w, http.StatusOK, map[string]int64{"rev": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	ttl := func() time.Duration { return time.Duration(in.TTL) * time.Millisecond }
	if json.NewDecoder(r.Body).Decode(&in) != nil || ttl() < minLeaseTTL {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl(), time.Now().Add(ttl())}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]int64{"lease": id, "ttl_ms": in.TTL})
}

func (s *store) renew(w http.ResponseWriter, name string) {
	id, _ := strconv.ParseInt(name, 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.end = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		respond(w, http.StatusNotFound, nil)
		return
	}
	respond(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

// respond writes a response with a JSON body, or without a body if it is nil.
func respond(w http.ResponseWriter, status int, body any) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
		w.Header().Set("Content-Type", "application/json")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
