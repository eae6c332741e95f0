// Package claims drives the claims of package coordination/claim: it calls the
// platform's store and the claimants, remembers this incarnation's own tokens,
// records outcomes and removes claims past their retention.
package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

// Key names a request that may not be repeated.
type Key = claim.Key

// Kept is the outcome that a claim keeps for retries.
type Kept = claim.StoredResult

// Verdict is how Begin ends.
type Verdict = claim.Verdict

// The verdicts.
const (
	Run      = claim.VerdictRun
	Replay   = claim.VerdictReplay
	Conflict = claim.VerdictConflict
	NotRun   = claim.VerdictNotRun
	Unknown  = claim.VerdictUnknown
)

// Asker asks the incarnation that made a claim what became of it. An error
// means that it is dead or can't be reached in time.
type Asker interface {
	AskClaim(ctx context.Context, claimant claim.Owner, q claim.StatusRequest) (claim.StatusResponse, error)
}

// Begun is the answer of Begin.
type Begun struct {
	Verdict Verdict
	// Ticket is set with Run. Exactly one of its Finish and Abandon follows.
	Ticket *Ticket
	// Kept is set with Replay.
	Kept *Kept
	// RetryAfter is set with NotRun: when to come back.
	RetryAfter time.Duration
	// Reason says in a few words how the verdict came about.
	Reason string
	// EarlierUnknown is set with NotRun when the store gave no answer about
	// the key: this call ran nothing, but an earlier one with the key may have.
	EarlierUnknown bool
}

// Options configure a Service. Owner, Storage and Asker are required.
type Options struct {
	Owner   claim.Owner
	Storage Storage
	Asker   Asker
	// Now is the clock; it must run while the process is paused. The default
	// is boottime.Now.
	Now func() time.Time
	// Retention is how long a claim blocks its key and keeps its outcome.
	Retention time.Duration
	// DispatchWindow is the longest time between Begin and MarkDispatched.
	DispatchWindow time.Duration
	// MaxWait bounds a Begin whose context has no deadline.
	MaxWait time.Duration
	// StoreTimeout and AskTimeout bound one call to the store and to a peer.
	StoreTimeout time.Duration
	AskTimeout   time.Duration
	// RetryAfter is what NotRun asks for when the store names no time.
	RetryAfter time.Duration
	// MaxOpen bounds the claims under way on this instance.
	MaxOpen int
	// MaxClosed bounds the finished and abandoned tokens remembered.
	MaxClosed int
	// MaxKeptBytes bounds the bodies remembered for joins.
	MaxKeptBytes int
	// MaxQueued and MaxQueuedBytes bound the outcomes that wait for the store.
	MaxQueued      int
	MaxQueuedBytes int
	// Sweeper tells whether this instance has the duty to sweep now; nil means
	// always. Two that believe so only lose conditional deletes to each other.
	Sweeper func() bool
	// SweepEvery is the time between two sweeps; SweepRate bounds the pages
	// read and the claims removed a second.
	SweepEvery time.Duration
	SweepRate  float64
	Limits     claim.Limits
	Scope      tally.Scope
}

// Defaults of Options.
const (
	DefaultRetention      = 24 * time.Hour
	DefaultDispatchWindow = time.Minute
	DefaultMaxWait        = 30 * time.Second
	DefaultStoreTimeout   = time.Second
	DefaultAskTimeout     = 500 * time.Millisecond
	DefaultRetryAfter     = 2 * time.Second
	DefaultMaxOpen        = 8192
	DefaultMaxClosed      = 65536
	DefaultMaxKeptBytes   = 16 << 20
	DefaultMaxQueued      = 4096
	DefaultMaxQueuedBytes = 16 << 20
	DefaultSweepEvery     = 10 * time.Minute
	DefaultSweepRate      = 20.0
)

// Service makes, answers and records claims. It is safe for concurrent use.
type Service struct {
	opts     Options
	memory   *memory
	queue    *queue
	attempts atomic.Uint64
	metrics  metrics
}

// New returns a Service. Its Run must run for outcomes to be recorded later
// and for retention to end.
func New(opts Options) *Service {
	opts = opts.withDefaults()
	return &Service{
		opts:    opts,
		memory:  newMemory(opts),
		queue:   newQueue(opts.MaxQueued, opts.MaxQueuedBytes),
		metrics: newMetrics(opts.Scope),
	}
}

// Begin claims the key for a call with the given body digest, or tells what
// became of an earlier call with the key. It waits for an earlier call that
// still runs, until the deadline of ctx. It returns an error only for an empty
// key.
func (s *Service) Begin(ctx context.Context, key Key, body [32]byte) (Begun, error) {
	if key.IdempotencyKey == "" {
		return Begun{}, errors.New("claims: begin: no idempotency key")
	}
	ctx, cancel := s.bound(ctx)
	defer cancel()
	begun := s.begin(ctx, key.ID(), body)
	s.metrics.began(begun)
	return begun, nil
}

func (s *Service) begin(ctx context.Context, id claim.ID, body claim.BodyDigest) Begun {
	for {
		attempt := s.attempts.Add(1)
		entry, err := s.memory.joinOrOpen(id, body, attempt, s.opts.Now())
		if err != nil {
			return s.notRun(claim.Decision{Reason: "too many open claims", NoStoreResponse: true})
		}
		if !entry.joined {
			return s.drive(ctx, id, body, attempt)
		}
		if begun, over := s.join(ctx, id, entry); over {
			return begun
		}
	}
}

// join follows an attempt of the same key on this instance. It is not over
// when that attempt has been abandoned: then this call claims for itself.
func (s *Service) join(ctx context.Context, id claim.ID, e entry) (Begun, bool) {
	if !e.same {
		return Begun{Verdict: Conflict, Reason: "key used with another body"}, true
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return Begun{Verdict: Unknown, Reason: "the first call still runs at the deadline"}, true
	}
	answer := s.memory.answer(id, e.attempt)
	if answer.Result == nil {
		return Begun{}, false
	}
	return Begun{Verdict: Replay, Kept: answer.Result, Reason: "joined a call on this instance"}, true
}

// HandleAsk answers a peer's question about a token of this incarnation.
func (s *Service) HandleAsk(_ context.Context, q claim.StatusRequest) claim.StatusResponse {
	// Guard: a new incarnation on the same address knows nothing about the
	// tokens of the one before; "abandoned" from it could let a key run twice.
	if q.Token.Owner != s.opts.Owner {
		return claim.StatusResponse{State: claim.TokenForgotten}
	}
	return s.memory.answer(q.ID, q.Token.Attempt)
}

// bound gives a context without a deadline the longest wait.
func (s *Service) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.opts.MaxWait)
}

func (s *Service) notRun(d claim.Decision) Begun {
	after := d.RetryAfter
	if after <= 0 {
		after = s.opts.RetryAfter
	}
	return Begun{Verdict: NotRun, RetryAfter: after, Reason: d.Reason, EarlierUnknown: d.NoStoreResponse}
}
