// Package budget keeps client accounts within their request budgets over all
// instances, with no call to the store. Each account has a home instance,
// chosen by rendezvous hashing, that grants the others small chunks of its
// budget; a part of the budget is each instance's own, so that an instance that
// hears of no home still serves its fair share.
//
// Bound: in any time T with m changes of membership that take up to D to reach
// every instance, one account is served at most
//
//	Burst + Rate*(T + Expiry + m*D) + (N + m)*max(Floor*Burst/N, 1)
//
// requests by N listed instances, however they part, die and join. While a home
// does not answer, and no change of membership follows, the others spend their
// equal shares without it: at most Rate*(SilentFor + T/5) beside what it grants.
package budget

import (
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Verdict is what becomes of a request.
type Verdict uint8

// The verdicts.
const (
	// Allowed means that the request was paid for.
	Allowed Verdict = iota + 1
	// Pending means that the home has been asked: call Allow again when its
	// grant was taken in, or after Decision.RetryAfter.
	Pending
	// Refused means that the budget is used up until Decision.RetryAfter.
	Refused
)

// Decision answers one request of an account.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
	// Ask is to be sent to the account's home; nil when there is none to send.
	Request *GrantRequest
}

// Ask asks an account's home for a chunk of its budget.
type GrantRequest struct {
	Account string  `msgpack:"a"`
	From    string  `msgpack:"f"`
	Home    string  `msgpack:"-"`
	Seq     uint32  `msgpack:"s"`
	Tokens  float32 `msgpack:"t"`
}

// Grant answers an Ask. A grant that is lost is spent: the home has taken the
// tokens out of the account's budget already.
type Grant struct {
	Account string  `msgpack:"a"`
	Seq     uint32  `msgpack:"s"`
	Tokens  float32 `msgpack:"t"`
	// RetryAfterMS is when the home will have a token again, when it has none
	// left and could not grant all.
	RetryAfterMS uint32 `msgpack:"r"`
}

// Defaults of Config.
const (
	DefaultLocalShare     = 0.05
	DefaultHorizon        = 500 * time.Millisecond
	DefaultGrantTTL       = 2 * time.Second
	DefaultRequestTimeout = 50 * time.Millisecond
	DefaultRequestBackoff = 100 * time.Millisecond
	DefaultMaxFallback    = 10 * time.Second
	DefaultMaxAccounts    = 4096
)

// Config sets a Ledger. Zero values take the defaults.
type Config struct {
	// Self is the name of this instance.
	Self string
	// Floor is the share of each budget, 0 to 1, that is divided among the
	// instances beforehand and needs no home.
	LocalShare float64
	// Horizon is how long a chunk is to last at the present demand.
	Horizon time.Duration
	// Expiry is how long a granted chunk may be spent.
	GrantTTL time.Duration
	// AskTimeout is how long an ask may go unanswered.
	RequestTimeout time.Duration
	// AskPause is how long no ask follows one that left the home without a
	// token: it bounds the messages for an account that is over its budget.
	RequestBackoff time.Duration
	// SilentFor is how long an instance does without a home that does not
	// answer: longer than the membership takes to notice that it is dead.
	MaxFallback time.Duration
	// Accounts bounds the accounts remembered here, as spender and as home; it
	// has to exceed those that are active within Burst/Rate.
	MaxAccounts int
}

func (c Config) withDefaults() Config {
	if c.LocalShare <= 0 || c.LocalShare >= 1 {
		c.LocalShare = DefaultLocalShare
	}
	if c.Horizon <= 0 {
		c.Horizon = DefaultHorizon
	}
	if c.GrantTTL <= 0 {
		c.GrantTTL = DefaultGrantTTL
	}
	if c.RequestTimeout <= 0 {
		c.RequestTimeout = DefaultRequestTimeout
	}
	if c.RequestBackoff <= 0 {
		c.RequestBackoff = DefaultRequestBackoff
	}
	if c.MaxFallback <= 0 {
		c.MaxFallback = DefaultMaxFallback
	}
	if c.MaxAccounts <= 0 {
		c.MaxAccounts = DefaultMaxAccounts
	}
	return c
}

// Unlimited tells whether an account has no budget.
func Unlimited(a *catalog.Account) bool { return a.RequestsPerSecond <= 0 }

// burst is the account's burst, never less than the one token that a request
// takes.
func burst(a *catalog.Account) float64 { return max(a.Burst, 1) }
