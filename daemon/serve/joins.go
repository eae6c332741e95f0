package serve

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

// Bounds of the answers that others asked to join.
const (
	// stateRunning is the State of a request without an answer.
	stateRunning = "running"
	maxJoins     = 1024
	maxJoinBytes = 8 << 20
	// maxJoinBody is the largest answer that is kept for a join; in a frame of
	// the peers' interface it has room.
	maxJoinBodyBytes = 720 << 10
)

// Joined is the answer of a request that somebody joined. Without a Status the
// request still runs, or its answer is not kept; State tells which.
type JoinResult struct {
	Request     *callerapi.RequestStatus `json:"state"`
	HTTPStatus  int                      `json:"status,omitempty"`
	ContentType string                   `json:"media,omitempty"`
	Body        []byte                   `json:"body,omitempty"`
}

// joins keeps the answers of those requests that somebody joined while they
// ran. A request that nobody joins costs one load of count.
type joinTable struct {
	count atomic.Int64
	mu    sync.Mutex
	byID  map[string]*joinEntry
	// over lists those that ended, oldest first.
	completed []string
	bytes     int
}

type joinEntry struct {
	done        chan struct{}
	status      int
	contentType string
	body        []byte
}

func newJoinTable() *joinTable { return &joinTable{byID: make(map[string]*joinEntry)} }

// enter finds the join of a request or makes one, nil when there is no room.
func (j *joinTable) findOrAdd(id string) *joinEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	if found := j.byID[id]; found != nil {
		return found
	}
	if len(j.byID) >= maxJoins && !j.evictOldest() {
		return nil
	}
	made := &joinEntry{done: make(chan struct{})}
	j.byID[id] = made
	j.count.Add(1)
	return made
}

// find returns the join of a request that is over, nil if nobody joined it.
func (j *joinTable) find(id string) *joinEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.byID[id]
}

// ended hands the answer of a request to those who joined it.
func (j *joinTable) complete(id string, status int, media string, body []byte) {
	if j.count.Load() == 0 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	found := j.byID[id]
	if found == nil || found.status != 0 {
		return
	}
	if len(body) <= maxJoinBodyBytes {
		found.body = body
	}
	found.status, found.contentType = status, media
	close(found.done)
	j.completed = append(j.completed, id)
	j.bytes += len(found.body)
	for j.bytes > maxJoinBytes && j.evictOldest() {
		continue
	}
}

// dropOldest forgets the oldest answer; mu is held.
func (j *joinTable) evictOldest() bool {
	if len(j.completed) == 0 {
		return false
	}
	id := j.completed[0]
	j.completed = j.completed[1:]
	j.bytes -= len(j.byID[id].body)
	delete(j.byID, id)
	j.count.Add(-1)
	return true
}

// Join waits for the answer of a request that this instance serves, until ctx
// ends. It is false when no request of the account has the id.
func (s *Server) JoinLocal(ctx context.Context, id, account string) (JoinResult, bool) {
	state, ok := s.LocalStatus(id, account)
	if !ok {
		return JoinResult{}, false
	}
	if found := s.joinRunning(id, state); found != nil {
		select {
		case <-found.done:
		case <-ctx.Done():
		}
	}
	state, ok = s.LocalStatus(id, account)
	if !ok {
		return JoinResult{}, false
	}
	result := JoinResult{Request: state}
	if found := s.joins.find(id); found != nil {
		select {
		case <-found.done:
			if found.body != nil {
				result.HTTPStatus, result.ContentType, result.Body = found.status, found.contentType, found.body
			}
		default:
		}
	}
	return result, true
}

// joinOf joins a request that runs. The request may have ended since state was
// read: an entry made then would never be filled, so it is taken out again.
func (s *Server) joinRunning(id string, state *callerapi.RequestStatus) *joinEntry {
	if state.State != stateRunning {
		return nil
	}
	found := s.joins.findOrAdd(id)
	if found == nil {
		return nil
	}
	if now, ok := s.LocalStatus(id, state.Account); ok && now.State == stateRunning {
		return found
	}
	s.joins.complete(id, http.StatusGone, "", nil)
	return nil
}
