package telemetry

import (
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// allowedLabels lists the labels that a metric may have. Their values come from the
// program or from records that operators write. Account, request, attempt, target
// and peer are excluded: the number of their values is unbounded, and every value
// would be a time series that is never removed.
var allowedLabels = []string{
	"pipeline", "stage", "tier", "pool", "result", "outcome", "reason", "kind",
	"operation", "state", "role", "code", "step", "verdict", "rank", "service",
}

var errUnknownLabel = errors.New("not in the list of bounded labels")

const (
	// maxLabelSets is the maximum number of distinct label sets of an instance.
	maxLabelSets = 2048
	// overflowValue replaces every value of a label set above the limit.
	overflowValue = "other"
)

// boundedScope is a tally scope with a bounded number of time series. A label whose
// values come from outside would create one series per value: the memory of the
// instance would grow until it is killed, and Prometheus would stop responding.
// Labels that are not allowed are dropped, and above maxLabelSets new label sets
// share one whose values are overflowValue.
type boundedScope struct {
	tally.Scope
	tags map[string]string
	seen *labelSets
}

type labelSets struct {
	mu      sync.Mutex
	sets    map[string]struct{}
	dropped map[string]struct{}
}

// maxDroppedLogged is the maximum number of dropped labels that are logged. Labels
// are constants of the program, so only a programming error reaches it.
const maxDroppedLogged = 64

func newBoundedScope(scope tally.Scope) tally.Scope {
	return &boundedScope{Scope: scope, seen: &labelSets{
		sets:    map[string]struct{}{},
		dropped: map[string]struct{}{},
	}}
}

// Tagged implements tally.Scope. It takes a lock and allocates a map, so hot paths
// should keep the returned scope or its metrics.
func (s *boundedScope) Tagged(tags map[string]string) tally.Scope {
	merged := make(map[string]string, len(s.tags)+len(tags))
	for key, value := range s.tags {
		merged[key] = value
	}
	for key, value := range tags {
		if !slices.Contains(allowedLabels, key) {
			s.seen.reportDropped(key)
			continue
		}
		merged[key] = value
	}
	if !s.seen.admit(merged) {
		for key := range merged {
			merged[key] = overflowValue
		}
	}
	return &boundedScope{Scope: s.Scope.Tagged(merged), tags: merged, seen: s.seen}
}

// SubScope implements tally.Scope.
func (s *boundedScope) SubScope(name string) tally.Scope {
	return &boundedScope{Scope: s.Scope.SubScope(name), tags: s.tags, seen: s.seen}
}

// admit reports whether the set is known or can be added within the limit.
func (l *labelSets) admit(tags map[string]string) bool {
	key := setKey(tags)
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.sets[key]; ok {
		return true
	}
	if len(l.sets) >= maxLabelSets {
		return false
	}
	l.sets[key] = struct{}{}
	return true
}

// reportDropped logs a label that is not allowed, once per label.
func (l *labelSets) reportDropped(key string) {
	l.mu.Lock()
	_, logged := l.dropped[key]
	full := len(l.dropped) >= maxDroppedLogged
	if !logged && !full {
		l.dropped[key] = struct{}{}
	}
	l.mu.Unlock()
	if !logged && !full {
		ErrorS(errUnknownLabel, "metric label dropped", Event{Reason: key})
	}
}

// setKey returns a key that is equal for equal label sets.
func setKey(tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for key, value := range tags {
		pairs = append(pairs, key+"\x00"+value)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, "\x01")
}
