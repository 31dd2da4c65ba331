package scheduler

import (
	"math"
	"slices"
)

// Record is one log entry about a job or a worker.
type Record struct {
	Job JobID `json:"job,omitempty"`
	// Accepted is when the job was accepted, in milliseconds since the Unix epoch.
	// It is set together with Queue and Spec.
	Accepted int64     `json:"at,omitempty"`
	Queue    QueueName `json:"queue,omitempty"`
	Spec     *JobSpec  `json:"spec,omitempty"`
	// Policy is the queue's configuration when the job was accepted. It is used by
	// an owner that has never seen a configuration with the queue.
	Policy *Queue `json:"policy,omitempty"`
	// Ends are the runs of the job's tasks that have ended.
	Ends []EndRecord `json:"ends,omitempty"`
	// Starts are runs whose start is about to be ordered. A successor has to assume
	// that they are active.
	Starts []StartRecord `json:"starts,omitempty"`
	// Cancelled means that the caller has requested cancellation.
	Cancelled bool `json:"cancel,omitempty"`
	// Created is the number of occurrences of a repeated job that have been created,
	// Open lists those of them that are not complete. They are only set in snapshots.
	Created int   `json:"created,omitempty"`
	Open    []int `json:"open,omitempty"`
	// Started means that a worker has started a task of the job. Ends imply it.
	Started bool `json:"started,omitempty"`
	// Final is the terminal state of the job.
	Final JobState `json:"final,omitempty"`
	// FinalAt is when the job ended, in milliseconds since the Unix epoch.
	FinalAt int64 `json:"final_at,omitempty"`
	// Worker is a worker that may run tasks from now on. WorkerGone is a worker on
	// which no task can run any more.
	Worker     *WorkerInfo `json:"worker,omitempty"`
	WorkerGone WorkerID    `json:"worker_gone,omitempty"`
}

// StartRecord is a run that may have been started on a worker.
type StartRecord struct {
	Occurrence int      `json:"o,omitempty"`
	Step       int      `json:"s,omitempty"`
	Index      int      `json:"i,omitempty"`
	Run        int64    `json:"r"`
	Worker     WorkerID `json:"w"`
}

// EndRecord is the end of a run.
type EndRecord struct {
	Occurrence int     `json:"o,omitempty"`
	Step       int     `json:"s,omitempty"`
	Index      int     `json:"i,omitempty"`
	Run        int64   `json:"r"`
	Kind       EndKind `json:"k,omitempty"`
	Checkpoint string  `json:"c,omitempty"`
}

// Group is a batch of log records that is stored as one value.
type Group struct {
	Sequence   int64  `json:"seq"`
	Generation int64  `json:"gen"`
	Host       string `json:"host,omitempty"`
	// Snapshot numbers the groups of a snapshot from 1; it is 0 for other groups. A
	// complete snapshot replaces all earlier groups.
	Snapshot     int      `json:"snap,omitempty"`
	SnapshotLast bool     `json:"snap_last,omitempty"`
	Records      []Record `json:"records,omitempty"`
}

const (
	// maxGroupBytes bounds the size of a group with several records, if the store
	// accepts values of this size. One group is written at a time, so with a slow store
	// the bound limits the rate of accepted jobs: with answers after 200 ms, 128
	// records a group were too few for a cell of 350 workers.
	maxGroupBytes = 400 << 10
	// defaultMaxStoreValue is the store's limit for the size of a value, unless the
	// deployment sets one.
	defaultMaxStoreValue = 1 << 20
	// maxRunsPerRecord bounds the starts and ends in a record, because a record cannot
	// be split between groups.
	maxRunsPerRecord = 500
	// snapshotGroups is the number of groups after which a snapshot is written to
	// truncate the log. A takeover reads the log in pages of 500 groups.
	// Fewer groups suffice if their records take more than the budget's memory.
	snapshotGroups = 400
	// writeRetryDelay is the delay before a failed write is repeated. It is short
	// because callers wait for the write; repeating is safe because the content is
	// the same.
	writeRetryDelay = 200 * msec
	// writeHedgeDelay is the time after which an unanswered write is sent again in
	// parallel to the first one. A slow store may still answer the first one; over a
	// broken connection no answer arrives.
	writeHedgeDelay = 700 * msec
	// urgentFlushDelay is how long records that a caller waits for are batched, and
	// flushDelay how long the others are. They limit the store's load to about 30
	// calls a second and are small against the shortest objective of 500 ms.
	urgentFlushDelay = 12 * msec
	flushDelay       = 40 * msec
)

