package relay

import (
	"sync"
	"time"
)

// waiting are the requests that wait for their stages.
type waiting struct {
	mu   sync.Mutex
	byID map[string]*request
}

func newWaiting() *waiting { return &waiting{byID: map[string]*request{}} }

func (w *waiting) add(q *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[q.call.ID] = q
}

func (w *waiting) remove(q *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byID, q.call.ID)
}

// due returns the requests by the time at which a planned stop needs their stages done.
func (w *waiting) due(stop func(*request) time.Time) map[time.Time][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := map[time.Time][]string{}
	for id, q := range w.byID {
		by := stop(q)
		ids[by] = append(ids[by], id)
	}
	return ids
}
