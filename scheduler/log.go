package scheduler

// Record is one durable fact about a job or a worker.
type Record struct {
	Job JobID `json:"job,omitempty"`
	// Accepted is when the job was accepted, in milliseconds since 1970. It is
	// set together with Queue and Spec.
	Accepted int64     `json:"at,omitempty"`
	Queue    QueueName `json:"queue,omitempty"`
	Spec     *JobSpec  `json:"spec,omitempty"`
	// Policy is the queue as it was when the job was accepted. It serves an
	// owner that has never seen a configuration with the queue.
	Policy *Queue `json:"policy,omitempty"`
	// Ends are ends of runs of the job's tasks.
	Ends []EndRecord `json:"ends,omitempty"`
	// Starts are runs that are about to be ordered. A successor has to assume
	// that they run.
	Starts []StartRecord `json:"starts,omitempty"`
	// Cancelled records the caller's wish, Final the last state of the job.
	Cancelled bool     `json:"cancel,omitempty"`
	Final     JobState `json:"final,omitempty"`
	// FinalAt is when the job ended, in milliseconds since 1970.
	FinalAt int64 `json:"final_at,omitempty"`
	// Worker is a worker that may run tasks from now on. WorkerGone is one on
	// which nothing runs any more.
	Worker     *WorkerInfo `json:"worker,omitempty"`
	WorkerGone WorkerID    `json:"worker_gone,omitempty"`
}

// StartRecord is a run that a worker may have.
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

// Group is a unit of the log: one value in the store.
type Group struct {
	Sequence   int64  `json:"seq"`
	Generation int64  `json:"gen"`
	Host       string `json:"host,omitempty"`
	// Snapshot numbers the groups of a snapshot from 1. A complete snapshot
	// replaces everything before it.
	Snapshot     int      `json:"snap,omitempty"`
	SnapshotLast bool     `json:"snap_last,omitempty"`
	Records      []Record `json:"records,omitempty"`
}

const (
	// maxGroupBytes bounds a group, so that its value stays below the store's 1 MiB
	// with room for what the estimate of a record leaves out. One group is written
	// at a time, so with a slow store the bound decides how much can be accepted:
	// at 200 ms an answer, 128 records a group held up a cell of 350 workers.
	maxGroupBytes = 400 << 10
	// recordBytes, stepBytes and runBytes estimate the encoded size of a record, a
	// step and a start or end, without the caller's texts.
	recordBytes = 300
	stepBytes   = 250
	runBytes    = 90
	// snapshotAfter is the number of groups after which a snapshot shortens the
	// log. A takeover reads pages of 500 groups.
	snapshotGroups = 400
	// writeRetry is the wait before a write in doubt is repeated. It is short,
	// since callers wait for it, and a repeated write has the same content.
	writeRetryDelay = 200 * msec
	// writeHedge is when a write without an answer is sent once more beside the
	// first one. The answer of a slow store may still come; that of a broken
	// connection does not.
	writeHedgeDelay = 700 * msec
	// callerFlush is how long records that a caller waits for are collected, and
	// endFlush the others. They bound the store's calls to some 30 a second, and
	// are small against the shortest objective of 500 ms.
	urgentFlushDelay = 12 * msec
	flushDelay       = 40 * msec
)

// logWriter appends records to the log, one group at a time.
type logWriter struct {
	// next is the sequence number of the next group, first the lowest one that
	// may still be in the store.
	next, first int64
	pending     []Record
	// size is the estimated size of the pending records. latest is the place of
	// the last record of each job with pending ones among all that were added.
	pendingSize int
	lastOfJob   map[JobID]int64
	// dueAt is when the pending records have to be written.
	dueAt Time
	// wakeAt is when the next event asked for by a Wake arrives.
	wakeAt Time
	// inFlight is the group being written, if any.
	inFlight *Group
	retryAt  Time
	// refused means that the last write in flight got an answer that it was not
	// made, or none.
	writeFailed bool
	// appended and durable count the records that were added and those that are
	// in the store. notes are in the order of the records they wait for.
	appended, durable int64
	callbacks         []durableCallback
	// snapshot holds groups of a snapshot that are still to be written.
	snapshot []Group
	// cutAt is the sequence number of the snapshot being written.
	snapshotSequence int64
	deleting         bool
}

// note is what follows once the first after records are durable.
type durableCallback struct {
	records int64
	run     func()
}

// record appends a record. urgent means that a caller waits for it.
func (c *cell) record(rec Record, urgent bool) {
	w := &c.log
	due := c.now.Add(flushDelay)
	if urgent {
		due = c.now.Add(urgentFlushDelay)
	}
	if len(w.pending) == 0 || due < w.dueAt {
		w.dueAt = due
	}
	if w.mergeEnds(rec) {
		return
	}
	w.appended++
	w.pendingSize += rec.estimatedSize()
	w.pending = append(w.pending, rec)
	if rec.Job != "" {
		w.lastOfJob[rec.Job] = w.appended
	}
}

