// Package target emulates the targets that ivyhollow routes to: model engines,
// encoders, retrievers, rerankers and plain services. It serves the whole
// interface of package targetapi, returns deterministic answers, and injects
// faults. It emulates one target and doesn't simulate a cluster.
package target

import (
	"net/http"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Defaults for fields of Options that are zero.
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
	// value means none.
	QueueLimit int

	// CallTime is the fixed time of work at the start of each call.
	CallTime time.Duration
	// TokenTime is the time to generate one token while no other call runs.
	TokenTime time.Duration
	// BatchSlowdown is the fraction of TokenTime that each further active call of
	// an engine adds to a token: 0.1 means 10% for each call.
	BatchSlowdown float64
	// PrefillRate is the number of prompt tokens processed in a second; 0 means
	// that prefill takes no time.
	PrefillRate float64
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int

	// Models and Adapters are loaded at the start. Nil means that calls for any
	// model or adapter are served, regardless of orders.
	Models   []string
	Adapters []string
	// LoadTime is the delay before an order takes effect.
	LoadTime time.Duration
	// HoldOrders keeps orders from taking effect until ReleaseOrders.
	HoldOrders bool
	// ChecksFencing makes the target refuse orders with an old fencing number.
	ChecksFencing bool

	// OnRunStart is called with the first input of each run before its work
	// begins, so that a test knows the runs of a target that it kills; nil means
	// no callback. Inputs longer than 256 bytes are not reported.
	OnRunStart func(input string)

	// ReportLag is the age of the load that the target reports.
	ReportLag time.Duration
	// EventLag is the age at which a cache event becomes readable.
	EventLag time.Duration
	// EventLoss is the share of cache events that are dropped, 0 to 1.
	EventLoss float64
	// KeepAlive is the interval between comments in an idle stream; 0 means that
	// none are sent.
	KeepAlive time.Duration

	// Seed seeds every random choice.
	Seed uint64
	// Now and After replace the clock; nil means the clock of package time.
	Now   func() time.Time
	After func(time.Duration) <-chan time.Time
	// PeerClient fetches KV cache from other targets; nil means a new client.
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
