package target

import (
	"container/list"
	"sync"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// prefixCache holds the parts of prompts that were read last, up to a number
// of tokens. A part counts as cached only when all parts before it are.
type prefixCache struct {
	capacity int
	// changed is called, under the lock, for each part that comes or goes.
	onChange func(part string, added bool)

	mu     sync.Mutex
	tokens int
	// recent holds targetapi.Part, the most recently used first.
	recent *list.List
	byID   map[string]*list.Element
}

func newPrefixCache(capacity int, changed func(part string, added bool)) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		onChange: changed,
		recent:   list.New(),
		byID:     make(map[string]*list.Element),
	}
}

// missing returns how many tokens of the prompt have to be read, and marks the
// cached ones as used.
func (c *prefixCache) uncachedTokens(parts []targetapi.Part) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(parts) && c.byID[parts[hits].ID] != nil {
		hits++
	}
	// From the back, so that the front of a prompt is evicted last: without it
	// the rest would be of no use.
	for i := hits - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.byID[parts[i].ID])
	}
	tokens := 0
	for _, part := range parts[hits:] {
		tokens += part.Tokens
	}
	return tokens
}

// add puts the parts into the cache and evicts the least recently used ones.
func (c *prefixCache) add(parts []targetapi.Part) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(parts) - 1; i >= 0; i-- {
		c.addPart(parts[i])
	}
}

func (c *prefixCache) addPart(part targetapi.Part) {
	if element := c.byID[part.ID]; element != nil {
		c.recent.MoveToFront(element)
		return
	}
	if part.Tokens > c.capacity {
		return
	}
	for c.tokens+part.Tokens > c.capacity {
		c.evict()
	}
	c.tokens += part.Tokens
	c.byID[part.ID] = c.recent.PushFront(part)
	c.onChange(part.ID, true)
}

func (c *prefixCache) evict() {
	oldest := c.recent.Back()
	part := c.recent.Remove(oldest).(targetapi.Part)
	delete(c.byID, part.ID)
	c.tokens -= part.Tokens
	c.onChange(part.ID, false)
}

// find returns the part if it is cached.
func (c *prefixCache) find(id string) (targetapi.Part, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.byID[id]
	if element == nil {
		return targetapi.Part{}, false
	}
	return element.Value.(targetapi.Part), true
}