// merge adds ends to the last record of their job if that is pending and holds ends
// only, so that the order of the job's records stays as it is.
func (w *logWriter) mergeEnds(rec Record) bool {
	i := len(w.pending) - 1 - int(w.appended-w.lastOfJob[rec.Job])
	if rec.Job == "" || i < 0 || i >= len(w.pending) || !rec.endsOnly() {
		return false
	}
	last := &w.pending[i]
	if last.Job != rec.Job || !last.endsOnly() {
		return false
	}
	last.Ends = append(last.Ends, rec.Ends...)
	w.pendingSize += runBytes * len(rec.Ends)
	return true
}

func (r *Record) endsOnly() bool {
	return len(r.Ends) > 0 && len(r.Starts) == 0 && r.Spec == nil && !r.Cancelled && !r.Final.isTerminal()
}

// size estimates the encoded size of a record.
func (r *Record) estimatedSize() int {
	n := recordBytes + runBytes*(len(r.Starts)+len(r.Ends))
	if r.Spec != nil {
		n += len(r.Spec.Payload) + stepBytes*len(r.Spec.Steps)
	}
	return n
}

// groupLength is the number of records that make up the next group, and their size.
func groupLength(records []Record) (n, size int) {
	for n < len(records) {
		more := records[n].estimatedSize()
		if n > 0 && size+more > maxGroupBytes {
			break
		}
		size += more
		n++
	}
	return n, size
}

// whenDurable runs f once every record added so far is in the store.
func (c *cell) whenDurable(f func()) {
	c.log.callbacks = append(c.log.callbacks, durableCallback{c.log.appended, f})
}

// flush writes the pending records if it is time to.
func (c *cell) flush() {
	w := &c.log
	if w.inFlight != nil {
		if w.retryAt != 0 && c.now >= w.retryAt {
			w.retryAt = c.now.Add(writeHedgeDelay)
			c.emit(WriteGroup{Group: *w.inFlight, OwnerRevision: c.ownerRevision, Via: c.relay.via})
		}
		return
	}
	if len(w.snapshot) > 0 {
		c.writeSnapshotPart()
		return
	}
	// What was recorded before a note may be durable already.
	c.runCallbacks()
	if len(w.pending) == 0 {
		return
	}
	if w.pendingSize < maxGroupBytes && c.now < w.dueAt {
		if w.wakeAt <= c.now || w.wakeAt > w.dueAt {
			w.wakeAt = w.dueAt
			c.emit(Wake{After: w.dueAt.Sub(c.now)})
		}
		return
	}
	n, size := groupLength(w.pending)
	g := &Group{Sequence: w.next, Generation: c.generation, Records: w.pending[:n:n]}
	w.pending = w.pending[n:]
	if w.pendingSize -= size; len(w.pending) == 0 {
		w.pendingSize = 0
		clear(w.lastOfJob)
	}
	w.inFlight = g
	w.retryAt = c.now.Add(writeHedgeDelay)
	c.emit(WriteGroup{Group: *g, OwnerRevision: c.ownerRevision, Via: c.relay.via})
}

// runNotes runs the notes whose records are durable.
func (c *cell) runCallbacks() {
	w := &c.log
	for len(w.callbacks) > 0 && w.callbacks[0].records <= w.durable {
		f := w.callbacks[0].run
		w.callbacks = w.callbacks[1:]
		f()
	}
}

// groupDurable continues after the group in flight is in the store.
func (c *cell) groupDurable() {
	w := &c.log
	g := w.inFlight
	w.inFlight, w.writeFailed = nil, false
	w.next = g.Sequence + 1
	if g.SnapshotLast {
		c.deleteBefore(w.snapshotSequence)
	}
	if g.Snapshot == 0 {
		w.durable += int64(len(g.Records))
		c.runCallbacks()
		if w.next-w.first >= snapshotGroups && !w.deleting && len(w.snapshot) == 0 {
			c.beginSnapshot()
		}
	}
}

// beginSnapshot prepares groups that hold the whole durable state. Records that
// are pending are part of it already and are written once more, which changes
// nothing.
func (c *cell) beginSnapshot() {
	w := &c.log
	var records []Record
	for _, worker := range c.workersByID {
		if worker.recorded {
			info := worker.info
			records = append(records, Record{Worker: &info})
		}
	}
	for _, j := range c.jobOrder() {
		records = append(records, j.records(c.queue(j.queue))...)
	}
	w.snapshot = nil
	for part := 1; ; part++ {
		n, _ := groupLength(records)
		w.snapshot = append(w.snapshot, Group{
			Generation: c.generation, Snapshot: part, SnapshotLast: n == len(records), Records: records[:n:n],
		})
		records = records[n:]
		if len(records) == 0 {
			break
		}
	}
	w.snapshotSequence = w.next
}

