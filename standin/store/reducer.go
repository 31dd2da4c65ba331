package store

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/wire"
)

// Limits are the store's rate limits in calls per second. Zero means no limit.
type Limits struct {
	Reads  float64
	Writes float64
}

// Reducer holds the state of the store and the host list.
type Reducer struct {
	keys        *keySpace
	leases      map[string]*lease
	watches     []watch
	hostList    hostList
	faults      Faults
	revision    int64
	leaseSeq    uint64
	writeCount  int64
	readBucket  tokenBucket
	writeBucket tokenBucket
	calls       map[Kind]int64
	rateLimited int64
	unavailable int64
	lostAnswers int64
	// staleSince is when the age of stale reads was last changed.
	staleSince core.Time
	nextWake   core.Time
	now        core.Time
	effects    []Effect
}

type lease struct {
	id         string
	timeToLive time.Duration
	expiresAt  core.Time
}

// watch is a Watch call that waits for a change.
type watch struct {
	request  RequestID
	call     Watch
	deadline core.Time
}

// New returns an empty store whose host list is list.
func New(limits Limits, faults Faults, list wire.HostList) *Reducer {
	return &Reducer{
		keys: newKeySpace(), leases: map[string]*lease{}, calls: map[Kind]int64{},
		readBucket: tokenBucket{rate: limits.Reads}, writeBucket: tokenBucket{rate: limits.Writes},
		faults: faults, hostList: newHostList(list),
	}
}

// Step applies one event and returns the resulting effects.
func (r *Reducer) Step(e Event) []Effect {
	r.effects = nil
	r.now = max(r.now, e.At)
	r.advance()
	switch b := e.Body.(type) {
	case CallReceived:
		r.handleCall(b.Request, b.Call)
	case RequestAbandoned:
		r.watches = slices.DeleteFunc(r.watches, func(w watch) bool { return w.request == b.Request })
	case FaultsSet:
		r.setFaults(b.Faults)
	case ReportRequested:
		r.emit(Answer{Request: b.Request, Body: r.report()})
	case WorkerListed, WorkerLeft, HostListed, HostLeft:
		r.hostList.pending = append(r.hostList.pending, listChange{at: r.now, body: b})
		r.advance()
	}
	r.scheduleWake()
	return r.effects
}

func (r *Reducer) emit(f Effect) { r.effects = append(r.effects, f) }

// handleCall counts a call and executes it, subject to the outage and the rate
// limits. Reads of the host list are exempt from both.
func (r *Reducer) handleCall(request RequestID, call Call) {
	kind := call.kind()
	r.calls[kind]++
	if kind == KindHosts {
		r.answer(request, OK, r.hostList.changedSince(call.(Hosts).Since))
		return
	}
	switch r.faults.Outage {
	case OutageRefuse:
		r.unavailable++
		r.answer(request, Unavailable, nil)
		return
	case OutageHang:
		return
	}
	limit := &r.readBucket
	if kind.write() {
		limit = &r.writeBucket
	}
	if !limit.take(r.now) {
		r.rateLimited++
		r.answer(request, RateLimited, nil)
		return
	}
	if kind.write() {
		r.write(request, call)
		return
	}
	r.read(request, call)
}

func (r *Reducer) read(request RequestID, call Call) {
	switch c := call.(type) {
	case Get:
		item, ok := r.keys.get(c.Key, r.readTime())
		if !ok {
			r.answer(request, NotFound, nil)
			return
		}
		r.answer(request, OK, item)
	case List:
		at := r.readTime()
		items := r.keys.list(c.Prefix, 0, at)
		revision := r.revision
		if at < r.now {
			revision = maxRevision(items)
		}
		r.answer(request, OK, wire.ItemList{Items: items, Revision: revision})
	case Watch:
		items := r.keys.list(c.Prefix, c.Since, r.now)
		if len(items) > 0 || c.Wait <= 0 {
			r.answer(request, OK, wire.ItemList{Items: items, Revision: r.revision})
			return
		}
		r.watches = append(r.watches, watch{request: request, call: c, deadline: r.now.Add(c.Wait)})
	}
}

