package confsync

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/protocol/record"
	"github.com/ivyhollow/ivyhollow/state/catalog"
	"github.com/ivyhollow/ivyhollow/telemetry"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Bounds of the writing of verdicts: operators wait for one, but a change of
// thousands of records must not take the store's writes from the claims.
const (
	verdictInterval   = 50 * time.Millisecond
	maxQueuedVerdicts = 65536
)

// verdictWriter writes each record's verdict to its status, once. Only the
// first watcher has anything to write.
type verdictWriter struct {
	store   platform.Store
	metrics metrics

	mu sync.Mutex
	// refused and accepted hold the verdicts to write; the newest of a record
	// replaces the one before. Refused ones go first: somebody has to mend the
	// record.
	refused  map[config.Key]config.Verdict
	accepted map[config.Key]config.Verdict
}

func newVerdictWriter(store platform.Store, m metrics) *verdictWriter {
	return &verdictWriter{
		store:    store,
		metrics:  m,
		refused:  make(map[config.Key]config.Verdict),
		accepted: make(map[config.Key]config.Verdict),
	}
}

// add has a verdict written unless a newer one of the record waits.
func (w *verdictWriter) enqueue(v config.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued(v.Key).Revision > v.Revision {
		return
	}
	delete(w.refused, v.Key)
	delete(w.accepted, v.Key)
	due := w.refused
	if v.Accepted {
		due = w.accepted
	}
	if len(due) < maxQueuedVerdicts {
		due[v.Key] = v
	}
	w.updateMetrics()
}

// waiting needs the lock.
func (w *verdictWriter) queued(key config.Key) config.Verdict {
	if v, ok := w.refused[key]; ok {
		return v
	}
	return w.accepted[key]
}

// report needs the lock.
func (w *verdictWriter) updateMetrics() {
	w.metrics.verdictsDue.Update(float64(len(w.refused) + len(w.accepted)))
}

// clear forgets what waits, when another instance has taken the duty over: it
// lists the store and finds by itself what has to be written.
func (w *verdictWriter) clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.refused)
	clear(w.accepted)
	w.updateMetrics()
}

// run writes due verdicts one by one until the context ends.
func (w *verdictWriter) run(ctx context.Context) {
	for sleep(ctx, verdictInterval); ctx.Err() == nil; sleep(ctx, verdictInterval) {
		if v, ok := w.dequeue(); ok {
			w.write(ctx, v)
		}
	}
}

func (w *verdictWriter) dequeue() (config.Verdict, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, due := range []map[config.Key]config.Verdict{w.refused, w.accepted} {
		for key, v := range due {
			delete(due, key)
			w.updateMetrics()
			return v, true
		}
	}
	return config.Verdict{}, false
}

// write puts the verdict into the record's status, if it isn't there. What the
// store doesn't take now is tried again.
func (w *verdictWriter) write(ctx context.Context, v config.Verdict) {
	err := w.tryWrite(ctx, v)
	if err == nil || isObsoleteWrite(err) {
		return
	}
	w.metrics.failures.Inc(1)
	w.enqueue(v)
	sleep(ctx, retryMax)
}

// tryWrite reads the record first: another writer may have been faster, and a
// read is far cheaper for the store than a write. The write is conditional on
// the version that was judged. Were it not, a verdict on a spec that is gone
// would raise the revision under an operator who is about to write.
func (w *verdictWriter) tryWrite(ctx context.Context, v config.Verdict) error {
	object, err := w.store.Get(ctx, string(v.Kind), v.Name)
	if err != nil {
		return errors.Wrap(err, "write verdict: read")
	}
	if !record.NeedsStatus(object, v) {
		return nil
	}
	status, err := json.Marshal(record.StatusOf(v, object.Spec))
	if err != nil {
		return errors.Wrap(err, "write verdict: encode")
	}
	_, err = w.store.UpdateStatus(ctx, string(v.Kind), platformapi.Object{Metadata: object.Metadata, Status: status})
	if err != nil {
		return errors.Wrap(err, "write verdict")
	}
	w.metrics.verdictsWritten.Inc(1)
	if !v.Accepted {
		telemetry.InfoS("record refused", telemetry.Event{Record: string(v.Kind) + "/" + v.Name, Revision: v.Revision})
	}
	return nil
}

// writes tells whether this instance writes the verdicts now.
func (s *Sync) isVerdictWriter() bool {
	rank, ok := s.opts.WatcherRank()
	return ok && rank == 0
}

// queueVerdicts has verdicts that changed written, if this instance is the one
// that writes them. It needs the lock.
func (s *Sync) queueVerdicts(verdicts []config.Verdict) {
	if !s.isVerdictWriter() {
		return
	}
	for _, v := range verdicts {
		if !v.Deleted {
			s.verdicts.enqueue(v)
		}
	}
}

// compareStatus has the verdict on an object written that its status lacks: one
// that the writer before could not write any more. It needs the lock.
func (s *Sync) queueMissingVerdict(kind string, object *platformapi.Object) {
	key := config.Key{Kind: catalog.RecordKind(kind), Name: object.Metadata.Name}
	if v, judged := s.set.Verdict(key); judged && record.NeedsStatus(object, v) {
		s.verdicts.enqueue(v)
	}
}
