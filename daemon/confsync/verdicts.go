package confsync

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/ivyhollow/ivyhollow/coordination/config"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

// Bounds of the writing of verdicts: operators wait for one, but a change of
// thousands of records must not take the store's writes from the claims.
const (
	verdictInterval = 50 * time.Millisecond
	maxVerdicts     = 65536
)

// verdictWriter writes each record's verdict to its status, once. Only the
// first watcher has anything to write.
type verdictWriter struct {
	store platform.Store

	mu sync.Mutex
	// due holds the verdicts to write; the newest of a record replaces the
	// one before.
	due map[config.Key]platformapi.RecordStatus
	// seen is what the store holds, as far as known.
	seen map[config.Key]platformapi.RecordStatus
}

func newVerdictWriter(store platform.Store) *verdictWriter {
	return &verdictWriter{
		store: store,
		due:   make(map[config.Key]platformapi.RecordStatus),
		seen:  make(map[config.Key]platformapi.RecordStatus),
	}
}

// add has a verdict written unless the store holds it already.
func (w *verdictWriter) add(key config.Key, status platformapi.RecordStatus) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.due) < maxVerdicts && !sameVerdict(w.seen[key], status) {
		w.due[key] = status
	}
}

// statusOf makes the status of a verdict on a spec.
func statusOf(v config.Verdict, spec []byte) platformapi.RecordStatus {
	return platformapi.RecordStatus{
		Revision:   v.Revision,
		SpecDigest: strconv.FormatUint(xxhash.Sum64(spec), 16),
		Accepted:   v.Accepted,
		Reason:     v.Reason,
		InForce:    v.InForce.Revision,
	}
}

// sameVerdict compares what operators read. It leaves the revision out: the
// write of a status raises the object's revision, so that a comparison of it
// would have the status written again for ever.
func sameVerdict(a, b platformapi.RecordStatus) bool {
	a.Revision, b.Revision = 0, 0
	return a == b
}

// note remembers the status that the store holds for a record.
func (w *verdictWriter) note(key config.Key, status json.RawMessage) {
	var known platformapi.RecordStatus
	if len(status) == 0 || json.Unmarshal(status, &known) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[key] = known
}

// run writes due verdicts one by one until the context ends.
func (w *verdictWriter) run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, verdictInterval)
		if key, status, ok := w.next(); ok {
			w.write(ctx, key, status)
		}
	}
}

func (w *verdictWriter) next() (config.Key, platformapi.RecordStatus, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, status := range w.due {
		delete(w.due, key)
		return key, status, !sameVerdict(w.seen[key], status)
	}
	return config.Key{}, platformapi.RecordStatus{}, false
}

// write puts the verdict into the record's status. A conflict means that the
// record has changed: its new version gets a verdict of its own. What fails
// otherwise is tried again.
func (w *verdictWriter) write(ctx context.Context, key config.Key, status platformapi.RecordStatus) {
	encoded, err := json.Marshal(status)
	if err != nil {
		return
	}
	object := platformapi.Object{
		Metadata: platformapi.Metadata{Name: key.Name, Revision: status.Revision},
		Status:   encoded,
	}
	_, err = w.store.UpdateStatus(ctx, string(key.Kind), object)
	if err == nil {
		w.note(key, encoded)
		return
	}
	if !nothingToWrite(err) {
		w.add(key, status)
		sleep(ctx, retryMax)
	}
}

// noteStatus remembers what the store says of a record's verdict. It needs the
// lock.
func (s *Sync) noteStatus(kind string, o *platformapi.Object) {
	s.verdicts.note(liveRecord(kind, o).Key, o.Status)
}

// writeVerdicts has the verdicts written that the store lacks, if this instance
// is the one that writes them. It needs the lock.
func (s *Sync) writeVerdicts(keys []config.Key) {
	if rank, ok := s.opts.WatcherRank(); !ok || rank != 0 {
		return
	}
	for _, key := range keys {
		v, judged := s.set.Verdict(key)
		held, known := s.set.Get(key)
		if judged && known && !v.Deleted {
			s.verdicts.add(key, statusOf(v, held.Newest.Spec))
		}
	}
}
