package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// initialAllowedShare is the assumed share of workers that the advice service
	// allows for a queue without samples.
	initialAllowedShare = 0.4
	// minAllowedShare is the least share that is assumed, which bounds the number
	// of workers in a call.
	minAllowedShare = 0.1
	// ticketMargin is the time before a ticket expires within which it is not
	// used, since the start might arrive too late.
	ticketMargin = 150 * msec
	// maxAdviceWorkers is the maximum number of workers in a call.
	maxAdviceWorkers = 100
	// adviceTimeout is added to the expected time of a call to get its timeout.
	adviceTimeout = 1500 * msec
	// maxAdviceBacklog bounds the total expected time of a host's calls in flight,
	// if there is more than one. The service processes one call at a time from
	// each host.
	maxAdviceBacklog = 60 * msec
	// longAdviceCall is the expected time from which a call may keep others
	// waiting. Such calls do not occupy all hosts at the same time.
	longAdviceCall = 150 * msec
	// overheadSampleWeight is the weight of a new sample of a host's overhead.
	overheadSampleWeight = 0.2
	// adviceHostBackoff is how long a host is not used after a failed call. It
	// doubles with each failure in a row, up to maxAdviceHostBackoff. A host that
	// fails at once has the smallest backlog and would be chosen again and again.
	adviceHostBackoff    = 200 * msec
	maxAdviceHostBackoff = 2 * time.Second
	// adviceRetryDelay is the delay before a stage repeats a failed call.
	adviceRetryDelay = 100 * msec
	// changedOnlyPeriod is how long a stage that found no worker to ask about
	// considers only changed workers. It bounds the delay until the stage notices
	// an expired ticket.
	changedOnlyPeriod = 300 * msec
	// helloInterval is the interval between the Hello calls of a host to the
	// owner. helloTTL is how long a host counts as alive after one.
	helloInterval = 1 * time.Second
	helloTTL      = 2500 * msec
)

// adviceResult is the advice service's answer about a worker for a stage.
type adviceResult struct {
	born       int64
	allowed    bool
	ticket     string
	validUntil Time
}

// advice is what the advice service has answered for a stage.
type advice struct {
	results map[*worker]adviceResult
	// allowed are the workers that the service has allowed in any incarnation.
	allowed  []*worker
	inFlight bool
	// callTime is the expected time of the call in flight.
	callTime time.Duration
	retryAt  Time
	// changedOnlyUntil is until when only changed workers are considered for the
	// next call, because there was no worker to ask about.
	changedOnlyUntil Time
}

// dropTicket marks a worker's ticket as expired.
func (a *advice) dropTicket(w *worker) {
	if result, ok := a.results[w]; ok {
		result.validUntil = 0
		a.results[w] = result
	}
}

// result returns the result for a worker's current incarnation.
func (a *advice) result(w *worker) (adviceResult, bool) {
	result, ok := a.results[w]
	return result, ok && result.born == w.info.Born
}

// advised reports whether a stage's tasks may start only on workers that the
// advice service allows.
func (s *stage) advised() bool { return s.job.policy != nil && s.job.policy.Advice != nil }

// adviceCall is a call to the advice service that is in flight.
type adviceCall struct {
	stage   *stage
	workers []*worker
	born    []int64
	host    string
	cost    time.Duration
	sent    Time
}

// ticket returns a valid ticket for tasks of a stage on a worker. The ticket is
// empty if the stage needs none. It reports false if a needed ticket is missing.
func (c *cell) ticket(s *stage, w *worker) (string, bool) {
	if !s.advised() {
		return "", true
	}
	result, ok := s.advice.result(w)
	if !ok || !result.allowed || c.now.Add(ticketMargin) >= result.validUntil {
		return "", false
	}
	return result.ticket, true
}

