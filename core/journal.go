package core

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// maxGroupBytes bounds a journal group well below the store's limit of
	// 1 MiB, base64 and JSON included.
	maxGroupBytes = 256 << 10
	// recordBytes is what a record takes beside its payload and result.
	recordOverheadBytes = 300
	// journalBurst is how many writes may follow each other at once after an
	// idle time.
	journalBurst = 8
	// journalRetry is the wait after a write that surely took no effect.
	journalRetryDelay = 300 * time.Millisecond
	// keptOpenings is how many opening groups are never deleted. A former
	// owner can only write to the key of its successor's opening group, so as
	// long as that key exists its write is refused.
	retainedOpenings = 64
)

// journalPhase is what the journal waits for.
type journalPhase uint8

const (
	journalIdle journalPhase = iota
	journalWriting
	journalReadingBack
	// journalReadBackLater waits until retryAt before it reads back again.
	journalReadBackDelayed
)

// openRecord is a record that is not sent yet. A job whose accept record is open
// points to it, so that a cancellation costs the same however many are open.
type pendingRecord struct {
	Record
	// waits is set until the record is sent or dropped.
	unsent bool
}

// writtenGroup is a group in the store.
type writtenGroup struct {
	sequence uint64
	opening  bool
	bytes    int
	jobs     []JobID
}

// journal groups records into writes to the store.
//
// Invariant: at most one group is in flight, and its sequence is one above that
// of the last group known to be written.
type journal struct {
	// open holds the records of the next groups, dropped ones included.
	pending []*pendingRecord
	// dropped counts the dropped records in open.
	dropped      int
	pendingBytes int
	inFlight     *JournalGroup
	phase        journalPhase
	retryAt      Time
	// sequence is that of the last group known to be written.
	sequence   uint64
	rate       float64
	tokens     float64
	lastRefill Time
	groups     []writtenGroup
	// loaded holds the groups of earlier epochs during a recovery.
	loaded []JournalGroup
	// written is the number of bytes in groups.
	writtenBytes int
	// cleaning holds the groups that are deleted once the live records in them
	// have been written again: those of the jobs in copyQueue, and then those
	// in the group with the sequence copiedBy.
	compacting    []writtenGroup
	copyQueue     []JobID
	copiedThrough uint64
}

func newJournal(rate float64) journal {
	return journal{rate: rate, tokens: journalBurst}
}

// size estimates the encoded size of a record.
func (rec *Record) size() int {
	n := recordOverheadBytes + len(rec.Result)*4/3
	if rec.Spec != nil {
		n += len(rec.Spec.Payload) * 4 / 3
	}
	return n
}

// appendRecord adds a record to the next group.
func (r *Reducer) appendRecord(rec Record) *pendingRecord {
	o := &pendingRecord{Record: rec, unsent: true}
	r.journal.pending = append(r.journal.pending, o)
	r.journal.pendingBytes += rec.size()
	return o
}

// openRecords is the number of records that wait to be sent.
func (j *journal) pendingCount() int { return len(j.pending) - j.dropped }

// acceptUnsent reports whether the job's accept record, or that of its move, waits
// to be sent.
func (j *job) acceptRecordUnsent() bool { return j.acceptRecord != nil && j.acceptRecord.unsent }

// dropAccept removes the job's accept record, or that of its move, if it was not
// sent, and reports whether it did. Such a job has no other record.
func (r *Reducer) dropAcceptRecord(j *job) bool {
	if !j.acceptRecordUnsent() {
		return false
	}
	r.journal.drop(j.acceptRecord)
	j.acceptRecord = nil
	return true
}

// drop marks an open record as dropped. Dropped records leave the list when they
// are more than half of it, which costs constant time for each.
func (j *journal) drop(o *pendingRecord) {
	j.pendingBytes -= o.size()
	*o = pendingRecord{}
	j.dropped++
	if j.dropped > len(j.pending)/2 {
		j.pending = slices.DeleteFunc(j.pending, func(o *pendingRecord) bool { return !o.unsent })
		j.dropped = 0
	}
}

// refill adds the tokens that have accrued since the last call.
func (j *journal) refill(now Time) {
	if j.lastRefill != 0 {
		j.tokens = min(journalBurst, j.tokens+now.Sub(j.lastRefill).Seconds()*j.rate)
	}
	j.lastRefill = now
}

