package document

import (
	"slices"
	"strconv"
	"strings"
)

// reader reads values of the form from nodes and records findings.
type reader struct{ *collector }

// field is one field of an object.
type field struct {
	name     string
	required bool
	read     func(*node)
}

// is records a finding unless n has the given kind.
func (r reader) expectKind(n *node, want nodeKind) bool {
	if n.kind != want {
		r.addFinding(n.offset, n.path, "must be %v, not %v", want, n.kind)
	}
	return n.kind == want
}

// object reads the fields of n.
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

// names lists the names of fields for a message.
func fieldNames(fields []field) string {
	out := make([]string, 0, len(fields))
	for _, f := range fields {
		out = append(out, f.name)
	}
	return strings.Join(out, ", ")
}

// list reads an array. An empty array gives nil, so that documents that differ
// only in leaving out the array are equal.
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

// text returns a function that reads a string into to.
func readString[T ~string](r reader, dst *T) func(*node) {
	return func(n *node) {
		if r.expectKind(n, kindString) {
			*dst = T(n.text)
		}
	}
}

// texts returns a function that reads an array of strings into to.
func readStrings[T ~string](r reader, dst *[]T) func(*node) {
	return func(n *node) {
		*dst = readList(r, n, func(item *node) T {
			var s T
			readString(r, &s)(item)
			return s
		})
	}
}

// flag returns a function that reads a boolean into to.
func readBool(r reader, dst *bool) func(*node) {
	return func(n *node) {
		if r.expectKind(n, kindBool) {
			*dst = n.text == "true"
		}
	}
}

// whole returns a function that reads a whole number into to.
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
