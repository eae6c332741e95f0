package relay

import "sync"

// activeIDs are the IDs of the requests in progress at this instance. An ID must be unique:
// the instance, the holder of the stage queue and the targets identify a request by it.
type activeIDs struct {
	mu    sync.Mutex
	inUse map[string]struct{}
}

func newActiveIDs() *activeIDs { return &activeIDs{inUse: map[string]struct{}{}} }

// claim reserves an ID for a request. It returns false if another request has it.
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
