package relay

import (
	"sync"
	"time"
)

// stageWaiters are the requests that wait for their stages.
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

// byStageDeadline groups the requests' IDs by the time that deadline returns for them.
func (w *stageWaiters) byStageDeadline(deadline func(*request) time.Time) map[time.Time][]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	ids := map[time.Time][]string{}
	for id, q := range w.byID {
		due := deadline(q)
		ids[due] = append(ids[due], id)
	}
	return ids
}
