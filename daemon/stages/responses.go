package stages

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
)

// errRepeatedResponse means that a target sent a response again, in place of the expected
// one.
var errRepeatedResponse = errors.New("the results are those of an earlier call")

// maxRecentResponses limits the responses that are remembered. It is many times the number of
// calls in progress at once.
const maxRecentResponses = 4096

// recentResponses remembers the latest responses to calls for pieces. Responses have no ID,
// so a duplicate is only recognized by its results: each result has a handle of its own.
type recentResponses struct {
	mu   sync.Mutex
	seen map[string]struct{}
	// keys holds the keys in seen, as a ring. Once it has maxRecentResponses keys, oldest is
	// the index of the oldest one.
	keys   []string
	oldest int
}

// add remembers a response. It returns false for one that is already remembered.
func (r *recentResponses) add(incarnation string, results []gather.PieceResult) bool {
	handle := firstHandle(results)
	if handle == "" {
		return true
	}
	key := incarnation + " " + handle
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.seen[key]; ok {
		return false
	}
	if r.seen == nil {
		r.seen = map[string]struct{}{}
	}
	r.seen[key] = struct{}{}
	if len(r.keys) < maxRecentResponses {
		r.keys = append(r.keys, key)
		return true
	}
	delete(r.seen, r.keys[r.oldest])
	r.keys[r.oldest] = key
	r.oldest = (r.oldest + 1) % maxRecentResponses
	return true
}

// firstHandle returns the handle of the first piece that was produced, or "" if there is
// none.
func firstHandle(results []gather.PieceResult) string {
	for _, result := range results {
		if result.Failure == gather.PieceOK {
			return result.Handle
		}
	}
	return ""
}
