package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// initialGoodShare is assumed of a queue whose advice is not known.
	initialAllowedShare = 0.4
	// minGoodShare bounds the number of workers that are asked about.
	minAllowedShare = 0.1
	// ticketMargin is the time before the end of a ticket within which a start
	// might arrive too late.
	ticketMargin = 150 * msec
	// maxAdvised is the greatest number of workers in a call.
	maxAdviceWorkers = 100
	// adviceTimeout is added to the expected time of a call.
	adviceTimeout = 1500 * msec
	// adviserBacklog is the time of calls that a host may have waiting at the
	// service, which takes one at a time from each host.
	maxAdviceBacklog = 60 * msec
	// longCall is the time from which a call may keep others waiting.
	longAdviceCall = 150 * msec
	// adviserRate is the weight of a new sample of a host's overhead.
	overheadSampleWeight = 0.2
	// adviserRest is how long a host through which a call failed is not asked, up
	// to adviserRestAtMost after failures in a row. A host that fails at once has
	// the least waiting and would be chosen again and again.
	adviceHostBackoff    = 200 * msec
	maxAdviceHostBackoff = 2 * time.Second
	// adviceRetry is the wait after a call that failed.
	adviceRetryDelay = 100 * msec
	// adviceQuiet is how long a stage that had no worker to ask about looks at
	// changed workers only. It bounds how late it notices a ticket that has ended.
	changedOnlyPeriod = 300 * msec
	// helloEvery is how often hosts greet the owner, and helloValid how long a
	// greeting counts.
	helloInterval = 1 * time.Second
	helloTTL      = 2500 * msec
)

// opinion is what the advice service said of a worker for a stage.
type adviceResult struct {
	born       int64
	allowed    bool
	ticket     string
	validUntil Time
}

// advice is what is known of the workers that may run a stage.
type advice struct {
	results map[*worker]adviceResult
	// good are the workers that the service has allowed in some life.
	allowed  []*worker
	inFlight bool
	// takes is the expected time of the call in flight.
	callTime time.Duration
	retryAt  Time
	// quietUntil is until when only workers that have changed are considered for
	// the next call: before, there was none to ask about.
	changedOnlyUntil Time
}

// drop forgets a ticket that is not valid.
func (a *advice) dropTicket(w *worker) {
	if o, ok := a.results[w]; ok {
		o.validUntil = 0
		a.results[w] = o
	}
}

// of returns the opinion of a worker's present life.
func (a *advice) result(w *worker) (adviceResult, bool) {
	o, ok := a.results[w]
	return o, ok && o.born == w.info.Born
}

// advised reports whether only the advice service knows which workers may run a
// stage.
func (s *stage) advised() bool { return s.job.policy != nil && s.job.policy.Advice != nil }

// adviceCall is a call in flight.
type adviceCall struct {
	stage   *stage
	workers []*worker
	born    []int64
	host    string
	cost    time.Duration
	sent    Time
}

// ticket returns a ticket for a task of a stage on a worker, if it has one or
// needs none.
func (c *cell) ticket(s *stage, w *worker) (string, bool) {
	if !s.advised() {
		return "", true
	}
	o, ok := s.advice.result(w)
	if !ok || !o.allowed || c.now.Add(ticketMargin) >= o.validUntil {
		return "", false
	}
	return o.ticket, true
}

// wantAdvice asks about workers for a stage that has none to run on.
func (c *cell) requestAdvice(s *stage) {
	if !s.advised() || s.advice.inFlight || c.now < s.advice.retryAt {
		return
	}
	q := s.job.policy
	if c.leastLoadedPeer(q.Advice.Base) == nil || c.now < s.advice.changedOnlyUntil && !c.hasChangedCandidate(s) {
		return
	}
	names := c.adviceCandidates(s)
	if len(names) == 0 {
		s.advice.changedOnlyUntil = c.now.Add(changedOnlyPeriod)
		return
	}
	s.advice.changedOnlyUntil = 0
	cost := q.Advice.Base + time.Duration(len(names))*q.Advice.PerWorker
	host := c.leastLoadedPeer(cost)
	if host == nil {
		return
	}
	call := &adviceCall{stage: s, host: host.address, cost: cost, sent: c.now}
	ids := make([]WorkerID, 0, len(names))
	for _, w := range names {
		ids = append(ids, w.info.ID)
		call.workers = append(call.workers, w)
		call.born = append(call.born, w.info.Born)
	}
	host.backlog += cost
	if cost >= longAdviceCall {
		host.longCalls++
	}
	id := c.nextCallID()
	c.adviceCalls[id] = call
	s.advice.inFlight, s.advice.callTime = true, cost+host.backlog
	c.emit(AskAdvice{Call: id, Host: host.address, Step: s.stepName(), Workers: ids, Timeout: cost + host.backlog + adviceTimeout})
}