// logWriter appends records to the log, one group at a time.
type logWriter struct {
	// next is the sequence number of the next group, first the lowest one that may
	// still be in the store.
	next, first int64
	// lastRevision is the store's revision of the group before next, or 0 if the log
	// is empty. A claim succeeds only if this group is unchanged.
	lastRevision int64
	pending      []Record
	// groupBytes bounds the size of a group with several records.
	groupBytes int
	// pendingSize is the estimated size of the pending records. lastOfJob maps each
	// job that has pending records to the position of its last one, as counted by
	// appended.
	pendingSize int
	lastOfJob   map[JobID]int64
	// dueAt is when the pending records are to be written.
	dueAt Time
	// wakeAt is when the last requested Wake fires.
	wakeAt Time
	// inFlight is the group that is being written, or nil. retryAt is when it is
	// sent again.
	inFlight *Group
	retryAt  Time
	// writes are the calls that write inFlight.
	writes []CallID
	// writeFailed means that the last attempt to write inFlight failed or timed out.
	writeFailed bool
	// appended counts the records that were added, durable those that are in the
	// store. callbacks are in the order of the records that they wait for.
	appended, durable int64
	callbacks         []durableCallback
	// started are the jobs whose first start is to be recorded with the next group.
	started []*job
	// bytes is the memory of the records since the last snapshot, bytesBeforeSnapshot
	// what it was when the snapshot in progress began.
	bytes, bytesBeforeSnapshot int64
	// groupsPerSnapshot is the number of groups after which a snapshot is written.
	groupsPerSnapshot int64
	// snapshot holds the groups of a snapshot that are still to be written.
	snapshot []Group
	// snapshotSequence is the sequence number of the first group of the last
	// snapshot. Groups before it are deleted once the snapshot is complete.
	snapshotSequence int64
	// deleting means that such a deletion is in progress.
	deleting bool
}

// durableCallback is a function that is called once the given number of records, counted
// from the first one, are in the store.
type durableCallback struct {
	records int64
	run     func()
}

// record appends a record to the log. urgent means that a caller waits for it.
func (c *cell) record(rec Record, urgent bool) {
	l := &c.log
	due := c.now.Add(flushDelay)
	if urgent {
		due = c.now.Add(urgentFlushDelay)
	}
	if len(l.pending) == 0 || due < l.dueAt {
		l.dueAt = due
	}
	l.bytes += rec.logBytes()
	if l.mergeEnds(rec) {
		return
	}
	l.appended++
	l.pendingSize += rec.estimatedSize()
	l.pending = append(l.pending, rec)
	if rec.Job != "" {
		l.lastOfJob[rec.Job] = l.appended
	}
}

// mergeEnds adds the ends of a record to the last record of the same job, and reports
// whether it did. That record has to be pending and to hold ends only, so that the
// order of the job's records is preserved.
func (l *logWriter) mergeEnds(rec Record) bool {
	i := len(l.pending) - 1 - int(l.appended-l.lastOfJob[rec.Job])
	if rec.Job == "" || i < 0 || i >= len(l.pending) || !rec.endsOnly() {
		return false
	}
	last := &l.pending[i]
	if last.Job != rec.Job || !last.endsOnly() || len(last.Ends)+len(rec.Ends) > maxRunsPerRecord {
		return false
	}
	last.Ends = append(last.Ends, rec.Ends...)
	l.pendingSize += endsSize(rec.Ends)
	return true
}

func (r *Record) endsOnly() bool {
	return len(r.Ends) > 0 && len(r.Starts) == 0 && r.Spec == nil && !r.Cancelled && !r.Final.isTerminal()
}

// maxStoreValue returns the store's limit for the size of a value, in bytes.
func (l *Limits) maxStoreValue() int {
	if l.MaxStoreValue <= 0 {
		return defaultMaxStoreValue
	}
	return l.MaxStoreValue
}

// fitsStore reports whether the store accepts a group that holds only this record.
func (c *cell) fitsStore(rec *Record) bool {
	return groupOverheadBytes+rec.estimatedSize() <= c.limits.maxStoreValue()
}

// groupLength returns how many of the records make up the next group of at most limit
// bytes, but at least one, and their estimated size.
func groupLength(records []Record, limit int) (n, size int) {
	for n < len(records) {
		more := records[n].estimatedSize()
		if n > 0 && size+more > limit {
			break
		}
		size += more
		n++
	}
	return n, size
}

// whenDurable calls f once all records that were added so far are in the store.
func (c *cell) whenDurable(f func()) {
	c.log.callbacks = append(c.log.callbacks, durableCallback{c.log.appended, f})
}

