package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// initialGoodShare is assumed of a queue whose advice is not known.
	initialGoodShare = 0.4
	// minGoodShare bounds the number of workers that are asked about.
	minGoodShare = 0.1
	// ticketMargin is the time before the end of a ticket within which a start
	// might arrive too late.
	ticketMargin = 150 * msec
	// adviceSpare is added to the number of workers asked about.
	adviceSpare = 2
	// maxAdvised is the greatest number of workers in a call.
	maxAdvised = 100
	// adviceTimeout is added to the expected time of a call.
	adviceTimeout = 1500 * msec
	// adviserBacklog is the time of calls that a host may have waiting at the
	// service, which takes one at a time from each host.
	adviserBacklog = 60 * msec
	// longCall is the time from which a call may keep others waiting.
	longCall = 150 * msec
	// adviserRate is the weight of a new sample of a host's overhead.
	adviserRate = 0.2
	// adviceRetry is the wait after a call that failed.
	adviceRetry = 100 * msec
	// helloEvery is how often hosts greet the owner, and helloValid how long a
	// greeting counts.
	helloEvery = 1 * time.Second
	helloValid = 2500 * msec
)

// opinion is what the advice service said of a worker for a stage.
type opinion struct {
	born   int64
	good   bool
	ticket string
	until  Time
}

// advice is what is known of the workers that may run a stage.
type advice struct {
	opinions map[WorkerID]opinion
	inFlight bool
	retryAt  Time
}

// drop forgets a ticket that is not valid.
func (a *advice) drop(id WorkerID) {
	if o, ok := a.opinions[id]; ok {
		o.until = 0
		a.opinions[id] = o
	}
}

// of returns the opinion of a worker's present life.
func (a *advice) of(w *worker) (opinion, bool) {
	o, ok := a.opinions[w.info.ID]
	return o, ok && o.born == w.info.Born
}

// adviceCall is a call in flight.
type adviceCall struct {
	stage   *stage
	workers []WorkerID
	born    []int64
	host    string
	cost    time.Duration
	sent    Time
}

// adviser is a host through which the advice service is asked.
type adviser struct {
	address string
	zone    string
	// workers counts the workers for which the host was chosen as the agent.
	workers int
	heard   Time
	power   int64
	backlog time.Duration
	long    int
	// overhead is the mean time of a call beyond what the service takes.
	overhead time.Duration
}

// ticket returns a ticket for a task of a stage on a worker, if it has one or
// needs none.
func (c *cell) ticket(s *stage, w *worker) (string, bool) {
	q := c.queue(s.job.queue)
	if q == nil || q.Advice == nil {
		return "", true
	}
	o, ok := s.advice.of(w)
	if !ok || !o.good || c.now.Add(ticketMargin) >= o.until {
		return "", false
	}
	return o.ticket, true
}

// wantAdvice asks about workers for a stage that has none to run on.
func (c *cell) wantAdvice(s *stage) {
	q := c.queue(s.job.queue)
	if q == nil || q.Advice == nil || s.advice.inFlight || c.now < s.advice.retryAt {
		return
	}
	names := c.adviceCandidates(s)
	if len(names) == 0 {
		return
	}
	cost := q.Advice.Base + time.Duration(len(names))*q.Advice.PerWorker
	host := c.freeAdviser(cost)
	if host == nil {
		return
	}
	call := &adviceCall{stage: s, host: host.address, cost: cost, sent: c.now}
	for _, w := range names {
		call.workers = append(call.workers, w.info.ID)
		call.born = append(call.born, w.info.Born)
	}
	host.backlog += cost
	if cost >= longCall {
		host.long++
	}
	id := c.nextCall()
	c.adviceCalls[id] = call
	s.advice.inFlight = true
	c.emit(AskAdvice{Call: id, Host: host.address, Step: s.stepName(), Workers: call.workers, Timeout: cost + host.backlog + adviceTimeout})
}

// adviceCandidates lists the workers to ask about: first those known to be good
// that have room, then unknown ones in the order of their room, as many as are
// likely to yield enough.
func (c *cell) adviceCandidates(s *stage) []*worker {
	var good, unknown []*worker
	places := 0
	candidates := c.withRoom(s)
	if s.step.Gang && c.gathering < maxGathering {
		// A gang that is about to get its turn also learns of full workers.
		candidates = c.fleet
	}
	for _, w := range candidates {
		n := c.placesOn(s, w)
		if n == 0 && !s.step.Gang || !c.usable(s, w) {
			continue
		}
		o, known := s.advice.of(w)
		if known && !o.good {
			continue
		}
		if !known {
			unknown = append(unknown, w)
			continue
		}
		if n > 0 && places < s.waiting {
			good = append(good, w)
			places += n
		}
	}
	if places >= s.waiting {
		return good
	}
	if s.step.Gang && len(unknown) == 0 {
		return nil
	}
	slices.SortStableFunc(unknown, func(a, b *worker) int { return cmp.Compare(b.free().MilliCPU, a.free().MilliCPU) })
	return append(good, unknown[:min(len(unknown), maxAdvised-len(good), c.unknownNeeded(s, unknown, s.waiting-places))]...)
}

