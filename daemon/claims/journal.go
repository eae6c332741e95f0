package claims

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
	"github.com/ivyhollow/ivyhollow/transport/platform"
)

const (
	// maxHeadBytes is the size of a head above which its entries are sealed into a
	// segment. Each write contains the whole head: a small head is written faster, a
	// large one is sealed less often.
	maxHeadBytes = 128 << 10
	// maxCommitAttempts bounds the attempts to commit one batch, since a conflict
	// leads to another attempt.
	maxCommitAttempts = 4
	// maxBatchOps and maxJournalBodyBytes keep a head below the store's limit of a
	// megabyte. A journal stores only the length and the digest of a longer response body.
	maxBatchOps         = 64
	maxJournalBodyBytes = 8 << 10
	// maxPendingOps bounds the operations that wait for one journal.
	maxPendingOps = 1024
)

// JournalStorage is the Storage that commits claims in groups. The claims of a shard of
// keys are in one object, and all claims that arrive during a write of it share the
// next write. Any instance may write any shard: only the conditional update on the
// journal's revision decides, so concurrent writers merely cause conflicts for each
// other.
type JournalStorage struct {
	store  Store
	shards []*journal
}

// journal is one shard. Its view is a cache: a write that is based on a stale view
// conflicts.
type journal struct {
	store         Store
	name          string
	timeout       time.Duration
	writeInterval time.Duration
	maxHeadBytes  int

	mu         sync.Mutex
	pending    []*journalOp
	committing bool

	// The fields below are used only by the goroutine that commits.
	view      *journalView
	lastWrite time.Time
	segments  map[string]map[string]*journalEntry
}

// journalOp is a Create (sequence 0) or Replace that waits for its commit.
type journalOp struct {
	id       claim.ID
	sequence uint64
	record   claim.Record
	done     chan claim.Event
}

// NewJournalStorage returns a JournalStorage with the given number of shards, which must
// be the same on all instances. timeout bounds one call to the store. writeInterval is
// the minimum time between two writes of a shard: it bounds the rate of writes however
// many claims arrive, and a claim waits for half of it on average.
func NewJournalStorage(store Store, shards int, timeout, writeInterval time.Duration) *JournalStorage {
	j := &JournalStorage{store: store}
	for i := range shards {
		j.shards = append(j.shards, &journal{
			store:         store,
			name:          fmt.Sprintf("journal-%04d", i),
			timeout:       timeout,
			writeInterval: writeInterval,
			maxHeadBytes:  maxHeadBytes,
			segments:      make(map[string]map[string]*journalEntry),
		})
	}
	return j
}

func (j *JournalStorage) shard(id claim.ID) *journal {
	return j.shards[(int(id[1])<<8|int(id[2]))%len(j.shards)]
}

// Create implements Storage.
func (j *JournalStorage) Create(ctx context.Context, id claim.ID, r claim.Record) claim.Event {
	return j.shard(id).submit(ctx, &journalOp{id: id, record: r})
}

// Replace implements Storage.
func (j *JournalStorage) Replace(ctx context.Context, id claim.ID, revision uint64, r claim.Record) claim.Event {
	if r.Result != nil && len(r.Result.Body) > maxJournalBodyBytes {
		withoutBody := *r.Result
		withoutBody.Body = nil
		r.Result = &withoutBody
	}
	return j.shard(id).submit(ctx, &journalOp{id: id, sequence: revision, record: r})
}

// submit queues an operation, starts the committing goroutine if it isn't running, and
// waits for the event.
func (j *journal) submit(ctx context.Context, op *journalOp) claim.Event {
	op.done = make(chan claim.Event, 1)
	j.mu.Lock()
	if len(j.pending) >= maxPendingOps {
		j.mu.Unlock()
		return claim.StoreUnavailable{}
	}
	j.pending = append(j.pending, op)
	start := !j.committing
	j.committing = true
	j.mu.Unlock()
	if start {
		go j.commitAll()
	}
	select {
	case e := <-op.done:
		return e
	case <-ctx.Done():
		// The operation may still be written: it is pending or in a batch in progress.
		return claim.ResponseLost{}
	}
}

// commitAll commits batches until no operation is pending.
func (j *journal) commitAll() {
	for j.hasPending() {
		time.Sleep(j.writeInterval - time.Since(j.lastWrite))
		j.commit(j.nextBatch())
	}
}

// hasPending reports whether operations are pending. If there are none, it clears
// committing, so that the next operation starts the committing goroutine again.
func (j *journal) hasPending() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.committing = len(j.pending) > 0
	return j.committing
}

func (j *journal) nextBatch() []*journalOp {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := min(len(j.pending), maxBatchOps)
	batch := j.pending[:n:n]
	j.pending = j.pending[n:]
	return batch
}

