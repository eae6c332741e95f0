package stages

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
)

// errRepeated tells that a target sent an answer again, in place of the one that is due.
var errRepeatedResponse = errors.New("the results are those of an earlier call")

// maxAnswers bounds the answers that are remembered. It is many times the calls that are in
// progress at once.
const maxRecentResponses = 4096

// answers remembers the latest answers to calls for pieces. Answers have no id, so one that
// comes twice shows by its results alone: a result has a handle of its own.
type recentResponses struct {
	mu   sync.Mutex
	seen map[string]struct{}
	// order are the known ones, the oldest at next.
	keys   []string
	oldest int
}

// add remembers an answer. It returns false for one that is remembered already.
func (a *recentResponses) add(incarnation string, results []gather.PieceResult) bool {
	handle := firstHandle(results)
	if handle == "" {
		return true
	}
	key := incarnation + " " + handle
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.seen[key]; ok {
		return false
	}
	if a.seen == nil {
		a.seen = map[string]struct{}{}
	}
	a.seen[key] = struct{}{}
	if len(a.keys) < maxRecentResponses {
		a.keys = append(a.keys, key)
		return true
	}
	delete(a.seen, a.keys[a.oldest])
	a.keys[a.oldest] = key
	a.oldest = (a.oldest + 1) % maxRecentResponses
	return true
}

// firstHandle is that of the first piece that was made; empty if none was.
func firstHandle(results []gather.PieceResult) string {
	for _, r := range results {
		if r.Failure == gather.PieceOK {
			return r.Handle
		}
	}
	return ""
}
