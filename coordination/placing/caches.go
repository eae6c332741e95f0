package placing

import (
	"slices"
	"time"
)

// EngineCache lists the prompt parts that an engine has in cache, as a holder of the stage
// queue reports them to its successor.
type EngineCache struct {
	Pool, Engine string
	Parts        []Part
}

// Caches returns the shared parts in the cache of each engine, the most recently used first.
func (t *Table) Caches() []EngineCache {
	var all []EngineCache
	for _, p := range t.pools {
		for _, e := range p.engines {
			if len(e.cached) > 0 {
				all = append(all, EngineCache{Pool: p.Name, Engine: e.Incarnation, Parts: e.sharedParts()})
			}
		}
	}
	return all
}

func (e *engineState) sharedParts() []Part {
	parts := make([]Part, 0, len(e.cached))
	for id, c := range e.cached {
		if c.shared {
			parts = append(parts, Part{id, c.tokens})
		}
	}
	slices.SortFunc(parts, func(a, b Part) int { return e.cached[b.ID].lastUsed.Compare(e.cached[a.ID].lastUsed) })
	return parts
}

// MergeCaches adds the cache contents that another instance reported.
func (t *Table) MergeCaches(now time.Time, caches []EngineCache) {
	for _, c := range caches {
		p := t.pools[c.Pool]
		if p == nil || p.engines[c.Engine] == nil {
			continue
		}
		p.engines[c.Engine].addToCache(now, c.Parts, len(c.Parts), p.CacheTokens)
	}
}

// RecordPrefill records that an engine processes a prompt that another holder assigned to it.
func (t *Table) RecordPrefill(now time.Time, p *Prompt, engine string) {
	pool := t.pools[p.Pool]
	if pool == nil || pool.engines[engine] == nil {
		return
	}
	pool.engines[engine].addToCache(now, p.Parts, len(p.Parts)-1, pool.CacheTokens)
}
