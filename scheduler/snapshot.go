package scheduler

import "slices"

// beginSnapshot prepares the groups of a snapshot of the state. The effect of pending
// records is already part of it; that they are also written later does no harm,
// because applying a record twice has no further effect.
func (c *cell) beginSnapshot() {
	l := &c.log
	l.bytesBeforeSnapshot = l.bytes
	records := c.snapshotRecords()
	l.snapshot = nil
	for part := 1; ; part++ {
		n, _ := groupLength(records, l.groupBytes)
		l.snapshot = append(l.snapshot, Group{
			Generation: c.generation, Snapshot: part, SnapshotLast: n == len(records), Records: records[:n:n],
		})
		records = records[n:]
		if len(records) == 0 {
			break
		}
	}
	l.snapshotSequence = l.next
	c.logDecision(Decision{Kind: "log", Outcome: "snapshot_begun", Fields: []Field{
		{"sequence", l.next}, {"groups", int64(len(l.snapshot))}, {"jobs", int64(len(c.jobs))}, {"pending_records", int64(len(l.pending))}}})
}

// snapshotRecords returns the records from which a successor restores the state. They
// describe the workers and jobs as they are in memory, which is ahead of the log.
func (c *cell) snapshotRecords() []Record {
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
	return records
}

// writeSnapshotPart writes the next group of the snapshot.
func (c *cell) writeSnapshotPart() {
	l := &c.log
	g := l.snapshot[0]
	l.snapshot = l.snapshot[1:]
	g.Sequence = l.next
	c.writeGroup(&g)
}

// maxGroupsPerDelete is the number of groups that one call deletes: a call has at most
// 32 entries, one of which is the condition on the owner record.
const maxGroupsPerDelete = 31

// deleteBefore deletes the groups before a sequence number, which a snapshot has
// replaced.
func (c *cell) deleteBefore(seq int64) {
	l := &c.log
	if l.first >= seq {
		l.deleting = false
		return
	}
	l.deleting = true
	c.call(DeleteGroups{From: l.first, Through: min(seq-1, l.first+maxGroupsPerDelete-1), OwnerRevision: c.ownerRevision}, storeCallTimeout)
}

// records returns the records of a job for a snapshot. A job that has ended in memory is
// recorded as ended although its final record may still be pending: its tasks are no
// longer in memory, so anything else would restore it as a job that has not begun.
func (j *job) records(policy *Queue) []Record {
	if !j.durable {
		return nil
	}
	if j.state.isTerminal() {
		return []Record{{Job: j.id, Queue: j.queue, Accepted: j.acceptedWall, Final: j.state, FinalAt: j.endedWall}}
	}
	records := []Record{{Job: j.id, Queue: j.queue, Accepted: j.acceptedWall, Spec: j.spec, Policy: policy, Cancelled: j.cancelled, Started: j.started}}
	records = append(records, j.createdRecords()...)
	var starts []StartRecord
	var ends []EndRecord
	for _, o := range j.occurrences {
		for _, s := range o.stages {
			for _, run := range syntheticFailedRuns(s.gangFailures, s.failedRun) {
				ends = append(ends, EndRecord{Occurrence: o.index, Step: s.index, Index: s.endedMember(s.failedRun), Run: run, Kind: EndFailed})
			}
			for _, t := range s.tasks {
				ends = append(ends, t.endRecords()...)
				for _, r := range t.runs() {
					starts = append(starts, StartRecord{o.index, s.index, t.index, r.number, r.worker.info.ID})
				}
			}
		}
	}
	for chunk := range slices.Chunk(starts, maxRunsPerRecord) {
		records = append(records, Record{Job: j.id, Starts: chunk})
	}
	for chunk := range slices.Chunk(ends, maxRunsPerRecord) {
		records = append(records, Record{Job: j.id, Ends: chunk})
	}
	return records
}

// endedMember returns the index of a member of a gang whose run with a number has ended.
// An end that a snapshot holds for another member would end that member's current run.
func (s *stage) endedMember(number int64) int {
	return max(0, slices.IndexFunc(s.tasks, func(t *task) bool { return t.run == nil || t.run.number > number }))
}

// createdRecords returns the records of a repeated job that say which of its occurrences
// have been created and are not complete.
func (j *job) createdRecords() []Record {
	if j.spec.Repeat == 0 || j.created == 0 {
		return nil
	}
	records := []Record{{Job: j.id, Created: j.created}}
	open := make([]int, 0, len(j.occurrences))
	for _, o := range j.occurrences {
		open = append(open, o.index)
	}
	for chunk := range slices.Chunk(open, maxRunsPerRecord) {
		records = append(records, Record{Job: j.id, Created: j.created, Open: chunk})
	}
	return records
}

// syntheticFailedRuns returns n increasing run numbers that end with last. They stand
// for n failed runs, of which only the last number is known.
func syntheticFailedRuns(n int, last int64) []int64 {
	runs := make([]int64, n)
	for i := range runs {
		runs[i] = last - int64(n-1-i)
	}
	return runs
}

// endRecords returns the end records that represent the state of a task in a snapshot.
func (t *task) endRecords() []EndRecord {
	base := EndRecord{Occurrence: t.stage.occ.index, Step: t.stage.index, Index: t.index}
	var ends []EndRecord
	if !t.stage.step.Gang {
		for _, run := range syntheticFailedRuns(t.failures, t.failedRun) {
			e := base
			e.Run, e.Kind = run, EndFailed
			ends = append(ends, e)
		}
	}
	if t.state == taskDone || t.checkpoint != "" {
		e := base
		e.Run, e.Kind, e.Checkpoint = t.lastRun, EndStopped, t.checkpoint
		if t.run != nil {
			// The checkpoint was saved by an earlier run. The end must not apply to the
			// current run, which is still active.
			e.Run = t.run.number - 1
		}
		if t.state == taskDone {
			e.Kind, e.Checkpoint = EndDone, ""
		}
		ends = append(ends, e)
	}
	return ends
}
