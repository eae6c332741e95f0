package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

const (
	// maxRecordAttempts bounds the attempts at one write, since a conflict leads to
	// another attempt.
	maxRecordAttempts = 3
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = 5 * time.Second
	// lostWriteDelay is the delay before the store is checked for a write whose
	// response was lost. The write could take effect after an earlier check. The claim
	// would then block its key once this incarnation has ended, since only this
	// incarnation reports the status of the token.
	lostWriteDelay = 10 * time.Second
	// maxQueueAge is the age at which an outcome that can't be recorded is dropped.
	maxQueueAge = time.Hour
)

// record writes the end of a claim. It returns false if the write must be retried; w
// then holds the claim's revision, or 0 if the revision isn't known.
func (s *Service) record(ctx context.Context, w *recordWrite) bool {
	for range maxRecordAttempts {
		if w.revision == 0 && !s.readRevision(ctx, w) {
			return false
		}
		if w.revision == 0 {
			return true
		}
		switch e := s.perform(ctx, w.id, claim.TakeOver{Revision: w.revision, Record: w.record}).(type) {
		case claim.Written, claim.Absent:
			return true
		case claim.StoreUnavailable:
			return false
		case claim.Exists:
			w.revision = 0
			if !s.needsRecording(w, e) {
				return true
			}
			w.revision = e.Revision
		default:
			w.revision = 0
			return false
		}
	}
	return false
}

// readRevision sets the write's revision to that of the stored claim. The revision stays 0
// if there is nothing left to write. It returns false if the store gives no response.
func (s *Service) readRevision(ctx context.Context, w *recordWrite) bool {
	switch e := s.perform(ctx, w.id, claim.Read{}).(type) {
	case claim.Exists:
		if s.needsRecording(w, e) {
			w.revision = e.Revision
		}
		return true
	case claim.Absent:
		// If the create takes effect later, the tracker reports its token as
		// abandoned.
		return true
	default:
		return false
	}
}

// needsRecording reports whether the stored claim has the write's token and no recorded
// end. Another token means that the claim was released and taken over.
func (s *Service) needsRecording(w *recordWrite, e claim.Exists) bool {
	own := e.Record.Token == w.record.Token
	return own && e.Record.Result == nil && !e.Record.Abandoned
}

func (s *Service) enqueue(w recordWrite) {
	w.queuedAt = s.opts.Now()
	if w.record.Abandoned && w.revision == 0 {
		w.notBefore = w.queuedAt.Add(lostWriteDelay)
	}
	if s.queue.push(w) {
		s.metrics.queued.Update(float64(s.queue.size()))
		return
	}
	s.metrics.dropped.Inc(1)
	klog.ErrorS(nil, "claims: outcome not recorded, queue full", "token", w.record.Token)
}

// recordQueued records the queued writes one after another, so that a store that
// recovers gets one write at a time from each instance instead of all of them at once.
func (s *Service) recordQueued(ctx context.Context) error {
	backoff := minBackoff
	for {
		w, wait, ok := s.queue.pop(s.opts.Now())
		if !ok {
			if err := s.waitForWrite(ctx, wait); err != nil {
				return err
			}
			continue
		}
		if s.record(ctx, &w) {
			s.queue.done()
			backoff = minBackoff
			s.metrics.recordedLate.Inc(1)
			s.metrics.queued.Update(float64(s.queue.size()))
			continue
		}
		s.requeue(w)
		s.queue.done()
		if err := sleep(ctx, jitter(backoff)); err != nil {
			return err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// waitForWrite waits until a write is queued or wait has passed.
func (s *Service) waitForWrite(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-s.queue.changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requeue queues a write for another attempt unless it is too old.
func (s *Service) requeue(w recordWrite) {
	tooOld := s.opts.Now().Sub(w.queuedAt) > maxQueueAge
	if !tooOld && s.queue.push(w) {
		return
	}
	s.metrics.dropped.Inc(1)
	klog.ErrorS(nil, "claims: outcome not recorded, given up", "token", w.record.Token)
}

// Drain waits until all queued outcomes are recorded, as a step of a planned stop. Run
// must still be running.
func (s *Service) Drain(ctx context.Context) error {
	for s.queue.size() > 0 {
		if err := sleep(ctx, minBackoff); err != nil {
			return err
		}
	}
	return nil
}

// jitter returns a random duration between half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
