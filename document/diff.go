package document

import (
	"fmt"
	"strings"

	"banyanrun.example/banyanrun/core"
)

// Change is one field that differs between two documents.
type Change struct {
	// Path names the field. Kinds and services appear by name, so that
	// inserting one does not show all that follow as changed.
	Path string `json:"path"`
	// Old or New is empty if the field exists on one side only.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff lists the changes from old to new in the order of the form. Fields of
// old that new lacks come last.
func Diff(old, new *core.Document) []Change {
	before, after := flatten(old), flatten(new)
	var changes []Change
	for _, path := range after.paths {
		if before.values[path] != after.values[path] {
			changes = append(changes, Change{path, before.values[path], after.values[path]})
		}
	}
	for _, path := range before.paths {
		if _, ok := after.values[path]; !ok {
			changes = append(changes, Change{Path: path, Old: before.values[path]})
		}
	}
	return changes
}

// flat holds the leaves of a document by path.
type flatDocument struct {
	paths  []string
	values map[string]string
}

func flatten(d *core.Document) *flatDocument {
	f := &flatDocument{values: map[string]string{}}
	if d != nil {
		f.addLeaves("", parseText(&collector{text: Encode(d)}))
	}
	return f
}

// add records the leaves of n. An array of plain values is one leaf, because the
// order of its values matters.
func (f *flatDocument) addLeaves(path string, n *node) {
	switch {
	case n.kind == kindObject:
		for _, m := range n.members {
			f.addLeaves(strings.TrimPrefix(path+"."+m.key, "."), m.value)
		}
	case n.kind == kindArray && len(n.items) > 0 && n.items[0].kind == kindObject:
		for _, item := range n.items {
			f.addLeaves(fmt.Sprintf("%s[%s]", path, item.members[0].value.text), item)
		}
	default:
		f.paths = append(f.paths, path)
		f.values[path] = leafText(n)
	}
}

func leafText(n *node) string {
	if n.kind != kindArray {
		return n.text
	}
	items := make([]string, 0, len(n.items))
	for _, item := range n.items {
		items = append(items, item.text)
	}
	return "[" + strings.Join(items, ", ") + "]"
}