// requestAdvice asks the advice service about workers for a stage whose tasks
// wait, unless a call is in flight or the last one has just failed.
func (c *cell) requestAdvice(s *stage) {
	if !s.advised() || s.advice.inFlight || c.now < s.advice.retryAt {
		return
	}
	q := s.job.policy
	if c.leastLoadedPeer(q.Advice.Base) == nil || c.now < s.advice.changedOnlyUntil && !c.hasChangedCandidate(s) {
		return
	}
	workers := c.adviceCandidates(s)
	if len(workers) == 0 {
		s.advice.changedOnlyUntil = c.now.Add(changedOnlyPeriod)
		return
	}
	s.advice.changedOnlyUntil = 0
	cost := q.Advice.Base + time.Duration(len(workers))*q.Advice.PerWorker
	host := c.leastLoadedPeer(cost)
	if host == nil {
		return
	}
	call := &adviceCall{stage: s, host: host.address, cost: cost, sent: c.now}
	ids := make([]WorkerID, 0, len(workers))
	for _, w := range workers {
		ids = append(ids, w.info.ID)
		call.workers = append(call.workers, w)
		call.born = append(call.born, w.info.Born)
	}
	host.backlog += cost
	if cost >= longAdviceCall {
		host.longCalls++
	}
	s.advice.inFlight, s.advice.callTime = true, cost+host.backlog
	timeout := cost + host.backlog + adviceTimeout
	id := c.call(AskAdvice{Host: host.address, Step: s.stepName(), Workers: ids, Timeout: timeout}, timeout+adviceCallMargin)
	c.adviceCalls[id] = call
}

// hasChangedCandidate reports whether a stage should ask about a changed worker.
func (c *cell) hasChangedCandidate(s *stage) bool {
	for _, w := range c.changed {
		if c.placesOn(s, w) == 0 || !c.usable(s, w) {
			continue
		}
		if result, known := s.advice.result(w); !known || result.allowed {
			return true
		}
	}
	return false
}

// adviceCandidates returns the workers to ask about: first allowed ones with room
// whose ticket has expired, then unknown ones, those with the most room first, as
// many as are likely to yield enough places.
func (c *cell) adviceCandidates(s *stage) []*worker {
	if s.step.Gang {
		return c.gangCandidates(s)
	}
	var workers []*worker
	places := 0
	for _, w := range c.allowedWorkers(s) {
		if places >= s.waiting || len(workers) == maxAdviceWorkers {
			return workers
		}
		n := c.placesOn(s, w)
		if n == 0 {
			continue
		}
		places += n
		if result, _ := s.advice.result(w); c.now.Add(ticketMargin) >= result.validUntil {
			workers = append(workers, w)
		}
	}
	if places >= s.waiting {
		return workers
	}
	return append(workers, c.unknownCandidates(s, s.waiting-places, maxAdviceWorkers-len(workers), false)...)
}

// gangCandidates returns the workers to ask about for a gang. A call for a wide
// gang takes the service close to a second, and its tickets expire soon after. So
// unknown workers are included only until enough allowed ones are known, and those
// are asked about again only once most of the gang fits on them.
func (c *cell) gangCandidates(s *stage) []*worker {
	var workers []*worker
	placesNow, placesIfEmpty := 0, 0
	for _, w := range c.allowedWorkers(s) {
		placesIfEmpty += placesAtMost(s, w)
		placesNow += c.placesOn(s, w)
		workers = append(workers, w)
	}
	for _, p := range s.reserved {
		placesNow += p.tasks
	}
	if len(workers) > maxAdviceWorkers {
		// Several calls are needed, so each continues where the last one ended.
		slices.SortStableFunc(workers, func(a, b *worker) int {
			return cmp.Compare(s.advice.results[a].validUntil, s.advice.results[b].validUntil)
		})
	}
	needed := len(s.tasks)
	if placesNow >= needed {
		return workers[:min(len(workers), maxAdviceWorkers)]
	}
	var unknown []*worker
	if float64(placesIfEmpty) < gangPlacesFactor*float64(needed) {
		known := min(len(workers), maxKnownWorkers)
		unknown = c.unknownCandidates(s, needed-placesNow, maxAdviceWorkers-known, true)
	}
	if len(unknown) == 0 && (float64(placesNow) < earlyTicketRatio*float64(needed) || placesIfEmpty < needed || !c.ticketsExpire(s, workers)) {
		return nil
	}
	return append(workers[:min(len(workers), maxAdviceWorkers-len(unknown))], unknown...)
}

