package budget

import (
	"math"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// spender is what this instance may spend of one account's budget.
type allowance struct {
	// chunk holds granted tokens, which end at expires.
	granted      float64
	grantExpires time.Time
	// floor holds tokens of the instance's own part.
	local float64
	// demand is the recent rate of requests a second.
	demand    float64
	updatedAt time.Time

	seq            uint32
	requestedAt    time.Time
	requestPending bool
	homeEmptyUntil time.Time

	// silent tells that the home did not answer the last ask. silentFrom is
	// when the last span began in which this instance did without a home.
	homeFailed    bool
	fallbackStart time.Time

	view *view
	home string
	rate float64
}

// demandWindow is the time over which an account's demand is averaged.
const demandWindow = time.Second

// refresh brings the spender up to now, to the membership and to the record.
func (s *allowance) refresh(now time.Time, c Config, v *view, account *catalog.Account, existed bool) {
	if s.view != v {
		s.view = v
		s.home = v.home(account.Name)
		s.homeEmptyUntil = time.Time{}
		s.requestPending = false
		s.homeFailed = false
	}
	s.applyRecord(account)
	if s.inFallback(now, c) {
		c.LocalShare = 1
	}
	rate, most := localBucket(c, v, account)
	if !existed {
		s.local = most
		s.updatedAt = now
	}
	if elapsed := now.Sub(s.updatedAt); elapsed > 0 {
		s.local += rate * elapsed.Seconds()
		s.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		s.updatedAt = now
	}
	s.local = min(s.local, most)
	s.demand += 1 / demandWindow.Seconds()
	if !now.Before(s.grantExpires) {
		s.granted = 0
	}
}

// adopt takes a changed record into force at once: tokens that were granted
// under the old rate shrink with it, and an account that was told to wait asks
// again when its rate rose.
func (s *allowance) applyRecord(account *catalog.Account) {
	if s.rate == account.RequestsPerSecond {
		return
	}
	if s.rate > account.RequestsPerSecond {
		s.granted *= account.RequestsPerSecond / s.rate
	}
	s.rate = account.RequestsPerSecond
	s.homeEmptyUntil = time.Time{}
}

// floorOf returns the rate, in tokens a second, and the most tokens of an
// instance's own part of a budget.
func localBucket(c Config, v *view, account *catalog.Account) (rate, most float64) {
	part := c.LocalShare / float64(v.listed)
	return account.RequestsPerSecond * part, max(burst(account)*part, 1)
}

// pay takes one token, granted ones first since they expire.
func (s *allowance) spendToken() bool {
	switch {
	case s.granted >= 1:
		s.granted--
	case s.local >= 1:
		s.local--
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
func (s *allowance) prefetch(now time.Time, c Config, account string) *GrantRequest {
	lasts := s.demand * c.Horizon.Seconds()
	if lasts < minPrefetch || s.granted+s.local >= lasts/2 || now.Before(s.homeEmptyUntil) {
		return nil
	}
	return s.newRequest(now, c, account)
}

// ask makes an ask unless one is on its way.
func (s *allowance) newRequest(now time.Time, c Config, account string) *GrantRequest {
	if s.requestPending && now.Sub(s.requestedAt) < 2*c.RequestTimeout {
		return nil
	}
	s.seq++
	s.requestPending = true
	s.requestedAt = now
	return &GrantRequest{
		Account: account,
		From:    c.Self,
		Home:    s.home,
		Seq:     s.seq,
		Tokens:  float32(max(math.Ceil(s.demand*c.Horizon.Seconds()), 1)),
	}
}

// granted takes in a grant. Only the answer to the newest ask counts: a grant
// that comes twice must not be spent twice.
func (s *allowance) applyGrant(now time.Time, c Config, g Grant) {
	if !s.requestPending || g.Seq != s.seq {
		return
	}
	s.requestPending = false
	s.homeFailed = false
	if g.RetryAfterMS > 0 {
		pause := time.Duration(g.RetryAfterMS) * time.Millisecond
		s.homeEmptyUntil = now.Add(max(pause, c.RequestBackoff))
	}
	if !now.Before(s.grantExpires) {
		s.granted = 0
	}
	s.granted += float64(g.Tokens)
	s.grantExpires = now.Add(c.GrantTTL)
}

// unanswered notes that the newest ask gets no answer.
//
// Without it a dead home would have its accounts refused, with their budgets
// unspent, until the membership notices. A home that lives and is only out of
// reach goes on granting to others, so the time in which an instance does
// without is bounded, however often answers come and go meanwhile.
func (s *allowance) requestFailed(now time.Time, c Config, ask GrantRequest) {
	if !s.requestPending || ask.Seq != s.seq {
		return
	}
	s.requestPending = false
	s.homeFailed = true
	s.homeEmptyUntil = now.Add(c.RequestBackoff) // a dead home is not asked in a tight loop
	if s.fallbackStart.IsZero() || now.Sub(s.fallbackStart) >= fallbackSpacing*c.MaxFallback {
		s.fallbackStart = now
	}
}

// silentRest is the least time between the begins of two spans without a home,
// as a multiple of SilentFor.
const fallbackSpacing = 5

// alone tells whether the instance may do without the home now.
func (s *allowance) inFallback(now time.Time, c Config) bool {
	return s.homeFailed && now.Sub(s.fallbackStart) < c.MaxFallback
}

// retryAfter is when the next token comes, from the home or the floor.
func (s *allowance) retryAfter(now time.Time, c Config, v *view, account *catalog.Account) time.Duration {
	rate, _ := localBucket(c, v, account)
	wait := secondsToDuration((1 - s.local) / rate)
	if fromHome := s.homeEmptyUntil.Sub(now); fromHome > 0 {
		wait = min(wait, fromHome)
	}
	return max(wait, time.Millisecond)
}
