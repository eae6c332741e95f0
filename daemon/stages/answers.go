package stages

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
)

// errRepeated tells that a target sent an answer again, in place of the one that is due.
var errRepeated = errors.New("the results are those of an earlier call")

// maxAnswers bounds the answers that are remembered. It is many times the calls that are in
// progress at once.
const maxAnswers = 4096

// answers remembers the latest answers to calls for pieces. Answers have no id, so one that
// comes twice shows by its results alone: a result has a handle of its own.
type answers struct {
	mu    sync.Mutex
	known map[string]struct{}
	// order are the known ones, the oldest at next.
	order []string
	next  int
}

// add remembers an answer. It returns false for one that is remembered already.
func (a *answers) add(incarnation string, results []gather.PieceResult) bool {
	handle := firstHandle(results)
	if handle == "" {
		return true
	}
	key := incarnation + " " + handle
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.known[key]; ok {
		return false
	}
	if a.known == nil {
		a.known = map[string]struct{}{}
	}
	a.known[key] = struct{}{}
	if len(a.order) < maxAnswers {
		a.order = append(a.order, key)
		return true
	}
	delete(a.known, a.order[a.next])
	a.order[a.next] = key
	a.next = (a.next + 1) % maxAnswers
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
