// Package budget enforces the request budgets of client accounts across all
// instances, without calls to the store. Each account has a home instance, chosen
// by rendezvous hashing, that grants the others small chunks of its budget. A local
// share of the budget belongs to each instance, so that an instance that reaches no
// home still serves its fair share.
//
// Bound: in any time T with m changes of membership that take up to D to reach
// every instance, one account is served at most
//
//	Burst + Rate*(T + GrantTTL + m*D) + (N + m)*max(LocalShare*Burst/N, 1)
//
// requests by N listed instances, however they are partitioned, fail and join. If a
// home does not respond, and no change of membership follows, the others fall back
// to their equal shares without it: at most Rate*(MaxFallback + T/5) in addition to
// what the home grants.
package budget

import (
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Verdict is the result of a request against its account's budget.
type Verdict uint8

// The verdicts.
const (
	// Allowed means that a token was spent for the request.
	Allowed Verdict = iota + 1
	// Pending means that a grant request is in progress: call Allow again after
	// the grant was applied, or after Decision.RetryAfter.
	Pending
	// Refused means that the budget is exhausted for Decision.RetryAfter.
	Refused
)

// Decision is the decision on one request of an account.
type Decision struct {
	Verdict    Verdict
	RetryAfter time.Duration
	// Request is to be sent to the account's home; nil if there is none to send.
	Request *GrantRequest
}

// GrantRequest requests a chunk of an account's budget from its home.
type GrantRequest struct {
	Account string  `msgpack:"a"`
	From    string  `msgpack:"f"`
	Home    string  `msgpack:"-"`
	Seq     uint32  `msgpack:"s"`
	Tokens  float32 `msgpack:"t"`
}

// Grant is the response to a GrantRequest. The tokens of a lost grant count as
// spent: the home has already withdrawn them from the account's budget.
type Grant struct {
	Account string  `msgpack:"a"`
	Seq     uint32  `msgpack:"s"`
	Tokens  float32 `msgpack:"t"`
	// RetryAfterMS is the time until the home has a token again, if it has none left
	// and could not grant all that was requested.
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

// Config configures a Ledger. Zero values are replaced by the defaults.
type Config struct {
	// Self is the name of this instance.
	Self string
	// LocalShare is the share of each budget, 0 to 1, that is divided equally among
	// the instances and spent without the home.
	LocalShare float64
	// Horizon is how long a chunk should last at the current demand.
	Horizon time.Duration
	// GrantTTL is how long a granted chunk may be spent.
	GrantTTL time.Duration
	// RequestTimeout is how long a grant request may go unanswered.
	RequestTimeout time.Duration
	// RequestBackoff is the least time between a grant request that left the home
	// without a token, or got no response, and the next one. It bounds the messages
	// for an account that is over its budget.
	RequestBackoff time.Duration
	// MaxFallback is how long an instance spends without a home that does not
	// respond. It is longer than the membership takes to detect that the home failed.
	MaxFallback time.Duration
	// MaxAccounts bounds the accounts that the ledger holds as spender, and those that
	// it holds as home. It has to exceed the accounts active within Burst/Rate.
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

// Unlimited reports whether an account has no budget.
func Unlimited(a *catalog.Account) bool { return a.RequestsPerSecond <= 0 }

// burst returns the account's burst, but at least the one token that a request
// costs.
func burst(a *catalog.Account) float64 { return max(a.Burst, 1) }
