package settings

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a settings file.
type Fault struct {
	// Section and Key identify the setting; Key is empty for a fault of a section.
	Section string
	Key     string
	// Line counts from 1; it is 0 if the key is missing from the file.
	Line   int
	Reason string
}

// Error implements error.
func (f Fault) Error() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	fmt.Fprintf(&b, "[%s]", f.Section)
	if f.Key != "" {
		fmt.Fprintf(&b, " %s", f.Key)
	}
	fmt.Fprintf(&b, ": %s", f.Reason)
	return b.String()
}

// Faults is every fault of one file, in the order of its lines.
type Faults []Fault

// Error implements error, with one fault per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults as separate errors, for errors.As.
func (f Faults) Unwrap() []error {
	errs := make([]error, len(f))
	for i := range f {
		errs[i] = f[i]
	}
	return errs
}
