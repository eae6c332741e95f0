package routing

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// Pool is what routing needs to know of a pool's record.
type Pool struct {
	Name string
	// Objective is the record's; routing itself serves both alike.
	Objective catalog.Objective
	// EjectionFloor is the least share of eligible targets, 0 to 1, that stay
	// routable however badly they do. At least one target always stays.
	EjectionFloor float64
}

// Target is one incarnation of a target process.
type Target struct {
	Incarnation string
	// Name is what the process answers to, and keeps when it starts again; empty
	// where an incarnation has no other name.
	Name       string
	Pool       string
	Address    string
	DataCentre string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// Models and Adapters are what an engine has loaded; empty means no
	// constraint is known and the target takes any.
	Models   []string
	Adapters []string
}

// PrefixPart is one part of a prompt; targets cache parts in order.
type PrefixPart struct {
	ID     string
	Tokens int
}

// Query is one request for a target.
type Query struct {
	Pool    string
	Model   string
	Adapter string
	Prefix  []PrefixPart
	// Exclude lists incarnations that this stage was already sent to.
	Exclude []string
	// Rank is the tier's rank; 0 is the highest.
	Rank int
	// Cost is the expected work relative to the pool's mean; 0 means 1.
	Cost float64
	// Home names what the request reads again and again, such as a subject whose
	// prompt an engine caches. All instances choose the same target for a home
	// without a word, as long as it isn't crowded.
	HomeKey string
	// Prefer is the incarnation that was chosen for the request by who knows more; it
	// is used unless it is ejected, excluded or not there.
	Preferred string
	// HomeShares are the shares of homes that data centres should have, where
	// something else than the targets' number decides: such as where the inputs of
	// the requests are made. Nil is by the number of targets.
	HomeShares map[string]float64
}

// Fits tells whether the target can serve the query's model and adapter.
func (t *Target) Fits(q *Query) bool {
	if q.Model != "" && len(t.Models) > 0 && !slices.Contains(t.Models, q.Model) {
		return false
	}
	return q.Adapter == "" || len(t.Adapters) == 0 || slices.Contains(t.Adapters, q.Adapter)
}

// Reason says which rule chose a target.
type Reason uint8

// The reasons of a choice.
const (
	// ReasonLoad is the less loaded of the sampled targets.
	ReasonLoad Reason = iota
	// ReasonOverflow is a target of another data centre, since the local ones
	// are full.
	ReasonOverflow
	// ReasonAffinity is a target that holds the prefix in its cache.
	ReasonAffinity
	// ReasonProbe is an ejected target that is tried again.
	ReasonProbe
	// ReasonFloor is an ejected target, kept routable by the ejection floor.
	ReasonFloor
	// ReasonOnly is the one eligible target.
	ReasonOnly
	// ReasonHome is the target that the query's Home maps to.
	ReasonHome
	// ReasonPreferred is the target that the query prefers.
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

// Choice is the answer of Pick.
type Choice struct {
	Target Target
	Reason Reason
	// CachedTokens is how many tokens of the prefix the target is believed to
	// hold.
	CachedTokens int
	// Load is the estimated number of requests at the target.
	Load float64
}

// NoTargetError tells that a pool has no target for a query, and why.
type NoTargetError struct {
	Pool string
	// Known counts the pool's targets; the others count those left out.
	Known, Leaving, Excluded, Unfit int
}

// Error implements error.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("route: pool %q: no eligible target (known %d, leaving %d, excluded %d, unfit %d)",
		e.Pool, e.Known, e.Leaving, e.Excluded, e.Unfit)
}

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OutcomeOK is a whole answer in time.
	OutcomeOK Outcome = iota
	// OutcomeFailed is an error of the target or of the way to it.
	OutcomeFailed
	// OutcomeNotRun is a refusal; the target vouches that nothing was run.
	OutcomeNotRun
	// OutcomeLate is a whole answer past its deadline, or none by then.
	OutcomeDeadlineMissed
	// OutcomeCancelled is an attempt that the instance gave up, for instance
	// the loser of a hedge. It says nothing about the target's health.
	OutcomeCancelled
)

// Result is what an attempt taught.
type Result struct {
	Outcome Outcome
	// Latency is from the start to the end of the attempt.
	Latency time.Duration
	// Expected is the usual time of this stage and size; 0 when unknown.
	Expected time.Duration
}

// Load is a target's own report.
type Load struct {
	Active, Queued int
	// Slots is the reported number of slots; 0 leaves the configured one.
	Slots int
	// Age is how old the report was when it arrived.
	Age time.Duration
}

// DigestEntry is one target's in-flight count at one instance. TargetHash is
// HashTarget of the incarnation.
type DigestEntry struct {
	TargetHash uint32
	// InFlight is the count, or Suspected.
	InFlight uint16
}

// Suspected in place of a count tells that the origin ejected the target.
const Suspected = math.MaxUint16

// CacheUpdate is a page of an engine's cache events.
type CacheUpdate struct {
	// Epoch changes when the engine's cache was emptied as a whole.
	Epoch uint64
	// Gap tells that events before these were lost.
	Gap            bool
	Added, Removed []string
}

// Mechanism names a part of the routing that can be switched off.
type Mechanism uint16

// The mechanisms that Config.Off can switch off.
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
