package experiment

import (
	"container/list"

	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// prefixCache is an engine's LRU cache of prompt parts. It records its changes
// until they are published.
type prefixCache struct {
	capacity, used int
	parts          map[string]*list.Element
	order          *list.List // most recently used first
	added, removed []string
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, parts: map[string]*list.Element{}, order: list.New()}
}

// read returns the number of tokens that were not cached, and caches them. A
// part counts as cached only if all parts before it are cached.
func (c *prefixCache) read(parts []routing.PrefixPart) int {
	missing := 0
	for _, part := range parts {
		if e, ok := c.parts[part.ID]; ok && missing == 0 {
			c.order.MoveToFront(e)
			continue
		}
		missing += part.Tokens
		c.insert(part)
	}
	return missing
}

func (c *prefixCache) insert(part routing.PrefixPart) {
	if e, ok := c.parts[part.ID]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.parts[part.ID] = c.order.PushFront(part)
	c.used += part.Tokens
	c.added = append(c.added, part.ID)
	for c.used > c.capacity {
		last := c.order.Remove(c.order.Back()).(routing.PrefixPart)
		delete(c.parts, last.ID)
		c.used -= last.Tokens
		c.removed = append(c.removed, last.ID)
	}
}

func (c *prefixCache) has(part string) bool {
	_, ok := c.parts[part]
	return ok
}

func (c *prefixCache) clear() {
	*c = *newPrefixCache(c.capacity)
}

// publish returns the changes since the last call.
func (c *prefixCache) publish() (added, removed []string) {
	added, removed = c.added, c.removed
	c.added, c.removed = nil, nil
	return added, removed
}
