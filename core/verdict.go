package core

import "fmt"

// Verdict states whether a request may have run. It determines whether a retry is
// allowed and is part of every refusal returned to a caller.
type Verdict uint8

const (
	// NotRun means that the request has not run and that the attempt in
	// question will never run it.
	NotRun Verdict = iota
	// MayHaveRun means that it is unknown whether the request has run.
	MayHaveRun
	// Ran means that the request has run and its outcome is known.
	Ran
)

var verdictNames = [...]string{"not_run", "may_have_run", "ran"}

// String returns the name used in headers, logs and metrics.
func (v Verdict) String() string {
	if int(v) < len(verdictNames) {
		return verdictNames[v]
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// MarshalText encodes v as its name.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText decodes a verdict name.
func (v *Verdict) UnmarshalText(text []byte) error {
	i, err := indexOfName("verdict", verdictNames[:], string(text))
	*v = Verdict(i)
	return err
}

// Retryable reports whether a request with verdict v may be retried.
func (v Verdict) Retryable(idempotent bool) bool {
	return v == NotRun || (v == MayHaveRun && idempotent)
}

// indexOfName returns the index of name in names. The error message includes
// typeName.
func indexOfName(typeName string, names []string, name string) (int, error) {
	for i, n := range names {
		if n == name {
			return i, nil
		}
	}
	return 0, fmt.Errorf("%q is not a %s; allowed: %q", name, typeName, names)
}
