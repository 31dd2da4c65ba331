package document

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

// maxFindings limits the size of an Error; a large malformed document could
// otherwise produce about one finding per byte.
const maxFindings = 50

// Severity tells whether a finding prevents the document from being accepted.
type Severity uint8

// The severities.
const (
	// SeverityError findings prevent the document from being accepted.
	SeverityError Severity = iota
	// SeverityWarning findings do not, for instance because they concern the
	// current fleet, which may change.
	SeverityWarning
)

var severityNames = [...]string{"error", "warning"}

// String implements fmt.Stringer.
func (s Severity) String() string { return severityNames[s] }

// Finding is one problem of a document.
type Finding struct {
	Severity Severity
	// Line and Column start at 1; Column counts characters. Both are 0 if
	// the document was not decoded from text.
	Line, Column int
	// Path names the field, such as kinds[2].request.memory_mb. It is empty
	// if the finding concerns the whole document.
	Path    string
	Message string
}

// String returns the finding on one line.
func (f Finding) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d, column %d: ", f.Line, f.Column)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	if f.Severity == SeverityWarning {
		b.WriteString("warning: ")
	}
	return b.String() + f.Message
}

// Error is returned for a rejected document. It has at least one finding.
type Error struct {
	Findings []Finding
	// Omitted is the number of findings beyond those in Findings.
	Omitted int
}

// Error returns one line for each finding.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings)+1)
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("%d further findings omitted", e.Omitted))
	}
	return strings.Join(lines, "\n")
}

// collector collects findings and converts their offsets in text to lines and
// columns.
type collector struct {
	text     []byte
	findings []Finding
	omitted  int
}

// addFinding records a finding at a byte offset.
func (c *collector) addFinding(offset int, path, format string, args ...any) {
	if len(c.findings) >= maxFindings {
		c.omitted++
		return
	}
	line, column := position(c.text, offset)
	c.findings = append(c.findings, Finding{
		Line: line, Column: column, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// err returns an *Error with the findings in text order, or nil if there are
// none.
func (c *collector) err() error {
	if len(c.findings) == 0 {
		return nil
	}
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &Error{Findings: c.findings, Omitted: c.omitted}
}

// position converts a byte offset to a line and a column in characters.
func position(text []byte, offset int) (line, column int) {
	offset = min(max(offset, 0), len(text))
	before := string(text[:offset])
	return strings.Count(before, "\n") + 1,
		utf8.RuneCountInString(before[strings.LastIndexByte(before, '\n')+1:]) + 1
}
