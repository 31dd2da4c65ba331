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
	// RecordMoved says that a job goes to another data centre. Nothing was
	// sent there before this record was durable.
	RecordMoved
)

// Record is one entry of the journal.
type Record struct {
	Kind RecordKind
	Job  JobID
	// Spec is set in RecordAccepted and RecordMoved, there without payload.
	Spec *JobSpec
	// To is the data centre in RecordMoved.
	To DataCentre
	// Task, Worker, Incarnation and Checkpoint are set in RecordAssigned and
	// RecordReleased.
	Task        TaskRef
	Worker      WorkerID
	Incarnation uint64
	Checkpoint  string
	// State, Refusal, Result and At are set in RecordFinished, and At in
	// RecordMoved as well.
	State   JobState
	Refusal *Refusal
	Result  []byte
	At      Time
	// Copy is set when a cleaning wrote the record again.
	Copy bool
}

// JournalGroup is the unit that is written to the store. The groups of a data
// centre form one sequence; the key of a group is created once and never
// changed. An owner writes only at the end of the sequence that it knows, so the
// opening group of its successor takes the one key that it could still write.
type JournalGroup struct {
	Epoch    Epoch
	Sequence uint64
	// ID tells this group from another one written to the same key.
	ID      uint64
	Records []Record
	// Opening marks the first group of an epoch.
	Opening bool
}
