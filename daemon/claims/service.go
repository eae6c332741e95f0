// Package claims executes the decisions of package coordination/claim: it calls the
// platform's store and the claimants, tracks this incarnation's own tokens, records
// outcomes and removes claims past their retention.
//
// A claim is the record in the store that reserves an idempotency key. A token identifies one
// attempt to claim a key. A ticket is the right to dispatch work under a claim. A sweep reads
// the stored claims and removes those past their retention.
package claims

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

// Key identifies a request by the client account and the idempotency key.
type Key = claim.Key

// StoredResult is the result that a claim stores for retries.
type StoredResult = claim.StoredResult

// Verdict is the result of a call's attempt to claim its key.
type Verdict = claim.Verdict

// The verdicts.
const (
	Run      = claim.VerdictRun
	Replay   = claim.VerdictReplay
	Conflict = claim.VerdictConflict
	NotRun   = claim.VerdictNotRun
	Unknown  = claim.VerdictUnknown
)

// StatusClient requests the status of a claim from the incarnation that created it. An
// error means that the incarnation has ended or can't be reached in time.
type StatusClient interface {
	ClaimStatus(ctx context.Context, claimant claim.Owner, q claim.StatusRequest) (claim.StatusResponse, error)
}

// BeginResult is the result of Begin.
type BeginResult struct {
	Verdict Verdict
	// Ticket is set with Run. The caller calls exactly one of its Finish and Abandon.
	Ticket *Ticket
	// Result is set with Replay. It is the result of the first run.
	Result *StoredResult
	// RetryAfter is set with NotRun. It is the delay after which to retry.
	RetryAfter time.Duration
	// Reason describes in a few words how the verdict was reached.
	Reason string
	// EarlierMayHaveRun is set with NotRun if the store gave no response about the
	// key: this call ran nothing, but an earlier one with the key may have.
	EarlierMayHaveRun bool
}

// Options configure a Service. Owner, Storage and StatusClient are required.
type Options struct {
	Owner        claim.Owner
	Storage      Storage
	StatusClient StatusClient
	// Now is the clock. It must advance while the process is paused. The default is
	// boottime.Now.
	Now func() time.Time
	// Retention is how long a claim blocks its key and stores its outcome.
	Retention time.Duration
	// DispatchWindow is the longest time between Begin and MarkDispatched.
	DispatchWindow time.Duration
	// MaxWait bounds a Begin whose context has no deadline.
	MaxWait time.Duration
	// StoreTimeout and StatusTimeout bound one call to the store and one status
	// request.
	StoreTimeout  time.Duration
	StatusTimeout time.Duration
	// RetryAfter is the retry delay with NotRun if the store gives none.
	RetryAfter time.Duration
	// MaxOpen bounds the claims of this instance that are neither finished nor
	// abandoned.
	MaxOpen int
	// MaxClosed bounds the tracked tokens of finished and abandoned attempts.
	MaxClosed int
	// MaxResultBytes bounds the total size of the bodies kept for calls that join.
	MaxResultBytes int
	// MaxQueued and MaxQueuedBytes bound the outcomes that wait for the store.
	MaxQueued      int
	MaxQueuedBytes int
	// IsSweeper reports whether this instance is the one that sweeps now; nil means
	// always. If two instances sweep, some of their conditional deletes merely fail.
	IsSweeper func() bool
	// SweepInterval is the time between two sweeps. SweepRate bounds the pages read
	// and the claims removed per second.
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

// Service creates claims, reports their status and records their outcomes. It is safe
// for concurrent use.
type Service struct {
	opts     Options
	tracker  *shardedTracker
	queue    *writeQueue
	attempts atomic.Uint64
	metrics  metrics
}

// New returns a Service. Its Run must be running for queued outcomes to be recorded and
// for claims past their retention to be removed.
func New(opts Options) *Service {
	opts = opts.withDefaults()
	return &Service{
		opts:    opts,
		tracker: newShardedTracker(opts),
		queue:   newWriteQueue(opts.MaxQueued, opts.MaxQueuedBytes),
		metrics: newMetrics(opts.Scope),
	}
}

// Begin claims the key for a call with the given body digest, or returns the result of
// an earlier call with the key. If that call is still running, Begin waits for it until
// the deadline of ctx. It returns an error only for an empty key.
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
		local, err := s.tracker.joinOrOpen(id, body, attempt, s.opts.Now())
		if err != nil {
			return s.notRun(claim.Decision{Reason: "too many open claims", NoStoreResponse: true})
		}
		if !local.joined {
			return s.claimKey(ctx, id, body, attempt)
		}
		if begun, decided := s.join(ctx, id, local); decided {
			return begun
		}
	}
}

// join waits for an attempt of the same key on this instance. It returns false if that
// attempt was abandoned: this call must then join a later attempt or claim the key itself.
func (s *Service) join(ctx context.Context, id claim.ID, local localAttempt) (BeginResult, bool) {
	if !local.sameBody {
		return BeginResult{Verdict: Conflict, Reason: "key used with another body"}, true
	}
	select {
	case <-local.done:
	case <-ctx.Done():
		return BeginResult{Verdict: Unknown, Reason: "the first call still runs at the deadline"}, true
	}
	status := s.tracker.status(id, local.attempt)
	if status.Result == nil {
		return BeginResult{}, false
	}
	return BeginResult{Verdict: Replay, Result: status.Result, Reason: "joined a call on this instance"}, true
}

// HandleStatusRequest returns the status of the attempt that a peer names by its token. It
// knows only the attempts of this incarnation.
func (s *Service) HandleStatusRequest(_ context.Context, q claim.StatusRequest) claim.StatusResponse {
	// A new incarnation at the same address doesn't know the tokens of the previous
	// one. If it responded "abandoned", a key could run twice.
	if q.Token.Owner != s.opts.Owner {
		return claim.StatusResponse{State: claim.TokenForgotten}
	}
	return s.tracker.status(q.ID, q.Token.Attempt)
}

// withMaxWait adds MaxWait as the timeout of a context that has no deadline.
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
