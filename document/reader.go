package document

import (
	"slices"
	"strconv"
	"strings"
)

// reader reads field values from nodes and records a finding for each invalid
// one.
type reader struct{ *collector }

// field describes a field of an object.
type field struct {
	name     string
	required bool
	read     func(*node)
}

// expectKind reports whether n has the wanted kind and records a finding if not.
func (r reader) expectKind(n *node, want nodeKind) bool {
	if n.kind != want {
		r.addFinding(n.offset, n.path, "must be %v, not %v", want, n.kind)
	}
	return n.kind == want
}

// readObject reads the fields of n. It records a finding for each unknown field
// and each missing required one.
func (r reader) readObject(n *node, fields ...field) {
	if !r.expectKind(n, kindObject) {
		return
	}
	missing := map[string]bool{}
	for _, f := range fields {
		missing[f.name] = f.required
	}
	for _, m := range n.members {
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == m.key })
		if i < 0 {
			r.addFinding(m.offset, n.childPath(m.key), "unknown field; allowed: %s", fieldNames(fields))
			continue
		}
		missing[m.key] = false
		fields[i].read(m.value)
	}
	for _, f := range fields {
		if missing[f.name] {
			r.addFinding(n.offset, n.childPath(f.name), "field is required")
		}
	}
}

// fieldNames returns the names of fields, separated by commas.
func fieldNames(fields []field) string {
	out := make([]string, 0, len(fields))
	for _, f := range fields {
		out = append(out, f.name)
	}
	return strings.Join(out, ", ")
}

// readList reads an array. It returns nil for an empty array, so that a document
// with an empty array equals one that omits it.
func readList[T any](r reader, n *node, read func(*node) T) []T {
	if !r.expectKind(n, kindArray) {
		return nil
	}
	var out []T
	for _, item := range n.items {
		out = append(out, read(item))
	}
	return out
}

// readString returns a function that reads a string into dst.
func readString[T ~string](r reader, dst *T) func(*node) {
	return func(n *node) {
		if r.expectKind(n, kindString) {
			*dst = T(n.text)
		}
	}
}

// readStrings returns a function that reads an array of strings into dst.
func readStrings[T ~string](r reader, dst *[]T) func(*node) {
	return func(n *node) {
		*dst = readList(r, n, func(item *node) T {
			var s T
			readString(r, &s)(item)
			return s
		})
	}
}

// readBool returns a function that reads a boolean into dst.
func readBool(r reader, dst *bool) func(*node) {
	return func(n *node) {
		if r.expectKind(n, kindBool) {
			*dst = n.text == "true"
		}
	}
}

// readInteger returns a function that reads an integer into dst.
func readInteger[T int | int64](r reader, dst *T) func(*node) {
	return func(n *node) {
		if !r.expectKind(n, kindNumber) {
			return
		}
		v, err := strconv.ParseInt(n.text, 10, 64)
		if err != nil || int64(T(v)) != v {
			r.addFinding(n.offset, n.path, "%s is not a whole number of at most 64 bits", n.text)
			return
		}
		*dst = T(v)
	}
}
