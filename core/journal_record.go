package core

// RecordKind is the type of a journal record.
type RecordKind uint8

// Journal record types.
const (
	// RecordAccepted makes an accepted job durable.
	RecordAccepted RecordKind = iota
	// RecordAssigned names the only worker on which an attempt of a
	// non-idempotent task may run.
	RecordAssigned
	// RecordReleased states that an assigned attempt has definitely ended.
	RecordReleased
	// RecordFinished contains the final outcome of a job.
	RecordFinished
	// RecordMoved states that a job is moved to another data centre. Nothing
	// is sent there before this record is durable.
	RecordMoved
)

// Record is a journal entry.
type Record struct {
	Kind RecordKind
	Job  JobID
	// Spec is set in RecordAccepted and RecordMoved. The latter omits the
	// payload.
	Spec *JobSpec
	// To is the target data centre of RecordMoved.
	To DataCentre
	// Task, Worker, Incarnation and Checkpoint are set in RecordAssigned and
	// RecordReleased.
	Task        TaskRef
	Worker      WorkerID
	Incarnation uint64
	Checkpoint  string
	// State, Refusal and Result are set in RecordFinished; At is set in
	// RecordFinished and RecordMoved.
	State   JobState
	Refusal *Refusal
	Result  []byte
	At      Time
	// Copy is set if compaction rewrote the record.
	Copy bool
}

// JournalGroup is the unit of writes to the store. The groups of a data centre
// form a single sequence. The key of a group is created once and never
// overwritten. An owner writes only to the next key of the sequence it knows;
// the opening group of its successor occupies that key and thereby fences it.
type JournalGroup struct {
	Epoch    Epoch
	Sequence uint64
	// ID distinguishes this group from another one written to the same key.
	ID      uint64
	Records []Record
	// Opening marks the first group of an epoch.
	Opening bool
}
