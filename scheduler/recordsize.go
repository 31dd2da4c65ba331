package scheduler

// The sizes in this file are upper bounds of the length, in bytes, of what the log holds.
// They follow the names and the encoding of the fields, and count the escape sequences
// of strings, because callers choose the strings, and a group that exceeds the store's
// limit is never accepted.
const (
	// numberBytes covers a number of any type.
	numberBytes = 26
	// braceBytes covers the braces or brackets of an object or a list and the comma
	// after it.
	braceBytes = 3
	// boolBytes is the length of a boolean value.
	boolBytes = 5
	// groupOverheadBytes covers the fields of a group without its records.
	groupOverheadBytes = 256
	// escapeBytes is the length of an escape sequence.
	escapeBytes = 6
	// maxASCII is the last character that takes one byte.
	maxASCII = 0x7f
	// replacementCharacter stands for invalid bytes.
	replacementCharacter = '\ufffd'
)

// estimatedSize returns an upper bound of the record's encoded size.
func (r *Record) estimatedSize() int {
	n := braceBytes + stringSize("job", string(r.Job)) + integerSize("at", r.Accepted) + stringSize("queue", string(r.Queue)) +
		boolSize("cancel", r.Cancelled) + integerSize("final", int64(r.Final)) + integerSize("final_at", r.FinalAt) +
		stringSize("worker_gone", string(r.WorkerGone))
	if r.Spec != nil {
		n += nameSize("spec") + r.Spec.estimatedSize()
	}
	if r.Policy != nil {
		n += nameSize("policy") + r.Policy.estimatedSize()
	}
	if r.Worker != nil {
		n += nameSize("worker") + r.Worker.estimatedSize()
	}
	if len(r.Ends) > 0 {
		n += nameSize("ends") + braceBytes + endsSize(r.Ends)
	}
	n += integerSize("created", int64(r.Created)) + boolSize("started", r.Started)
	if len(r.Open) > 0 {
		n += nameSize("open") + braceBytes
	}
	for _, index := range r.Open {
		n += digits(int64(index)) + 1
	}
	if len(r.Starts) > 0 {
		n += nameSize("starts") + braceBytes
	}
	for i := range r.Starts {
		n += r.Starts[i].estimatedSize()
	}
	return n
}

func endsSize(ends []EndRecord) int {
	n := 0
	for i := range ends {
		n += ends[i].estimatedSize()
	}
	return n
}

func (e *EndRecord) estimatedSize() int {
	return braceBytes + integerSize("o", int64(e.Occurrence)) + integerSize("s", int64(e.Step)) + integerSize("i", int64(e.Index)) +
		nameSize("r") + digits(e.Run) + integerSize("k", int64(e.Kind)) + stringSize("c", e.Checkpoint)
}

func (s *StartRecord) estimatedSize() int {
	return braceBytes + integerSize("o", int64(s.Occurrence)) + integerSize("s", int64(s.Step)) + integerSize("i", int64(s.Index)) +
		nameSize("r") + digits(s.Run) + nameSize("w") + textSize(string(s.Worker))
}

func (s *JobSpec) estimatedSize() int {
	n := braceBytes + nameSize("payload") + textSize(s.Payload) + nameSize("steps") + braceBytes +
		integerSize("repeat", int64(s.Repeat)) + integerSize("first", s.First) + integerSize("interval", int64(s.Interval))
	for i := range s.Steps {
		n += s.Steps[i].estimatedSize()
	}
	return n
}

func (s *Step) estimatedSize() int {
	n := braceBytes + nameSize("n") + digits(int64(s.Count)) + nameSize("need") + s.Need.estimatedSize() +
		integerSize("est", int64(s.Estimate)) + boolSize("gang", s.Gang) + boolSize("rack", s.SameRack) +
		boolSize("ckpt", s.Checkpointing) + boolSize("spec", s.Speculative) + boolSize("long", s.LongRunning) +
		boolSize("scav", s.Scavenging) + stringSize("label", s.Label) + stringSize("data", s.DataRack) +
		integerSize("apart", int64(s.MaxPerWorker)) + integerSize("maxun", int64(s.MaxUnavailable)) +
		stringSize("image", s.Image) + integerSize("target", int64(s.LatencyTarget))
	if len(s.After) > 0 {
		n += nameSize("after") + braceBytes
	}
	for _, earlier := range s.After {
		n += digits(int64(earlier)) + 1
	}
	return n
}

func (r Resources) estimatedSize() int {
	return braceBytes + integerSize("cpu", r.MilliCPU) + integerSize("mem", r.MemoryMB) + integerSize("acc", r.Accelerators)
}

func (q *Queue) estimatedSize() int {
	n := braceBytes + nameSize("name") + textSize(string(q.Name)) + nameSize("service") + textSize(q.Service) +
		integerSize("priority", int64(q.Priority)) + integerSize("attempts", int64(q.Attempts)) +
		nameSize("stretch") + numberBytes + integerSize("slo", int64(q.SLO))
	if a := q.Advice; a != nil {
		n += nameSize("advice") + braceBytes + nameSize("Base") + nameSize("PerWorker") + nameSize("Valid") + 3*numberBytes
	}
	return n
}

func (w *WorkerInfo) estimatedSize() int {
	n := braceBytes + nameSize("id") + textSize(string(w.ID)) + nameSize("addr") + textSize(w.Address) +
		integerSize("born", w.Born) + nameSize("svc") + textSize(w.Service) + nameSize("zone") + textSize(w.Zone) +
		nameSize("cap") + w.Capacity.estimatedSize() + stringSize("rack", w.Rack) + nameSize("labels") + braceBytes
	for _, label := range w.Labels {
		n += textSize(label) + 1
	}
	return n
}

// nameSize returns the size of a field's name with quotes, colon and comma.
func nameSize(name string) int { return len(name) + 4 }

// integerSize returns the size of a field that is omitted if it is 0.
func integerSize(name string, v int64) int {
	if v == 0 {
		return 0
	}
	return nameSize(name) + digits(v)
}

// boolSize returns the size of a field that is omitted if it is false.
func boolSize(name string, v bool) int {
	if !v {
		return 0
	}
	return nameSize(name) + boolBytes
}

// stringSize returns the size of a field that is omitted if it is empty.
func stringSize(name, s string) int {
	if s == "" {
		return 0
	}
	return nameSize(name) + textSize(s)
}

// digits returns the length of an integer, including its sign.
func digits(v int64) int {
	n := 1
	if v < 0 {
		n++
	}
	for v /= 10; v != 0; v /= 10 {
		n++
	}
	return n
}

// textSize returns an upper bound of the length of a string with quotes and escape
// sequences. Of the characters that JSON permits unescaped, encoders also escape the
// Unicode line separators and what replaces invalid bytes. Markup characters are
// expected to be written as they are.
func textSize(s string) int {
	n := 2
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			n += 2
		case r < ' ' || r == '\u2028' || r == '\u2029' || r == replacementCharacter:
			n += escapeBytes
		case r <= maxASCII:
			n++
		default:
			n += len(string(r))
		}
	}
	return n
}
