package stages

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

// resultReader is the instance that reads the results of a request.
type resultReader struct {
	instanceID
	// deadline is the deadline of the request. After it, the planner has dropped the request.
	deadline time.Time
}

// recordReader records who reads the results of a completed request.
func (q *queue) recordReader(id string, r resultReader) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.readers[id] = r
}

// dropOrphaned frees the results of requests whose requesters have died or restarted: nobody
// reads them, and nobody will report their end. The results for requesters that leave as
// planned are kept, since such requesters still serve the requests that they have.
func (q *queue) dropOrphaned(now time.Time, view *membership.View) {
	var orphaned []placing.RequestEnd
	q.mu.Lock()
	for id, r := range q.readers {
		m, ok := view.Find(r.name)
		switch {
		case ok && (m.Incarnation > r.incarnation || m.State == membership.Dead):
			orphaned = append(orphaned, placing.RequestEnd{Request: id})
		case now.After(r.deadline):
			delete(q.readers, id)
		}
	}
	q.mu.Unlock()
	if len(orphaned) > 0 {
		q.drop(orphaned...)
	}
}

// reconnectTimeout is how long a request is kept after the connection of its requester was
// lost: some round trips, in which a healthy requester sends the request again.
const reconnectTimeout = 300 * time.Millisecond

// abandon drops a request whose requester gave up, unless the request was sent again or has
// moved. If the requester's connection was lost, the request is kept for reconnectTimeout,
// together with its outcome if that has arrived.
func (q *queue) abandon(id string, done chan outcome, connLost bool) {
	q.mu.Lock()
	current, waits := q.waiters[id]
	if waits && current != done || q.keepOutcome(id, done, connLost) {
		q.mu.Unlock()
		return
	}
	if connLost {
		delete(q.waiters, id)
		q.unclaimed[id] = time.Now().Add(reconnectTimeout)
	}
	q.mu.Unlock()
	if !connLost {
		q.drop(placing.RequestEnd{Request: id})
	}
}

// keepOutcome keeps an outcome that arrived as the connection of its requester was lost, so that
// the requester receives it when it sends the request again. decided is true if abandon has
// nothing left to do, because the request has moved or was dropped. mu must be held.
func (q *queue) keepOutcome(id string, done <-chan outcome, connLost bool) (decided bool) {
	select {
	case end := <-done:
		if end.movedTo != "" || end.dropped {
			return true
		}
		if connLost {
			q.earlyOutcomes[id] = end
		}
	default:
	}
	return false
}
