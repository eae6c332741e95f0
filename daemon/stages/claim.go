package stages

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/holder"
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/peer"
)

// methodClaim asks the former holder to hand its queue over to the caller.
const methodClaim = "stages.claim"

const (
	// queueClaimPeriod is how long after its start an instance claims the queue. Later the others have
	// used it as their holder for long.
	queueClaimPeriod = 10 * time.Second
	// queueClaimTimeout limits the claim, for which requests wait. A handover takes some round trips.
	queueClaimTimeout = 300 * time.Millisecond
	// queueClaimRetryInterval is the interval at which the claim is repeated while the former holder
	// doesn't know this instance yet.
	queueClaimRetryInterval = 25 * time.Millisecond
)

// queueClaim is the claim of the queue by an instance that has just started.
type queueClaim struct {
	startedAt time.Time
	once      sync.Once
	// done is closed when the claim has ended.
	done chan struct{}
}

// claimResponse is the response of methodClaim.
type claimResponse struct {
	// Unknown is true if the responder doesn't consider the caller the holder, as before it has
	// heard of the caller's start.
	Unknown bool
}

// awaitQueueClaim waits until the former holder has handed its queue over to this instance, if this
// instance has just started and ranks before the former holder. It is called before the first
// request is run here.
//
// Without the claim the former holder would go on with its requests, and both would send calls to
// the same targets.
func (s *Stages) awaitQueueClaim(ctx context.Context) {
	s.claim.once.Do(func() { go s.claimQueue() })
	select {
	case <-s.claim.done:
	case <-ctx.Done():
	}
}

func (s *Stages) claimQueue() {
	defer close(s.claim.done)
	ctx, cancel := context.WithTimeout(context.Background(), queueClaimTimeout)
	defer cancel()
	if time.Since(s.claim.startedAt) > queueClaimPeriod {
		return
	}
	s.cluster.AwaitJoin(ctx)
	for !s.queue.hasTakenOver() && s.claimFromFormer(ctx) {
		select {
		case <-time.After(queueClaimRetryInterval):
		case <-ctx.Done():
			return
		}
	}
}

// claimFromFormer claims the queue from the instance that would hold it without this one. It
// reports whether to try again.
func (s *Stages) claimFromFormer(ctx context.Context) (retry bool) {
	former, ok := s.nextHolder(time.Now())
	if !ok || !picksSelf(s.cluster.View()) {
		return false
	}
	var response claimResponse
	err := s.callMethod(ctx, former.Address, methodClaim, nil, &response)
	if err != nil && !errors.Is(err, peer.ErrNoMethod) {
		telemetry.ErrorS(err, "Stage queue not claimed", telemetry.Event{Peer: former.Name})
	}
	return err == nil && response.Unknown
}

// picksSelf reports whether an instance is the holder by its own view, without regard to which
// others respond.
func picksSelf(view *membership.View) bool {
	return holder.Pick(view, func(string) bool { return false }).Name == view.Self
}

// handleClaim hands the queue over to an instance that has started and ranks first. The response
// follows the handover.
func (s *Stages) handleClaim(ctx context.Context, from peer.Peer, _ []byte) ([]byte, error) {
	next, ok := s.nextHolder(time.Now())
	if !ok || next.Name != from.Name || next.Incarnation != from.Incarnation || picksSelf(s.cluster.View()) {
		return encode(&claimResponse{Unknown: true})
	}
	if s.queue.holdsWork() || s.queue.isRecentHolder(time.Now()) {
		s.awaitHandover(ctx, handoverLimits{queueClaimTimeout, 1})
	}
	return encode(&claimResponse{})
}

// holdsWork reports whether this instance has the queue and it isn't empty.
func (q *queue) holdsWork() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.movedTo == "" && (q.frozen || q.hasWork())
}
