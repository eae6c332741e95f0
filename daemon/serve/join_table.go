package serve

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
)

const (
	// stateRunning is the state of a request that has no response yet.
	stateRunning = "running"
	// maxJoins and maxJoinBytes bound the joined requests of an instance and the
	// total size of their responses.
	maxJoins     = 1024
	maxJoinBytes = 8 << 20
	// maxJoinBodyBytes is the size of the largest response body that is kept for
	// joins. It fits a frame of the interface between instances.
	maxJoinBodyBytes = 720 << 10
)

// JoinResult is the status of a joined request and, if it is available, its response.
// If HTTPStatus is 0, the request is still running or its response was not kept;
// Request shows which.
type JoinResult struct {
	Request     *callerapi.RequestStatus `json:"state"`
	HTTPStatus  int                      `json:"status,omitempty"`
	ContentType string                   `json:"media,omitempty"`
	Body        []byte                   `json:"body,omitempty"`
}

// joinTable keeps the responses of requests that other calls joined while the requests
// ran. While the table is empty, it costs a request only one atomic load of count.
type joinTable struct {
	count atomic.Int64
	mu    sync.Mutex
	byID  map[string]*joinEntry
	// completed lists the ids of the requests that have ended, oldest first.
	completed []string
	bytes     int
}

// joinEntry is one joined request. The fields below done are set before done is closed;
// body stays nil if it was too large to keep or the response is unknown.
type joinEntry struct {
	done        chan struct{}
	status      int
	contentType string
	body        []byte
}

func newJoinTable() *joinTable { return &joinTable{byID: make(map[string]*joinEntry)} }

// findOrAdd returns the entry of a request and adds one if there is none. It returns
// nil if the table is full of running requests.
func (j *joinTable) findOrAdd(id string) *joinEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	if found := j.byID[id]; found != nil {
		return found
	}
	if len(j.byID) >= maxJoins && !j.evictOldest() {
		return nil
	}
	added := &joinEntry{done: make(chan struct{})}
	j.byID[id] = added
	j.count.Add(1)
	return added
}

// find returns the entry of a request, or nil if no call has joined it.
func (j *joinTable) find(id string) *joinEntry {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.byID[id]
}

// complete stores the response of a joined request and wakes the calls that wait for
// it.
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

// evictOldest removes the oldest completed entry. The caller holds mu.
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

// JoinLocal waits until ctx ends for the response of a request that this instance
// serves. It returns false if no request of the account has the id.
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

// joinRunning returns the entry of a running request. It returns nil if the request has
// ended or the table is full. The request may have ended after state was read: an entry
// added after the end would never be completed, so joinRunning completes it without a
// body.
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
