package core

const (
	// compactMinGroups is the minimum number of groups for a compaction.
	compactMinGroups = 64
	// compactBatchGroups is the number of oldest groups that one compaction
	// rewrites.
	compactBatchGroups = 32
	// compactSizeRatio is the minimum ratio of the journal's size to the size
	// of its live records. Without it, the records of a long queue were
	// rewritten over and over, and new records waited behind the copies.
	compactSizeRatio = 2
	// copyShareDivisor limits copies to one half of the free space in a group,
	// so that they never delay new records.
	copyShareDivisor = 2
)

// addGroup records a group that has been written to the store.
func (j *journal) addGroup(g *JournalGroup) {
	w := writtenGroup{sequence: g.Sequence, opening: g.Opening}
	for i := range g.Records {
		w.jobs = append(w.jobs, g.Records[i].Job)
		w.bytes += g.Records[i].size()
	}
	j.writtenBytes += w.bytes
	j.groups = append(j.groups, w)
}

// compactJournal bounds the size of the journal: the live records in the oldest
// groups are appended again, and then those groups are deleted.
func (r *Reducer) compactJournal() {
	j := &r.journal
	if j.compacting != nil {
		if len(j.copyQueue) == 0 && j.sequence >= j.copiedThrough {
			r.deleteCompacted()
		}
		return
	}
	if r.needsCompaction() {
		j.compacting = j.removeOldestGroups()
		j.copyQueue, j.copiedThrough = r.liveJobs(j.compacting), j.sequence
	}
}

// needsCompaction reports whether the journal is much larger than its live
// records, in groups or in bytes.
func (r *Reducer) needsCompaction() bool {
	j, live := &r.journal, r.jobs.recordBytes
	if len(j.groups) < compactMinGroups {
		return false
	}
	fullGroups := live / maxGroupBytes
	return j.writtenBytes > compactSizeRatio*live+maxGroupBytes || len(j.groups) > compactMinGroups+2*compactSizeRatio*fullGroups
}

// removeOldestGroups removes the oldest groups from the list and returns them. It
// keeps the most recent opening groups.
func (j *journal) removeOldestGroups() []writtenGroup {
	openings := 0
	for i := range j.groups {
		if j.groups[i].opening {
			openings++
		}
	}
	removed, kept := []writtenGroup{}, j.groups[:0]
	for _, g := range j.groups {
		if g.opening {
			openings--
		}
		if len(removed) == compactBatchGroups || (g.opening && openings < retainedOpenings) {
			kept = append(kept, g)
			continue
		}
		removed = append(removed, g)
		j.writtenBytes -= g.bytes
	}
	j.groups = kept
	return removed
}

// liveJobs lists the jobs in groups whose records a successor still needs.
func (r *Reducer) liveJobs(groups []writtenGroup) []JobID {
	var live []JobID
	seen := map[JobID]bool{}
	for _, g := range groups {
		for _, id := range g.jobs {
			if job := r.jobs.get(id); !seen[id] && job != nil && job.journaled {
				live = append(live, id)
			}
			seen[id] = true
		}
	}
	return live
}

// nextCopies returns the current records of the next jobs to copy, limited to a
// share of the space left in a group.
func (r *Reducer) nextCopies(space int) []Record {
	j := &r.journal
	var out []Record
	for bytes := 0; len(j.copyQueue) > 0 && bytes < space/copyShareDivisor; {
		if job := r.jobs.get(j.copyQueue[0]); job != nil {
			for _, rec := range r.liveRecords(job) {
				rec.Copy = true
				bytes += rec.size()
				out = append(out, rec)
			}
		}
		j.copyQueue = j.copyQueue[1:]
		j.copiedThrough = j.sequence + 1
	}
	return out
}

// liveRecords returns the records that a successor needs to restore a job. The assignment
// of a non-idempotent task that has ended is among them: its worker may restart and lose
// its ledger, and a successor that does not know the assignment would start it again.
func (r *Reducer) liveRecords(j *job) []Record {
	spec := j.spec
	first := Record{Kind: RecordAccepted, Job: spec.ID, Spec: &spec}
	if j.movedTo != "" {
		first = j.movedRecord(r.now)
	}
	if j.state.Final() {
		// Repeated submits are compared by digest.
		spec.Payload = nil
		return []Record{first, j.finishedRecord()}
	}
	out := []Record{first}
	for i := range j.tasks {
		t := &j.tasks[i]
		if !j.kind.Idempotent && (t.holdsCapacity() || t.state == taskDone && t.endedOn != "") {
			out = append(out, r.assignedRecord(j, t))
		}
	}
	return out
}

// deleteCompacted deletes the groups whose live records have been rewritten.
func (r *Reducer) deleteCompacted() {
	var keys []string
	for _, g := range r.journal.compacting {
		keys = append(keys, r.journalKey(g.sequence))
	}
	r.journal.compacting = nil
	if len(keys) > 0 {
		r.emit(DeleteValues{Op: r.newStoreOp(PurposeJournalDelete, keys[0]), Keys: keys})
	}
}
