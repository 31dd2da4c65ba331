package virtual

import (
	"encoding/binary"
	"time"

	"banyanrun.example/banyanrun/core"
	"banyanrun.example/banyanrun/standin/store"
	"banyanrun.example/banyanrun/wire"
)

const (
	// Defaults of the entry daemon.
	storeTimeout  = 2 * time.Second
	workerTimeout = 5 * time.Second
	watchWait     = 30 * time.Second
)

// platform runs the reducer of the store and the host list. The store holds
// indexes into values instead of encoded values.
type platform struct {
	reducer        *store.Reducer
	faults         store.Faults
	values         []core.Value
	wakeGeneration uint64
	// answersToLose is the number of answers to lose, by purpose.
	answersToLose map[core.Purpose]int
}

func newPlatform(cfg Config, list wire.HostList) platform {
	faults := store.Faults{HostLagMS: cfg.HostListLag.Milliseconds()}
	return platform{
		reducer: store.New(cfg.Limits, faults, list), faults: faults, answersToLose: map[core.Purpose]int{},
	}
}

// addValue keeps a value and returns the index that stands for it in the store.
func (p *platform) addValue(v core.Value) []byte {
	p.values = append(p.values, v)
	return binary.BigEndian.AppendUint64(nil, uint64(len(p.values)-1))
}

// addDocument writes a document before the run begins.
func (p *platform) addDocument(c *Cluster, d *core.Document) {
	rec := core.DocumentRecord{Current: core.DocumentVersion{Document: *d, Author: "seed", Time: c.now}}
	p.step(c, store.CallReceived{Call: store.Put{Key: "documents/" + string(d.Team), Value: p.addValue(rec)}})
}

// document reads a team's document from the store.
func (p *platform) document(c *Cluster, team core.TeamName) core.DocumentRecord {
	for _, f := range p.reducer.Step(store.Event{
		At: c.now, Body: store.CallReceived{Call: store.Get{Key: "documents/" + string(team)}},
	}) {
		if a, ok := f.(store.Answer); ok {
			if item, ok := a.Body.(wire.Item); ok {
				rec, _ := p.item(item).Value.(core.DocumentRecord)
				return rec
			}
		}
	}
	return core.DocumentRecord{}
}

// step applies one event and executes its effects.
func (p *platform) step(c *Cluster, body store.EventBody) {
	for _, f := range p.reducer.Step(store.Event{At: c.now, Body: body}) {
		switch f := f.(type) {
		case store.Answer:
			c.answerStore(f)
		case store.WakeAt:
			p.wakeGeneration++
			wake := p.wakeGeneration
			c.At(f.At, func() {
				if wake == p.wakeGeneration {
					p.step(c, store.Tick{})
				}
			})
		case store.WorkerListingChanged:
			c.notifyWorker(core.WorkerID(f.ID), f.Leaving)
		}
	}
}

func (p *platform) abandon(c *Cluster, id uint64) {
	p.step(c, store.RequestAbandoned{Request: store.RequestID(id)})
}

// answerStore sends an answer of the store.
func (c *Cluster) answerStore(a store.Answer) {
	result := answered
	if a.Dropped {
		result = connectionBroken
	}
	c.sendAnswer(uint64(a.Request), a, result, a.Delay)
}

// callStore sends a call to the store and posts the result to the host.
func (c *Cluster) callStore(h *host, op core.StoreOp, call store.Call) {
	c.counts.Store[op.Purpose]++
	timeout := storeTimeout
	if w, ok := call.(store.Watch); ok {
		timeout += w.Wait
	}
	c.sendRequest(Endpoint(h.id), Store, timeout, func(id uint64) {
		c.store.step(c, store.CallReceived{Request: store.RequestID(id), Call: call})
	}, func(body any, result exchangeResult) {
		if result == answered && c.store.answersToLose[op.Purpose] > 0 {
			c.store.answersToLose[op.Purpose]--
			result = connectionBroken
		}
		h.post(c.convertAnswer(op, call, body, result))
	})
}

// convertAnswer converts an answer as the store client does.
func (c *Cluster) convertAnswer(op core.StoreOp, call store.Call, body any, result exchangeResult) core.StoreAnswered {
	out := core.StoreAnswered{Op: op}
	switch result {
	case notDelivered:
		out.Outcome = core.StoreNotSent
		return out
	case connectionBroken:
		out.Outcome = core.StoreInDoubt
		return out
	}
	a := body.(store.Answer)
	switch a.Status {
	case store.NotFound:
		out.Outcome = core.StoreNotFound
	case store.Conflict:
		out.Outcome = core.StoreConflict
	case store.TooLarge, store.RateLimited, store.Unavailable:
		out.Outcome = core.StoreNotSent
		return out
	}
	switch b := a.Body.(type) {
	case wire.Item:
		out.Revision = b.Revision
		if b.Revision != 0 {
			out.Items = []core.StoreItem{c.store.item(b)}
		}
	case wire.ItemList:
		out.Revision = b.Revision
		for _, item := range b.Items {
			out.Items = append(out.Items, c.store.item(item))
		}
	case wire.PutResponse:
		out.Revision = b.Revision
	case wire.LeaseResponse:
		out.Lease = core.LeaseID(b.ID)
	}
	if revoke, ok := call.(store.Revoke); ok {
		out.Lease = core.LeaseID(revoke.Lease)
	}
	return out
}

// item replaces the index in an item by its value.
func (p *platform) item(i wire.Item) core.StoreItem {
	return core.StoreItem{Key: i.Key, Value: p.values[binary.BigEndian.Uint64(i.Value)], Revision: i.Revision}
}

// listHosts reads the host list and posts it. A failed read posts nothing.
func (c *Cluster) listHosts(h *host) {
	c.counts.HostLists++
	c.sendRequest(Endpoint(h.id), Store, storeTimeout, func(id uint64) {
		c.store.step(c, store.CallReceived{Request: store.RequestID(id), Call: store.Hosts{}})
	}, func(body any, result exchangeResult) {
		if result == answered {
			list := body.(store.Answer).Body.(wire.HostList)
			workers, hosts := list.ToCore()
			h.post(core.HostsListed{Workers: workers, Hosts: hosts})
		}
	})
}
