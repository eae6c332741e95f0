package relay

import (
	"sync"
	"time"
)

// waiting are the requests that wait for their stages.
type stageWaiters struct {
	mu   sync.Mutex
	byID map[string]*request
}

func newStageWaiters() *stageWaiters { return &stageWaiters{byID: map[string]*request{}} }

func (w *stageWaiters) add(q *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byID[q.call.ID] = q
}

func (w *stageWaiters) remove(q *request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byID, q.call.ID)
}

// due returns the requests by the time at which a planned stop needs their stages done.
func (w *stageWaiters) byStageDeadline(stop func(*request) time.Time) map[time.Time][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := map[time.Time][]string{}
	for id, q := range w.byID {
		by := stop(q)
		ids[by] = append(ids[by], id)
	}
	return ids
}
