package document

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Limits of field values. They keep products of counts and resource values, such
// as the total request of a gang, below 2^63.
const (
	maxResourceValue = 1_000_000_000 // in the field's unit
	maxWeight        = 1_000
	maxKinds         = 64
	maxServices      = 64
	maxDataCentres   = 32 // per service; keeps the encoding of 64 kinds and services below MaxBytes
	maxGangSize      = 10_000
	maxReplicas      = 10_000
	maxAttempts      = 20
	maxQueueLimit    = 100_000
	maxPreemptions   = 100
	maxDuration      = 30 * 24 * time.Hour
)

// namePattern matches team, service, kind and data centre names. Names become
// part of store keys, URL paths and metric labels.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// checker collects findings about the content of a document.
type checker struct {
	doc      *core.Document
	findings []Finding
}

// Check returns findings about the content of doc. Findings that depend on the
// fleet are warnings, since the fleet may change. An empty fleet is not checked.
func Check(doc *core.Document, fleet []core.ListedWorker) []Finding {
	c := &checker{doc: doc}
	c.checkTeam()
	if len(doc.Kinds) == 0 || len(doc.Kinds) > maxKinds {
		c.addError("kinds", "%d kinds; 1 to %d are allowed", len(doc.Kinds), maxKinds)
	}
	for i := range doc.Kinds {
		c.checkKind(fmt.Sprintf("kinds[%d]", i), &doc.Kinds[i], doc.Kinds[:i])
	}
	c.checkGiveUpFirst()
	c.checkServices()
	if len(fleet) > 0 {
		c.checkFleet(groupByDataCentre(fleet))
	}
	return c.findings
}

func (c *checker) addError(path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) addWarning(path, format string, args ...any) {
	c.findings = append(c.findings,
		Finding{Severity: SeverityWarning, Path: path, Message: fmt.Sprintf(format, args...)})
}

// checkRange checks that a number is between low and high, inclusive.
func (c *checker) checkRange(path string, v, low, high int64) {
	if v < low || v > high {
		c.addError(path, "%d is out of range; %d to %d is allowed", v, low, high)
	}
}

// checkDuration checks that a duration is positive and at most maxDuration.
func (c *checker) checkDuration(path string, d time.Duration) {
	if d <= 0 || d > maxDuration {
		c.addError(path, "%v is out of range; more than 0s and at most %v is allowed", d, maxDuration)
	}
}

func (c *checker) checkName(path, name string) {
	if !namePattern.MatchString(name) {
		c.addError(path, "%q is not a name; 1 to 63 of a-z, 0-9 and - are allowed, the first not -", name)
	}
}

// checkResources checks that no resource is negative or too large.
func (c *checker) checkResources(path string, r core.Resources) {
	c.checkRange(path+".milli_cpu", r.MilliCPU, 0, maxResourceValue)
	c.checkRange(path+".memory_mb", r.MemoryMB, 0, maxResourceValue)
	c.checkRange(path+".accelerators", r.Accelerators, 0, maxResourceValue)
	c.checkRange(path+".slots", r.Slots, 0, maxResourceValue)
	c.checkRange(path+".connections", r.Connections, 0, maxResourceValue)
}

func (c *checker) checkTeam() {
	c.checkName("team", string(c.doc.Team))
	c.checkName("service", c.doc.Service)
	c.checkRange("weight", c.doc.Weight, 1, maxWeight)
	c.checkResources("quota", c.doc.Quota)
	if c.doc.Quota.IsZero() {
		c.addError("quota", "all sizes are 0; a team needs a quota")
	}
}

// checkKind checks one kind; previous holds the kinds declared before it.
func (c *checker) checkKind(path string, k *core.Kind, previous []core.Kind) {
	c.checkName(path+".name", string(k.Name))
	if slices.ContainsFunc(previous, func(f core.Kind) bool { return f.Name == k.Name }) {
		c.addError(path+".name", "kind %q is declared twice", k.Name)
	}
	c.checkResources(path+".request", k.Request)
	if k.Request.IsZero() {
		c.addError(path+".request", "all sizes are 0; a task takes at least one resource")
	}
	c.checkDuration(path+".run_time", k.RunTime)
	c.checkDuration(path+".deadline", k.Deadline)
	if k.StartWithin < 0 || k.StartWithin > k.Deadline {
		c.addError(path+".start_within", "%v is out of range; 0s to the deadline of %v is allowed",
			k.StartWithin, k.Deadline)
	}
	if k.RunTime > k.Deadline {
		c.addWarning(path+".deadline", "%v is less than the run time of %v", k.Deadline, k.RunTime)
	}
	c.checkRange(path+".gang_size", int64(k.GangSize), 1, maxGangSize)
	if k.RestartGang && k.GangSize == 1 {
		c.addError(path+".restart_gang", "a kind with gang_size 1 has no gang to restart")
	}
	c.checkRange(path+".max_attempts", int64(k.MaxAttempts), 1, maxAttempts)
	c.checkRange(path+".queue_limit", int64(k.QueueLimit), 1, maxQueueLimit)
	c.checkPreemption(path+".preemption", k)
	c.checkInteractive(path, k)
}

