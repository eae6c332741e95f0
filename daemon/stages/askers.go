package stages

import (
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

// reading is a request whose results its asker reads.
type reading struct {
	sender
	// until is the request's deadline: by then the planner has dropped it.
	until time.Time
}

// noteReader notes who reads the results of a request that is done.
func (o *Owner) noteReader(id string, r reading) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readers[id] = r
}

// dropReaderless frees the results of requests whose askers have died or started
// again: nobody reads them, and nobody will say so. Those of askers that leave as
// planned stay, since these still serve what they have.
func (o *Owner) dropReaderless(now time.Time, view *membership.View) {
	var gone []placing.Served
	o.mu.Lock()
	for id, r := range o.readers {
		m, ok := view.Find(r.name)
		switch {
		case ok && (m.Incarnation > r.incarnation || m.State == membership.Dead):
			gone = append(gone, placing.Served{Request: id})
		case now.After(r.until):
			delete(o.readers, id)
		}
	}
	o.mu.Unlock()
	if len(gone) > 0 {
		o.drop(gone...)
	}
}
