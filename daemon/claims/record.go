package claims

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

const (
	// maxConflicts bounds how often one write is tried again after a conflict.
	maxRecordAttempts = 3
	minBackoff        = 100 * time.Millisecond
	maxBackoff        = 5 * time.Second
	// lateEffect is when a lost write is looked for. Guard: its effect may
	// come after a first look, and would block its key once this incarnation,
	// which answers for the token meanwhile, is gone.
	lostWriteDelay = 10 * time.Second
	// maxQueueAge is when an outcome that can't be recorded is let go.
	maxQueueAge = time.Hour
)

// record writes the end of a claim. It returns false when the write is to be
// tried again, and then leaves in w what is known of the claim's revision.
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

// readRevision finds the claim's revision; it stays 0 when there is nothing
// left to write. It returns false when the store can't tell.
func (s *Service) readRevision(ctx context.Context, w *recordWrite) bool {
	switch e := s.perform(ctx, w.id, claim.Read{}).(type) {
	case claim.Exists:
		if s.needsRecording(w, e) {
			w.revision = e.Revision
		}
		return true
	case claim.Absent:
		// A create that shows up later is answered from memory as abandoned.
		return true
	default:
		return false
	}
}

// stillOpen tells whether the stored claim is this write's and lacks its end.
// A foreign token means that the claim was released and taken over.
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

// recordQueued records the queued writes one after another, so that a store
// that comes back meets one writer an instance and not all of them at once.
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

// awaitQueue waits until a write comes in or one falls due.
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

// requeue keeps a write for another try unless it is too old.
func (s *Service) requeue(w recordWrite) {
	tooOld := s.opts.Now().Sub(w.queuedAt) > maxQueueAge
	if !tooOld && s.queue.push(w) {
		return
	}
	s.metrics.dropped.Inc(1)
	klog.ErrorS(nil, "claims: outcome not recorded, given up", "token", w.record.Token)
}

// Drain waits until no outcome waits for the store: part of a planned stop.
// Run must still run.
func (s *Service) Drain(ctx context.Context) error {
	for s.queue.size() > 0 {
		if err := sleep(ctx, minBackoff); err != nil {
			return err
		}
	}
	return nil
}

// jitter spreads a wait over half to all of d.
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
