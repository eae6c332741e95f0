package placing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/pacing"
)

const (
	// reportDelay is how much later than an engine's first event its report arrives: it
	// passes through the instance that serves the request, which batches such reports.
	reportDelay = 60 * time.Millisecond
	// requestExpiry is the age at which a request whose end wasn't reported counts as ended.
	requestExpiry = 10 * time.Second
	// unreachableBackoff is how long an engine gets no requests after nothing listened at
	// its address; it doubles up to maxUnreachableBackoff.
	unreachableBackoff    = 400 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// unreachablePenalty is added to the cost of such an engine; it exceeds the cost of any
	// other engine.
	unreachablePenalty = time.Minute
	// cacheShare is the share of an engine's cache that is assumed to hold prompts; the rest
	// is used by running requests.
	cacheShare = 0.7
	// maxCachedParts limits the parts that are tracked for each engine. It is the only limit
	// if the cache capacity is unknown.
	maxCachedParts = 4096
	// evictDivisor sets how much is evicted at once: one part in evictDivisor of the limits.
	evictDivisor = 8
)

// engineState is the state of one engine.
type engineState struct {
	Engine
	// limit is the pace of the sends, if the engine names a limit.
	limit pacing.Pace
	pool  *poolState
	// prefills are the requests whose first events have not been reported, by request ID;
	// firstDue and lastDue are the earliest and the latest of their predicted first events.
	prefills          map[string]prefill
	firstDue, lastDue time.Time
	// cached are the prompt parts that the engine has processed, cachedTokens their total
	// length.
	cached       map[string]*cachedPart
	cachedTokens int
	// slowdown is the ratio of the engine's time to the predicted time, as a moving average.
	slowdown float64
	// avoidUntil is the end of the backoff after nothing listened at the engine's address,
	// unreachableCount the number of times in a row that this was reported.
	avoidUntil       time.Time
	unreachableCount int
	generations
}

// prefill is a request whose prompt an engine processes.
type prefill struct {
	sent time.Time
	// due is when its first event is predicted.
	due      time.Time
	uncached int
	// engineIdle is true if the engine had no other prompt to process when it was sent.
	engineIdle bool
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
	// shared is true if other requests have the part too.
	shared bool
}

func newEngineState(p *poolState, e Engine) *engineState {
	return &engineState{Engine: e, pool: p, prefills: map[string]prefill{}, cached: map[string]*cachedPart{}, slowdown: 1}
}

// startPrefill records that the engine processes the prompt of a request.
func (e *engineState) startPrefill(id string, p prefill) {
	e.prefills[id] = p
	e.extendDue(p.due)
}

// endPrefill removes a request from the prompts being processed.
func (e *engineState) endPrefill(id string) {
	delete(e.prefills, id)
	e.firstDue, e.lastDue = time.Time{}, time.Time{}
	for _, r := range e.prefills {
		e.extendDue(r.due)
	}
}

func (e *engineState) extendDue(due time.Time) {
	if e.firstDue.IsZero() || due.Before(e.firstDue) {
		e.firstDue = due
	}
	if due.After(e.lastDue) {
		e.lastDue = due
	}
}

// queueWait returns how long a request that is sent now waits for those before it. If
// the first one is overdue, the wait grows by the time it is overdue, so that a failed or
// silent engine gets ever fewer requests without anybody reporting it.
func (e *engineState) queueWait(now time.Time) time.Duration {
	if len(e.prefills) == 0 {
		return 0
	}
	overdue := max(now.Sub(e.firstDue)-reportDelay, 0)
	return max(e.lastDue.Sub(now), 0) + overdue
}

// prefillTime returns the predicted time to the first event of a request with this number
// of uncached tokens, without other requests before it.
func (e *engineState) prefillTime(uncached int) time.Duration {
	return duration(e.pool.model.seconds(uncached) * e.slowdown)
}

