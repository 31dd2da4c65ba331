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

const (
	// storeDelay is the time that the store takes for an answer.
	storeDelay = 4 * time.Millisecond
	// maxValueBytes is the deployment's value_bytes.
	maxValueBytes = 1 << 20
	// maxEntries is the largest number of entries of a transaction.
	maxEntries = 32
	// pageItems and pageBytes bound a page of a range.
	pageItems = 500
	pageBytes = 1 << 20
	// minLeaseTTL is the deployment's min_ttl_ms.
	minLeaseTTL = time.Second
)

// item is a key with its value, or the deletion of a key.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's metadata store.
type store struct {
	rec *record

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*storeLease
	changed chan struct{}
	// down rejects every call with status 503. Leases pause meanwhile.
	down   bool
	downAt time.Time
	// onChange, if set, is called with each change while the store is locked.
	onChange func(item)
}

func newStore(rec *record) *store {
	s := &store{rec: rec, rev: 1, items: map[string]item{}, leases: map[int64]*storeLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expireLeases()
		}
	}()
	return s
}

// setDown begins or ends an outage. Leases pause during an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down == s.down {
		return
	}
	s.down = down
	if down {
		s.downAt = time.Now()
		return
	}
	for _, l := range s.leases {
		l.expires = l.expires.Add(time.Since(s.downAt))
	}
}

func (s *store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// put sets a key. The caller holds the lock and has incremented the revision.
func (s *store) put(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.note(it)
}

// remove removes a key. The caller holds the lock.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.note(item{Key: key, Rev: s.rev, Deleted: true})
}

func (s *store) note(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	if s.onChange != nil {
		s.onChange(it)
	}
}

// write sets a key on behalf of the operator or a worker.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(key, value, 0)
}

// drop removes a key on behalf of the platform.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// get returns the value of a key.
func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.Value, ok
}

// keys returns the keys with a prefix in ascending order. The caller holds the lock.
func (s *store) keys(prefix string) []string {
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		respond(w, http.StatusServiceUnavailable, nil)
		return
	}
	query := r.URL.Query()
	switch {
	case r.URL.Path == "/v1/kv-key":
		s.serveKey(w, query.Get("key"))
	case r.URL.Path == "/v1/kv-range":
		s.serveRange(w, query.Get("prefix"), query.Get("after"))
	case r.URL.Path == "/v1/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/v1/kv-txn":
		s.serveTxn(w, r)
	case r.URL.Path == "/v1/kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		s.serveKeep(w, pathID(r))
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		s.mu.Lock()
		s.endLease(pathID(r))
		s.mu.Unlock()
		respond(w, http.StatusOK, map[string]any{})
	default:
		respond(w, http.StatusNotFound, nil)
	}
}

func pathID(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	rev := s.rev
	s.mu.Unlock()
	if !ok {
		respond(w, http.StatusNotFound, nil)
		return
	}
	respond(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{it, rev})
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items, size, more := []item{}, 0, false
	for _, key := range s.keys(prefix) {
		if key <= after {
			continue
		}
		it := s.items[key]
		if len(items) > 0 && (len(items) >= pageItems || size+len(it.Value) > pageBytes) {
			more = true
			break
		}
		size += len(it.Value)
		items = append(items, it)
	}
	rev := s.rev
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"items": items, "more_pages": more, "store_revision": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || err2 != nil {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	deadline := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Rev > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-deadline.C:
				expired = true
			}
		}
		if len(events) > 0 || expired {
			respond(w, http.StatusOK, map[string]any{"events": events, "store_revision": rev})
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Conditions []struct {
			Key string `json:"key"`
			Rev int64  `json:"rev"`
		} `json:"expected_rev"`
		Sets []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set_keys"`
		Removals []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Conditions)+len(in.Sets)+len(in.Removals) > maxEntries {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	for _, set := range in.Sets {
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			respond(w, http.StatusForbidden, nil)
			return
		}
		if len(set.Value) > maxValueBytes {
			s.rec.add("store rejects a value of %d bytes for key %s: value_bytes is %d", len(set.Value), set.Key, maxValueBytes)
			respond(w, http.StatusBadRequest, nil)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, met := []item{}, true
	for _, c := range in.Conditions {
		it, ok := s.items[c.Key]
		if !ok {
			it = item{Key: c.Key}
		}
		met = met && it.Rev == c.Rev
		current = append(current, it)
	}
	if !met {
		respond(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, set := range in.Sets {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			respond(w, http.StatusNotFound, nil)
			return
		}
	}
	s.rev++
	rev := s.rev
	for _, set := range in.Sets {
		s.put(set.Key, set.Value, set.Lease)
	}
	for _, key := range in.Removals {
		s.remove(key)
	}
	respond(w, http.StatusOK, map[string]any{"rev": rev})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	ttl := time.Duration(0)
	err := json.NewDecoder(r.Body).Decode(&in)
	if ttl = time.Duration(in.TTL) * time.Millisecond; err != nil || ttl < minLeaseTTL {
		respond(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	s.rev++
	id := s.rev
	s.leases[id] = &storeLease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": in.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		respond(w, http.StatusNotFound, nil)
		return
	}
	respond(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

// respond writes a response with a JSON body, or an empty one if body is nil.
func respond(w http.ResponseWriter, status int, body any) {
	var text []byte
	if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
