package placing

import (
	"slices"
	"time"
)

// Known is what an engine has read, as one holder tells the next.
type EngineCache struct {
	Pool, Engine string
	Parts        []Part
}

// Known returns what the engines have read, those parts of each first that were used
// last.
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

// Learn takes in what engines have read by another's word.
func (t *Table) MergeCaches(now time.Time, known []EngineCache) {
	for _, k := range known {
		p := t.pools[k.Pool]
		if p == nil || p.engines[k.Engine] == nil {
			continue
		}
		p.engines[k.Engine].addToCache(now, k.Parts, len(k.Parts), p.CacheTokens)
	}
}

// Read notes that an engine reads a prompt that it was sent by another holder's choice.
func (t *Table) RecordPrefill(now time.Time, p *Prompt, engine string) {
	known := t.pools[p.Pool]
	if known == nil || known.engines[engine] == nil {
		return
	}
	known.engines[engine].addToCache(now, p.Parts, len(p.Parts)-1, known.CacheTokens)
}