// prefillCost returns the prefill time with the uncached tokens weighted by uncachedWeight.
// It rises with the slowdown and with the number of uncached tokens, as Choose requires.
func (e *engineState) prefillCost(uncached int) time.Duration {
	m := &e.pool.model
	extra := float64(uncached) * m.perToken * e.slowdown * (uncachedWeight - 1)
	return duration(m.seconds(uncached)*e.slowdown + extra)
}

// wait returns how long a request waits until it may be sent and those before it are processed.
func (e *engineState) wait(now time.Time) time.Duration {
	return max(e.queueWait(now), e.sendWait(now), e.slotWait(now))
}

// sendWait returns how long a request waits until it may be sent.
func (e *engineState) sendWait(now time.Time) time.Duration {
	return e.pool.grants.Wait(now, e.pacedName(), e.pool.Pace, e.limit)
}

// isPaced reports whether sends to the engine need grants.
func (e *engineState) isPaced() bool { return !e.pool.Pace.Unlimited() || !e.limit.Unlimited() }

// pacedName is the name under which sends to the engine are granted. It stays the same when the
// engine restarts.
func (e *engineState) pacedName() string { return cmp.Or(e.Name, e.Incarnation) }

// isAvoided reports whether nothing listened at the engine's address a moment ago.
func (e *engineState) isAvoided(now time.Time) bool { return now.Before(e.avoidUntil) }

// markUnreachable starts a backoff because nothing listens at the engine's address. Reports
// during a backoff are ignored: they usually concern requests that were sent before it began.
func (e *engineState) markUnreachable(now time.Time) {
	if now.Before(e.avoidUntil) {
		return
	}
	e.avoidUntil = now.Add(min(unreachableBackoff<<min(e.unreachableCount, 8), maxUnreachableBackoff))
	e.unreachableCount++
}

// uncachedTokens returns how many tokens of a prompt the engine has to process. A cached
// part only counts if all parts before it are cached as well.
func (e *engineState) uncachedTokens(p *Prompt) int {
	uncached := p.Tokens
	for _, part := range p.Parts {
		if e.cached[part.ID] == nil {
			break
		}
		uncached -= part.Tokens
	}
	return max(uncached, 0)
}

// addToCache records that the engine has processed these parts. The first shared parts also
// belong to other requests. capacity is the size of the engine's cache in tokens.
func (e *engineState) addToCache(now time.Time, parts []Part, shared, capacity int) {
	for i, part := range parts {
		c := e.cached[part.ID]
		if c == nil {
			c = &cachedPart{tokens: part.Tokens}
			e.cached[part.ID] = c
			e.cachedTokens += part.Tokens
			e.pool.addCacher(part.ID, e)
		}
		c.lastUsed = now
		c.shared = c.shared || i < shared
	}
	tokens := math.MaxInt
	if capacity > 0 {
		tokens = int(cacheShare * float64(capacity))
	}
	if len(e.cached) > maxCachedParts || e.cachedTokens > tokens {
		e.evict(maxCachedParts/evictDivisor*(evictDivisor-1), tokens/evictDivisor*(evictDivisor-1))
	}
}

// evict removes the least recently used parts, as engines do, until neither limit is
// exceeded.
func (e *engineState) evict(parts, tokens int) {
	ids := make([]string, 0, len(e.cached))
	for id := range e.cached {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(e.cached[a].lastUsed.Compare(e.cached[b].lastUsed), cmp.Compare(a, b))
	})
	for _, id := range ids {
		if len(e.cached) <= parts && e.cachedTokens <= tokens {
			return
		}
		e.evictPart(id)
	}
}

// clearCache removes all parts.
func (e *engineState) clearCache() {
	for id := range e.cached {
		e.evictPart(id)
	}
}

func (e *engineState) evictPart(id string) {
	e.cachedTokens -= e.cached[id].tokens
	delete(e.cached, id)
	e.pool.removeCacher(id, e)
}

// expired returns the requests whose ends are overdue.
func (e *engineState) expired(now time.Time) []string {
	var ids []string
	for id, r := range e.prefills {
		if now.Sub(r.sent) > requestExpiry {
			ids = append(ids, id)
		}
	}
	return ids
}
