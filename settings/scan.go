package settings

import (
	"strconv"
	"strings"
)

// settingKey identifies one key of the file.
type settingKey struct{ section, key string }

// lineIndex is the result of one pass over the lines of a file. ini.v1 keeps no
// line numbers and stops at the first invalid line; lineIndex provides line numbers
// and the faults of all lines.
type lineIndex struct {
	// sections holds the line of the first header of each section.
	sections map[string]int
	// keys holds the line of the first occurrence of each key.
	keys   map[settingKey]int
	faults Faults
	// valid is the file with invalid lines left empty.
	valid []byte
}

// scanLines indexes the lines of a file. A repeated key is a fault: ini.v1 would
// silently use the last one.
func scanLines(data []byte) lineIndex {
	s := lineIndex{sections: map[string]int{}, keys: map[settingKey]int{}}
	section := ""
	var valid strings.Builder
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
			valid.WriteString(trimmed)
		}
		valid.WriteByte('\n')
	}
	s.valid = []byte(valid.String())
	return s
}

// header parses a section header and returns the section of the lines after it. An
// invalid header leaves the section unchanged.
func (s *lineIndex) header(line, section string, number int) (next, fault string) {
	name, trailing, ok := strings.Cut(line[1:], "]")
	name = strings.TrimSpace(name)
	if !ok || name == "" || !isComment(trailing) {
		return section, s.fault(section, "", number, "a section header is [name]")
	}
	if _, seen := s.sections[name]; !seen {
		s.sections[name] = number
	}
	return name, ""
}

// assignment parses a line of the form key = value.
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

// isComment reports whether text is empty or a comment.
func isComment(text string) bool {
	text = strings.TrimSpace(text)
	return text == "" || text[0] == '#' || text[0] == ';'
}
