package document

import (
	"fmt"
	"strings"

	"banyanrun.example/banyanrun/core"
)

// Change is one field that differs between two documents.
type Change struct {
	// Path names the field. It identifies kinds and services by name rather
	// than by index, so that inserting one does not show all later ones as
	// changed.
	Path string `json:"path"`
	// Old or New is empty if the field exists in only one of the documents.
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

// Diff lists the changes from old to new in the order in which Encode writes the
// fields. Removed fields come last.
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

// flatDocument maps field paths to the text of their values. paths keeps the
// order of the fields.
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

// addLeaves records the leaves below n. An array of scalars is a single leaf,
// because the order of its items is significant.
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
