package budget

import (
	"math"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// allowance is the part of one account's budget that this instance may spend.
type allowance struct {
	// granted is the number of tokens granted by the home, which expire at
	// grantExpires.
	granted      float64
	grantExpires time.Time
	// local is the number of tokens of the instance's local share.
	local float64
	// demand is the recent request rate per second.
	demand    float64
	updatedAt time.Time

	seq            uint32
	requestedAt    time.Time
	requestPending bool
	homeEmptyUntil time.Time

	// homeFailed means that the home did not respond to the last request.
	// fallbackStart is the start of the last period in which this instance spent
	// its equal share of the whole budget without the home.
	homeFailed    bool
	fallbackStart time.Time

	view *view
	home string
	rate float64
}

// demandWindow is the time over which an account's demand is averaged.
const demandWindow = time.Second

// refresh updates the allowance to the current time, membership and record.
func (a *allowance) refresh(now time.Time, c Config, v *view, account *catalog.Account, existed bool) {
	if a.view != v {
		a.view = v
		a.home = v.home(account.Name)
		a.homeEmptyUntil = time.Time{}
		a.requestPending = false
		a.homeFailed = false
	}
	a.applyRecord(account)
	if a.inFallback(now, c) {
		c.LocalShare = 1
	}
	rate, size := localBucket(c, v, account)
	if !existed {
		a.local = size
		a.updatedAt = now
	}
	if elapsed := now.Sub(a.updatedAt); elapsed > 0 {
		a.local += rate * elapsed.Seconds()
		a.demand *= math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
		a.updatedAt = now
	}
	a.local = min(a.local, size)
	a.demand += 1 / demandWindow.Seconds()
	if !now.Before(a.grantExpires) {
		a.granted = 0
	}
}

// applyRecord applies a changed record at once: it scales down tokens that were
// granted under a higher rate, and lets an account that had to wait for its home
// request a grant again.
func (a *allowance) applyRecord(account *catalog.Account) {
	if a.rate == account.RequestsPerSecond {
		return
	}
	if a.rate > account.RequestsPerSecond {
		a.granted *= account.RequestsPerSecond / a.rate
	}
	a.rate = account.RequestsPerSecond
	a.homeEmptyUntil = time.Time{}
}

// localBucket returns the rate, in tokens per second, and the size of the token
// bucket of an instance's local share.
func localBucket(c Config, v *view, account *catalog.Account) (rate, size float64) {
	part := c.LocalShare / float64(v.listed)
	return account.RequestsPerSecond * part, max(burst(account)*part, 1)
}

// spendToken spends one token, a granted one first since those expire.
func (a *allowance) spendToken() bool {
	switch {
	case a.granted >= 1:
		a.granted--
	case a.local >= 1:
		a.local--
	default:
		return false
	}
	return true
}

// minPrefetch is the smallest chunk that is prefetched: a single token of an account
// with few requests would mostly expire unspent.
const minPrefetch = 2

// prefetch returns a grant request for the next chunk if the remaining tokens last for
// less than half of the horizon, or nil.
func (a *allowance) prefetch(now time.Time, c Config, account string) *GrantRequest {
	needed := a.demand * c.Horizon.Seconds()
	if needed < minPrefetch || a.granted+a.local >= needed/2 || now.Before(a.homeEmptyUntil) {
		return nil
	}
	return a.newRequest(now, c, account)
}

// newRequest returns a grant request, or nil if one is in progress. A request
// without a response counts as in progress for twice RequestTimeout.
func (a *allowance) newRequest(now time.Time, c Config, account string) *GrantRequest {
	if a.requestPending && now.Sub(a.requestedAt) < 2*c.RequestTimeout {
		return nil
	}
	a.seq++
	a.requestPending = true
	a.requestedAt = now
	return &GrantRequest{
		Account: account,
		From:    c.Self,
		Home:    a.home,
		Seq:     a.seq,
		Tokens:  float32(max(math.Ceil(a.demand*c.Horizon.Seconds()), 1)),
	}
}

// applyGrant adds a grant. It accepts only the response to the newest grant request,
// so that a duplicated grant is not spent twice.
func (a *allowance) applyGrant(now time.Time, c Config, g Grant) {
	if !a.requestPending || g.Seq != a.seq {
		return
	}
	a.requestPending = false
	a.homeFailed = false
	if g.RetryAfterMS > 0 {
		pause := time.Duration(g.RetryAfterMS) * time.Millisecond
		a.homeEmptyUntil = now.Add(max(pause, c.RequestBackoff))
	}
	if !now.Before(a.grantExpires) {
		a.granted = 0
	}
	a.granted += float64(g.Tokens)
	a.grantExpires = now.Add(c.GrantTTL)
}

// requestFailed records that the newest grant request got no response, and starts
// the fallback.
//
// Without the fallback, requests of a failed home's accounts would be refused, with
// their budgets unspent, until the membership detects the failure. A home that is
// alive and only unreachable goes on granting to others, so the time in fallback is
// bounded, however often responses arrive or fail meanwhile.
func (a *allowance) requestFailed(now time.Time, c Config, request GrantRequest) {
	if !a.requestPending || request.Seq != a.seq {
		return
	}
	a.requestPending = false
	a.homeFailed = true
	a.homeEmptyUntil = now.Add(c.RequestBackoff) // a failed home must not get requests in a tight loop
	if a.fallbackStart.IsZero() || now.Sub(a.fallbackStart) >= fallbackSpacing*c.MaxFallback {
		a.fallbackStart = now
	}
}

// fallbackSpacing is the least time between the starts of two fallbacks, as a
// multiple of MaxFallback.
const fallbackSpacing = 5

// inFallback reports whether the instance may spend without the home now.
func (a *allowance) inFallback(now time.Time, c Config) bool {
	return a.homeFailed && now.Sub(a.fallbackStart) < c.MaxFallback
}

// retryAfter returns the time until the next token, from the home or from the local
// share.
func (a *allowance) retryAfter(now time.Time, c Config, v *view, account *catalog.Account) time.Duration {
	rate, _ := localBucket(c, v, account)
	wait := secondsToDuration((1 - a.local) / rate)
	if fromHome := a.homeEmptyUntil.Sub(now); fromHome > 0 {
		wait = min(wait, fromHome)
	}
	return max(wait, time.Millisecond)
}
