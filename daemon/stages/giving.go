package stages

import (
	"context"
	"time"
)

// attempt is one try to give the queue to another instance.
type attempt struct {
	// within bounds it.
	within time.Duration
	// done is closed at its end. given is set before, and tells whether another instance
	// has the queue.
	done  chan struct{}
	given bool
}

// give has the queue given away by a try that begins from now on, and waits for its end
// or that of the context, which doesn't end the try. It tells whether another instance
// has the queue.
//
// Tries go on one at a time, since two at once might give one queue to two instances.
// All who come while one is under way share the next, so there are never more than two.
func (s *Stages) give(ctx context.Context, within time.Duration) bool {
	a := s.nextAttempt(within)
	select {
	case <-a.done:
		return a.given
	case <-ctx.Done():
		return false
	}
}

// nextAttempt returns the try that begins next, which it begins if none is under way.
func (s *Stages) nextAttempt(within time.Duration) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.giving == nil:
		s.giving = newAttempt(within)
		go s.runAttempts(s.giving)
		return s.giving
	case s.following == nil:
		s.following = newAttempt(within)
	default:
		s.following.within = max(s.following.within, within)
	}
	return s.following
}

func newAttempt(within time.Duration) *attempt {
	return &attempt{within: within, done: make(chan struct{})}
}

// runAttempts makes a try, and each that is wanted meanwhile.
func (s *Stages) runAttempts(a *attempt) {
	for a != nil {
		a.given = s.tryToGive(a.within)
		s.mu.Lock()
		next := s.following
		s.giving, s.following = next, nil
		s.mu.Unlock()
		close(a.done)
		a = next
	}
}

// tryToGive asks up to maxOwners instances. Without one that takes the queue this
// instance goes on with it.
func (s *Stages) tryToGive(within time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	if !s.owner.hasMoved() && !s.offer(ctx) {
		s.owner.thawFrozen()
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owner.mayTakeBack(!s.stopping)
	return true
}

// offer asks one instance after the other to take the queue.
func (s *Stages) offer(ctx context.Context) bool {
	for range maxOwners {
		next, ok := s.next(time.Now())
		if !ok {
			return false
		}
		if s.handTo(ctx, next) {
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
func (s *Stages) keepTrying() {
	ticker := time.NewTicker(retryHandOver)
	defer ticker.Stop()
	for {
		select {
		case <-s.ended:
		case <-ticker.C:
		}
		if s.hasEnded() || s.give(context.Background(), takingFor) {
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
