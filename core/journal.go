package core

import (
	"hash/fnv"
	"slices"
	"time"
)

const (
	// maxGroupBytes keeps a journal group, encoded as JSON with base64, well
	// below the store's value limit of 1 MiB.
	maxGroupBytes = 256 << 10
	// recordOverheadBytes is the encoded size of a record without its payload
	// and result.
	recordOverheadBytes = 300
	// journalBurst is the number of writes that may be sent without waiting
	// after an idle period.
	journalBurst = 8
	// journalRetryDelay is the base delay before retrying a write that had no
	// effect, or a failed read.
	journalRetryDelay = 300 * time.Millisecond
	// retainedOpenings is the number of opening groups that are never deleted.
	// A former owner can write only to the key of its successor's opening
	// group, so its write is rejected as long as that key exists.
	retainedOpenings = 64
)

// journalPhase is the state of the group in flight.
type journalPhase uint8

const (
	journalIdle journalPhase = iota
	journalWriting
	journalReadingBack
	// journalReadBackDelayed waits until retryAt before the next read-back.
	journalReadBackDelayed
)

// pendingRecord is a record that has not been sent. A job points to its pending
// accept record, so that cancelling it takes constant time.
type pendingRecord struct {
	Record
	// unsent is set until the record is sent or dropped.
	unsent bool
}

// writtenGroup describes a group in the store.
type writtenGroup struct {
	sequence uint64
	opening  bool
	bytes    int
	jobs     []JobID
}

// journal batches records into groups that are written to the store.
//
// Invariant: at most one group is in flight, and its sequence number follows
// that of the last group known to be written.
type journal struct {
	// pending contains the records of the next groups, including dropped ones.
	pending []*pendingRecord
	// dropped is the number of dropped records in pending.
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
	// loaded contains the groups of earlier epochs during recovery.
	loaded []JournalGroup
	// writtenBytes is the total size of groups.
	writtenBytes int
	// compacting contains the groups to delete once their live records have
	// been rewritten. The records of the jobs in copyQueue are not copied yet;
	// the last copies are in the group with sequence number copiedThrough.
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

// appendRecord queues a record for the next group.
func (r *Reducer) appendRecord(rec Record) *pendingRecord {
	o := &pendingRecord{Record: rec, unsent: true}
	r.journal.pending = append(r.journal.pending, o)
	r.journal.pendingBytes += rec.size()
	return o
}

// pendingCount returns the number of records waiting to be sent.
func (j *journal) pendingCount() int { return len(j.pending) - j.dropped }

// acceptRecordUnsent reports whether the job's accept or move record has not been
// sent yet.
func (j *job) acceptRecordUnsent() bool { return j.acceptRecord != nil && j.acceptRecord.unsent }

// dropAcceptRecord removes the job's accept or move record if it has not been
// sent, and reports whether it did. Such a job has no other records.
func (r *Reducer) dropAcceptRecord(j *job) bool {
	if !j.acceptRecordUnsent() {
		return false
	}
	r.journal.drop(j.acceptRecord)
	j.acceptRecord = nil
	return true
}

// drop marks a pending record as dropped. Dropped records are removed from the
// list when they make up more than half of it, which takes amortised constant
// time.
func (j *journal) drop(o *pendingRecord) {
	j.pendingBytes -= o.size()
	*o = pendingRecord{}
	j.dropped++
	if j.dropped > len(j.pending)/2 {
		j.pending = slices.DeleteFunc(j.pending, func(o *pendingRecord) bool { return !o.unsent })
		j.dropped = 0
	}
}

// refill adds the tokens accrued since the last call.
func (j *journal) refill(now Time) {
	if j.lastRefill != 0 {
		j.tokens = min(journalBurst, j.tokens+now.Sub(j.lastRefill).Seconds()*j.rate)
	}
	j.lastRefill = now
}

// flushJournal sends the next group if none is in flight and the rate limit
// allows it.
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

// fillGroup moves pending records into a new group in flight, up to the size
// limit.
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
	clear(j.pending[:n]) // allows the payloads to be garbage collected
	j.pending = j.pending[n:]
	j.pendingBytes -= bytes
}

// onJournalResult handles the result of writing the group in flight. If the
// outcome is unknown, the key is read back, and the group is written again only
// if the key does not exist.
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

// onJournalReadBack resolves a write whose outcome is unknown or that found an
// existing key.
func (r *Reducer) onJournalReadBack(a StoreAnswered) {
	j := &r.journal
	switch {
	case a.Outcome == StoreOK && len(a.Items) == 1:
		if g, ok := a.Items[0].Value.(JournalGroup); ok && g.ID == j.inFlight.ID {
			r.commitGroup()
			return
		}
		// A successor has written its opening group to this key.
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

// commitGroup handles the records of the group in flight as durable.
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

// onDurable resumes the processing that waited for a record to become durable.
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

// Digest returns a hash of the content of a submitted job.
func Digest(team TeamName, kind KindName, payload []byte) uint64 {
	h := fnv.New64a()
	for _, part := range [][]byte{[]byte(team), []byte(kind), payload} {
		// Writes to a hash never return an error.
		_, _ = h.Write(part)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}
