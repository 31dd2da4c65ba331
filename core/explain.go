package core

// Explanation states why a job is waiting, or where it was placed and why.
type Explanation struct {
	Status JobStatus
	// Position is the 1-based position of the job in its queue, or 0.
	Position int
	// Reasons are clauses, the most important first.
	Reasons []string
	// Rejected counts the workers rejected by each filter.
	Rejected []FilterCount
	// Steps are the job's transitions, oldest first.
	Steps []Step
}

// FilterCount is the number of workers that a placement filter rejected.
type FilterCount struct {
	Filter  string
	Workers int
}

// Step is one transition of a job.
type Step struct {
	At     Time
	Text   string
	Worker WorkerID
}
