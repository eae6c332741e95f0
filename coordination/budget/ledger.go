package budget

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/shard"
)

const shardCount = 16

// Ledger holds one instance's part of the account budgets: what the instance may
// spend, and what it grants to others as the home of an account. It is safe for
// concurrent use.
type Ledger struct {
	config     Config
	view       atomic.Pointer[view]
	allowances *shard.Map[string, allowance]
	buckets    *shard.Map[string, homeBucket]
}

// NewLedger returns a ledger that starts at now and knows no other instance.
func NewLedger(now time.Time, c Config) *Ledger {
	c = c.withDefaults()
	l := &Ledger{
		config:     c,
		allowances: shard.NewMap[string, allowance](shardCount, c.MaxAccounts),
		buckets:    shard.NewMap[string, homeBucket](shardCount, c.MaxAccounts),
	}
	l.view.Store(&view{since: now, members: []string{c.Self}, listed: 1})
	return l
}

// SetMembers sets the reachable instances, this one included, and the number of
// instances that the platform lists. The caller serialises calls.
func (l *Ledger) SetMembers(now time.Time, members []string, listed int) {
	next := &view{
		since:    now,
		members:  append([]string(nil), members...),
		listed:   max(listed, len(members), 1),
		previous: l.view.Load(),
	}
	next.trim()
	l.view.Store(next)
	// An instance drops an account's bucket when it stops being the account's home. A
	// bucket that it kept would have refilled by the time the account returns, and the
	// home in between has a bucket of its own. Each move away and back would then give
	// the account another burst.
	l.buckets.DeleteFunc(func(account string, _ *homeBucket) bool {
		return next.home(account) != l.config.Self
	})
}

// Allow decides on one request of an account. account is the record currently in
// force.
func (l *Ledger) Allow(now time.Time, account *catalog.Account) Decision {
	if Unlimited(account) {
		return Decision{Verdict: Allowed}
	}
	v := l.view.Load()
	var d Decision
	l.allowances.Update(account.Name, func(a *allowance, existed bool) {
		a.refresh(now, l.config, v, account, existed)
		d = l.decide(now, v, account, a)
	})
	return d
}

func (l *Ledger) decide(now time.Time, v *view, account *catalog.Account, a *allowance) Decision {
	if a.home == l.config.Self {
		return l.decideAtHome(now, v, account, a)
	}
	if a.spendToken() {
		return Decision{Verdict: Allowed, Request: a.prefetch(now, l.config, account.Name)}
	}
	if now.Before(a.homeEmptyUntil) {
		return Decision{Verdict: Refused, RetryAfter: a.retryAfter(now, l.config, v, account)}
	}
	if request := a.newRequest(now, l.config, account.Name); request != nil {
		return Decision{Verdict: Pending, RetryAfter: l.config.RequestTimeout, Request: request}
	}
	if left := l.config.RequestTimeout - now.Sub(a.requestedAt); left > 0 && a.requestPending {
		return Decision{Verdict: Pending, RetryAfter: left}
	}
	return Decision{Verdict: Refused, RetryAfter: a.retryAfter(now, l.config, v, account)}
}

// decideAtHome decides on a request at the account's home, which spends its local
// share first, then the bucket.
func (l *Ledger) decideAtHome(now time.Time, v *view, account *catalog.Account, a *allowance) Decision {
	if a.spendToken() {
		return Decision{Verdict: Allowed}
	}
	granted, wait := l.withdraw(now, v, account, 1)
	if granted >= 1 {
		return Decision{Verdict: Allowed}
	}
	return Decision{Verdict: Refused, RetryAfter: wait}
}

// Grant responds to another instance's grant request. account is the record on this
// instance. An instance that is not the home in its own view grants nothing: the
// requester has another view, and two homes would grant the budget twice.
func (l *Ledger) Grant(now time.Time, request GrantRequest, account *catalog.Account) Grant {
	v := l.view.Load()
	out := Grant{Account: request.Account, Seq: request.Seq}
	if v.home(request.Account) != l.config.Self {
		out.RetryAfterMS = uint32(l.config.RequestTimeout.Milliseconds())
		return out
	}
	if Unlimited(account) {
		out.Tokens = request.Tokens // the requester does not have the changed record yet
		return out
	}
	tokens, wait := l.withdraw(now, v, account, float64(request.Tokens))
	out.Tokens = float32(tokens)
	if tokens < float64(request.Tokens) {
		out.RetryAfterMS = uint32(wait.Milliseconds())
	}
	return out
}

// ApplyGrant adds the response to a grant request of this instance.
func (l *Ledger) ApplyGrant(now time.Time, g Grant) {
	l.allowances.View(g.Account, func(a *allowance) { a.applyGrant(now, l.config, g) })
}

// RequestFailed records that a grant request of this instance got no response: the
// home has failed or is unreachable. Until a response arrives or the membership
// changes, but for no longer than MaxFallback, this instance spends an equal share
// of the whole budget without the home.
func (l *Ledger) RequestFailed(now time.Time, request GrantRequest) {
	l.allowances.View(request.Account, func(a *allowance) { a.requestFailed(now, l.config, request) })
}

// Accounts returns the numbers of accounts held as spender and as home.
func (l *Ledger) Accounts() (spending, homes int) {
	return l.allowances.Len(), l.buckets.Len()
}

// withdraw withdraws whole tokens from an account's bucket at its home: one, or at
// most half of the bucket, so that one instance's chunk does not exhaust the
// budget for the others. If less than one is left, it also returns the time until
// there is one again.
func (l *Ledger) withdraw(now time.Time, v *view, account *catalog.Account, tokens float64) (float64, time.Duration) {
	var granted float64
	var wait time.Duration
	l.buckets.Update(account.Name, func(b *homeBucket, existed bool) {
		if !existed {
			b.refilledAt = v.homeSince(account.Name, l.config.Self)
		}
		rate := b.refill(now, l.config, v, account)
		granted = math.Floor(min(tokens, max(1, b.tokens/2), b.tokens))
		b.tokens -= granted
		if b.tokens < 1 {
			wait = secondsToDuration((1 - b.tokens) / rate)
		}
	})
	return granted, wait
}

// homeBucket is an account's token bucket at its home. It starts empty at the time
// when the instance became the home, because the previous home may have granted
// everything up to then.
type homeBucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *homeBucket) refill(now time.Time, c Config, v *view, account *catalog.Account) (rate float64) {
	part := (1 - c.LocalShare) * v.share()
	rate = account.RequestsPerSecond * part
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, max(burst(account)*part, 1))
	return rate
}

func secondsToDuration(s float64) time.Duration {
	const longest = 3600.0
	return time.Duration(min(s, longest) * float64(time.Second))
}