// flush writes the pending records if they are due, and repeats a write that has no
// answer.
func (c *cell) flush() {
	l := &c.log
	if l.inFlight != nil {
		if c.now >= l.retryAt {
			c.writeGroup(l.inFlight)
		}
		return
	}
	if len(l.snapshot) > 0 {
		c.writeSnapshotPart()
		return
	}
	// The records before a callback may already be durable.
	c.runCallbacks()
	if len(l.pending) == 0 {
		return
	}
	if l.pendingSize < l.groupBytes && c.now < l.dueAt {
		if l.wakeAt <= c.now || l.wakeAt > l.dueAt {
			l.wakeAt = l.dueAt
			c.emit(Wake{After: l.dueAt.Sub(c.now)})
		}
		return
	}
	c.recordStartedJobs()
	n, size := groupLength(l.pending, l.groupBytes)
	g := &Group{Sequence: l.next, Generation: c.generation, Records: l.pending[:n:n]}
	l.pending = l.pending[n:]
	if l.pendingSize -= size; len(l.pending) == 0 {
		l.pendingSize = 0
		clear(l.lastOfJob)
	}
	c.writeGroup(g)
}

// noteStarted notes that a worker has started a task of a job. The next group records it,
// whatever that is written for: a write of its own would be a further call for each job.
func (c *cell) noteStarted(j *job) {
	if !j.started {
		j.started = true
		c.log.started = append(c.log.started, j)
	}
}

// recordStartedJobs adds the jobs that have started since the last group to the pending
// records.
func (c *cell) recordStartedJobs() {
	for _, j := range c.log.started {
		if !j.state.isTerminal() {
			c.record(Record{Job: j.id, Started: true}, false)
		}
	}
	c.log.started = nil
}

// writeGroup writes a group, or writes the group in flight once more.
func (c *cell) writeGroup(g *Group) {
	l := &c.log
	l.inFlight = g
	l.retryAt = c.now.Add(writeHedgeDelay)
	l.writes = append(l.writes, c.call(WriteGroup{Group: *g, OwnerRevision: c.ownerRevision, Via: c.relay.via}, storeCallTimeout))
}

// endWrite ends the write of the group in flight. Results of further attempts do not
// concern the groups that follow, which may have the same sequence number.
func (l *logWriter) endWrite(r *Reducer) {
	r.forgetCalls(l.writes...)
	l.inFlight, l.writeFailed, l.writes = nil, false, nil
}

// handleGroupRejected divides a group that the store rejects for good, because
// repeating it would block the log: its records are written again in smaller groups. A
// rejected part of a snapshot ends the snapshot; a new one is begun later.
func (c *cell) handleGroupRejected() {
	l := &c.log
	g := l.inFlight
	_, size := groupLength(g.Records, math.MaxInt)
	c.logDecision(Decision{Kind: "log", Outcome: "group_rejected", Fields: []Field{
		{"sequence", g.Sequence}, {"records", int64(len(g.Records))}, {"bytes", int64(size)}, {"snapshot", int64(g.Snapshot)}}})
	if len(g.Records) < 2 {
		c.reducer.stepDown("the store rejects a group of the log that cannot be divided")
		return
	}
	l.endWrite(c.reducer)
	l.groupBytes = min(l.groupBytes, size) / 2
	if g.Snapshot > 0 {
		l.snapshot = nil
		return
	}
	l.pending = append(slices.Clone(g.Records), l.pending...)
	l.pendingSize += size
	l.dueAt = c.now
}

// runCallbacks runs the callbacks whose records are durable.
func (c *cell) runCallbacks() {
	l := &c.log
	for len(l.callbacks) > 0 && l.callbacks[0].records <= l.durable {
		f := l.callbacks[0].run
		l.callbacks = l.callbacks[1:]
		f()
	}
}

// groupDurable does what follows once the group in flight is in the store, at the
// given revision.
func (c *cell) groupDurable(revision int64) {
	l := &c.log
	g := l.inFlight
	l.endWrite(c.reducer)
	l.next, l.lastRevision = g.Sequence+1, revision
	if g.SnapshotLast {
		c.logDecision(Decision{Kind: "log", Outcome: "snapshot_stored", Fields: []Field{
			{"sequence", g.Sequence}, {"groups", int64(g.Snapshot)}, {"pending_records", int64(len(l.pending))}}})
		l.bytes -= l.bytesBeforeSnapshot
		c.deleteBefore(l.snapshotSequence)
	}
	if g.Snapshot == 0 {
		l.durable += int64(len(g.Records))
		c.runCallbacks()
		if (l.next-l.first >= l.groupsPerSnapshot || l.bytes >= c.budget.log) && !l.deleting && len(l.snapshot) == 0 {
			c.beginSnapshot()
		}
	}
}
