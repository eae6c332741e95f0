package stages

import (
	"context"
	"time"
)

// handoverAttempt is one attempt to hand the queue over to another instance.
type handoverAttempt struct {
	// timeout limits the attempt.
	timeout time.Duration
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
func (s *Stages) awaitHandover(ctx context.Context, timeout time.Duration) bool {
	a := s.nextAttempt(timeout)
	select {
	case <-a.done:
		return a.succeeded
	case <-ctx.Done():
		return false
	}
}

// nextAttempt returns the attempt that starts next. It starts one if none is in progress.
func (s *Stages) nextAttempt(timeout time.Duration) *handoverAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.handover == nil:
		s.handover = newHandoverAttempt(timeout)
		go s.runAttempts(s.handover)
		return s.handover
	case s.nextHandover == nil:
		s.nextHandover = newHandoverAttempt(timeout)
	default:
		s.nextHandover.timeout = max(s.nextHandover.timeout, timeout)
	}
	return s.nextHandover
}

func newHandoverAttempt(timeout time.Duration) *handoverAttempt {
	return &handoverAttempt{timeout: timeout, done: make(chan struct{})}
}

// runAttempts runs an attempt, and then each one that was requested meanwhile.
func (s *Stages) runAttempts(a *handoverAttempt) {
	for a != nil {
		a.succeeded = s.tryHandover(a.timeout)
		s.mu.Lock()
		next := s.nextHandover
		s.handover, s.nextHandover = next, nil
		s.mu.Unlock()
		close(a.done)
		a = next
	}
}

// tryHandover asks up to maxCandidates instances to accept the queue. If none does, this
// instance continues with it.
func (s *Stages) tryHandover(timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if !s.queue.hasMoved() && !s.offerQueue(ctx) {
		s.queue.unfreezeExported()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.setYielded(!s.stopping)
	return true
}

// offerQueue asks one instance after another to accept the queue.
func (s *Stages) offerQueue(ctx context.Context) bool {
	for range maxCandidates {
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
		if s.hasEnded() || s.awaitHandover(context.Background(), longHandoverTimeout) {
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
