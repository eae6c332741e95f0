package settings

import (
	"strconv"
	"strings"
)

// position names one key of the file.
type settingKey struct{ section, key string }

// scan is what one pass over the lines finds. ini.v1 keeps no line numbers and
// stops at the first line that it can't read; the scan gives both.
type lineIndex struct {
	// sections holds the line of each section's first header.
	sections map[string]int
	// keys holds the line of each key's first appearance.
	keys   map[settingKey]int
	faults Faults
	// clean is the file without the lines at fault.
	valid []byte
}

// scanLines indexes the lines of a file. A repeated key is a fault: ini.v1
// would let the last one win without a word.
func scanLines(data []byte) lineIndex {
	s := lineIndex{sections: map[string]int{}, keys: map[settingKey]int{}}
	section := ""
	var clean strings.Builder
	for i, line := range strings.Split(string(data), "\n") {
		number := i + 1
		trimmed := strings.TrimSpace(strings.TrimPrefix(line, "\ufeff"))
		fault := ""
		switch {
		case trimmed == "" || trimmed[0] == '#' || trimmed[0] == ';':
		case trimmed[0] == '[':
			section, fault = s.header(trimmed, section, number)
		default:
			fault = s.assignment(trimmed, section, number)
		}
		if fault == "" {
			clean.WriteString(trimmed)
		}
		clean.WriteByte('\n')
	}
	s.valid = []byte(clean.String())
	return s
}

// header reads a section header and returns the section that follows. An
// unreadable header leaves the section as it was.
func (s *lineIndex) header(line, section string, number int) (next, fault string) {
	name, rest, ok := strings.Cut(line[1:], "]")
	name = strings.TrimSpace(name)
	if !ok || name == "" || !isComment(rest) {
		return section, s.fault(section, "", number, "a section header is [name]")
	}
	if _, seen := s.sections[name]; !seen {
		s.sections[name] = number
	}
	return name, ""
}

// assignment reads a line of the form key = value.
func (s *lineIndex) assignment(line, section string, number int) (fault string) {
	key, value, ok := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	value = strings.TrimSpace(value)
	switch {
	case !ok || key == "":
		return s.fault(section, "", number, "not a section header, a comment or key = value")
	case strings.HasPrefix(value, `"""`) || strings.HasPrefix(value, "`"):
		return s.fault(section, key, number, "values of several lines are not supported")
	}
	at := settingKey{section, key}
	if first, seen := s.keys[at]; seen {
		return s.fault(section, key, number, "repeats the key of line "+strconv.Itoa(first))
	}
	s.keys[at] = number
	return ""
}

func (s *lineIndex) fault(section, key string, line int, reason string) string {
	s.faults = append(s.faults, Fault{Section: section, Key: key, Line: line, Reason: reason})
	return reason
}

func isComment(rest string) bool {
	rest = strings.TrimSpace(rest)
	return rest == "" || rest[0] == '#' || rest[0] == ';'
}
