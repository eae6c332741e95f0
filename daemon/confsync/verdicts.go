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

// Limits of the writes of verdicts. Operators wait for a verdict, but a change of
// thousands of records must not use up the store's write capacity, which claims need.
const (
	verdictInterval   = 50 * time.Millisecond
	maxQueuedVerdicts = 65536
)

// verdictWriter writes each record's verdict to its status, once. Only the watcher of
// rank 0 has verdicts to write.
type verdictWriter struct {
	store   platform.Store
	metrics metrics

	mu sync.Mutex
	// refused and accepted hold the verdicts to write, the newest one of each record.
	// Refusals are written first, because somebody has to fix the record.
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

// enqueue queues a verdict to be written unless a newer one of the record is queued.
func (w *verdictWriter) enqueue(v config.Verdict) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued(v.Key).Revision > v.Revision {
		return
	}
	delete(w.refused, v.Key)
	delete(w.accepted, v.Key)
	queue := w.refused
	if v.Accepted {
		queue = w.accepted
	}
	if len(queue) < maxQueuedVerdicts {
		queue[v.Key] = v
	}
	w.updateMetrics()
}

// queued returns the queued verdict of a record, the zero value if there is none. The
// caller holds the lock.
func (w *verdictWriter) queued(key config.Key) config.Verdict {
	if v, ok := w.refused[key]; ok {
		return v
	}
	return w.accepted[key]
}

// updateMetrics reports the number of queued verdicts. The caller holds the lock.
func (w *verdictWriter) updateMetrics() {
	w.metrics.verdictsDue.Update(float64(len(w.refused) + len(w.accepted)))
}

// clear empties the queues, when another instance has become the writer. That instance
// lists the store and determines itself which verdicts to write.
func (w *verdictWriter) clear() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.refused)
	clear(w.accepted)
	w.updateMetrics()
}

// run writes the queued verdicts one by one until the context ends.
func (w *verdictWriter) run(ctx context.Context) {
	for sleep(ctx, verdictInterval); ctx.Err() == nil; sleep(ctx, verdictInterval) {
		if v, ok := w.dequeue(); ok {
			w.write(ctx, v)
		}
	}
}

// dequeue removes a verdict from the queues and returns it, false if there is none.
func (w *verdictWriter) dequeue() (config.Verdict, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, queue := range []map[config.Key]config.Verdict{w.refused, w.accepted} {
		for key, v := range queue {
			delete(queue, key)
			w.updateMetrics()
			return v, true
		}
	}
	return config.Verdict{}, false
}

// write writes a verdict to the record's status unless the status has it already. A write
// that fails is retried.
func (w *verdictWriter) write(ctx context.Context, v config.Verdict) {
	err := w.tryWrite(ctx, v)
	if err == nil || isObsoleteWrite(err) {
		return
	}
	w.metrics.failures.Inc(1)
	w.enqueue(v)
	sleep(ctx, retryMax)
}

// tryWrite reads the record first, because another writer may already have written the
// status, and a read is much cheaper for the store than a write. The write is conditional
// on the version that was evaluated. Otherwise a verdict on a replaced spec would raise
// the record's revision and cause a conflict for an operator who is about to write.
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

// isVerdictWriter reports whether this instance currently writes the verdicts.
func (s *Sync) isVerdictWriter() bool {
	rank, ok := s.opts.WatcherRank()
	return ok && rank == 0
}

// queueVerdicts queues changed verdicts if this instance writes the verdicts. The caller
// holds the lock.
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

// queueMissingVerdict queues the verdict on an object if its status lacks it, because the
// previous writer could not write it. The caller holds the lock.
func (s *Sync) queueMissingVerdict(kind string, object *platformapi.Object) {
	key := config.Key{Kind: catalog.RecordKind(kind), Name: object.Metadata.Name}
	if v, evaluated := s.set.Verdict(key); evaluated && record.NeedsStatus(object, v) {
		s.verdicts.enqueue(v)
	}
}
