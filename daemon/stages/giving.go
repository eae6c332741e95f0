package stages

import (
	"context"
	"time"
)

// attempt is one try to give the queue to another instance.
type handoverAttempt struct {
	// within bounds it.
	timeout time.Duration
	// done is closed at its end. given is set before, and tells whether another instance
	// has the queue.
	done      chan struct{}
	succeeded bool
}

// give has the queue given away by a try that begins from now on, and waits for its end
// or that of the context, which doesn't end the try. It tells whether another instance
// has the queue.
//
// Tries go on one at a time, since two at once might give one queue to two instances.
// All who come while one is under way share the next, so there are never more than two.
func (s *Stages) awaitHandover(ctx context.Context, within time.Duration) bool {
	a := s.nextAttempt(within)
	select {
	case <-a.done:
		return a.succeeded
	case <-ctx.Done():
		return false
	}
}

// nextAttempt returns the try that begins next, which it begins if none is under way.
func (s *Stages) nextAttempt(within time.Duration) *handoverAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.handover == nil:
		s.handover = newHandoverAttempt(within)
		go s.runAttempts(s.handover)
		return s.handover
	case s.nextHandover == nil:
		s.nextHandover = newHandoverAttempt(within)
	default:
		s.nextHandover.timeout = max(s.nextHandover.timeout, within)
	}
	return s.nextHandover
}

func newHandoverAttempt(within time.Duration) *handoverAttempt {
	return &handoverAttempt{timeout: within, done: make(chan struct{})}
}

// runAttempts makes a try, and each that is wanted meanwhile.
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

// tryToGive asks up to maxOwners instances. Without one that takes the queue this
// instance goes on with it.
func (s *Stages) tryHandover(within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
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

// offer asks one instance after the other to take the queue.
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

// keepTrying goes on until another instance has the queue.
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

// hasEnded tells whether Run has ended.
func (s *Stages) hasEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}
