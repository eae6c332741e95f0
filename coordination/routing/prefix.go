package routing

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixIndex is an approximate set of the prompt parts that one engine caches,
// kept in a direct-mapped table of fixed size. A newer part overwrites an older one
// in the same slot, much as the engine's own bounded cache evicts. Each slot holds a
// fingerprint (upper 32 bits) and the second of the last use (lower 32 bits).
type prefixIndex struct {
	size int
	// table is allocated for the first part, so that targets of pools without
	// prompts need no memory for it.
	table atomic.Pointer[[]atomic.Uint64]
	// validFrom is the second before which entries are ignored.
	validFrom atomic.Int64
	epoch     atomic.Uint64
}

// gapMaxAge is the age up to which entries are still used after a gap in the cache
// events: the lost events may have reported the eviction of older parts.
const gapMaxAge = 20 * time.Second

// slot returns the slot of a part, or nil before the table is allocated.
func (p *prefixIndex) slot(part uint64) *atomic.Uint64 {
	table := p.table.Load()
	if table == nil {
		return nil
	}
	return &(*table)[part%uint64(p.size)]
}

func (p *prefixIndex) add(now int64, part uint64) {
	if p.table.Load() == nil {
		table := make([]atomic.Uint64, p.size)
		p.table.CompareAndSwap(nil, &table)
	}
	second := uint64(now/int64(time.Second)) & 0xffffffff
	p.slot(part).Store(part&^0xffffffff | second)
}

func (p *prefixIndex) remove(part uint64) {
	slot := p.slot(part)
	if slot == nil {
		return
	}
	value := slot.Load()
	if value>>32 == part>>32 {
		slot.CompareAndSwap(value, 0)
	}
}

func (p *prefixIndex) contains(now int64, part uint64, ttl time.Duration) bool {
	slot := p.slot(part)
	if slot == nil {
		return false
	}
	value := slot.Load()
	if value == 0 || value>>32 != part>>32 {
		return false
	}
	second := int64(value & 0xffffffff)
	return second >= p.validFrom.Load() && now/int64(time.Second)-second <= int64(ttl/time.Second)
}

func (p *prefixIndex) apply(now int64, u CacheUpdate) {
	second := now / int64(time.Second)
	if old := p.epoch.Swap(u.Epoch); old != 0 && old != u.Epoch {
		p.validFrom.Store(second)
	}
	if u.Gap {
		p.validFrom.Store(max(p.validFrom.Load(), second-int64(gapMaxAge/time.Second)))
	}
	for _, part := range u.Added {
		p.add(now, xxhash.Sum64String(part))
	}
	for _, part := range u.Removed {
		p.remove(xxhash.Sum64String(part))
	}
}

// cachedTokens returns the estimated number of leading tokens in the target's cache.
// Parts are cached in order, so it stops at the first missing part.
func (s *targetState) cachedTokens(now int64, parts []PrefixPart, hashes []uint64, ttl time.Duration) int {
	tokens := 0
	for i, part := range parts {
		if !s.prefixes.contains(now, hashes[i], ttl) {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}
