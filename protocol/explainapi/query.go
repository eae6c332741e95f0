package explainapi

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Query describes the request that is asked about.
type Query struct {
	Route, Account string
	Prefix         []Part
	// PromptTokens and OutputTokens are the number of prompt tokens and the maximum number of output
	// tokens, Hint an estimate of the latter.
	PromptTokens, OutputTokens, Hint int
	// Pieces are the numbers of pieces of the stages.
	Pieces []int
	// Deadline is how long the caller waits; 0 if it doesn't say.
	Deadline time.Duration
}

// Part is a part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Bounds of a query. They are those of requests.
const (
	maxParts    = 64
	maxPartID   = 128
	maxPieces   = 64
	maxCount    = 1 << 24
	maxDeadline = 24 * time.Hour
)

// ParameterError reports a missing or malformed parameter of a query.
type ParameterError struct{ Name, Reason string }

// Error implements error.
func (e *ParameterError) Error() string { return fmt.Sprintf("parameter %s: %s", e.Name, e.Reason) }

// ParseQuery parses the query of a URL. An error is a *ParameterError.
func ParseQuery(query url.Values) (Query, error) {
	var q Query
	parsers := map[string]func(string) string{
		ParamRoute:    func(text string) string { q.Route = text; return "" },
		ParamAccount:  func(text string) string { q.Account = text; return "" },
		ParamPrefix:   func(text string) (fault string) { q.Prefix, fault = parseParts(text); return fault },
		ParamTokens:   func(text string) string { return parseExactly(text, &q.PromptTokens, &q.OutputTokens) },
		ParamHint:     func(text string) string { return parseExactly(text, &q.Hint) },
		ParamPieces:   func(text string) (fault string) { q.Pieces, fault = parseCounts(text); return fault },
		ParamDeadline: func(text string) (fault string) { q.Deadline, fault = parseDeadline(text); return fault },
	}
	for name, values := range query {
		parse := parsers[name]
		switch {
		case parse == nil:
			return Query{}, &ParameterError{name, "unknown"}
		case len(values) != 1:
			return Query{}, &ParameterError{name, "given more than once"}
		case values[0] == "":
			continue
		}
		if fault := parse(values[0]); fault != "" {
			return Query{}, &ParameterError{name, fault}
		}
	}
	if q.Route == "" {
		return Query{}, &ParameterError{ParamRoute, "missing"}
	}
	return q, nil
}

func parseParts(text string) ([]Part, string) {
	var parts []Part
	for item := range strings.SplitSeq(text, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(item), ":")
		n, err := strconv.Atoi(tokens)
		if err != nil || n < 0 || n > maxCount || id == "" || len(id) > maxPartID {
			return nil, fmt.Sprintf("%q is no part ID:TOKENS", item)
		}
		if parts = append(parts, Part{id, n}); len(parts) > maxParts {
			return nil, fmt.Sprintf("more than %d parts", maxParts)
		}
	}
	return parts, ""
}

func parseCounts(text string) ([]int, string) {
	var counts []int
	for item := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(item))
		if err != nil || n < 0 || n > maxCount {
			return nil, fmt.Sprintf("%q is no number from 0 to %d", item, maxCount)
		}
		if counts = append(counts, n); len(counts) > maxPieces {
			return nil, fmt.Sprintf("more than %d numbers", maxPieces)
		}
	}
	return counts, ""
}

// parseExactly parses as many numbers as there are destinations.
func parseExactly(text string, into ...*int) string {
	counts, fault := parseCounts(text)
	if fault == "" && len(counts) != len(into) {
		fault = fmt.Sprintf("%d numbers needed, not %d", len(into), len(counts))
	}
	if fault == "" {
		for i, n := range counts {
			*into[i] = n
		}
	}
	return fault
}

func parseDeadline(text string) (time.Duration, string) {
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 || d > maxDeadline {
		return 0, fmt.Sprintf("%q is no time up to %s, such as 6s", text, maxDeadline)
	}
	return d, ""
}
