package document

import (
	"math"
	"strconv"
	"strings"
	"time"

	"banyanrun.example/banyanrun/core"
)

// Decode parses the JSON form of a document. The error is an *Error. Decode
// checks syntax, field names and types only; Validate also checks the content.
func Decode(text []byte) (*core.Document, error) {
	c := &collector{text: text}
	doc, _ := decode(c)
	if err := c.err(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Validate decodes text and checks its content, also against the fleet unless
// that is empty. The error is an *Error. The findings returned are warnings,
// which do not prevent the document from being accepted.
func Validate(text []byte, fleet []core.ListedWorker) (*core.Document, []Finding, error) {
	c := &collector{text: text}
	doc, root := decode(c)
	if err := c.err(); err != nil {
		return nil, nil, err
	}
	offsets := map[string]int{}
	root.collectOffsets(offsets)
	var warnings, rejected []Finding
	for _, f := range Check(doc, fleet) {
		f.Line, f.Column = position(text, offsetOf(offsets, f.Path))
		if f.Severity == SeverityWarning {
			warnings = append(warnings, f)
		} else {
			rejected = append(rejected, f)
		}
	}
	if n := len(rejected); n > 0 {
		included := min(n, maxFindings)
		return nil, warnings, &Error{Findings: rejected[:included], Omitted: n - included}
	}
	return doc, warnings, nil
}

// collectOffsets records the offsets of n and of all its descendants by path.
func (n *node) collectOffsets(offsets map[string]int) {
	offsets[n.path] = n.offset
	for _, m := range n.members {
		m.value.collectOffsets(offsets)
	}
	for _, item := range n.items {
		item.collectOffsets(offsets)
	}
}

// offsetOf returns the offset of a path or, if the field is absent, that of its
// nearest enclosing value.
func offsetOf(offsets map[string]int, path string) int {
	for path != "" {
		if offset, ok := offsets[path]; ok {
			return offset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return offsets[""]
}

// decode reads a whole document. The result is valid only if c has no findings.
func decode(c *collector) (*core.Document, *node) {
	if len(c.text) > MaxBytes {
		c.addFinding(0, "", "document has %d bytes; at most %d are allowed", len(c.text), MaxBytes)
		return nil, nil
	}
	root := parseText(c)
	if root == nil {
		return nil, nil
	}
	r := reader{c}
	if !r.checkSchemaVersion(root) {
		return nil, nil
	}
	doc := &core.Document{}
	r.readObject(root,
		field{"schema", true, func(*node) {}},
		field{"team", true, readString(r, &doc.Team)},
		field{"service", true, readString(r, &doc.Service)},
		field{"weight", true, readInteger(r, &doc.Weight)},
		field{"quota", true, func(n *node) { r.readResources(n, &doc.Quota) }},
		field{"kinds", true, func(n *node) { doc.Kinds = readList(r, n, r.readKind) }},
		field{"give_up_first", false, readStrings(r, &doc.GiveUpFirst)},
		field{"services", false, func(n *node) { doc.Services = readList(r, n, r.readService) }},
	)
	return doc, root
}

// checkSchemaVersion reports whether the schema version is supported. It runs
// before the other fields are read, because findings about the fields of another
// version would be misleading.
func (r reader) checkSchemaVersion(root *node) bool {
	if !r.expectKind(root, kindObject) {
		return false
	}
	for _, m := range root.members {
		if m.key == "schema" && m.value.text != strconv.Itoa(SchemaVersion) {
			r.addFinding(m.value.offset, "schema", "version %q is not supported; supported: %d", m.value.text, SchemaVersion)
			return false
		} else if m.key == "schema" {
			return r.expectKind(m.value, kindNumber)
		}
	}
	r.addFinding(root.offset, "schema", "field is required; supported: %d", SchemaVersion)
	return false
}

func (r reader) readKind(n *node) core.Kind {
	k := core.Kind{GangSize: 1}
	r.readObject(n,
		field{"name", true, readString(r, &k.Name)},
		field{"urgency", true, func(n *node) { r.readUrgency(n, &k.Urgency) }},
		field{"idempotent", true, readBool(r, &k.Idempotent)},
		field{"request", true, func(n *node) { r.readResources(n, &k.Request) }},
		field{"run_time", true, r.readDuration(&k.RunTime)},
		field{"start_within", false, r.readDuration(&k.StartWithin)},
		field{"deadline", true, r.readDuration(&k.Deadline)},
		field{"gang_size", false, readInteger(r, &k.GangSize)},
		field{"restart_gang", false, readBool(r, &k.RestartGang)},
		field{"max_attempts", true, readInteger(r, &k.MaxAttempts)},
		field{"queue_limit", true, readInteger(r, &k.QueueLimit)},
		field{"preemption", false, func(n *node) { r.readPreemption(n, &k.Preemption) }},
		field{"cross_region", false, readBool(r, &k.CrossRegion)},
		field{"progress_timeout", false, r.readDuration(&k.ProgressTimeout)},
	)
	return k
}

func (r reader) readPreemption(n *node, p *core.PreemptionPolicy) {
	r.readObject(n,
		field{"throttle", false, readBool(r, &p.Throttle)},
		field{"checkpoint", false, readBool(r, &p.Checkpoint)},
		field{"stop", false, readBool(r, &p.Stop)},
		field{"max_times", false, readInteger(r, &p.MaxTimes)},
	)
}

func (r reader) readService(n *node) core.Service {
	var s core.Service
	r.readObject(n,
		field{"name", true, readString(r, &s.Name)},
		field{"kind", true, readString(r, &s.Kind)},
		field{"replicas", true, readInteger(r, &s.Replicas)},
		field{"payload", false, readString(r, &s.Payload)},
		field{"data_centres", false, readStrings(r, &s.DataCentres)},
	)
	return s
}

// readResources reads resources. The CPU is given either as milli_cpu or as cpus.
func (r reader) readResources(n *node, dst *core.Resources) {
	cpuFields := 0
	r.readObject(n,
		field{"milli_cpu", false, func(n *node) { cpuFields++; readInteger(r, &dst.MilliCPU)(n) }},
		field{"cpus", false, func(n *node) { cpuFields++; r.readCPUs(n, &dst.MilliCPU) }},
		field{"memory_mb", true, readInteger(r, &dst.MemoryMB)},
		field{"accelerators", false, readInteger(r, &dst.Accelerators)},
		field{"slots", true, readInteger(r, &dst.Slots)},
		field{"connections", false, readInteger(r, &dst.Connections)},
	)
	if n.kind == kindObject && cpuFields != 1 {
		r.addFinding(n.offset, n.path, "exactly one of milli_cpu and cpus is required")
	}
}

// readCPUs reads a number of CPUs with up to three decimals as milli-CPUs.
func (r reader) readCPUs(n *node, dst *int64) {
	if !r.expectKind(n, kindNumber) {
		return
	}
	cpus, err := strconv.ParseFloat(n.text, 64)
	milli := math.Round(cpus * 1000)
	// 1e-6 covers the rounding of decimal fractions; maxResourceValue*1000 is
	// far below 2^53, so integral milli-CPUs are exact.
	if err != nil || math.Abs(milli) > maxResourceValue || math.Abs(milli-cpus*1000) > 1e-6 {
		r.addFinding(n.offset, n.path, "%s is not a number of processors; at most 3 decimals and %d are allowed",
			n.text, int64(maxResourceValue)/1000)
		return
	}
	*dst = int64(milli)
}

func (r reader) readUrgency(n *node, dst *core.Urgency) {
	if !r.expectKind(n, kindString) {
		return
	}
	if err := dst.UnmarshalText([]byte(n.text)); err != nil {
		r.addFinding(n.offset, n.path, "%v", err)
	}
}

// readDuration returns a function that reads a string such as "90s" into dst.
func (r reader) readDuration(dst *time.Duration) func(*node) {
	return func(n *node) {
		if !r.expectKind(n, kindString) {
			return
		}
		d, err := time.ParseDuration(n.text)
		if err != nil {
			r.addFinding(n.offset, n.path, `%q is not a duration; use a form such as "250ms", "90s" or "4h"`, n.text)
			return
		}
		*dst = d
	}
}
