package claims

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

// ErrQueued means that the outcome is not in the store yet. This instance reports it to
// peers from memory, and records it when the store is available again.
var ErrQueued = errors.New("claims: outcome waits for the store")

// Ticket is the right to dispatch work under a claim.
type Ticket struct {
	service  *Service
	id       claim.ID
	attempt  uint64
	record   claim.Record
	revision uint64
}

// Token returns the claim's token, for logs and spans.
func (t *Ticket) Token() claim.Token { return t.record.Token }

// MarkDispatched must be called before the first byte of the first dispatch is sent. It
// doesn't call the store. If it fails, nothing may be dispatched: the caller abandons the
// ticket and responds not_run. Once it has returned nil, Abandon fails.
func (t *Ticket) MarkDispatched() error {
	s := t.service
	err := s.tracker.dispatch(t.id, t.attempt, s.opts.Now())
	return errors.Wrapf(err, "claims: dispatch under %s", t.record.Token)
}

// Finish records the outcome of the work. It tries the store once, until the end of ctx,
// and returns ErrQueued if the outcome must wait for the store. It is called before the
// response is sent, so that a retry finds the response even if this instance fails in
// between. Outcome not_run is correct only if each dispatched stage is known not to have
// started.
func (t *Ticket) Finish(ctx context.Context, result StoredResult) error {
	s := t.service
	result = result.ForStorage()
	if err := s.tracker.finish(t.id, t.attempt, result, s.opts.Now()); err != nil {
		return errors.Wrapf(err, "claims: finish %s", t.record.Token)
	}
	final := t.record
	final.Result = &result
	return s.recordOrEnqueue(ctx, recordWrite{id: t.id, record: final, revision: t.revision})
}

// Abandon abandons the claim before dispatch, so that a retry may run. It fails once
// MarkDispatched has succeeded. It doesn't wait for the store.
func (t *Ticket) Abandon(_ context.Context) error {
	s := t.service
	if err := s.tracker.abandon(t.id, t.attempt, true, s.opts.Now()); err != nil {
		return errors.Wrapf(err, "claims: abandon %s", t.record.Token)
	}
	s.release(t.id, t.record, t.revision)
	return nil
}

// release queues a write that marks the claim in the store as abandoned, so that a retry
// may run even after this incarnation has ended.
func (s *Service) release(id claim.ID, record claim.Record, revision uint64) {
	record.Abandoned = true
	s.enqueue(recordWrite{id: id, record: record, revision: revision})
}

// recordOrEnqueue tries the write once. If it must be retried, it is queued and
// recordOrEnqueue returns ErrQueued.
func (s *Service) recordOrEnqueue(ctx context.Context, w recordWrite) error {
	if s.record(ctx, &w) {
		return nil
	}
	s.enqueue(w)
	return ErrQueued
}