// commit writes one batch with one conditional update. It retries on a newer view if
// another instance has written the journal meanwhile.
func (j *journal) commit(batch []*journalOp) {
	fresh := false
	for range maxCommitAttempts {
		if j.view == nil {
			if !j.load() {
				break
			}
			fresh = true
		}
		next := j.view.clone()
		results, changed := j.applyBatch(&next, batch)
		switch {
		case changed:
			if responded := j.writeBatch(next, batch, results); responded {
				return
			}
		case fresh:
			respondEach(batch, results)
			return
		default:
			// There is nothing to write, so no conflict would show that the view is
			// stale: read it again.
			j.view = nil
		}
	}
	respondAll(batch, claim.StoreUnavailable{})
}

// writeBatch writes the view that results from the batch and responds to the batch.
// After a conflict it doesn't respond, but sets the newer view for another attempt.
func (j *journal) writeBatch(next journalView, batch []*journalOp, results []claim.Event) (responded bool) {
	err := j.write(next)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		respondEach(batch, results)
	case errors.As(err, &conflict):
		j.setView(conflict.Current)
		return false
	default:
		j.respondWriteError(batch, err)
	}
	return true
}

// respondWriteError responds to the operations of a batch after its write failed. If the
// response of the store was lost, the write may have been applied: the view is no longer
// known, and the call behind each operation must read its claim back.
func (j *journal) respondWriteError(batch []*journalOp, err error) {
	event := writeErrorEvent(err)
	if _, nothingDone := event.(claim.StoreUnavailable); nothingDone {
		respondAll(batch, event)
		return
	}
	j.view = nil
	respondAll(batch, claim.ResponseLost{})
}

// applyBatch applies the batch's operations to the view, in order. It returns the event
// of each one and whether the view has changed.
func (j *journal) applyBatch(next *journalView, batch []*journalOp) ([]claim.Event, bool) {
	results := make([]claim.Event, len(batch))
	changed := false
	for i, op := range batch {
		current := j.lookUp(next, op.id)
		switch {
		case current == nil && op.sequence != 0:
			results[i] = claim.Absent{}
		case current != nil && current.Sequence != op.sequence:
			results[i] = current.existsEvent()
		default:
			results[i] = claim.Written{Revision: next.put(op.id, op.record)}
			changed = true
		}
	}
	return results, changed
}

// lookUp looks a claim up in the head and then in the sealed segments, newest first.
func (j *journal) lookUp(v *journalView, id claim.ID) *journalEntry {
	key := id.String()
	if e, ok := v.spec.Entries[key]; ok {
		return e
	}
	for i := len(v.spec.Sealed) - 1; i >= 0; i-- {
		if e, ok := j.segments[v.spec.Sealed[i].Name][key]; ok {
			return e
		}
	}
	return nil
}

// write writes the next head. If the encoded head is too large, the entries of the current
// head are sealed into a segment first.
func (j *journal) write(next journalView) error {
	object, err := next.object(j.name, j.view.revision)
	if err != nil {
		return err
	}
	if len(object.Spec) > j.maxHeadBytes && len(j.view.spec.Entries) > 0 {
		if sealed, err := j.seal(next); err == nil {
			next = sealed
			object, err = next.object(j.name, j.view.revision)
			if err != nil {
				return err
			}
		}
	}
	j.lastWrite = time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), j.timeout)
	defer cancel()
	var written *platformapi.Object
	if j.view.revision == 0 {
		written, err = j.store.Create(ctx, platformapi.KindClaims, object)
	} else {
		written, err = j.store.Update(ctx, platformapi.KindClaims, object)
	}
	if err != nil {
		return err
	}
	next.revision = written.Metadata.Revision
	j.view = &next
	return nil
}

// seal copies the entries of the current head into a segment. It returns next without
// those of the entries that are unchanged in next. The segment is valid only once the head
// names it, so a crash in between leaves an object that is never read.
//
// The head drops its entries only after the store has confirmed the segment or
// responded that it exists: otherwise a lost write would lose claims.
func (j *journal) seal(next journalView) (journalView, error) {
	name := j.view.segmentName(j.name)
	segment := journalView{spec: journalSpec{Sequence: j.view.spec.Sequence, Entries: j.view.spec.Entries}}
	object, err := segment.object(name, 0)
	if err != nil {
		return next, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), j.timeout)
	defer cancel()
	_, err = j.store.Create(ctx, platformapi.KindClaims, object)
	var conflict *platform.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return next, err
	}
	j.segments[name] = segment.spec.Entries
	remaining := next.clone()
	for key, e := range j.view.spec.Entries {
		if remaining.spec.Entries[key] == e {
			delete(remaining.spec.Entries, key)
		}
	}
	sealed := sealedSegment{Name: name, Newest: j.view.newestCreation()}
	remaining.spec.Sealed = append(remaining.spec.Sealed[:len(remaining.spec.Sealed):len(remaining.spec.Sealed)], sealed)
	return remaining, nil
}

func respondEach(batch []*journalOp, results []claim.Event) {
	for i, op := range batch {
		op.done <- results[i]
	}
}

func respondAll(batch []*journalOp, e claim.Event) {
	for _, op := range batch {
		op.done <- e
	}
}
