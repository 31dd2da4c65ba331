package document

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Limits of the fields. The bounds on counts and sizes keep products of them,
// such as a gang's total request, below 2^63.
const (
	maxSize        = 1_000_000_000 // in the field's unit
	maxWeight      = 1_000
	maxKinds       = 64
	maxServices    = 64
	maxDataCentres = 32 // per service; 64 kinds and services then encode to less than MaxBytes
	maxGangSize    = 10_000
	maxReplicas    = 10_000
	maxAttempts    = 20
	maxQueueLimit  = 100_000
	maxPreemptions = 100
	maxDuration    = 30 * 24 * time.Hour
)

// namePattern is the form of team, service and kind names: they are part of
// store keys, URL paths and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker gathers findings about one document.
type checker struct {
	doc      *core.Document
	findings []Finding
}

// Check reports what is wrong with the content of doc. What depends on the fleet
// is a warning, since the fleet may change; it is left out if fleet is empty.
func Check(doc *core.Document, fleet []core.ListedWorker) []Finding {
	c := &checker{doc: doc}
	c.team()
	if len(doc.Kinds) == 0 || len(doc.Kinds) > maxKinds {
		c.refuse("kinds", "%d kinds; 1 to %d are allowed", len(doc.Kinds), maxKinds)
	}
	for i := range doc.Kinds {
		c.kind(fmt.Sprintf("kinds[%d]", i), &doc.Kinds[i], doc.Kinds[:i])
	}
	c.giveUpFirst()
	c.services()
	if len(fleet) > 0 {
		c.fleet(cellsOf(fleet))
	}
	return c.findings
}

func (c *checker) refuse(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) warn(path, format string, args ...any) {
	c.findings = append(c.findings,
		Finding{Severity: Warning, Path: path, Message: fmt.Sprintf(format, args...)})
}

// between checks that a number is within its limits.
func (c *checker) between(path string, v, low, high int64) {
	if v < low || v > high {
		c.refuse(path, "%d is out of range; %d to %d is allowed", v, low, high)
	}
}

// within checks that a duration is positive and at most maxDuration.
func (c *checker) within(path string, d time.Duration) {
	if d <= 0 || d > maxDuration {
		c.refuse(path, "%v is out of range; more than 0s and at most %v is allowed", d, maxDuration)
	}
}

func (c *checker) name(path, name string) {
	if !namePattern.MatchString(name) {
		c.refuse(path, "%q is not a name; 1 to 63 of a-z, 0-9 and - are allowed, the first not -", name)
	}
}

// sizes checks that no size is negative or too large.
func (c *checker) sizes(path string, r core.Resources) {
	c.between(path+".milli_cpu", r.MilliCPU, 0, maxSize)
	c.between(path+".memory_mb", r.MemoryMB, 0, maxSize)
	c.between(path+".accelerators", r.Accelerators, 0, maxSize)
	c.between(path+".slots", r.Slots, 0, maxSize)
	c.between(path+".connections", r.Connections, 0, maxSize)
}

func (c *checker) team() {
	c.name("team", string(c.doc.Team))
	c.name("service", c.doc.Service)
	c.between("weight", c.doc.Weight, 1, maxWeight)
	c.sizes("quota", c.doc.Quota)
	if c.doc.Quota.IsZero() {
		c.refuse("quota", "all sizes are 0; a team needs a quota")
	}
}

// kind checks one kind; former are the kinds before it.
func (c *checker) kind(path string, k *core.Kind, former []core.Kind) {
	c.name(path+".name", string(k.Name))
	if slices.ContainsFunc(former, func(f core.Kind) bool { return f.Name == k.Name }) {
		c.refuse(path+".name", "kind %q is declared twice", k.Name)
	}
	c.sizes(path+".request", k.Request)
	if k.Request.IsZero() {
		c.refuse(path+".request", "all sizes are 0; a task takes at least one resource")
	}
	c.within(path+".run_time", k.RunTime)
	c.within(path+".deadline", k.Deadline)
	if k.StartWithin < 0 || k.StartWithin > k.Deadline {
		c.refuse(path+".start_within", "%v is out of range; 0s to the deadline of %v is allowed",
			k.StartWithin, k.Deadline)
	}
	if k.RunTime > k.Deadline {
		c.warn(path+".deadline", "%v is less than the run time of %v", k.Deadline, k.RunTime)
	}
	c.between(path+".gang_size", int64(k.GangSize), 1, maxGangSize)
	if k.RestartGang && k.GangSize == 1 {
		c.refuse(path+".restart_gang", "a kind with gang_size 1 has no gang to restart")
	}
	c.between(path+".max_attempts", int64(k.MaxAttempts), 1, maxAttempts)
	c.between(path+".queue_limit", int64(k.QueueLimit), 1, maxQueueLimit)
	c.preemption(path+".preemption", k)
	c.interactive(path, k)
}

