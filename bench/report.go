package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Row is one measured value with its bound.
type Row struct {
	Measure string  `json:"measure"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	// Target is the bound from the design page, or nil if the value has none.
	Target *float64 `json:"target"`
	// AtLeast is set if the target is a lower bound.
	AtLeast  bool     `json:"at_least,omitempty"`
	Met      bool     `json:"met"`
	Baseline *float64 `json:"baseline"`
}

// AtMost returns a row whose value must not exceed the target.
func AtMost(measure string, value float64, unit string, target float64) Row {
	return Row{Measure: measure, Value: value, Unit: unit, Target: &target, Met: value <= target}
}

// AtLeast returns a row whose value must reach the target.
func AtLeast(measure string, value float64, unit string, target float64) Row {
	return Row{Measure: measure, Value: value, Unit: unit, Target: &target, AtLeast: true, Met: value >= target}
}

// Unbounded returns a row without a bound, which always counts as met.
func Unbounded(measure string, value float64, unit string) Row {
	return Row{Measure: measure, Value: value, Unit: unit, Met: true}
}

// WithBaseline returns the row with the value of a baseline.
func (r Row) WithBaseline(baseline float64) Row {
	r.Baseline = &baseline
	return r
}

// String formats the row as one line of key=value pairs.
func (r Row) String() string {
	return fmt.Sprintf("measure=%s value=%s unit=%s target=%s met=%t baseline=%s",
		r.Measure, formatFigure(&r.Value), r.Unit, formatFigure(r.Target), r.Met, formatFigure(r.Baseline))
}

// formatFigure formats a value, or returns a dash for nil.
func formatFigure(v *float64) string {
	const digits = 5
	if v == nil {
		return "-"
	}
	return strconv.FormatFloat(*v, 'g', digits, 64)
}

// Report holds the rows of a run.
type Report struct {
	Commit string `json:"commit"`
	Seed   uint64 `json:"seed"`
	Rows   []Row  `json:"rows"`
}

// Run runs the measures and prints the rows of each as soon as it is done.
func Run(out io.Writer, measures []Measure, commit string, seed uint64) (*Report, error) {
	r := &Report{Commit: commit, Seed: seed}
	for _, m := range measures {
		rows, err := m.Run(seed)
		if err != nil {
			return r, fmt.Errorf("measure %s: %w", m.Name, err)
		}
		for _, row := range rows {
			r.Rows = append(r.Rows, row)
			if _, err := fmt.Fprintln(out, row); err != nil {
				return r, fmt.Errorf("print row: %w", err)
			}
		}
	}
	return r, nil
}

// Write writes the report as JSON to a file.
func (r *Report) Write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode report: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return fmt.Errorf("create report folder: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// Measure produces one group of rows.
type Measure struct {
	Name string
	Run  func(seed uint64) ([]Row, error)
}

// virtualMeasure returns a measure that runs in virtual time and cannot fail.
func virtualMeasure(name string, rows func(seed uint64) []Row) Measure {
	return Measure{name, func(seed uint64) ([]Row, error) { return rows(seed), nil }}
}

// QuickMeasures lists the measures of `make bench-quick`.
func QuickMeasures() []Measure {
	return []Measure{virtualMeasure("decision", decisionRows), virtualMeasure("packing", packingRows), virtualMeasure("wait", waitRows)}
}

// VirtualMeasures lists every measure that runs in virtual time.
func VirtualMeasures() []Measure {
	return append(QuickMeasures(), virtualMeasure("flood", floodRows), virtualMeasure("urgent", urgentStartRows), virtualMeasure("store", storeRows))
}

// Select returns the measures with the given names, or all if no name is given.
func Select(measures []Measure, names []string) ([]Measure, error) {
	if len(names) == 0 {
		return measures, nil
	}
	var out []Measure
	var allowed []string
	for _, m := range measures {
		allowed = append(allowed, m.Name)
	}
	for _, name := range names {
		i := slices.Index(allowed, name)
		if i < 0 {
			return nil, fmt.Errorf("measure %q does not exist; allowed: %s", name, strings.Join(allowed, ", "))
		}
		out = append(out, measures[i])
	}
	return out, nil
}