// changedFor reports whether a changed worker is one to ask about for a stage.
func (c *cell) hasChangedCandidate(s *stage) bool {
	for _, w := range c.changed {
		if c.placesOn(s, w) == 0 || !c.usable(s, w) {
			continue
		}
		if o, known := s.advice.result(w); !known || o.allowed {
			return true
		}
	}
	return false
}

// adviceCandidates lists the workers to ask about: first those known to be good
// that have room and no valid ticket, then unknown ones in the order of their room,
// as many as are likely to yield enough.
func (c *cell) adviceCandidates(s *stage) []*worker {
	if s.step.Gang {
		return c.gangCandidates(s)
	}
	var names []*worker
	places := 0
	for _, w := range c.allowedWorkers(s) {
		if places >= s.waiting {
			return names
		}
		n := c.placesOn(s, w)
		if n == 0 {
			continue
		}
		places += n
		if o, _ := s.advice.result(w); c.now.Add(ticketMargin) >= o.validUntil {
			names = append(names, w)
		}
	}
	if places >= s.waiting {
		return names
	}
	return append(names, c.unknownCandidates(s, s.waiting-places, maxAdviceWorkers-len(names), false)...)
}

// gangCandidates lists the workers to ask about for a gang. A call for a wide gang
// takes the service close to a second, and its tickets end soon after. So unknown
// workers are asked about only until enough good ones are known, and those are
// asked about again only once most of the gang has room on them.
func (c *cell) gangCandidates(s *stage) []*worker {
	var names []*worker
	now, ever := 0, 0
	for _, w := range c.allowedWorkers(s) {
		ever += placesAtMost(s, w)
		now += c.placesOn(s, w)
		names = append(names, w)
	}
	for _, p := range s.reserved {
		now += p.tasks
	}
	names = names[:min(len(names), maxAdviceWorkers)]
	needed := len(s.tasks)
	if now >= needed {
		return names
	}
	var unknown []*worker
	if float64(ever) < gangPlacesFactor*float64(needed) {
		unknown = c.unknownCandidates(s, needed-now, maxAdviceWorkers-len(names), true)
	}
	if len(unknown) == 0 && (float64(now) < earlyTicketRatio*float64(needed) || ever < needed) {
		return nil
	}
	return append(names, unknown...)
}

// gangChoice is how many places an empty cell has to have for a gang on workers
// that are known to be good, as a multiple of its width, before no others are
// asked about. With less, gangs wait for the same few workers.
const gangPlacesFactor = 4.0

// askAhead is the part of a gang's room from which its tickets are asked for. The
// rest comes free while the call is on its way.
const earlyTicketRatio = 0.75

// knownGood lists the usable workers that the service has allowed in this life.
func (c *cell) allowedWorkers(s *stage) []*worker {
	good := make([]*worker, 0, len(s.advice.allowed))
	for _, w := range s.advice.allowed {
		if o, known := s.advice.result(w); known && o.allowed && c.usable(s, w) {
			good = append(good, w)
		}
	}
	return good
}

// unknownCandidates lists workers of which the advice service has not been asked,
// those with the most room first, until they are likely to have places for a
// number of tasks. With full also workers without room are listed.
func (c *cell) unknownCandidates(s *stage, tasks, limit int, full bool) []*worker {
	share := max(c.stats(s.job.queue).allowedShare, minAllowedShare)
	need := s.step.charge().MilliCPU
	var unknown []*worker
	mean, variance := 0.0, 0.0
	for _, w := range c.askOrder(s) {
		if len(unknown) >= limit || mean-askConfidence*math.Sqrt(variance) >= float64(tasks) {
			break
		}
		if !full && w.free().MilliCPU < need {
			if s.step.DataRack == "" {
				break // All others have less.
			}
			continue
		}
		if _, known := s.advice.result(w); known || !c.usable(s, w) {
			continue
		}
		n := float64(c.placesOn(s, w))
		if n == 0 && !full {
			continue
		}
		if n == 0 {
			n = fullWorkerShare * float64(placesAtMost(s, w))
		}
		mean += share * n
		variance += share * (1 - share) * n * n
		unknown = append(unknown, w)
	}
	return unknown
}

// askCertainty is by how many standard deviations the expected places exceed the
// tasks. A second call costs as much as some seventy further workers in the first.
const askConfidence = 1.2

// fullShare is the part of a full worker's places that is likely to be free by the
// time a gang has gathered its room.
const fullWorkerShare = 0.3

