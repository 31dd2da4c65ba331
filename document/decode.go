package document

import (
	"math"
	"strconv"
	"strings"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Decode reads the JSON form. The error is an *Error. Decode checks the form
// only; Validate also checks the content.
func Decode(text []byte) (*core.Document, error) {
	c := &collector{text: text}
	doc, _ := decode(c)
	if err := c.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Validate decodes text and checks its content against the fleet, which may be
// empty if it is not known. The error is an *Error; warnings do not prevent the
// document from being accepted.
func Validate(text []byte, fleet []core.ListedWorker) (*core.Document, []Finding, error) {
	c := &collector{text: text}
	doc, root := decode(c)
	if err := c.err(); err != nil {
		return nil, nil, err
	}
	offsets := map[string]int{}
	root.collectOffsets(offsets)
	var warnings, refused []Finding
	for _, f := range Check(doc, fleet) {
		f.Line, f.Column = position(text, offsetOf(offsets, f.Path))
		if f.Severity == Warning {
			warnings = append(warnings, f)
		} else {
			refused = append(refused, f)
		}
	}
	if n := len(refused); n > 0 {
		kept := min(n, maxFindings)
		return nil, warnings, &Error{Findings: refused[:kept], Omitted: n - kept}
	}
	return doc, warnings, nil
}

// collectOffsets records the offset of n and of everything in it by path.
func (n *node) collectOffsets(offsets map[string]int) {
	offsets[n.path] = n.offset
	for _, m := range n.members {
		m.value.collectOffsets(offsets)
	}
	for _, item := range n.items {
		item.collectOffsets(offsets)
	}
}

// offsetOf finds the offset of a path or, if the field was left out, that of the
// value that would hold it.
func offsetOf(offsets map[string]int, path string) int {
	for path != "" {
		if offset, ok := offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return offsets[""]
}

// decode reads the whole form. The document is usable only if c has no findings.
func decode(c *collector) (*core.Document, *node) {
	if len(c.text) > MaxBytes {
		c.add(0, "", "document has %d bytes; at most %d are allowed", len(c.text), MaxBytes)
		return nil, nil
	}
	root := parseText(c)
	if root == nil {
		return nil, nil
	}
	r := reader{c}
	if !r.supportedSchema(root) {
		return nil, nil
	}
	doc := &core.Document{}
	r.object(root,
		field{"schema", true, func(*node) {}},
		field{"team", true, text(r, &doc.Team)},
		field{"service", true, text(r, &doc.Service)},
		field{"weight", true, whole(r, &doc.Weight)},
		field{"quota", true, func(n *node) { r.sizes(n, &doc.Quota) }},
		field{"kinds", true, func(n *node) { doc.Kinds = list(r, n, r.kind) }},
		field{"give_up_first", false, texts(r, &doc.GiveUpFirst)},
		field{"services", false, func(n *node) { doc.Services = list(r, n, r.service) }},
	)
	return doc, root
}

// supportedSchema checks the version first: the fields of another version would
// only give misleading findings.
func (r reader) supportedSchema(root *node) bool {
	if !r.is(root, kindObject) {
		return false
	}
	for _, m := range root.members {
		if m.key == "schema" && m.value.text != strconv.Itoa(Schema) {
			r.add(m.value.offset, "schema", "version %q is not supported; supported: %d", m.value.text, Schema)
			return false
		} else if m.key == "schema" {
			return r.is(m.value, kindNumber)
		}
	}
	r.add(root.offset, "schema", "field is required; supported: %d", Schema)
	return false
}

func (r reader) kind(n *node) core.Kind {
	k := core.Kind{GangSize: 1}
	r.object(n,
		field{"name", true, text(r, &k.Name)},
		field{"urgency", true, func(n *node) { r.urgency(n, &k.Urgency) }},
		field{"idempotent", true, flag(r, &k.Idempotent)},
		field{"request", true, func(n *node) { r.sizes(n, &k.Request) }},
		field{"run_time", true, r.duration(&k.RunTime)},
		field{"start_within", false, r.duration(&k.StartWithin)},
		field{"deadline", true, r.duration(&k.Deadline)},
		field{"gang_size", false, whole(r, &k.GangSize)},
		field{"restart_gang", false, flag(r, &k.RestartGang)},
		field{"max_attempts", true, whole(r, &k.MaxAttempts)},
		field{"queue_limit", true, whole(r, &k.QueueLimit)},
		field{"preemption", false, func(n *node) { r.preemption(n, &k.Preemption) }},
		field{"cross_region", false, flag(r, &k.CrossRegion)},
		field{"progress_timeout", false, r.duration(&k.ProgressTimeout)},
	)
	return k
}

func (r reader) preemption(n *node, p *core.PreemptionPolicy) {
	r.object(n,
		field{"throttle", false, flag(r, &p.Throttle)},
		field{"checkpoint", false, flag(r, &p.Checkpoint)},
		field{"stop", false, flag(r, &p.Stop)},
		field{"max_times", false, whole(r, &p.MaxTimes)},
	)
}

func (r reader) service(n *node) core.Service {
	var s core.Service
	r.object(n,
		field{"name", true, text(r, &s.Name)},
		field{"kind", true, text(r, &s.Kind)},
		field{"replicas", true, whole(r, &s.Replicas)},
		field{"payload", false, text(r, &s.Payload)},
		field{"data_centres", false, texts(r, &s.DataCentres)},
	)
	return s
}

// sizes reads resources. The processors are given as milli_cpu or as cpus.
func (r reader) sizes(n *node, to *core.Resources) {
	given := 0
	r.object(n,
		field{"milli_cpu", false, func(n *node) { given++; whole(r, &to.MilliCPU)(n) }},
		field{"cpus", false, func(n *node) { given++; r.cpus(n, &to.MilliCPU) }},
		field{"memory_mb", true, whole(r, &to.MemoryMB)},
		field{"accelerators", false, whole(r, &to.Accelerators)},
		field{"slots", true, whole(r, &to.Slots)},
		field{"connections", false, whole(r, &to.Connections)},
	)
	if n.kind == kindObject && given != 1 {
		r.add(n.offset, n.path, "exactly one of milli_cpu and cpus is required")
	}
}

// cpus reads a number of processors with up to three decimals.
func (r reader) cpus(n *node, to *int64) {
	if !r.is(n, kindNumber) {
		return
	}
	cpus, err := strconv.ParseFloat(n.text, 64)
	milli := math.Round(cpus * 1000)
	// 1e-6 covers the rounding of decimal fractions; maxSize*1000 is far
	// below 2^53, so whole milli-processors are exact.
	if err != nil || math.Abs(milli) > maxSize || math.Abs(milli-cpus*1000) > 1e-6 {
		r.add(n.offset, n.path, "%s is not a number of processors; at most 3 decimals and %d are allowed",
			n.text, int64(maxSize)/1000)
		return
	}
	*to = int64(milli)
}

func (r reader) urgency(n *node, to *core.Urgency) {
	if !r.is(n, kindString) {
		return
	}
	if err := to.UnmarshalText([]byte(n.text)); err != nil {
		r.add(n.offset, n.path, "%v", err)
	}
}

// duration reads a string such as "90s".
func (r reader) duration(to *time.Duration) func(*node) {
	return func(n *node) {
		if !r.is(n, kindString) {
			return
		}
		d, err := time.ParseDuration(n.text)
		if err != nil {
			r.add(n.offset, n.path, `%q is not a duration; use a form such as "250ms", "90s" or "4h"`, n.text)
			return
		}
		*to = d
	}
}