// ticketsExpire reports whether the ticket for a worker expires before the answer to a
// call for advice about all of them would arrive. A gang that does not fit keeps its
// tickets until then, because repeated calls would keep other stages waiting.
func (c *cell) ticketsExpire(s *stage, workers []*worker) bool {
	q := s.job.policy.Advice
	answer := c.now.Add(q.Base + time.Duration(min(len(workers), maxAdviceWorkers))*q.PerWorker + ticketMargin)
	return slices.ContainsFunc(workers, func(w *worker) bool { return s.advice.results[w].validUntil <= answer })
}

// maxKnownWorkers is the maximum number of allowed workers in a call for a gang that
// also asks about unknown ones. Without a place for unknown workers in the call, a gang
// that needs more workers than one call may name would never learn of enough of them.
const maxKnownWorkers = maxAdviceWorkers / 2

// gangPlacesFactor is the number of places for a gang on allowed workers, were they
// empty, as a multiple of its width, from which no unknown workers are asked about.
// With a smaller factor, gangs wait for the same few workers.
const gangPlacesFactor = 4.0

// earlyTicketRatio is the part of a gang that must fit before its tickets are
// requested. The rest is expected to become free while the call is in flight.
const earlyTicketRatio = 0.75

// allowedWorkers returns the usable workers that the service has allowed for a
// stage in their current incarnation.
func (c *cell) allowedWorkers(s *stage) []*worker {
	workers := make([]*worker, 0, len(s.advice.allowed))
	for _, w := range s.advice.allowed {
		if result, known := s.advice.result(w); known && result.allowed && c.usable(s, w) {
			workers = append(workers, w)
		}
	}
	return workers
}

// unknownCandidates returns workers that the advice service has not been asked
// about, those with the most room first, until they are likely to have places for
// the given number of tasks. With full, workers without room are included.
func (c *cell) unknownCandidates(s *stage, tasks, limit int, full bool) []*worker {
	allowedShare := max(c.stats(s.job.queue).allowedShare, minAllowedShare)
	need := s.step.charge().MilliCPU
	var unknown []*worker
	mean, variance := 0.0, 0.0
	for _, w := range c.askOrder(s) {
		if len(unknown) >= limit || mean-askConfidence*math.Sqrt(variance) >= float64(tasks) {
			break
		}
		if !full && s.room(w).MilliCPU < need {
			if s.step.DataRack == "" && !s.step.LongRunning {
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
		mean += allowedShare * n
		variance += allowedShare * (1 - allowedShare) * n * n
		unknown = append(unknown, w)
	}
	return unknown
}

// askConfidence is the number of standard deviations by which the expected places
// exceed the tasks. A second call costs as much as about seventy further workers in
// the first.
const askConfidence = 1.2

// fullWorkerShare is the part of a full worker's places that is likely to be free
// by the time a gang fits.
const fullWorkerShare = 0.3

// askOrder returns the fleet in the order in which workers are asked about: those
// with the most free processors first, or by rack, the rack with the most free
// processors first, for a gang that belongs on one rack.
func (c *cell) askOrder(s *stage) []*worker {
	if !s.step.SameRack {
		return dataRackFirst(s, c.workersByFreeCPU())
	}
	freeCPU := map[string]int64{}
	for _, w := range c.fleet {
		freeCPU[w.info.Rack] += w.free().MilliCPU
	}
	order := slices.Clone(c.workersByFreeCPU())
	slices.SortStableFunc(order, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(freeCPU[b.info.Rack], freeCPU[a.info.Rack]), cmp.Compare(a.info.Rack, b.info.Rack))
	})
	return order
}

// workersByFreeCPU returns the fleet sorted by free processors, most first.
func (c *cell) workersByFreeCPU() []*worker {
	if c.byFreeCPUPass != c.passes {
		c.byFreeCPUPass = c.passes
		c.byFreeCPU = append(c.byFreeCPU[:0], c.fleet...)
		slices.SortStableFunc(c.byFreeCPU, func(a, b *worker) int { return cmp.Compare(b.free().MilliCPU, a.free().MilliCPU) })
	}
	return c.byFreeCPU
}

