package target

import (
	"container/list"
	"sync"

	"github.com/ivyhollow/ivyhollow/protocol/targetapi"
)

// prefixCache is an LRU cache of parts of prompts with a capacity in tokens. A part
// of a prompt counts as cached only if all parts before it are.
type prefixCache struct {
	capacity int
	// onChange is called, under the lock, for each part added or evicted.
	onChange func(part string, added bool)

	mu     sync.Mutex
	tokens int
	// recent is a list of targetapi.Part, the most recently used first.
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

// uncachedTokens returns the number of tokens of the prompt that aren't cached, and
// marks its cached parts as used.
func (c *prefixCache) uncachedTokens(parts []targetapi.Part) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	hits := 0
	for hits < len(parts) && c.byID[parts[hits].ID] != nil {
		hits++
	}
	// Marks the parts from the last to the first, so that the first part of a prompt is
	// evicted last: without the first part the others can't be used.
	for i := hits - 1; i >= 0; i-- {
		c.recent.MoveToFront(c.byID[parts[i].ID])
	}
	tokens := 0
	for _, part := range parts[hits:] {
		tokens += part.Tokens
	}
	return tokens
}

// add caches the parts and evicts the least recently used ones.
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