func (c *checker) preemption(path string, k *core.Kind) {
	p := k.Preemption
	if p.Stop && !k.Idempotent {
		c.refuse(path+".stop", "kind %q is not idempotent, and a stop would lose its work; "+
			"only throttle is allowed", k.Name)
	}
	if p.Checkpoint && !k.Idempotent {
		c.refuse(path+".checkpoint", "kind %q is not idempotent, and going on from a checkpoint would "+
			"start it a second time; only throttle is allowed", k.Name)
	}
	c.between(path+".max_times", int64(p.MaxTimes), 0, maxPreemptions)
	if (p.Stop || p.Checkpoint) && p.MaxTimes == 0 {
		c.refuse(path+".max_times", "0 is out of range; checkpoint and stop need a limit of 1 to %d",
			maxPreemptions)
	}
}

// interactive checks what only interactive kinds have. They are served by calls,
// which are never gangs, hold a slot each and are not preempted.
func (c *checker) interactive(path string, k *core.Kind) {
	if k.Urgency != core.Interactive {
		if k.ProgressTimeout != 0 {
			c.refuse(path+".progress_timeout", "only interactive kinds have a progress_timeout; "+
				"kind %q is %v", k.Name, k.Urgency)
		}
		return
	}
	if k.ProgressTimeout <= 0 || k.ProgressTimeout > k.Deadline {
		c.refuse(path+".progress_timeout", "%v is out of range; an interactive kind needs more than 0s "+
			"and at most its deadline of %v", k.ProgressTimeout, k.Deadline)
	}
	if k.GangSize != 1 {
		c.refuse(path+".gang_size", "%d is out of range; an interactive kind has gang_size 1", k.GangSize)
	}
	if k.Request.Slots < 1 {
		c.refuse(path+".request.slots", "%d is out of range; an interactive kind needs at least 1 slot",
			k.Request.Slots)
	}
	if k.Preemption != (core.PreemptionPolicy{}) {
		c.refuse(path+".preemption", "interactive requests are not preempted")
	}
}

func (c *checker) giveUpFirst() {
	for i, name := range c.doc.GiveUpFirst {
		path := fmt.Sprintf("give_up_first[%d]", i)
		if _, ok := c.doc.Kind(name); !ok {
			c.refuse(path, "kind %q is not declared", name)
		}
		if slices.Contains(c.doc.GiveUpFirst[:i], name) {
			c.refuse(path, "kind %q is listed twice", name)
		}
	}
}

func (c *checker) services() {
	if len(c.doc.Services) > maxServices {
		c.refuse("services", "%d services; at most %d are allowed", len(c.doc.Services), maxServices)
	}
	for i, s := range c.doc.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path+".name", s.Name)
		if slices.ContainsFunc(c.doc.Services[:i], func(f core.Service) bool { return f.Name == s.Name }) {
			c.refuse(path+".name", "service %q is declared twice", s.Name)
		}
		c.between(path+".replicas", int64(s.Replicas), 1, maxReplicas)
		c.serviceKind(path+".kind", s)
		if len(s.DataCentres) > maxDataCentres {
			c.refuse(path+".data_centres", "%d data centres; at most %d are allowed",
				len(s.DataCentres), maxDataCentres)
		}
		for j, dc := range s.DataCentres {
			c.name(fmt.Sprintf("%s.data_centres[%d]", path, j), string(dc))
			if slices.Contains(s.DataCentres[:j], dc) {
				c.refuse(fmt.Sprintf("%s.data_centres[%d]", path, j), "data centre %q is listed twice", dc)
			}
		}
	}
}

// serviceKind checks the kind of a service: its replicas are single tasks that
// are started again after a failure.
func (c *checker) serviceKind(path string, s core.Service) {
	k, ok := c.doc.Kind(s.Kind)
	switch {
	case !ok:
		c.refuse(path, "kind %q is not declared", s.Kind)
	case k.Urgency == core.Interactive:
		c.refuse(path, "kind %q is interactive; a service needs a kind that is started as a task", s.Kind)
	case k.GangSize != 1:
		c.refuse(path, "kind %q is a gang; a service needs gang_size 1", s.Kind)
	case !k.Idempotent:
		c.refuse(path, "kind %q is not idempotent; replicas of a service are started again", s.Kind)
	}
}
