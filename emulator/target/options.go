// Package target emulates the targets that ivyhollow routes to: model engines,
// encoders, retrievers, rerankers and plain services. It serves the whole
// interface of package targetapi, gives answers that can be foretold byte by
// byte, and can be told to misbehave. It stands in for one target; it is no
// simulator of a cluster.
package target

import (
	"net/http"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Values used when Options leaves a field at its zero value.
const (
	DefaultSlots      = 4
	DefaultQueueLimit = 16
	DefaultSeed       = 1
)

// kvFetchTimeout bounds the fetch of KV cache from another target.
const kvFetchTimeout = 5 * time.Second

// Options describes one emulated target.
type Options struct {
	Kind        catalog.PoolKind
	Incarnation string
	// Slots is the number of calls that run at once.
	Slots int
	// QueueLimit is the number of calls that may wait for a slot; a negative
	// one means none.
	QueueLimit int

	// CallTime is the work that each call costs before anything else.
	CallTime time.Duration
	// TokenTime is the time to generate one token while no other call runs.
	TokenTime time.Duration
	// BatchSlowdown is the share by which each further active call of an
	// engine makes a token slower: 0.1 means 10% a call.
	BatchSlowdown float64
	// PrefillRate is the number of prompt tokens read in a second; 0 means
	// that reading them takes no time.
	PrefillRate float64
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int

	// Models and Adapters that are loaded at the start. Nil means that calls
	// for every one are served, whatever orders load.
	Models   []string
	Adapters []string
	// LoadTime is how long an order takes before it is in force.
	LoadTime time.Duration
	// ChecksFencing makes the target refuse orders with an old fencing number.
	ChecksFencing bool

	// Started is told of the first input of each run before its work begins, so
	// that a test knows the runs of a target that it kills; nil means nobody.
	OnRunStart func(input string)

	// ReportLag is the age of the load that the target reports.
	ReportLag time.Duration
	// EventLag is the age at which a cache event can be read.
	EventLag time.Duration
	// EventLoss is the share of cache events that never arrive, 0 to 1.
	EventLoss float64
	// KeepAlive is the time between comments in a stream that has nothing else
	// to send; 0 means none are sent.
	KeepAlive time.Duration

	// Seed drives every random choice.
	Seed uint64
	// Now and After replace the clock; nil means that of package time.
	Now   func() time.Time
	After func(time.Duration) <-chan time.Time
	// Peers fetches KV cache from other targets; nil means a client of its own.
	PeerClient *http.Client
}

func (o Options) withDefaults() Options {
	if o.Kind == "" {
		o.Kind = catalog.KindEngine
	}
	if o.Slots <= 0 {
		o.Slots = DefaultSlots
	}
	if o.QueueLimit == 0 {
		o.QueueLimit = DefaultQueueLimit
	}
	if o.Seed == 0 {
		o.Seed = DefaultSeed
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.After == nil {
		o.After = time.After
	}
	if o.PeerClient == nil {
		o.PeerClient = &http.Client{
			Timeout:   kvFetchTimeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		}
	}
	return o
}
