package placing

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// wordDelay is how much later than an engine's first event its word comes: the
	// way through the instance that serves the request, which gathers such words.
	reportDelay = 60 * time.Millisecond
	// forgetAfter is when a request counts as over of whose end no word came.
	requestExpiry = 10 * time.Second
	// gonePause is how long an engine gets nothing at whose address nothing listens; it
	// doubles up to mostGonePause.
	unreachableBackoff    = 400 * time.Millisecond
	maxUnreachableBackoff = 4 * time.Second
	// goneCost is what a request costs at such an engine: more than at any other.
	unreachablePenalty = time.Minute
	// cacheShare is the share of an engine's room that is counted on for prompts; the
	// rest belongs to requests that run.
	cacheShare = 0.7
	// maxParts bounds the parts that are remembered of one engine where its room isn't
	// known, and in any case.
	maxCachedParts = 4096
	// evictShare is the part of the bounds that is made free at once.
	evictDivisor = 8
)

// engine is what is known of one engine.
type engineState struct {
	Engine
	pool *poolState
	// reading are the requests whose first events have not come, by id; firstDue and
	// lastDue are when the first events of the first and the last are predicted.
	prefills          map[string]prefill
	firstDue, lastDue time.Time
	// cached are the parts that it has read, cachedTokens their length.
	cached       map[string]*cachedPart
	cachedTokens int
	// slow is how many times the usual time it takes, as a moving average.
	slowdown float64
	// goneUntil is when an engine is tried again at whose address nothing listened, gone
	// how often in a row that was so.
	avoidUntil       time.Time
	unreachableCount int
}

// read is a request that an engine reads.
type prefill struct {
	sent time.Time
	// due is when its first event is predicted to come.
	due      time.Time
	uncached int
	// alone tells that nothing was read before it.
	engineIdle bool
}

type cachedPart struct {
	tokens   int
	lastUsed time.Time
	// shared tells that other requests read it too.
	shared bool
}

func newEngineState(p *poolState, e Engine) *engineState {
	return &engineState{Engine: e, pool: p, prefills: map[string]prefill{}, cached: map[string]*cachedPart{}, slowdown: 1}
}

// begin notes that the engine reads a request.
func (e *engineState) startPrefill(id string, r prefill) {
	e.prefills[id] = r
	e.extendDue(r.due)
}

// end notes that it reads a request no more.
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

// wait is how long a request that is sent now waits for those before it. An engine
// behind its predictions counts as that much longer taken: one that is dead or silent
// gets less and less without a word from anybody.
func (e *engineState) queueWait(now time.Time) time.Duration {
	if len(e.prefills) == 0 {
		return 0
	}
	behind := max(now.Sub(e.firstDue)-reportDelay, 0)
	return max(e.lastDue.Sub(now), 0) + behind
}

// readTime is how long the engine takes until the first event of a request of whose
// prompt it has to read so many tokens.
func (e *engineState) prefillTime(unread int) time.Duration {
	return duration(e.pool.model.seconds(unread) * e.slowdown)
}

// readCost is the weighted time; it is the greater the slower the engine and the longer
// what it has to read.
func (e *engineState) prefillCost(unread int) time.Duration {
	m := &e.pool.model
	extra := float64(unread) * m.perToken * e.slowdown * (uncachedWeight - 1)
	return duration(m.seconds(unread)*e.slowdown + extra)
}

// delay is what a request that is sent now costs beside the reading of its prompt.
func (e *engineState) queueCost(now time.Time) time.Duration {
	if now.Before(e.avoidUntil) {
		return e.queueWait(now) + unreachablePenalty
	}
	return e.queueWait(now)
}

// isGone notes that nothing listens at the engine's address. Askers that found out before
// the pause began tell nothing new.
func (e *engineState) markUnreachable(now time.Time) {
	if now.Before(e.avoidUntil) {
		return
	}
	e.avoidUntil = now.Add(min(unreachableBackoff<<min(e.unreachableCount, 8), maxUnreachableBackoff))
	e.unreachableCount++
}

// unread is how many tokens of a prompt the engine has to read: a part counts as read
// only behind all parts before it.
func (e *engineState) uncachedTokens(p *Prompt) int {
	left := p.Tokens
	for _, part := range p.Parts {
		if e.cached[part.ID] == nil {
			break
		}
		left -= part.Tokens
	}
	return max(left, 0)
}

// cache notes that the engine reads parts of prompts, of which the first are shared.
func (e *engineState) addToCache(now time.Time, parts []Part, shared, room int) {
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
	if room > 0 {
		tokens = int(cacheShare * float64(room))
	}
	if len(e.cached) > maxCachedParts || e.cachedTokens > tokens {
		e.evict(maxCachedParts/evictDivisor*(evictDivisor-1), tokens/evictDivisor*(evictDivisor-1))
	}
}

// evict forgets the parts that were used longest ago, as engines do, until there are
// fewer parts and tokens than the given.
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

// forgetParts forgets all that the engine has read.
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

// lost lists the requests of whose end no word came.
func (e *engineState) expired(now time.Time) []string {
	var ids []string
	for id, r := range e.prefills {
		if now.Sub(r.sent) > requestExpiry {
			ids = append(ids, id)
		}
	}
	return ids
}
