package scheduler

import "time"

// Config is a version of the configuration.
type Config struct {
	Version  int64
	Queues   map[QueueName]*Queue
	Services map[string]*Service
}

// Queue is the configuration of a queue of jobs.
type Queue struct {
	Name QueueName `json:"name"`
	// Service is the name of the service whose workers run the queue's tasks.
	Service string `json:"service"`
	// Priority orders the queues. 0 is the highest priority.
	Priority int `json:"priority,omitempty"`
	// Attempts is the number of failed runs of a task after which its job fails.
	Attempts int `json:"attempts,omitempty"`
	// Stretch and SLO define the objective for a job's duration: Stretch times its
	// critical path, plus SLO.
	Stretch float64       `json:"stretch,omitempty"`
	SLO     time.Duration `json:"slo,omitempty"`
	// Advice, if set, means that a step may only run on workers for which the advice
	// service has issued a ticket.
	Advice *AdvicePolicy `json:"advice,omitempty"`
}

// AdvicePolicy describes the duration of a call to the advice service and the validity
// of its tickets.
type AdvicePolicy struct {
	// Base is the fixed duration of a call, and PerWorker is added for each worker in
	// it.
	Base, PerWorker time.Duration
	Valid           time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guarded means that the workers reject tasks that exceed their capacity.
	Guarded bool
	// Standby means that the machines of the pool are powered off.
	Standby bool
}

// Limits are the limits of the deployment.
type Limits struct {
	// MaxLease is the longest lease of a worker. Without a renewal it stops its tasks
	// at the end of the lease.
	MaxLease time.Duration
	// StatusRetention is how long the state of an ended job is kept.
	StatusRetention time.Duration
	// MinStoreLease is the shortest time to live of a lease that the store grants.
	MinStoreLease time.Duration
	// MemoryBytes is the memory beyond which the process is killed, or 0 for no limit.
	MemoryBytes int64
	// MaxStoreValue is the size of the largest value that the store accepts, in bytes,
	// or 0 for defaultMaxStoreValue.
	MaxStoreValue int
	// RemotePenalty is the factor by which a task takes longer on another rack than
	// that of its data or its gang.
	RemotePenalty float64
}
