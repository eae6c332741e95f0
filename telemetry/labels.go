package telemetry

import (
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// allowedLabels are the keys that a metric may be tagged with. Each takes its
// values from the program or from records that operators write. Account, request,
// attempt, target and peer are not among them: their values come and go without
// limit, and every one would be a time series for ever.
var allowedLabels = []string{
	"pipeline", "stage", "tier", "pool", "result", "outcome", "reason", "kind",
	"operation", "state", "role", "code", "step", "verdict", "rank",
}

var errUnknownLabel = errors.New("not in the list of bounded labels")

const (
	// maxLabelSets bounds the distinct sets of labels of an instance.
	maxLabelSets = 2048
	// overflowValue replaces every value of a set beyond the bound.
	overflowValue = "other"
)

// boundedScope is a tally scope whose series can't grow without limit. The
// failure it guards against: a label with values from outside makes a series a
// value, which shows as an instance that grows until it is killed and as a
// Prometheus that no longer answers. Labels outside the list are dropped, and
// past maxLabelSets new sets share one whose values are overflowValue.
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

// maxDroppedLogged bounds the labels whose loss is logged. They are written in
// the program, so only a fault reaches it.
const maxDroppedLogged = 64

func newBoundedScope(scope tally.Scope) tally.Scope {
	return &boundedScope{Scope: scope, seen: &labelSets{
		sets:    map[string]struct{}{},
		dropped: map[string]struct{}{},
	}}
}

// Tagged implements tally.Scope. It costs a lock and a map, so a hot path keeps
// the scope or the counter that it returns.
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

// admit tells whether the set is known or there is room for it.
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

// drop logs a label that is not allowed, once, for the one who wrote it.
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

func setKey(tags map[string]string) string {
	pairs := make([]string, 0, len(tags))
	for key, value := range tags {
		pairs = append(pairs, key+"\x00"+value)
	}
	slices.Sort(pairs)
	return strings.Join(pairs, "\x01")
}
