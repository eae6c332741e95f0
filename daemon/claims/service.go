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
type StoredResult = claim.StoredResult

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
type StatusClient interface {
	ClaimStatus(ctx context.Context, claimant claim.Owner, q claim.StatusRequest) (claim.StatusResponse, error)
}

// Begun is the answer of Begin.
type BeginResult struct {
	Verdict Verdict
	// Ticket is set with Run. Exactly one of its Finish and Abandon follows.
	Ticket *Ticket
	// Kept is set with Replay.
	Result *StoredResult
	// RetryAfter is set with NotRun: when to come back.
	RetryAfter time.Duration
	// Reason says in a few words how the verdict came about.
	Reason string
	// EarlierUnknown is set with NotRun when the store gave no answer about
	// the key: this call ran nothing, but an earlier one with the key may have.
	EarlierMayHaveRun bool
}

// Options configure a Service. Owner, Storage and Asker are required.
type Options struct {
	Owner        claim.Owner
	Storage      Storage
	StatusClient StatusClient
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
	StoreTimeout  time.Duration
	StatusTimeout time.Duration
	// RetryAfter is what NotRun asks for when the store names no time.
	RetryAfter time.Duration
	// MaxOpen bounds the claims under way on this instance.
	MaxOpen int
	// MaxClosed bounds the finished and abandoned tokens remembered.
	MaxClosed int
	// MaxKeptBytes bounds the bodies remembered for joins.
	MaxResultBytes int
	// MaxQueued and MaxQueuedBytes bound the outcomes that wait for the store.
	MaxQueued      int
	MaxQueuedBytes int
	// Sweeper tells whether this instance has the duty to sweep now; nil means
	// always. Two that believe so only lose conditional deletes to each other.
	IsSweeper func() bool
	// SweepEvery is the time between two sweeps; SweepRate bounds the pages
	// read and the claims removed a second.
	SweepInterval time.Duration
	SweepRate     float64
	Limits        claim.Limits
	Scope         tally.Scope
}

// Defaults of Options.
const (
	DefaultRetention      = 24 * time.Hour
	DefaultDispatchWindow = time.Minute
	DefaultMaxWait        = 30 * time.Second
	DefaultStoreTimeout   = time.Second
	DefaultStatusTimeout  = 500 * time.Millisecond
	DefaultRetryAfter     = 2 * time.Second
	DefaultMaxOpen        = 8192
	DefaultMaxClosed      = 65536
	DefaultMaxResultBytes = 16 << 20
	DefaultMaxQueued      = 4096
	DefaultMaxQueuedBytes = 16 << 20
	DefaultSweepInterval  = 10 * time.Minute
	DefaultSweepRate      = 20.0
)

// Service makes, answers and records claims. It is safe for concurrent use.
type Service struct {
	opts     Options
	tracker  *shardedTracker
	queue    *writeQueue
	attempts atomic.Uint64
	metrics  metrics
}

// New returns a Service. Its Run must run for outcomes to be recorded later
// and for retention to end.
func New(opts Options) *Service {
	opts = opts.withDefaults()
	return &Service{
		opts:    opts,
		tracker: newShardedTracker(opts),
		queue:   newWriteQueue(opts.MaxQueued, opts.MaxQueuedBytes),
		metrics: newMetrics(opts.Scope),
	}
}

// Begin claims the key for a call with the given body digest, or tells what
// became of an earlier call with the key. It waits for an earlier call that
// still runs, until the deadline of ctx. It returns an error only for an empty
// key.
func (s *Service) Begin(ctx context.Context, key Key, body [32]byte) (BeginResult, error) {
	if key.IdempotencyKey == "" {
		return BeginResult{}, errors.New("claims: begin: no idempotency key")
	}
	ctx, cancel := s.withMaxWait(ctx)
	defer cancel()
	begun := s.begin(ctx, key.ID(), body)
	s.metrics.countBegin(begun)
	return begun, nil
}

func (s *Service) begin(ctx context.Context, id claim.ID, body claim.BodyDigest) BeginResult {
	for {
		attempt := s.attempts.Add(1)
		entry, err := s.tracker.joinOrOpen(id, body, attempt, s.opts.Now())
		if err != nil {
			return s.notRun(claim.Decision{Reason: "too many open claims", NoStoreResponse: true})
		}
		if !entry.joined {
			return s.claimKey(ctx, id, body, attempt)
		}
		if begun, over := s.join(ctx, id, entry); over {
			return begun
		}
	}
}

// join follows an attempt of the same key on this instance. It is not over
// when that attempt has been abandoned: then this call claims for itself.
func (s *Service) join(ctx context.Context, id claim.ID, e localAttempt) (BeginResult, bool) {
	if !e.sameBody {
		return BeginResult{Verdict: Conflict, Reason: "key used with another body"}, true
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return BeginResult{Verdict: Unknown, Reason: "the first call still runs at the deadline"}, true
	}
	answer := s.tracker.status(id, e.attempt)
	if answer.Result == nil {
		return BeginResult{}, false
	}
	return BeginResult{Verdict: Replay, Result: answer.Result, Reason: "joined a call on this instance"}, true
}

// HandleAsk answers a peer's question about a token of this incarnation.
func (s *Service) HandleStatusRequest(_ context.Context, q claim.StatusRequest) claim.StatusResponse {
	// Guard: a new incarnation on the same address knows nothing about the
	// tokens of the one before; "abandoned" from it could let a key run twice.
	if q.Token.Owner != s.opts.Owner {
		return claim.StatusResponse{State: claim.TokenForgotten}
	}
	return s.tracker.status(q.ID, q.Token.Attempt)
}

// bound gives a context without a deadline the longest wait.
func (s *Service) withMaxWait(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, s.opts.MaxWait)
}

func (s *Service) notRun(d claim.Decision) BeginResult {
	after := d.RetryAfter
	if after <= 0 {
		after = s.opts.RetryAfter
	}
	return BeginResult{Verdict: NotRun, RetryAfter: after, Reason: d.Reason, EarlierMayHaveRun: d.NoStoreResponse}
}