// askOrder lists the workers in the order in which they are asked about: those with
// the most room first, for a gang that belongs on one rack by the racks' room.
func (c *cell) askOrder(s *stage) []*worker {
	if !s.step.SameRack {
		return dataRackFirst(s, c.workersByFreeCPU())
	}
	room := map[string]int64{}
	for _, w := range c.fleet {
		room[w.info.Rack] += w.free().MilliCPU
	}
	order := slices.Clone(c.workersByFreeCPU())
	slices.SortStableFunc(order, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(room[b.info.Rack], room[a.info.Rack]), cmp.Compare(a.info.Rack, b.info.Rack))
	})
	return order
}

// byRoom returns the fleet in the order of free processors, most first.
func (c *cell) workersByFreeCPU() []*worker {
	if c.byFreeCPUPass != c.passes {
		c.byFreeCPUPass = c.passes
		c.byFreeCPU = append(c.byFreeCPU[:0], c.fleet...)
		slices.SortStableFunc(c.byFreeCPU, func(a, b *worker) int { return cmp.Compare(b.free().MilliCPU, a.free().MilliCPU) })
	}
	return c.byFreeCPU
}

// freePeer returns the host with the least waiting, or nil if all are busy.
func (c *cell) leastLoadedPeer(cost time.Duration) *peer {
	var best *peer
	long := 0
	for _, a := range c.peers {
		if !c.isAlive(a) || c.now < a.backoffUntil {
			continue
		}
		if a.longCalls > 0 {
			long++
		}
		if a.backlog > 0 && a.backlog+cost > maxAdviceBacklog {
			continue
		}
		if best == nil || a.backlog+a.overhead < best.backlog+best.overhead {
			best = a
		}
	}
	// Long calls leave a host to the short ones.
	if cost >= longAdviceCall && len(c.peers) > 1 && long+1 >= len(c.peers) {
		return nil
	}
	return best
}

// adviceAnswered takes an answer of the advice service.
func (c *cell) adviceAnswered(e AdviceAnswered) {
	call := c.adviceCalls[e.Call]
	if call == nil {
		return
	}
	delete(c.adviceCalls, e.Call)
	for _, a := range c.peers {
		if a.address == call.host {
			if e.Failed && !e.Refused {
				a.backoff = min(max(adviceHostBackoff, 2*a.backoff), maxAdviceHostBackoff)
				a.backoffUntil = c.now.Add(a.backoff)
			}
			if !e.Failed {
				a.backoff = 0
				extra := max(0, c.now.Sub(call.sent)-call.cost)
				a.overhead += time.Duration(overheadSampleWeight * float64(extra-a.overhead))
			}
			a.backlog = max(0, a.backlog-call.cost)
			if call.cost >= longAdviceCall {
				a.longCalls--
			}
		}
	}
	s := call.stage
	s.advice.inFlight = false
	c.dirty = true
	if e.Failed || e.Refused {
		s.advice.retryAt = c.now.Add(adviceRetryDelay)
		c.logDecision(Decision{Kind: "advice", Outcome: "failed", Job: s.job.id, Task: s.stepName(),
			Fields: []Field{{"took_ms", c.now.Sub(call.sent).Milliseconds()}, {"refused", boolField(e.Refused)}}})
		return
	}
	c.applyAdvice(s, call, e)
}

// noteAdvice stores the opinions of an answer.
func (c *cell) applyAdvice(s *stage, call *adviceCall, e AdviceAnswered) {
	valid := e.Valid
	if valid == 0 && s.advised() {
		valid = s.job.policy.Advice.Valid
	}
	tickets := make(map[WorkerID]string, len(e.Good))
	for _, g := range e.Good {
		tickets[g.Worker] = g.Ticket
	}
	if s.advice.results == nil {
		s.advice.results = make(map[*worker]adviceResult, len(call.workers))
	}
	fresh, good := 0, 0
	for i, w := range call.workers {
		ticket, ok := tickets[w.info.ID]
		if _, known := s.advice.results[w]; !known {
			fresh++
			good += int(boolField(ok))
		}
		if ok && !slices.Contains(s.advice.allowed, w) {
			s.advice.allowed = append(s.advice.allowed, w)
		}
		s.advice.results[w] = adviceResult{born: call.born[i], allowed: ok, ticket: ticket, validUntil: c.now.Add(valid)}
	}
	if fresh > 0 {
		d := c.stats(s.job.queue)
		d.allowedSamples++
		rate := max(sampleWeight, 1/float64(d.allowedSamples+1))
		d.allowedShare += rate * (float64(good)/float64(fresh) - d.allowedShare)
	}
	c.logDecision(Decision{Kind: "advice", Outcome: "answered", Job: s.job.id, Task: s.stepName(), Fields: []Field{
		{"asked", int64(len(call.workers))}, {"good", int64(len(e.Good))}, {"took_ms", c.now.Sub(call.sent).Milliseconds()}}})
}
