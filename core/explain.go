package core

// Explanation says why a job waits, or where and why it was placed.
type Explanation struct {
	Status JobStatus
	// Position is the job's place in its queue, from 1, or 0.
	Position int
	// Reasons are sentences, the most important first.
	Reasons []string
	// Rejected counts the workers that failed each filter.
	Rejected []FilterCount
	// Steps are the job's transitions, oldest first.
	Steps []Step
}

// FilterCount counts workers that a placement filter rejected.
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