// flushJournal sends the next group if none is in flight and the rate allows it.
func (r *Reducer) flushJournal() {
	j := &r.journal
	if r.owner.role != roleOwner || r.now < j.retryAt {
		return
	}
	if j.phase == journalReadBackDelayed {
		r.readBackGroup()
	}
	if j.phase != journalIdle {
		return
	}
	j.refill(r.now)
	if j.inFlight == nil {
		if (j.pendingCount() == 0 && len(j.copyQueue) == 0) || j.tokens < 1 {
			return
		}
		r.fillGroup()
	}
	j.tokens = max(0, j.tokens-1)
	j.phase = journalWriting
	key := r.journalKey(j.inFlight.Sequence)
	r.emit(PutValue{Op: r.newStoreOp(PurposeJournalWrite, key), Key: key, Value: *j.inFlight})
}

// takeGroup moves open records, as many as a group holds, into flight.
func (r *Reducer) fillGroup() {
	j := &r.journal
	n, bytes := 0, 0
	var records []Record
	for _, o := range j.pending {
		if !o.unsent {
			j.dropped--
			n++
			continue
		}
		size := o.size()
		if len(records) > 0 && bytes+size > maxGroupBytes {
			break
		}
		records = append(records, o.Record)
		o.unsent = false
		bytes += size
		n++
	}
	records = append(records, r.nextCopies(maxGroupBytes-bytes)...)
	j.inFlight = &JournalGroup{
		Epoch: r.owner.epoch, Sequence: j.sequence + 1, ID: r.rng.Uint64(), Records: records,
	}
	clear(j.pending[:n]) // lets go of their payloads
	j.pending = j.pending[n:]
	j.pendingBytes -= bytes
}

// onJournalAnswer settles the group in flight. A lost answer is never guessed:
// the key is read back, and the group is written again only if it is absent.
func (r *Reducer) onJournalResult(a StoreAnswered) {
	j := &r.journal
	if r.owner.role != roleOwner || a.Op.Purpose == PurposeJournalDelete || j.inFlight == nil {
		return
	}
	key := r.journalKey(j.inFlight.Sequence)
	if a.Op.Key != key {
		return
	}
	if a.Op.Purpose == PurposeJournalReadBack {
		r.onJournalReadBack(a)
		return
	}
	switch a.Outcome {
	case StoreOK:
		r.commitGroup()
	case StoreNotSent:
		j.phase, j.retryAt = journalIdle, r.now.Add(r.jitter(journalRetryDelay))
	default:
		r.readBackGroup()
	}
}

// onJournalReadBack decides what became of a write whose answer was lost or that
// met an existing key.
func (r *Reducer) onJournalReadBack(a StoreAnswered) {
	j := &r.journal
	switch {
	case a.Outcome == StoreOK && len(a.Items) == 1:
		if g, ok := a.Items[0].Value.(JournalGroup); ok && g.ID == j.inFlight.ID {
			r.commitGroup()
			return
		}
		// A successor has opened its epoch at this key.
		r.stepDown(ReasonStaleEpoch)
	case a.Outcome == StoreNotFound:
		j.phase, j.retryAt = journalIdle, r.now.Add(r.jitter(journalRetryDelay))
	case a.Outcome == StoreUnreadable:
		r.stepDown(ReasonConflict)
	default:
		j.phase, j.retryAt = journalReadBackDelayed, r.now.Add(r.jitter(journalRetryDelay))
	}
}

// readBackGroup reads the key of the group in flight.
func (r *Reducer) readBackGroup() {
	r.journal.phase = journalReadingBack
	key := r.journalKey(r.journal.inFlight.Sequence)
	r.emit(GetValue{Op: r.newStoreOp(PurposeJournalReadBack, key), Key: key})
}

// commitGroup makes the records of the group in flight durable.
func (r *Reducer) commitGroup() {
	j := &r.journal
	g := j.inFlight
	j.inFlight, j.phase, j.sequence = nil, journalIdle, g.Sequence
	r.count(MetricJournal, "", "", "")
	j.addGroup(g)
	for i := range g.Records {
		r.onDurable(&g.Records[i])
	}
	r.compactJournal()
}

// onDurable continues what waited for a record.
func (r *Reducer) onDurable(rec *Record) {
	if rec.Copy {
		return
	}
	job := r.jobs.get(rec.Job)
	if job == nil {
		return
	}
	switch rec.Kind {
	case RecordAccepted:
		r.onAccepted(job)
	case RecordMoved:
		r.onMoveDurable(job)
	case RecordAssigned:
		r.onAssignmentDurable(job, rec.Task)
	case RecordFinished:
		if job.unconfirmed {
			job.unconfirmed = false
			r.answerWaiters(job)
		}
	}
}

// Digest returns the hash of a submitted job's content.
func Digest(team TeamName, kind KindName, payload []byte) uint64 {
	h := fnv.New64a()
	for _, part := range [][]byte{[]byte(team), []byte(kind), payload} {
		// Writes to a hash return no error.
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