func (c *checker) checkPreemption(path string, k *core.Kind) {
	p := k.Preemption
	if p.Stop && !k.Idempotent {
		c.addError(path+".stop", "kind %q is not idempotent, and a stop would lose its work; "+
			"only throttle is allowed", k.Name)
	}
	if p.Checkpoint && !k.Idempotent {
		c.addError(path+".checkpoint", "kind %q is not idempotent, and going on from a checkpoint would "+
			"start it a second time; only throttle is allowed", k.Name)
	}
	c.checkRange(path+".max_times", int64(p.MaxTimes), 0, maxPreemptions)
	if (p.Stop || p.Checkpoint) && p.MaxTimes == 0 {
		c.addError(path+".max_times", "0 is out of range; checkpoint and stop need a limit of 1 to %d",
			maxPreemptions)
	}
}

// checkInteractive checks the rules that differ for interactive kinds. Their
// requests are served as calls: each call takes at least one slot, is never part
// of a gang and is never preempted.
func (c *checker) checkInteractive(path string, k *core.Kind) {
	if k.Urgency != core.Interactive {
		if k.ProgressTimeout != 0 {
			c.addError(path+".progress_timeout", "only interactive kinds have a progress_timeout; "+
				"kind %q is %v", k.Name, k.Urgency)
		}
		return
	}
	if k.ProgressTimeout <= 0 || k.ProgressTimeout > k.Deadline {
		c.addError(path+".progress_timeout", "%v is out of range; an interactive kind needs more than 0s "+
			"and at most its deadline of %v", k.ProgressTimeout, k.Deadline)
	}
	if k.GangSize != 1 {
		c.addError(path+".gang_size", "%d is out of range; an interactive kind has gang_size 1", k.GangSize)
	}
	if k.Request.Slots < 1 {
		c.addError(path+".request.slots", "%d is out of range; an interactive kind needs at least 1 slot",
			k.Request.Slots)
	}
	if k.Preemption != (core.PreemptionPolicy{}) {
		c.addError(path+".preemption", "interactive requests are not preempted")
	}
}

func (c *checker) checkGiveUpFirst() {
	for i, name := range c.doc.GiveUpFirst {
		path := fmt.Sprintf("give_up_first[%d]", i)
		if _, ok := c.doc.Kind(name); !ok {
			c.addError(path, "kind %q is not declared", name)
		}
		if slices.Contains(c.doc.GiveUpFirst[:i], name) {
			c.addError(path, "kind %q is listed twice", name)
		}
	}
}

func (c *checker) checkServices() {
	if len(c.doc.Services) > maxServices {
		c.addError("services", "%d services; at most %d are allowed", len(c.doc.Services), maxServices)
	}
	for i, s := range c.doc.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.checkName(path+".name", s.Name)
		if slices.ContainsFunc(c.doc.Services[:i], func(f core.Service) bool { return f.Name == s.Name }) {
			c.addError(path+".name", "service %q is declared twice", s.Name)
		}
		c.checkRange(path+".replicas", int64(s.Replicas), 1, maxReplicas)
		c.checkServiceKind(path+".kind", s)
		if len(s.DataCentres) > maxDataCentres {
			c.addError(path+".data_centres", "%d data centres; at most %d are allowed",
				len(s.DataCentres), maxDataCentres)
		}
		for j, dc := range s.DataCentres {
			c.checkName(fmt.Sprintf("%s.data_centres[%d]", path, j), string(dc))
			if slices.Contains(s.DataCentres[:j], dc) {
				c.addError(fmt.Sprintf("%s.data_centres[%d]", path, j), "data centre %q is listed twice", dc)
			}
		}
	}
}

// checkServiceKind checks that the kind of a service suits replicas, which are
// single tasks that are restarted after a failure.
func (c *checker) checkServiceKind(path string, s core.Service) {
	k, ok := c.doc.Kind(s.Kind)
	switch {
	case !ok:
		c.addError(path, "kind %q is not declared", s.Kind)
	case k.Urgency == core.Interactive:
		c.addError(path, "kind %q is interactive; a service needs a kind that is started as a task", s.Kind)
	case k.GangSize != 1:
		c.addError(path, "kind %q is a gang; a service needs gang_size 1", s.Kind)
	case !k.Idempotent:
		c.addError(path, "kind %q is not idempotent; replicas of a service are started again", s.Kind)
	}
}
