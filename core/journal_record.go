package core

// RecordKind is the kind of a journal record.
type RecordKind uint8

// The kinds of journal records.
const (
	// RecordAccepted makes a job durable.
	RecordAccepted RecordKind = iota
	// RecordAssigned names the one worker that an attempt of a
	// non-idempotent task may run on.
	RecordAssigned
	// RecordReleased says that an assigned attempt has surely ended.
	RecordReleased
	// RecordFinished is the final outcome of a job.
	RecordFinished
)

// Record is one entry of the journal.
type Record struct {
	Kind RecordKind
	Job  JobID
	// Spec is set in RecordAccepted.
	Spec *JobSpec
	// Task, Worker, Incarnation and Checkpoint are set in RecordAssigned and
	// RecordReleased.
	Task        TaskRef
	Worker      WorkerID
	Incarnation uint64
	Checkpoint  string
	// State, Refusal, Result and At are set in RecordFinished.
	State   JobState
	Refusal *Refusal
	Result  []byte
	At      Time
}

// JournalGroup is the unit that is written to the store. Its key holds the epoch
// and the sequence number; a key is created once and never changed.
type JournalGroup struct {
	Epoch    Epoch
	Sequence uint64
	// ID tells this group from another one written to the same key.
	ID      uint64
	Records []Record
	// Closed marks the end of an epoch's journal, written by a successor so
	// that the former owner can add nothing.
	Closed bool
}

// Snapshot holds the records of all live jobs. It replaces the groups up to and
// including Sequence of Epoch and everything of earlier epochs.
type Snapshot struct {
	Epoch    Epoch
	Sequence uint64
	Records  []Record
}