// unknownNeeded is how many workers without an opinion have to be asked about to
// find room for a number of tasks.
func (c *cell) unknownNeeded(s *stage, unknown []*worker, tasks int) int {
	if len(unknown) == 0 {
		return 0
	}
	per := float64(max(1, c.placesOn(s, unknown[0])))
	share := max(c.stats(s.job.queue).goodShare, minGoodShare)
	return int(math.Ceil(float64(tasks)/per/share)) + adviceSpare
}

// freeAdviser returns the host with the least waiting, or nil if all are busy.
func (c *cell) freeAdviser(cost time.Duration) *adviser {
	var best *adviser
	long := 0
	for _, a := range c.advisers {
		if a.address != "" && c.now.Sub(a.heard) > helloValid {
			continue
		}
		if a.long > 0 {
			long++
		}
		if a.backlog > 0 && a.backlog+cost > adviserBacklog {
			continue
		}
		if best == nil || a.backlog+a.overhead < best.backlog+best.overhead {
			best = a
		}
	}
	// Long calls leave a host to the short ones.
	if cost >= longCall && len(c.advisers) > 1 && long+1 >= len(c.advisers) {
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
	for _, a := range c.advisers {
		if a.address == call.host {
			if !e.Failed {
				extra := max(0, c.now.Sub(call.sent)-call.cost)
				a.overhead += time.Duration(adviserRate * float64(extra-a.overhead))
			}
			a.backlog = max(0, a.backlog-call.cost)
			if call.cost >= longCall {
				a.long--
			}
		}
	}
	s := call.stage
	s.advice.inFlight = false
	c.dirty = true
	if e.Failed || e.Refused {
		s.advice.retryAt = c.now.Add(adviceRetry)
		c.decide(Decision{Kind: "advice", Outcome: "failed", Job: s.job.id, Task: s.stepName(),
			Fields: []Field{{"took_ms", c.now.Sub(call.sent).Milliseconds()}, {"refused", boolField(e.Refused)}}})
		return
	}
	c.noteAdvice(s, call, e)
}

// noteAdvice stores the opinions of an answer.
func (c *cell) noteAdvice(s *stage, call *adviceCall, e AdviceAnswered) {
	valid := e.Valid
	if q := c.queue(s.job.queue); valid == 0 && q != nil && q.Advice != nil {
		valid = q.Advice.Valid
	}
	tickets := make(map[WorkerID]string, len(e.Good))
	for _, g := range e.Good {
		tickets[g.Worker] = g.Ticket
	}
	if s.advice.opinions == nil {
		s.advice.opinions = make(map[WorkerID]opinion, len(call.workers))
	}
	fresh, good := 0, 0
	for i, id := range call.workers {
		ticket, ok := tickets[id]
		if _, known := s.advice.opinions[id]; !known {
			fresh++
			good += int(boolField(ok))
		}
		s.advice.opinions[id] = opinion{born: call.born[i], good: ok, ticket: ticket, until: c.now.Add(valid)}
	}
	if fresh > 0 {
		d := c.stats(s.job.queue)
		d.goodSamples++
		rate := max(learnRate, 1/float64(d.goodSamples+1))
		d.goodShare += rate * (float64(good)/float64(fresh) - d.goodShare)
	}
	c.decide(Decision{Kind: "advice", Outcome: "answered", Job: s.job.id, Task: s.stepName(), Fields: []Field{
		{"asked", int64(len(call.workers))}, {"good", int64(len(e.Good))}, {"took_ms", c.now.Sub(call.sent).Milliseconds()}}})
}

// greeted notes that a host is alive and can ask for advice.
func (c *cell) greeted(e HelloReceived) {
	c.emit(Reply{Token: e.Token, Answer: Answer{MaxPower: c.maxPower()}})
	for _, a := range c.advisers {
		if a.address == e.Address {
			a.heard, a.power, a.zone = c.now, e.Power, e.Zone
			return
		}
	}
	c.advisers = append(c.advisers, &adviser{address: e.Address, heard: c.now, power: e.Power, zone: e.Zone})
}
