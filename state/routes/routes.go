// Package routes holds one accepted version of the routing configuration as an
// immutable table: which service a request is sent to, whether it may be
// repeated, and which client account a key belongs to. Readers share a table
// without a lock; a new version is a new table.
package routes

import (
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"time"
)

// RouteKind is the kind of a route's requests. It decides whether they may be
// repeated.
type RouteKind uint8

const (
	// KindIdempotent requests may run more than once.
	KindIdempotent RouteKind = iota
	// KindNonIdempotent requests run at most once.
	KindNonIdempotent
	// KindStreaming requests run at most once unless the route is resumable.
	KindStreaming
)

// Table is one version of the configuration.
type Table struct {
	// Version is the operator's version number. It increases, but not always by
	// one.
	Version int64
	// Revision is the store's revision of the version. Versions come into force in
	// the order of their revisions.
	Revision uint64
	Services map[string]*Service
	Limits   Limits
	// RequiresKeys means that the version has client accounts, and that requests
	// must carry the key of one unless their route is anonymous.
	RequiresKeys bool

	byHost map[string][]*Route
	// resumable has the services of resumable streams.
	resumable         []string
	accountsByKeyHash map[[sha256.Size]byte]*Account
}

// Limits bounds the size of a request.
type Limits struct {
	// MaxHeaderBytes and MaxBodyBytes are in bytes; 0 means no limit.
	MaxHeaderBytes int64
	MaxBodyBytes   int64
}

// Route maps the requests of a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout bounds the time that a caller waits for the response.
	Timeout time.Duration
	// LatencyObjective is the latency within which a response meets its
	// objective; for a stream, that of the first event.
	LatencyObjective time.Duration
	// MaxEventGap is the longest time between two events of a stream that meets
	// its objective.
	MaxEventGap time.Duration
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// TrafficSplit lists the services that share the route's requests by weight.
	TrafficSplit []WeightedService
	// MaxAttempts bounds the number of targets that one request is sent to.
	MaxAttempts int
	// Stages run before the request's own target. A stage depends only on stages
	// before it.
	Stages []Stage
	// Anonymous routes require no key.
	Anonymous bool
	// PrefixCaching means that requests carry prompts whose prefixes the targets
	// cache.
	PrefixCaching bool
	// Resumable streams may continue at another target after the last complete
	// event.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || (r.Kind == KindStreaming && r.Resumable)
}

// WeightedService is the share of a route's requests that a service receives.
type WeightedService struct {
	Service string
	Weight  float64
}

// Stage is a stage of a pipeline that runs before the request's own target.
type Stage struct {
	Service string
	// After lists the indices of the stages whose results this one needs.
	After []int
	// ResultBytes is the typical size of one result.
	ResultBytes int64
}

// FinalStages returns the indices of the stages whose results no other stage
// needs. The request's own target reads these results.
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
	// Slots is the number of requests that one target runs at once; 0 if the
	// configuration does not specify it.
	Slots int
	// CacheTokens is how many tokens of prompts one target can cache; 0 if the
	// configuration does not specify it.
	CacheTokens int
	// ColdRate is the number of requests a second that one target bears while it is cold; 0 if
	// the configuration does not specify it.
	ColdRate float64
	// Batch is set for services that run the pieces of stages in batches.
	Batch *BatchConfig
}

// BatchConfig describes how a target of a stage service runs batches of pieces.
// All values are per target.
type BatchConfig struct {
	// Slots bounds the calls in progress, Queue those that wait.
	Slots, Queue int
	// MaxPieces bounds the pieces of one call.
	MaxPieces int
	// CallTime is the fixed duration of a call; each piece adds PieceTime.
	CallTime, PieceTime time.Duration
	// ResultCapacity is the capacity for stored results, in bytes.
	ResultCapacity int64
	// ResultTTL is how long a result is stored unless it is freed earlier.
	ResultTTL time.Duration
	// LinkRate is the rate of a target's link in bits a second; 0 if the configuration does
	// not specify it.
	LinkRate int64
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides that of the route; nil if the account has none.
	Priority *int
}

// Build returns the table of a version with its routes and accounts indexed. It
// stores only hashes of the keys, so that a dump of the table does not reveal
// them.
func Build(t Table, all []*Route, keys map[string]*Account) *Table {
	t.byHost = make(map[string][]*Route)
	for _, r := range all {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	t.resumable = resumableServices(all)
	t.accountsByKeyHash = make(map[[sha256.Size]byte]*Account, len(keys))
	for key, account := range keys {
		t.accountsByKeyHash[sha256.Sum256([]byte(key))] = account
	}
	return &t
}

func resumableServices(all []*Route) []string {
	services := map[string]bool{}
	for _, r := range all {
		if r.Kind != KindStreaming || !r.Resumable {
			continue
		}
		for _, s := range r.TrafficSplit {
			services[s.Service] = true
		}
	}
	return slices.Sorted(maps.Keys(services))
}

// ResumableServices returns the services of resumable streams, sorted. The caller must not modify the
// slice.
func (t *Table) ResumableServices() []string { return t.resumable }

// Match returns the route of a host with the longest Prefix that path begins
// with.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// AccountByKey returns the client account that a key belongs to.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	a, ok := t.accountsByKeyHash[sha256.Sum256([]byte(key))]
	return a, ok
}

// RouteNamed returns the route of a name.
func (t *Table) RouteNamed(name string) (*Route, bool) {
	for _, list := range t.byHost {
		for _, r := range list {
			if r.Name == name {
				return r, true
			}
		}
	}
	return nil, false
}

// AccountNamed returns the client account of a name.
func (t *Table) AccountNamed(name string) (*Account, bool) {
	for _, a := range t.accountsByKeyHash {
		if a.Name == name {
			return a, true
		}
	}
	return nil, false
}

// RouteCount returns the number of routes.
func (t *Table) RouteCount() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}
