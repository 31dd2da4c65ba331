package scheduler

import (
	"math"
	"time"
)

// The memory of a host bounds what the cell may hold: a process that exceeds it is
// killed, and its successor reads the same jobs back from the log. Each job is charged
// with an upper bound of the memory that its state takes, and a job is accepted only if
// the sum stays within the budget of the smallest host.
//
// The sizes below are upper bounds in bytes, with the overhead of allocations and maps.
// TestChargesCoverMemory compares them with the heap.
const (
	// jobBytes covers a job without its specification, endedJobBytes one that has
	// ended, of which only the final state is kept.
	jobBytes, endedJobBytes = 1024, 512
	// stepBytes covers a step of a specification without its lists and strings.
	stepBytes = 320
	// afterBytes covers an element of the list of earlier steps.
	afterBytes = 16
	// occurrenceBytes covers an occurrence without its stages, stageBytes a stage
	// without its tasks.
	occurrenceBytes, stageBytes = 256, 448
	// taskBytes covers a task and its end in a snapshot.
	taskBytes = 240
	// runBytes covers a run with its start in the log and in a snapshot, and its part of
	// a worker's report while that is decoded.
	runBytes = 1536
	// recordBytes covers a record of the log without its lists and specification,
	// openBytes, startBytes and endBytes an element of them.
	recordBytes, openBytes, startBytes, endBytes = 384, 16, 96, 128
	// ticketBytes covers the advice service's answer about one worker for a stage.
	ticketBytes = 160
)

const (
	// stateMemoryShare is the share of a host's memory for the state of the cell. The
	// rest is for the log that was written since the last snapshot, for garbage
	// between two collections, for requests and for connections.
	stateMemoryShare = 0.35
	// jobMemoryShare is the share of the state for jobs when they are accepted. The
	// rest is for runs, for occurrences beyond the reserved ones and for advice.
	jobMemoryShare = 0.70
	// logMemoryShare is the share of a host's memory for the log that was written
	// since the last snapshot, which a successor reads in addition to the state.
	logMemoryShare = 0.06
	// logTextShare is the ratio of the encoded size of all jobs in the log to a host's
	// memory. It bounds the time in which a successor reads them.
	logTextShare = 0.10
	// adviceMemoryShare is the share of the state for answers of the advice service.
	adviceMemoryShare = 0.12
	// memoryRetryAfter is the retry delay for a job that does not fit beside the others
	// at the moment.
	memoryRetryAfter = 5 * time.Second
)

// memoryBudget holds the bounds for the state of a cell, in bytes. They are
// math.MaxInt64 if no host has a limit.
type memoryBudget struct {
	// jobs bounds the sum of charges up to which jobs are accepted, state the sum up
	// to which runs start and occurrences beyond the reserved ones open.
	jobs, state int64
	// log bounds the records since the last snapshot, text the encoded size of the
	// accepted jobs.
	log, text int64
	// tickets bounds the number of the advice service's answers.
	tickets int
}

// newMemoryBudget returns the budget for the memory of a host.
func newMemoryBudget(memoryBytes int64) memoryBudget {
	if memoryBytes == 0 {
		return memoryBudget{jobs: math.MaxInt64, state: math.MaxInt64, log: math.MaxInt64, text: math.MaxInt64, tickets: math.MaxInt}
	}
	state := stateMemoryShare * float64(memoryBytes)
	return memoryBudget{
		jobs: int64(jobMemoryShare * state), state: int64((1 - adviceMemoryShare) * state),
		log: int64(logMemoryShare * float64(memoryBytes)), text: int64(logTextShare * float64(memoryBytes)), tickets: int(adviceMemoryShare * state / ticketBytes),
	}
}

// minMemory returns the memory of the host that has the least, or 0 if no host has a
// limit. Any host may be the next owner.
func (c *cell) minMemory() int64 {
	least := c.limits.MemoryBytes
	consider := func(bytes int64, heard Time) {
		if bytes > 0 && c.now.Sub(heard) <= peerExpiry && (least == 0 || bytes < least) {
			least = bytes
		}
	}
	// The owner before this one knew the hosts that have not announced themselves yet.
	consider(c.reducer.minMemory, c.reducer.minMemoryAt)
	for _, p := range c.peers {
		consider(p.memory, p.lastHeard)
	}
	return least
}

// refreshBudget updates the memory budget.
func (c *cell) refreshBudget() { c.budget = newMemoryBudget(c.minMemory()) }

// specBytes returns the memory of a specification.
func specBytes(s *JobSpec) int64 {
	n := int64(len(s.Payload))
	for i := range s.Steps {
		step := &s.Steps[i]
		n += stepBytes + int64(afterBytes*len(step.After)+len(step.Label)+len(step.DataRack)+len(step.Image))
	}
	return n
}

// FootprintBytes returns the memory of a specification and of its encoded form, in which
// it is forwarded to the owner.
func (s *JobSpec) FootprintBytes() int64 { return specBytes(s) + int64(s.estimatedSize()) }

// occurrenceCharge returns the memory of an open occurrence. All runs of a gang are
// included, because it starts as a whole.
func occurrenceCharge(s *JobSpec) int64 {
	n := int64(occurrenceBytes)
	for i := range s.Steps {
		step := &s.Steps[i]
		task := int64(taskBytes)
		if step.Gang {
			task += runBytes
		}
		n += stageBytes + int64(step.Count)*task
	}
	return n
}

// jobCharge returns the memory that is charged for a job when it is accepted.
func jobCharge(s *JobSpec) int64 {
	return jobBytes + specBytes(s) + int64(min(s.occurrences(), reservedOccurrences))*occurrenceCharge(s)
}

// charge updates the memory that is charged for a job.
func (c *cell) charge(j *job) {
	n := int64(endedJobBytes)
	if !j.reported.isTerminal() {
		n = jobBytes + j.specBytes + int64(max(len(j.occurrences), j.reservedOccurrences()))*j.occurrenceBytes
	}
	c.chargedBytes += n - j.chargedBytes
	j.chargedBytes = n
	text := int64(0)
	if !j.reported.isTerminal() {
		text = j.textBytes
	}
	c.chargedText += text - j.chargedText
	j.chargedText = text
}

// hasMemoryFor reports whether the state may grow by an occurrence.
func (c *cell) hasMemoryFor(bytes int64) bool { return c.chargedBytes+bytes <= c.budget.state }

// refuseForMemory returns the refusal of a job that does not fit into the memory, or nil.
func (c *cell) refuseForMemory(spec *JobSpec) *Answer {
	charge, text := jobCharge(spec), int64(spec.estimatedSize())
	switch {
	case charge > c.budget.jobs || text > c.budget.text:
		return &Answer{Status: StatusInvalid, Reason: ReasonTooLargeForMemory}
	case c.chargedBytes+charge > c.budget.jobs || c.chargedText+text > c.budget.text:
		return &Answer{Status: StatusRefused, Reason: ReasonMemory, RetryAfter: memoryRetryAfter}
	}
	return nil
}

// logBytes returns the memory or the encoded size of a record of the log, whichever is
// larger.
func (r *Record) logBytes() int64 { return max(r.memoryBytes(), int64(r.estimatedSize())) }

// memoryBytes returns the memory of a record that was read from the log.
func (r *Record) memoryBytes() int64 {
	n := int64(recordBytes + openBytes*len(r.Open) + startBytes*len(r.Starts) + endBytes*len(r.Ends))
	if r.Spec != nil {
		n += specBytes(r.Spec)
	}
	return n
}
