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
	maxJoinBody = 720 << 10
)

// Joined is the answer of a request that somebody joined. Without a Status the
// request still runs, or its answer is not kept; State tells which.
type Joined struct {
	State  *callerapi.RequestStatus `json:"state"`
	Status int                      `json:"status,omitempty"`
	Media  string                   `json:"media,omitempty"`
	Body   []byte                   `json:"body,omitempty"`
}

// joins keeps the answers of those requests that somebody joined while they
// ran. A request that nobody joins costs one load of count.
type joins struct {
	count atomic.Int64
	mu    sync.Mutex
	byID  map[string]*join
	// over lists those that ended, oldest first.
	over  []string
	bytes int
}

type join struct {
	done   chan struct{}
	status int
	media  string
	body   []byte
}

func newJoins() *joins { return &joins{byID: make(map[string]*join)} }

// enter finds the join of a request or makes one, nil when there is no room.
func (j *joins) enter(id string) *join {
	j.mu.Lock()
	defer j.mu.Unlock()
	if found := j.byID[id]; found != nil {
		return found
	}
	if len(j.byID) >= maxJoins && !j.dropOldest() {
		return nil
	}
	made := &join{done: make(chan struct{})}
	j.byID[id] = made
	j.count.Add(1)
	return made
}

// find returns the join of a request that is over, nil if nobody joined it.
func (j *joins) find(id string) *join {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.byID[id]
}

// ended hands the answer of a request to those who joined it.
func (j *joins) ended(id string, status int, media string, body []byte) {
	if j.count.Load() == 0 {
		return
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	found := j.byID[id]
	if found == nil || found.status != 0 {
		return
	}
	if len(body) <= maxJoinBody {
		found.body = body
	}
	found.status, found.media = status, media
	close(found.done)
	j.over = append(j.over, id)
	j.bytes += len(found.body)
	for j.bytes > maxJoinBytes && j.dropOldest() {
		continue
	}
}

// dropOldest forgets the oldest answer; mu is held.
func (j *joins) dropOldest() bool {
	if len(j.over) == 0 {
		return false
	}
	id := j.over[0]
	j.over = j.over[1:]
	j.bytes -= len(j.byID[id].body)
	delete(j.byID, id)
	j.count.Add(-1)
	return true
}

// Join waits for the answer of a request that this instance serves, until ctx
// ends. It is false when no request of the account has the id.
func (s *Server) Join(ctx context.Context, id, account string) (Joined, bool) {
	state, ok := s.Find(id, account)
	if !ok {
		return Joined{}, false
	}
	if found := s.joinOf(id, state); found != nil {
		select {
		case <-found.done:
		case <-ctx.Done():
		}
	}
	state, ok = s.Find(id, account)
	if !ok {
		return Joined{}, false
	}
	result := Joined{State: state}
	if found := s.joins.find(id); found != nil {
		select {
		case <-found.done:
			if found.body != nil {
				result.Status, result.Media, result.Body = found.status, found.media, found.body
			}
		default:
		}
	}
	return result, true
}

// joinOf joins a request that runs. The request may have ended since state was
// read: an entry made then would never be filled, so it is taken out again.
func (s *Server) joinOf(id string, state *callerapi.RequestStatus) *join {
	if state.State != stateRunning {
		return nil
	}
	found := s.joins.enter(id)
	if found == nil {
		return nil
	}
	if now, ok := s.Find(id, state.Account); ok && now.State == stateRunning {
		return found
	}
	s.joins.ended(id, http.StatusGone, "", nil)
	return nil
}
