package stages

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

// reading is a request whose results its asker reads.
type resultReader struct {
	instanceID
	// until is the request's deadline: by then the planner has dropped it.
	deadline time.Time
}

// noteReader notes who reads the results of a request that is done.
func (o *queue) recordReader(id string, r resultReader) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readers[id] = r
}

// dropReaderless frees the results of requests whose askers have died or started
// again: nobody reads them, and nobody will say so. Those of askers that leave as
// planned stay, since these still serve what they have.
func (o *queue) dropOrphaned(now time.Time, view *membership.View) {
	var gone []placing.RequestEnd
	o.mu.Lock()
	for id, r := range o.readers {
		m, ok := view.Find(r.name)
		switch {
		case ok && (m.Incarnation > r.incarnation || m.State == membership.Dead):
			gone = append(gone, placing.RequestEnd{Request: id})
		case now.After(r.deadline):
			delete(o.readers, id)
		}
	}
	o.mu.Unlock()
	if len(gone) > 0 {
		o.drop(gone...)
	}
}

// reconnectWithin is how long a request is kept whose asker's connection was lost: some
// round trips. An asker that is well asks for it again.
const reconnectTimeout = 300 * time.Millisecond

// abandon drops a request whose asker gave up, unless it has been asked for again or has
// moved. One whose asker's connection was lost is kept for a moment, with its end if
// that has come.
func (o *queue) abandon(id string, done chan outcome, lost bool) {
	o.mu.Lock()
	present, waits := o.waiters[id]
	if waits && present != done || o.keepOutcome(id, done, lost) {
		o.mu.Unlock()
		return
	}
	if lost {
		delete(o.waiters, id)
		o.unclaimed[id] = time.Now().Add(reconnectTimeout)
	}
	o.mu.Unlock()
	if !lost {
		o.drop(placing.RequestEnd{Request: id})
	}
}

// keepEnd keeps an end that came as its asker was lost, for when that asks again. It
// tells whether nothing is left to decide here: the request has moved or was dropped.
// mu is held.
func (o *queue) keepOutcome(id string, done <-chan outcome, lost bool) (decided bool) {
	select {
	case end := <-done:
		if end.movedTo != "" || end.dropped {
			return true
		}
		if lost {
			o.earlyOutcomes[id] = end
		}
	default:
	}
	return false
}
