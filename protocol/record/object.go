package record

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxNameLength is the maximum length of names of records, stages, models and
// adapters.
const MaxNameLength = 63

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)
	modelPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._/-]*[A-Za-z0-9])?$`)
)

// maxFaults is the maximum number of faults collected for one text. A file of a
// few megabytes that contains no records would otherwise yield a million.
const maxFaults = 1000

// faultList collects the faults of one text.
type faultList struct {
	text   []byte
	faults Faults
	// lineStarts holds the offsets at which lines start, computed on first use.
	lineStarts []int
}

func (l *faultList) add(offset int, field, format string, args ...any) {
	if len(l.faults) == maxFaults {
		return
	}
	fault := Fault{Field: field, Line: l.line(offset), Reason: fmt.Sprintf(format, args...)}
	l.faults = append(l.faults, fault)
}

// line returns the line of an offset, counted from 1.
func (l *faultList) line(offset int) int {
	if l.lineStarts == nil {
		l.lineStarts = []int{0}
		for i, c := range l.text {
			if c == '\n' {
				l.lineStarts = append(l.lineStarts, i+1)
			}
		}
	}
	at, found := slices.BinarySearch(l.lineStarts, offset)
	if found {
		return at + 1
	}
	return at
}

// object decodes the members of a JSON object by name. Each access to a member
// reports its faults; reportUnknown reports the members that were not accessed.
type object struct {
	list     *faultList
	path     string
	offset   int
	byName   map[string]value
	members  []member
	consumed map[string]bool
	// invalid marks a value that is not an object and was reported as such.
	invalid bool
}

// newObject wraps a JSON value. It reports a value that is not an object, and
// duplicate members.
func newObject(list *faultList, path string, v value) *object {
	o := &object{list: list, path: path, offset: v.offset, byName: map[string]value{}, consumed: map[string]bool{}}
	if v.kind != valueObject {
		list.add(v.offset, path, "must be an object, not %s", v.kind)
		o.invalid = true
		return o
	}
	o.members = v.members
	for _, m := range v.members {
		if _, twice := o.byName[m.name]; twice {
			list.add(m.offset, o.field(m.name), "stands twice")
			continue
		}
		o.byName[m.name] = m.value
	}
	return o
}

func (o *object) field(name string) string { return joinPath(o.path, name) }

func (o *object) fault(name, format string, args ...any) {
	offset := o.offset
	if v, ok := o.byName[name]; ok {
		offset = v.offset
	}
	o.list.add(offset, o.field(name), format, args...)
}

// get returns the member of the given name and kind. A missing member is
// reported only if it is required; null is a value of the wrong kind.
func (o *object) get(name string, kind valueKind, required bool) (value, bool) {
	o.consumed[name] = true
	v, ok := o.byName[name]
	if !ok {
		if required && !o.invalid {
			o.fault(name, "is missing")
		}
		return value{}, false
	}
	if v.kind != kind {
		o.fault(name, "must be %s, not %s", kind, v.kind)
		return value{}, false
	}
	return v, true
}

func (o *object) has(name string) bool {
	_, ok := o.byName[name]
	return ok
}

// name decodes a required name of a record or stage.
func (o *object) name(name string) string {
	v, ok := o.get(name, valueString, true)
	if !ok {
		return ""
	}
	if reason := checkName(v.text); reason != "" {
		o.fault(name, "%s", reason)
		return ""
	}
	return v.text
}

// modelName decodes an optional name of a model or adapter, which may contain
// more characters than other names.
func (o *object) modelName(name string) string {
	v, ok := o.get(name, valueString, false)
	if !ok {
		return ""
	}
	if !isModelName(v.text) {
		o.fault(name, "%s is not a model name of at most %d letters, digits and ._/-", quote(v.text), MaxNameLength)
		return ""
	}
	return v.text
}

// oneOf decodes a required string that must be one of words.
func (o *object) oneOf(name string, words ...string) string {
	v, ok := o.get(name, valueString, true)
	if !ok {
		return ""
	}
	for _, w := range words {
		if v.text == w {
			return w
		}
	}
	o.fault(name, "%s is not one of %s", quote(v.text), strings.Join(words, ", "))
	return ""
}

func (o *object) boolean(name string, required bool) bool {
	v, _ := o.get(name, valueBool, required)
	return v.boolean
}

// integer decodes a whole number between low and high.
func (o *object) integer(name string, low, high int, required bool) (int, bool) {
	v, ok := o.get(name, valueNumber, required)
	if !ok {
		return 0, false
	}
	n, reason := wholeNumber(v.text, low, high)
	if reason != "" {
		o.fault(name, "%s", reason)
	}
	return n, reason == ""
}

// number decodes a number between low and high.
func (o *object) number(name string, low, high float64, required bool) float64 {
	v, ok := o.get(name, valueNumber, required)
	if !ok {
		return 0
	}
	f, err := strconv.ParseFloat(v.text, 64)
	if err != nil || math.IsNaN(f) || f < low || f > high {
		o.fault(name, "%s is not between %v and %v", truncate(v.text), low, high)
		return 0
	}
	return f
}

// milliseconds decodes a required duration of at least one millisecond.
func (o *object) milliseconds(name string) time.Duration {
	n, _ := o.integer(name, 1, MaxMilliseconds, true)
	return time.Duration(n) * time.Millisecond
}

// reportUnknown reports every member that was not accessed.
func (o *object) reportUnknown() {
	for _, m := range o.members {
		if !o.consumed[m.name] {
			o.list.add(m.offset, o.field(m.name), "is not a known field")
			o.consumed[m.name] = true
		}
	}
}

func wholeNumber(text string, low, high int) (n int, reason string) {
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Sprintf("%s is not a whole number between %d and %d", truncate(text), low, high)
	}
	if n < low || n > high {
		return 0, fmt.Sprintf("%d is not between %d and %d", n, low, high)
	}
	return n, ""
}

// checkName returns why a name is invalid, or an empty string.
func checkName(name string) string {
	if len(name) > MaxNameLength {
		return fmt.Sprintf("%s is longer than %d characters", quote(name), MaxNameLength)
	}
	if !namePattern.MatchString(name) {
		return fmt.Sprintf("%s is not a name of lower-case letters, digits and inner hyphens", quote(name))
	}
	return ""
}

func quote(s string) string { return strconv.Quote(truncate(s)) }

// truncate bounds the length of input that is quoted in a message.
func truncate(s string) string {
	const limit = 40
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "..."
}
