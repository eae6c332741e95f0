// Package routes holds one accepted version of the routing configuration as an
// immutable table: which service a request goes to, what may be repeated, which
// client account a key belongs to. Readers share a table without a lock; a new
// version is a new table.
package routes

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Repeat says what may be repeated of a route's requests.
type RouteKind uint8

const (
	// Idempotent requests may run more than once.
	KindIdempotent RouteKind = iota
	// NonIdempotent requests run once at most.
	KindNonIdempotent
	// Streaming requests run once at most unless the route is resumable.
	KindStreaming
)

// Table is one version of the configuration.
type Table struct {
	// Version is the operator's number. It rises in uneven steps.
	Version int64
	// Revision is the store's revision of the version: the order in which
	// versions came into force.
	Revision uint64
	Services map[string]*Service
	Limits   Limits
	// NeedsKeys tells that the version has client accounts: requests of routes
	// that aren't anonymous carry the key of one.
	RequiresKeys bool

	byHost            map[string][]*Route
	accountsByKeyHash map[[sha256.Size]byte]*Account
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are sizes in bytes; 0 is no bound.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
}

// Route maps requests of a host and a path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer is on time; for streams
	// it holds for the first event.
	LatencyObjective time.Duration
	// MaxPause is the longest pause between two events of a stream that is
	// still on time.
	MaxEventGap time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Split lists the services that share the route's requests by weight.
	TrafficSplit []WeightedService
	// MaxAttempts is the number of targets that one request may be sent to.
	MaxAttempts int
	// Stages are the work that precedes the request's own, in the order in
	// which results depend on one another.
	Stages []Stage
	// Anonymous routes need no key.
	Anonymous bool
	// PromptRoute tells that requests carry prompts whose prefixes targets
	// cache.
	PrefixCaching bool
	// Resumable streams may go on at another target after the last whole event.
	Resumable bool
}

// MayRepeat tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// WeightedService is one service's share of a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Stage is one step of a pipeline before the request's own target.
type Stage struct {
	Service string
	// After lists the stages whose results this one needs.
	After []int
	// ResultBytes is the usual size of one result.
	ResultBytes int64
}

// FinalStages returns the stages whose results no other stage needs: those that
// the request's own target reads.
func (r *Route) FinalStages() []int {
	var final []int
	for i := range r.Stages {
		needed := slices.ContainsFunc(r.Stages, func(s Stage) bool { return slices.Contains(s.After, i) })
		if !needed {
			final = append(final, i)
		}
	}
	return final
}

// Service is a pool of targets that run the same software.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to one target from all callers.
	MaxConnections int
	// Slots is the number of requests that one target runs at once; 0 where the
	// configuration doesn't say.
	Slots int
	// CacheTokens is the room for prompts at one target, in tokens; 0 where the
	// configuration doesn't say.
	CacheTokens int
	// Batch is set for services that take pieces of stages in batches.
	Batch *BatchConfig
}

// Batch describes how one target of a stage service works. All values are for
// one target.
type BatchConfig struct {
	// Slots is the number of calls in progress, Queue of those that may wait.
	Slots, Queue int
	// MaxPieces bounds the pieces of one call.
	MaxPieces int
	// CallTime is what each call takes, PieceTime what each piece adds.
	CallTime, PieceTime time.Duration
	// ResultBytes is the room for results that are kept.
	ResultCapacity int64
	// KeepFor is how long a result is kept that nobody frees.
	ResultTTL time.Duration
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before the route's; nil where the account has none.
	Priority *int
}

// Build indexes the routes and the accounts of a version. Keys are kept as
// hashes alone, so that no dump of the memory's tables shows one.
func Build(t Table, all []*Route, keys map[string]*Account) *Table {
	t.byHost = make(map[string][]*Route)
	for _, r := range all {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.accountsByKeyHash = make(map[[sha256.Size]byte]*Account, len(keys))
	for key, account := range keys {
		t.accountsByKeyHash[sha256.Sum256([]byte(key))] = account
	}
	return &t
}

// Match returns the route of a host with the longest prefix that begins path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Account returns the client account that holds a key.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	a, ok := t.accountsByKeyHash[sha256.Sum256([]byte(key))]
	return a, ok
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}
