package routing

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Pool holds the settings of a pool that routing uses.
type Pool struct {
	Name string
	// Objective is copied from the pool's record; routing treats both objectives alike.
	Objective catalog.Objective
	// EjectionFloor is the minimum share of eligible targets, 0 to 1, that stay
	// routable even if they fail. At least one target always does.
	EjectionFloor float64
}

// Target is one incarnation of a target process.
type Target struct {
	Incarnation string
	// Name identifies the target across restarts; empty where an incarnation has no
	// other name.
	Name       string
	Pool       string
	Address    string
	DataCentre string
	// Version is the version of the target's software; empty if it isn't known.
	Version string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Memory is the number of tokens that running requests and cached prompts may take; 0 if unknown.
	Memory int
	// Models and Adapters are those that an engine has loaded; an empty list means
	// that no constraint is known and the target accepts any.
	Models   []string
	Adapters []string
}

// PrefixPart is one part of a prompt. Targets cache the parts of a prompt in order.
type PrefixPart struct {
	ID     string
	Tokens int
}

// Query describes the request that a target is chosen for.
type Query struct {
	Pool    string
	Model   string
	Adapter string
	Prefix  []PrefixPart
	// Version is the only software version of the target that is allowed; empty for any.
	Version string
	// Exclude lists the incarnations that this stage was already sent to.
	Exclude []string
	// Rank is the tier's rank; 0 is the highest.
	Rank int
	// Cost is the expected work relative to the pool's mean; 0 means 1.
	Cost float64
	// Work is what the request is predicted to cost; nil if it isn't known. It is used only with
	// Config.CostPlacement.
	Work *Work
	// HomeKey identifies data that many requests read, such as a subject whose prompt
	// an engine caches. All instances map a key to the same target, its home, without
	// communication, as long as that target isn't overloaded.
	HomeKey string
	// Preferred is the incarnation that a component with more information, such as the
	// holder of the stage queue, chose for the request. It is used unless it is ejected,
	// excluded or unknown.
	Preferred string
	// Only is the incarnation to which a send was granted. No other may be chosen, and none if it
	// is ejected, excluded or unknown. Empty if sends need no grant.
	Only string
	// HomeShares maps data centres to the share of home keys that they should have, for
	// example by where the inputs of the requests are produced. If nil, the shares
	// follow the number of targets.
	HomeShares map[string]float64
}

// Fits reports whether the target has the query's software version and can serve its model and adapter.
func (t *Target) Fits(q *Query) bool {
	if q.Version != "" && t.Version != q.Version {
		return false
	}
	if q.Model != "" && len(t.Models) > 0 && !slices.Contains(t.Models, q.Model) {
		return false
	}
	return q.Adapter == "" || len(t.Adapters) == 0 || slices.Contains(t.Adapters, q.Adapter)
}

// Reason is the rule that chose a target.
type Reason uint8

// The reasons of a choice.
const (
	// ReasonLoad is the least loaded of the sampled targets.
	ReasonLoad Reason = iota
	// ReasonOverflow is a target of another data centre, chosen because the local
	// targets are more loaded or there are none.
	ReasonOverflow
	// ReasonAffinity is a target that has at least a part of the prefix in its cache.
	ReasonAffinity
	// ReasonProbe is an ejected target that this request probes.
	ReasonProbe
	// ReasonFloor is an ejected target that the ejection floor keeps routable.
	ReasonFloor
	// ReasonOnly is the only eligible target.
	ReasonOnly
	// ReasonHome is the target that the query's HomeKey maps to.
	ReasonHome
	// ReasonPreferred is the target that the query names in Preferred.
	ReasonPreferred
)

var reasonNames = [...]string{"load", "overflow", "affinity", "probe", "floor", "only", "home", "preferred"}

// String returns the reason's name for logs and spans.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return fmt.Sprintf("reason(%d)", uint8(r))
}

// Choice is the result of Pick.
type Choice struct {
	Target Target
	Reason Reason
	// CachedTokens is the estimated number of the prefix's tokens in the target's cache.
	CachedTokens int
	// Load is the estimated number of requests in flight at the target.
	Load float64
}

// NoTargetError reports that a pool has no eligible target for a query, and why.
type NoTargetError struct {
	Pool string
	// Known is the number of the pool's targets; the other fields count those that
	// were left out, by cause.
	Known, Leaving, Excluded, Unfit, Ejected int
}

// Error implements error.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("route: pool %q: no eligible target (known %d, leaving %d, excluded %d, unfit %d, ejected %d)",
		e.Pool, e.Known, e.Leaving, e.Excluded, e.Unfit, e.Ejected)
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeOK is a complete response before the deadline.
	OutcomeOK Outcome = iota
	// OutcomeFailed is an error of the target or of the connection to it.
	OutcomeFailed
	// OutcomeNotRun is a refusal in which the target guarantees that nothing was run.
	OutcomeNotRun
	// OutcomeDeadlineMissed is a complete response after the deadline, or no response by
	// then.
	OutcomeDeadlineMissed
	// OutcomeCancelled is an attempt that the instance cancelled, such as the loser
	// of a hedge. It isn't counted as a failure.
	OutcomeCancelled
)

// Result is what was observed of a completed attempt.
type Result struct {
	Outcome Outcome
	// Latency is the time from the start to the end of the attempt.
	Latency time.Duration
	// Expected is the expected latency for this stage and size; 0 if unknown.
	Expected time.Duration
}

// Load is a load report of a target.
type Load struct {
	Active, Queued int
	// Slots is the reported number of slots; 0 keeps the configured number.
	Slots int
	// Slowdown is how much longer than usual work takes at the moment; 1 is usual, 0 unknown.
	Slowdown float64
	// Age is the age of the report at the time of its arrival.
	Age time.Duration
}

// DigestEntry is the number of requests that one instance has in flight at one
// target. TargetHash is HashTarget of the incarnation.
type DigestEntry struct {
	TargetHash uint32
	// InFlight is the number of requests, or Suspected.
	InFlight uint16
}

// Suspected replaces the number of requests if the sender has ejected the target.
const Suspected = math.MaxUint16

// CacheUpdate is a page of an engine's cache events.
type CacheUpdate struct {
	// Epoch changes whenever the engine's whole cache is cleared.
	Epoch uint64
	// Gap is set if events before this page were lost.
	Gap            bool
	Added, Removed []string
}

// Mechanism is a set of routing mechanisms, as a bit mask.
type Mechanism uint16

// The mechanisms that Config.Disabled can turn off.
const (
	MechanismPeerDigest Mechanism = 1 << iota
	MechanismReports
	MechanismAgeCorrection
	MechanismLocalFirst
	MechanismEjection
	MechanismLatency
	MechanismSlowStart
	MechanismAffinity
	MechanismSuspicion
	MechanismRetryElsewhere
)
