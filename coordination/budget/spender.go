package budget

import (
	"math"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// spender is what this instance may spend of one account's budget.
type spender struct {
	// chunk holds granted tokens, which end at expires.
	chunk   float64
	expires time.Time
	// floor holds tokens of the instance's own part.
	floor float64
	// demand is the recent rate of requests a second.
	demand float64
	last   time.Time

	seq        uint32
	askedAt    time.Time
	waiting    bool
	emptyUntil time.Time

	// silent tells that the home did not answer the last ask. silentFrom is
	// when the last span began in which this instance did without a home.
	silent     bool
	silentFrom time.Time

	view *view
	home string
	rate float64
}

// demandWindow is the time over which an account's demand is averaged.
const demandWindow = time.Second

// refresh brings the spender up to now, to the membership and to the record.
func (s *spender) refresh(now time.Time, c Config, v *view, account *catalog.Account, existed bool) {
	if s.view != v {
		s.view = v
		s.home = v.home(account.Name)
		s.emptyUntil = time.Time{}
		s.waiting = false
		s.silent = false
	}
	s.adopt(account)
	if s.alone(now, c) {
		c.Floor = 1
	}
	rate, most := floorOf(c, v, account)
	if !existed {
		s.floor = most
		s.last = now
	}
	if elapsed := now.Sub(s.last); elapsed > 0 {
		s.floor += rate * elapsed.Seconds()
		s.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		s.last = now
	}
	s.floor = min(s.floor, most)
	s.demand += 1 / demandWindow.Seconds()
	if !now.Before(s.expires) {
		s.chunk = 0
	}
}

// adopt takes a changed record into force at once: tokens that were granted
// under the old rate shrink with it, and an account that was told to wait asks
// again when its rate rose.
func (s *spender) adopt(account *catalog.Account) {
	if s.rate == account.RequestsPerSecond {
		return
	}
	if s.rate > account.RequestsPerSecond {
		s.chunk *= account.RequestsPerSecond / s.rate
	}
	s.rate = account.RequestsPerSecond
	s.emptyUntil = time.Time{}
}

// floorOf returns the rate, in tokens a second, and the most tokens of an
// instance's own part of a budget.
func floorOf(c Config, v *view, account *catalog.Account) (rate, most float64) {
	part := c.Floor / float64(v.listed)
	return account.RequestsPerSecond * part, max(burst(account)*part, 1)
}

// pay takes one token, granted ones first since they expire.
func (s *spender) pay() bool {
	switch {
	case s.chunk >= 1:
		s.chunk--
	case s.floor >= 1:
		s.floor--
	default:
		return false
	}
	return true
}

// minPrefetch is the least chunk that is asked for ahead of need: a single token
// of an account that comes seldom would mostly end unspent.
const minPrefetch = 2

// prefetch asks for the next chunk once the present one no longer lasts for
// half of the horizon.
func (s *spender) prefetch(now time.Time, c Config, account string) *Ask {
	lasts := s.demand * c.Horizon.Seconds()
	if lasts < minPrefetch || s.chunk+s.floor >= lasts/2 || now.Before(s.emptyUntil) {
		return nil
	}
	return s.ask(now, c, account)
}

// ask makes an ask unless one is on its way.
func (s *spender) ask(now time.Time, c Config, account string) *Ask {
	if s.waiting && now.Sub(s.askedAt) < 2*c.AskTimeout {
		return nil
	}
	s.seq++
	s.waiting = true
	s.askedAt = now
	return &Ask{
		Account: account,
		From:    c.Self,
		Home:    s.home,
		Seq:     s.seq,
		Tokens:  float32(max(math.Ceil(s.demand*c.Horizon.Seconds()), 1)),
	}
}

// granted takes in a grant. Only the answer to the newest ask counts: a grant
// that comes twice must not be spent twice.
func (s *spender) granted(now time.Time, c Config, g Grant) {
	if !s.waiting || g.Seq != s.seq {
		return
	}
	s.waiting = false
	s.silent = false
	if g.RetryAfterMS > 0 {
		pause := time.Duration(g.RetryAfterMS) * time.Millisecond
		s.emptyUntil = now.Add(max(pause, c.AskPause))
	}
	if !now.Before(s.expires) {
		s.chunk = 0
	}
	s.chunk += float64(g.Tokens)
	s.expires = now.Add(c.Expiry)
}

// unanswered notes that the newest ask gets no answer.
//
// Without it a dead home would have its accounts refused, with their budgets
// unspent, until the membership notices. A home that lives and is only out of
// reach goes on granting to others, so the time in which an instance does
// without is bounded, however often answers come and go meanwhile.
func (s *spender) unanswered(now time.Time, c Config, ask Ask) {
	if !s.waiting || ask.Seq != s.seq {
		return
	}
	s.waiting = false
	s.silent = true
	s.emptyUntil = now.Add(c.AskPause) // a dead home is not asked in a tight loop
	if s.silentFrom.IsZero() || now.Sub(s.silentFrom) >= silentRest*c.SilentFor {
		s.silentFrom = now
	}
}

// silentRest is the least time between the begins of two spans without a home,
// as a multiple of SilentFor.
const silentRest = 5

// alone tells whether the instance may do without the home now.
func (s *spender) alone(now time.Time, c Config) bool {
	return s.silent && now.Sub(s.silentFrom) < c.SilentFor
}

// retryAfter is when the next token comes, from the home or the floor.
func (s *spender) retryAfter(now time.Time, c Config, v *view, account *catalog.Account) time.Duration {
	rate, _ := floorOf(c, v, account)
	wait := secondsToDuration((1 - s.floor) / rate)
	if fromHome := s.emptyUntil.Sub(now); fromHome > 0 {
		wait = min(wait, fromHome)
	}
	return max(wait, time.Millisecond)
}
