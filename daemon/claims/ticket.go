package claims

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

// ErrQueued says that the outcome is not in the store yet. This instance
// answers for it from memory and records it when the store is back.
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

// MarkDispatched comes before the first byte of the first dispatch leaves. It
// makes no store call. When it fails nothing may be dispatched: Abandon the
// ticket and answer not_run. Once it has returned nil, Abandon fails.
func (t *Ticket) MarkDispatched() error {
	s := t.service
	err := s.tracker.dispatch(t.id, t.attempt, s.opts.Now())
	return errors.Wrapf(err, "claims: dispatch under %s", t.record.Token)
}

// Finish records the outcome of the work. It tries the store once, until the
// end of ctx, and returns ErrQueued when the outcome must wait for the store.
// Call it before the answer is sent, so that a retry finds the answer even if
// this instance dies in between. Outcome not_run is right only when each
// dispatched stage is known not to have started.
func (t *Ticket) Finish(ctx context.Context, kept StoredResult) error {
	s := t.service
	kept = kept.ForStorage()
	if err := s.tracker.finish(t.id, t.attempt, kept, s.opts.Now()); err != nil {
		return errors.Wrapf(err, "claims: finish %s", t.record.Token)
	}
	final := t.record
	final.Result = &kept
	return s.recordOrEnqueue(ctx, recordWrite{id: t.id, record: final, revision: t.revision})
}

// Abandon gives the claim up before dispatch, so that a retry may run. It
// fails once MarkDispatched has succeeded. It doesn't wait for the store.
func (t *Ticket) Abandon(_ context.Context) error {
	s := t.service
	if err := s.tracker.abandon(t.id, t.attempt, true, s.opts.Now()); err != nil {
		return errors.Wrapf(err, "claims: abandon %s", t.record.Token)
	}
	s.release(t.id, t.record, t.revision)
	return nil
}

// release marks the claim in the store as abandoned, in the background, so
// that a retry may run even after this incarnation is gone.
func (s *Service) release(id claim.ID, record claim.Record, revision uint64) {
	record.Abandoned = true
	s.enqueue(recordWrite{id: id, record: record, revision: revision})
}

func (s *Service) recordOrEnqueue(ctx context.Context, w recordWrite) error {
	if s.record(ctx, &w) {
		return nil
	}
	s.enqueue(w)
	return ErrQueued
}