// writeSnapshotPart writes the next group of the snapshot.
func (c *cell) writeSnapshotPart() {
	w := &c.log
	g := w.snapshot[0]
	w.snapshot = w.snapshot[1:]
	g.Sequence = w.next
	w.inFlight = &g
	w.retryAt = c.now.Add(writeHedgeDelay)
	c.emit(WriteGroup{Group: g, OwnerRevision: c.ownerRevision, Via: c.relay.via})
}

// maxDeletes is how many groups one call removes: a call has at most 32 entries,
// one of which is the condition on the owner record.
const maxGroupsPerDelete = 31

// deleteBefore removes the groups that a snapshot has replaced.
func (c *cell) deleteBefore(seq int64) {
	w := &c.log
	if w.first >= seq {
		w.deleting = false
		return
	}
	w.deleting = true
	c.emit(DeleteGroups{From: w.first, Through: min(seq-1, w.first+maxGroupsPerDelete-1), OwnerRevision: c.ownerRevision})
}

// replay applies the groups of the log to an empty cell.
func (c *cell) replay(groups []Group) {
	var parts []Group
	for i := range groups {
		g := &groups[i]
		c.log.next = g.Sequence + 1
		c.generation = max(c.generation, g.Generation)
		switch {
		case g.Snapshot == 0:
			parts = nil
			c.applyRecords(g.Records)
			continue
		case g.Snapshot == 1:
			parts = []Group{*g}
		case g.Snapshot == len(parts)+1:
			parts = append(parts, *g)
		default:
			parts = nil
			continue
		}
		if g.SnapshotLast {
			c.jobs, c.jobList, c.workers, c.workersByID = map[JobID]*job{}, nil, map[WorkerID]*worker{}, nil
			for _, p := range parts {
				c.applyRecords(p.Records)
			}
			parts = nil
		}
	}
	if len(groups) > 0 && c.log.first == 0 {
		c.log.first = groups[0].Sequence
	}
}

// applyRecords repeats what an earlier owner has recorded.
func (c *cell) applyRecords(records []Record) {
	for i := range records {
		rec := &records[i]
		switch {
		case rec.Worker != nil:
			w := c.addWorker(*rec.Worker)
			w.recorded, w.recordDurable = true, true
			continue
		case rec.WorkerGone != "":
			c.forgetWorker(rec.WorkerGone)
			continue
		}
		j := c.jobs[rec.Job]
		if rec.Policy != nil {
			c.policies[rec.Queue] = rec.Policy
		}
		if rec.Spec != nil && j == nil {
			j = c.addJob(rec.Job, rec.Queue, rec.Spec, rec.Accepted)
			j.durable = true
		}
		if j == nil && rec.Final.isTerminal() {
			j = c.addJob(rec.Job, rec.Queue, &JobSpec{}, rec.Accepted)
			j.durable = true
		}
		if j == nil {
			continue
		}
		for _, s := range rec.Starts {
			c.applyStart(j, s)
		}
		for _, e := range rec.Ends {
			c.applyEnd(j, e)
		}
		if rec.Cancelled {
			j.cancelled = true
		}
		if rec.Final.isTerminal() {
			j.state, j.reported, j.endedWall = rec.Final, rec.Final, rec.FinalAt
		}
	}
}

// applyStart repeats the start of a run. Whether it still runs, its worker tells.
func (c *cell) applyStart(j *job, s StartRecord) {
	t := c.findTask(TaskID{j.id, s.Occurrence, s.Step, s.Index})
	w := c.workers[s.Worker]
	if t == nil || t.state == taskDone {
		return
	}
	t.lastRun = max(t.lastRun, s.Run)
	t.stage.gangRun = max(t.stage.gangRun, s.Run)
	j.started = true
	if w == nil {
		return
	}
	c.dropTaskRuns(t)
	c.createRun(t, w, s.Run).state = runInherited
}

// replaceRun drops the runs of a task that a later record shows to have ended.
func (c *cell) dropTaskRuns(t *task) {
	for _, r := range []*run{t.run, t.speculativeRun} {
		if r != nil && !t.stage.step.Speculative {
			c.releaseRun(r)
			t.detachRun(r)
		}
	}
	if t.state == taskAssigned && t.run == nil {
		t.state = taskWaiting
		t.stage.waiting++
	}
}

// forgetWorker drops a worker on which nothing runs any more.
func (c *cell) forgetWorker(id WorkerID) {
	if w := c.workers[id]; w != nil {
		for _, r := range w.sortedRuns() {
			if t := r.task; t != nil {
				c.dropTaskRuns(t)
			}
		}
		c.removeWorker(w)
	}
}
