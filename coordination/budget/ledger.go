package budget

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/state/shard"
)

const shardCount = 16

// Ledger is one instance's part in the account budgets: what it may spend, and
// what it grants as a home. It may be called from many goroutines.
type Ledger struct {
	config     Config
	view       atomic.Pointer[view]
	allowances *shard.Map[string, allowance]
	buckets    *shard.Map[string, homeBucket]
}

// NewLedger makes a ledger that starts at now and knows of no other instance.
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

// SetMembers tells which instances are heard, this one included, and how many
// the platform lists. Calls are serialised by the caller.
func (l *Ledger) SetMembers(now time.Time, members []string, listed int) {
	next := &view{
		since:    now,
		members:  append([]string(nil), members...),
		listed:   max(listed, len(members), 1),
		previous: l.view.Load(),
	}
	next.trim()
	l.view.Store(next)
	// A home that lost an account forgets its bucket. Kept, the bucket would be
	// full again when the account comes back, while the home in between had a
	// bucket of its own: each flap would give the account a burst.
	l.buckets.DeleteFunc(func(account string, _ *homeBucket) bool {
		return next.home(account) != l.config.Self
	})
}

// Allow decides on one request of an account, by the record that is in force
// now.
func (l *Ledger) Allow(now time.Time, account *catalog.Account) Decision {
	if Unlimited(account) {
		return Decision{Verdict: Allowed}
	}
	v := l.view.Load()
	var d Decision
	l.allowances.Update(account.Name, func(s *allowance, existed bool) {
		s.refresh(now, l.config, v, account, existed)
		d = l.decide(now, v, account, s)
	})
	return d
}

func (l *Ledger) decide(now time.Time, v *view, account *catalog.Account, s *allowance) Decision {
	if s.home == l.config.Self {
		return l.decideAtHome(now, v, account, s)
	}
	if s.spendToken() {
		return Decision{Verdict: Allowed, Request: s.prefetch(now, l.config, account.Name)}
	}
	if now.Before(s.homeEmptyUntil) {
		return Decision{Verdict: Refused, RetryAfter: s.retryAfter(now, l.config, v, account)}
	}
	if ask := s.newRequest(now, l.config, account.Name); ask != nil {
		return Decision{Verdict: Pending, RetryAfter: l.config.RequestTimeout, Request: ask}
	}
	if left := l.config.RequestTimeout - now.Sub(s.requestedAt); left > 0 && s.requestPending {
		return Decision{Verdict: Pending, RetryAfter: left}
	}
	return Decision{Verdict: Refused, RetryAfter: s.retryAfter(now, l.config, v, account)}
}

// decideAtHome serves a request at the account's home: from its floor first,
// then from the bucket.
func (l *Ledger) decideAtHome(now time.Time, v *view, account *catalog.Account, s *allowance) Decision {
	if s.spendToken() {
		return Decision{Verdict: Allowed}
	}
	granted, wait := l.withdraw(now, v, account, 1)
	if granted >= 1 {
		return Decision{Verdict: Allowed}
	}
	return Decision{Verdict: Refused, RetryAfter: wait}
}

// Grant answers another instance's ask. account is the record as this instance
// has it. An instance that does not see itself as the home grants nothing: the
// ask comes from another view, and two homes would grant the budget twice.
func (l *Ledger) Grant(now time.Time, ask GrantRequest, account *catalog.Account) Grant {
	v := l.view.Load()
	out := Grant{Account: ask.Account, Seq: ask.Seq}
	if v.home(ask.Account) != l.config.Self {
		out.RetryAfterMS = uint32(l.config.RequestTimeout.Milliseconds())
		return out
	}
	if Unlimited(account) {
		out.Tokens = ask.Tokens // the asker has not heard of the change yet
		return out
	}
	tokens, wait := l.withdraw(now, v, account, float64(ask.Tokens))
	out.Tokens = float32(tokens)
	if tokens < float64(ask.Tokens) {
		out.RetryAfterMS = uint32(wait.Milliseconds())
	}
	return out
}

// Granted takes in the answer to an ask of this instance.
func (l *Ledger) ApplyGrant(now time.Time, g Grant) {
	l.allowances.View(g.Account, func(s *allowance) { s.applyGrant(now, l.config, g) })
}

// Unanswered tells that no answer to an ask of this instance comes: its home is
// dead or out of reach. Until an answer comes again or the membership changes,
// but for no longer than SilentFor, this instance spends an equal share of the
// whole budget without it.
func (l *Ledger) RequestFailed(now time.Time, ask GrantRequest) {
	l.allowances.View(ask.Account, func(s *allowance) { s.requestFailed(now, l.config, ask) })
}

// Accounts returns how many accounts are remembered as spender and as home.
func (l *Ledger) Accounts() (spending, homes int) {
	return l.allowances.Len(), l.buckets.Len()
}

// take pays tokens out of an account's bucket at its home: whole ones, and at
// most half of what there is beyond one, so that one instance's chunk never
// empties the budget for the others. When none is left it tells how long until
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

// homeBucket is an account's token bucket at its home. It starts empty at the
// moment when the home became the home: the one before may have granted
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