// leastLoadedPeer returns the host through which a call to the advice service is
// expected to be answered first, or nil if no host may make it now.
func (c *cell) leastLoadedPeer(cost time.Duration) *peer {
	var best *peer
	long := 0
	for _, p := range c.peers {
		if !c.isAlive(p) || c.now < p.backoffUntil {
			continue
		}
		if p.longCalls > 0 {
			long++
		}
		if p.backlog > 0 && p.backlog+cost > maxAdviceBacklog {
			continue
		}
		if best == nil || p.backlog+p.overhead < best.backlog+best.overhead {
			best = p
		}
	}
	// One host is left to short calls.
	if cost >= longAdviceCall && len(c.peers) > 1 && long+1 >= len(c.peers) {
		return nil
	}
	return best
}

// handleAdviceAnswered handles an answer of the advice service.
func (c *cell) handleAdviceAnswered(id CallID, e AdviceAnswered) {
	call := c.adviceCalls[id]
	if call == nil {
		return
	}
	delete(c.adviceCalls, id)
	for _, p := range c.peers {
		if p.address == call.host {
			if e.Failed && !e.Refused {
				p.backoff = min(max(adviceHostBackoff, 2*p.backoff), maxAdviceHostBackoff)
				p.backoffUntil = c.now.Add(p.backoff)
			}
			if !e.Failed {
				p.backoff = 0
				extra := max(0, c.now.Sub(call.sent)-call.cost)
				p.overhead += time.Duration(overheadSampleWeight * float64(extra-p.overhead))
			}
			p.backlog = max(0, p.backlog-call.cost)
			if call.cost >= longAdviceCall {
				p.longCalls--
			}
		}
	}
	s := call.stage
	s.advice.inFlight = false
	c.dirty = true
	if s.job.isEnding() || s.waiting == 0 && s.done == len(s.tasks) {
		return
	}
	if e.Failed || e.Refused {
		s.advice.retryAt = c.now.Add(adviceRetryDelay)
		c.logDecision(Decision{Kind: "advice", Outcome: "failed", Job: s.job.id, Task: s.stepName(),
			Fields: []Field{{"took_ms", c.now.Sub(call.sent).Milliseconds()}, {"refused", boolField(e.Refused)}}})
		return
	}
	c.applyAdvice(s, call, e)
}

// applyAdvice applies the results of an answer to its stage, and updates the
// share of allowed workers of the queue.
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
	newResults, newAllowed := 0, 0
	for i, w := range call.workers {
		ticket, ok := tickets[w.info.ID]
		if _, known := s.advice.results[w]; !known {
			newResults++
			newAllowed += int(boolField(ok))
		}
		if ok && !slices.Contains(s.advice.allowed, w) {
			s.advice.allowed = append(s.advice.allowed, w)
		}
		if _, known := s.advice.results[w]; !known {
			c.tickets++
		}
		s.advice.results[w] = adviceResult{born: call.born[i], allowed: ok, ticket: ticket, validUntil: c.now.Add(valid)}
	}
	c.limitAdvice(s)
	if newResults > 0 {
		stats := c.stats(s.job.queue)
		stats.allowedSamples++
		weight := max(sampleWeight, 1/float64(stats.allowedSamples+1))
		stats.allowedShare += weight * (float64(newAllowed)/float64(newResults) - stats.allowedShare)
	}
	c.logDecision(Decision{Kind: "advice", Outcome: "answered", Job: s.job.id, Task: s.stepName(), Fields: []Field{
		{"asked", int64(len(call.workers))}, {"good", int64(len(e.Good))}, {"took_ms", c.now.Sub(call.sent).Milliseconds()}}})
}

// releaseAdvice drops the answers for a stage that needs none any more.
func (c *cell) releaseAdvice(s *stage) {
	c.tickets -= len(s.advice.results)
	s.advice.results, s.advice.allowed = nil, nil
}

// limitAdvice drops answers for the stages that are placed last, other than the given one,
// if there are more than the memory budget allows. They can be asked for again.
func (c *cell) limitAdvice(s *stage) {
	for i := len(c.ready) - 1; i >= 0 && c.tickets > c.budget.tickets; i-- {
		if last := c.ready[i]; last != s && !last.advice.inFlight {
			c.releaseAdvice(last)
		}
	}
}
