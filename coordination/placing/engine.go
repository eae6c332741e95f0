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
	wordDelay = 60 * time.Millisecond
	// forgetAfter is when a request counts as over of whose end no word came.
	forgetAfter = 10 * time.Second
	// gonePause is how long an engine gets nothing at whose address nothing listens; it
	// doubles up to mostGonePause.
	gonePause     = 400 * time.Millisecond
	mostGonePause = 4 * time.Second
	// goneCost is what a request costs at such an engine: more than at any other.
	goneCost = time.Minute
	// cacheShare is the share of an engine's room that is counted on for prompts; the
	// rest belongs to requests that run.
	cacheShare = 0.7
	// maxParts bounds the parts that are remembered of one engine where its room isn't
	// known, and in any case.
	maxParts = 4096
	// evictShare is the part of the bounds that is made free at once.
	evictShare = 8
)

// engine is what is known of one engine.
type engine struct {
	Engine
	pool *pool
	// reading are the requests whose first events have not come, by id; firstDue and
	// lastDue are when the first events of the first and the last are predicted.
	reading           map[string]read
	firstDue, lastDue time.Time
	// cached are the parts that it has read, cachedTokens their length.
	cached       map[string]*cachedPart
	cachedTokens int
	// slow is how many times the usual time it takes, as a moving average.
	slow float64
	// goneUntil is when an engine is tried again at whose address nothing listened, gone
	// how often in a row that was so.
	goneUntil time.Time
	gone      int
}

// read is a request that an engine reads.
type read struct {
	sent time.Time
	// due is when its first event is predicted to come.
	due    time.Time
	unread int
	// alone tells that nothing was read before it.
	alone bool
}

type cachedPart struct {
	tokens int
	used   time.Time
	// shared tells that other requests read it too.
	shared bool
}

func newEngine(p *pool, e Engine) *engine {
	return &engine{Engine: e, pool: p, reading: map[string]read{}, cached: map[string]*cachedPart{}, slow: 1}
}

// begin notes that the engine reads a request.
func (e *engine) begin(id string, r read) {
	e.reading[id] = r
	e.noteDue(r.due)
}

// end notes that it reads a request no more.
func (e *engine) end(id string) {
	delete(e.reading, id)
	e.firstDue, e.lastDue = time.Time{}, time.Time{}
	for _, r := range e.reading {
		e.noteDue(r.due)
	}
}

func (e *engine) noteDue(due time.Time) {
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
func (e *engine) wait(now time.Time) time.Duration {
	if len(e.reading) == 0 {
		return 0
	}
	behind := max(now.Sub(e.firstDue)-wordDelay, 0)
	return max(e.lastDue.Sub(now), 0) + behind
}

// readTime is how long the engine takes until the first event of a request of whose
// prompt it has to read so many tokens.
func (e *engine) readTime(unread int) time.Duration {
	return duration(e.pool.model.seconds(unread) * e.slow)
}

// readCost is the weighted time; it is the greater the slower the engine and the longer
// what it has to read.
func (e *engine) readCost(unread int) time.Duration {
	m := &e.pool.model
	extra := float64(unread) * m.token * e.slow * (unreadWeight - 1)
	return duration(m.seconds(unread)*e.slow + extra)
}

// delay is what a request that is sent now costs beside the reading of its prompt.
func (e *engine) delay(now time.Time) time.Duration {
	if now.Before(e.goneUntil) {
		return e.wait(now) + goneCost
	}
	return e.wait(now)
}

// isGone notes that nothing listens at the engine's address. Askers that found out before
// the pause began tell nothing new.
func (e *engine) isGone(now time.Time) {
	if now.Before(e.goneUntil) {
		return
	}
	e.goneUntil = now.Add(min(gonePause<<min(e.gone, 8), mostGonePause))
	e.gone++
}

// unread is how many tokens of a prompt the engine has to read: a part counts as read
// only behind all parts before it.
func (e *engine) unread(p *Prompt) int {
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
func (e *engine) cache(now time.Time, parts []Part, shared, room int) {
	for i, part := range parts {
		c := e.cached[part.ID]
		if c == nil {
			c = &cachedPart{tokens: part.Tokens}
			e.cached[part.ID] = c
			e.cachedTokens += part.Tokens
			e.pool.hold(part.ID, e)
		}
		c.used = now
		c.shared = c.shared || i < shared
	}
	tokens := math.MaxInt
	if room > 0 {
		tokens = int(cacheShare * float64(room))
	}
	if len(e.cached) > maxParts || e.cachedTokens > tokens {
		e.evict(maxParts/evictShare*(evictShare-1), tokens/evictShare*(evictShare-1))
	}
}

// evict forgets the parts that were used longest ago, as engines do, until there are
// fewer parts and tokens than the given.
func (e *engine) evict(parts, tokens int) {
	ids := make([]string, 0, len(e.cached))
	for id := range e.cached {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(e.cached[a].used.Compare(e.cached[b].used), cmp.Compare(a, b))
	})
	for _, id := range ids {
		if len(e.cached) <= parts && e.cachedTokens <= tokens {
			return
		}
		e.forgetPart(id)
	}
}

// forgetParts forgets all that the engine has read.
func (e *engine) forgetParts() {
	for id := range e.cached {
		e.forgetPart(id)
	}
}

func (e *engine) forgetPart(id string) {
	e.cachedTokens -= e.cached[id].tokens
	delete(e.cached, id)
	e.pool.release(id, e)
}

// lost lists the requests of whose end no word came.
func (e *engine) lost(now time.Time) []string {
	var ids []string
	for id, r := range e.reading {
		if now.Sub(r.sent) > forgetAfter {
			ids = append(ids, id)
		}
	}
	return ids
}
