// Package record decodes and encodes the records that operators write: pools,
// tiers, pipelines and accounts. Decoding is strict and reports every fault of
// a record at once. docs/api/records.md is the reference.
package record

import (
	"fmt"
	"strings"
)

// Fault is one validation error of a record.
type Fault struct {
	// Field is the path of the field, such as "stages[2].pool"; empty for a
	// fault of the text as a whole.
	Field string
	// Line counts from 1 within the text that was decoded; 0 when unknown.
	Line   int
	Reason string
}

// Error returns the reason with line and field.
func (f Fault) Error() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Field != "" {
		b.WriteString(f.Field)
		b.WriteString(": ")
	}
	b.WriteString(f.Reason)
	return b.String()
}

// Faults is every fault of one record or file, in the order of the text.
type Faults []Fault

// Error returns the texts of all faults, separated by semicolons.
func (fs Faults) Error() string {
	texts := make([]string, len(fs))
	for i, f := range fs {
		texts[i] = f.Error()
	}
	return strings.Join(texts, "; ")
}

// relocate returns the faults of a record as faults of the file that contains
// it: lines count from the start of the file, given that the record begins at
// firstLine, and each path is prefixed with the record's name.
func (fs Faults) relocate(record string, firstLine int) Faults {
	shifted := make(Faults, len(fs))
	for i, f := range fs {
		if f.Field != "" {
			f.Field = ": " + f.Field
		}
		f.Field = record + f.Field
		if f.Line > 0 {
			f.Line += firstLine - 1
		}
		shifted[i] = f
	}
	return shifted
}

// joinPath joins two field paths with a dot; either may be empty.
func joinPath(prefix, field string) string {
	switch {
	case prefix == "":
		return field
	case field == "":
		return prefix
	}
	return prefix + "." + field
}