// maxRevision returns the highest revision of items, or zero.
func maxRevision(items []wire.Item) int64 {
	var revision int64
	for _, item := range items {
		revision = max(revision, item.Revision)
	}
	return revision
}

// readTime is the time as of which gets and lists read.
func (r *Reducer) readTime() core.Time {
	if r.faults.StaleMS == 0 {
		return r.now
	}
	return max(r.staleSince, r.now.Add(-time.Duration(r.faults.StaleMS)*time.Millisecond))
}

func (r *Reducer) write(request RequestID, call Call) {
	status, body := r.apply(call)
	lost := false
	if status == OK {
		r.writeCount++
		switch {
		case r.faults.LoseNext > 0:
			r.faults.LoseNext--
			lost = true
		case r.faults.LoseEvery > 0:
			lost = r.writeCount%r.faults.LoseEvery == 0
		}
	}
	if lost {
		r.lostAnswers++
	}
	r.emit(Answer{Request: request, Status: status, Body: body, Delay: r.delay(), Dropped: lost})
}

func (r *Reducer) apply(call Call) (Status, any) {
	switch c := call.(type) {
	case Put:
		return r.put(c)
	case Delete:
		for _, key := range c.Keys {
			r.remove(key)
		}
		return OK, nil
	case Grant:
		r.leaseSeq++
		l := &lease{id: "lease-" + strconv.FormatUint(r.leaseSeq, 10), timeToLive: c.TimeToLive}
		l.expiresAt = r.now.Add(l.timeToLive)
		r.leases[l.id] = l
		return OK, l.response()
	case Renew:
		l := r.leases[c.Lease]
		if l == nil {
			return NotFound, nil
		}
		l.expiresAt = r.now.Add(l.timeToLive)
		return OK, l.response()
	case Revoke:
		if r.leases[c.Lease] == nil {
			return NotFound, nil
		}
		r.deleteLease(c.Lease)
	}
	return OK, nil
}

func (l *lease) response() wire.LeaseResponse {
	return wire.LeaseResponse{ID: l.id, TimeToLiveMS: l.timeToLive.Milliseconds()}
}

func (r *Reducer) put(c Put) (Status, any) {
	if len(c.Value) > wire.MaxValueBytes {
		return TooLarge, nil
	}
	if c.Lease != "" && r.leases[c.Lease] == nil {
		return NotFound, nil
	}
	var current wire.Item
	if e := r.keys.find(c.Key); e != nil {
		current = wire.Item{Key: c.Key, Value: e.latest().value, Revision: e.latest().revision}
	}
	if current.Revision != c.IfRevision {
		return Conflict, current
	}
	r.revision++
	v := version{at: r.now, value: c.Value, revision: r.revision}
	r.keys.set(c.Key, c.Lease, v, r.readTime())
	r.answerWatches(c.Key)
	return OK, wire.PutResponse{Revision: r.revision}
}

// remove deletes a key if it exists.
func (r *Reducer) remove(key string) {
	if r.keys.find(key) == nil {
		return
	}
	r.revision++
	r.keys.set(key, "", version{at: r.now, revision: r.revision, deleted: true}, r.readTime())
}

// deleteLease deletes a lease and the keys attached to it.
func (r *Reducer) deleteLease(id string) {
	delete(r.leases, id)
	var owned []string
	r.keys.tree.Ascend(func(e *keyEntry) bool {
		if e.lease == id {
			owned = append(owned, e.key)
		}
		return true
	})
	for _, key := range owned {
		r.remove(key)
	}
}

// answerWatches answers the watches whose prefix matches a changed key.
func (r *Reducer) answerWatches(key string) {
	r.watches = slices.DeleteFunc(r.watches, func(w watch) bool {
		if !strings.HasPrefix(key, w.call.Prefix) {
			return false
		}
		items := r.keys.list(w.call.Prefix, w.call.Since, r.now)
		r.answer(w.request, OK, wire.ItemList{Items: items, Revision: r.revision})
		return true
	})
}

func (r *Reducer) answer(request RequestID, status Status, body any) {
	r.emit(Answer{Request: request, Status: status, Body: body, Delay: r.delay()})
}

func (r *Reducer) delay() time.Duration {
	return time.Duration(r.faults.DelayMS) * time.Millisecond
}
