package relay

import "sync"

// ids are the ids of the requests in progress here. What an instance, the holder of the stage
// queue and targets know of a request is known by its id.
type activeIDs struct {
	mu    sync.Mutex
	inUse map[string]struct{}
}

func newActiveIDs() *activeIDs { return &activeIDs{inUse: map[string]struct{}{}} }

// take takes an id for a request, false if another one has it.
func (i *activeIDs) claim(id string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if _, ok := i.inUse[id]; ok {
		return false
	}
	i.inUse[id] = struct{}{}
	return true
}

func (i *activeIDs) release(id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.inUse, id)
}
