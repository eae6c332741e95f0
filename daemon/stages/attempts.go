package stages

import (
	"context"
	"time"
)

// handoverLimits limit an attempt to hand the queue over.
type handoverLimits struct {
	timeout time.Duration
	// candidates is how many instances are asked to accept the queue.
	candidates int
}

// handoverAttempt is one attempt to hand the queue over to another instance.
type handoverAttempt struct {
	handoverLimits
	// done is closed when the attempt ends. succeeded is set before done is closed, and is
	// true if another instance has the queue.
	done      chan struct{}
	succeeded bool
}

// awaitHandover requests a handover attempt that hasn't started yet, and waits for the end of
// the attempt. It returns early if the context ends, which doesn't end the attempt. It reports
// whether another instance has the queue.
//
// Attempts run one at a time, since two at once might give one queue to two instances. All
// callers that arrive during an attempt share the next one, so there are never more than two.
func (s *Stages) awaitHandover(ctx context.Context, limits handoverLimits) bool {
	a := s.nextAttempt(limits)
	select {
	case <-a.done:
		return a.succeeded
	case <-ctx.Done():
		return false
	}
}

// nextAttempt returns the attempt that starts next. It starts one if none is in progress. An attempt
// that several callers share has the highest of their limits.
func (s *Stages) nextAttempt(limits handoverLimits) *handoverAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.handover == nil:
		s.handover = newHandoverAttempt(limits)
		go s.runAttempts(s.handover)
		return s.handover
	case s.nextHandover == nil:
		s.nextHandover = newHandoverAttempt(limits)
	default:
		s.nextHandover.timeout = max(s.nextHandover.timeout, limits.timeout)
		s.nextHandover.candidates = max(s.nextHandover.candidates, limits.candidates)
	}
	return s.nextHandover
}

func newHandoverAttempt(limits handoverLimits) *handoverAttempt {
	return &handoverAttempt{handoverLimits: limits, done: make(chan struct{})}
}

// runAttempts runs an attempt, and then each one that was requested meanwhile.
func (s *Stages) runAttempts(a *handoverAttempt) {
	for a != nil {
		a.succeeded = s.tryHandover(a.handoverLimits)
		s.mu.Lock()
		next := s.nextHandover
		s.handover, s.nextHandover = next, nil
		s.mu.Unlock()
		close(a.done)
		a = next
	}
}

// tryHandover asks instances to accept the queue. If none does, this instance continues with it.
func (s *Stages) tryHandover(limits handoverLimits) bool {
	ctx, cancel := context.WithTimeout(context.Background(), limits.timeout)
	defer cancel()
	if !s.queue.hasMoved() && !s.offerQueue(ctx, limits.candidates) {
		s.queue.unfreezeExported()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.setYielded(!s.stopping)
	return true
}

// offerQueue asks one instance after another to accept the queue.
func (s *Stages) offerQueue(ctx context.Context, candidates int) bool {
	for range candidates {
		next, ok := s.nextHolder(time.Now())
		if !ok {
			return false
		}
		if s.handoverTo(ctx, next) {
			return true
		}
		s.avoid(next.Name)
		if ctx.Err() != nil {
			return false
		}
	}
	return false
}

// retryHandover retries until another instance has the queue or Run has ended.
func (s *Stages) retryHandover() {
	ticker := time.NewTicker(handoverRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ended:
		case <-ticker.C:
		}
		if s.hasEnded() || s.awaitHandover(context.Background(), handoverLimits{longHandoverTimeout, maxCandidates}) {
			return
		}
	}
}

// hasEnded reports whether Run has ended.
func (s *Stages) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}
