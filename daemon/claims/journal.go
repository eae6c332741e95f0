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
	// maxHeadBytes is when a head's entries are sealed into a segment. A write
	// carries the whole head, so a small one is quick and a large one rolls
	// over less often.
	maxHeadBytes = 128 << 10
	// maxJournalTries bounds the writes of one batch after conflicts.
	maxCommitAttempts = 4
	// maxBatch and maxJournalBody keep a head under the store's limit of a
	// megabyte. A longer answer keeps its digest alone in a journal.
	maxBatchOps         = 64
	maxJournalBodyBytes = 8 << 10
	// maxJournalOps bounds the claims that wait for one journal.
	maxPendingOps = 1024
)

// Journals is the Storage that commits claims in groups: the claims of a shard
// of keys lie in one object, and all claims that come while a write of it is
// under way share the next write. Which instance writes a shard is free: the
// conditional update on the journal's revision alone decides, so several
// writers only cost one another conflicts.
type JournalStorage struct {
	store  Store
	shards []*journal
}

// journal is one shard. Its view is a cache: a write on a stale one conflicts.
type journal struct {
	store         Store
	name          string
	timeout       time.Duration
	writeInterval time.Duration
	maxHeadBytes  int

	mu         sync.Mutex
	pending    []*journalOp
	committing bool

	// The fields below belong to the running commit.
	view      *journalView
	lastWrite time.Time
	segments  map[string]map[string]*journalEntry
}

// journalOp is one Create (sequence 0) or Replace that waits for its commit.
type journalOp struct {
	id       claim.ID
	sequence uint64
	record   claim.Record
	done     chan claim.Event
}

// NewJournals returns Journals with a number of shards, which all instances
// must agree on. timeout bounds one call to the store. every is the least time
// between two writes of a shard: it bounds the writes whatever the claims, and
// half of it is what a claim waits on average.
func NewJournalStorage(store Store, shards int, timeout, every time.Duration) *JournalStorage {
	j := &JournalStorage{store: store}
	for i := range shards {
		j.shards = append(j.shards, &journal{
			store:         store,
			name:          fmt.Sprintf("journal-%04d", i),
			timeout:       timeout,
			writeInterval: every,
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
		kept := *r.Result
		kept.Body = nil
		r.Result = &kept
	}
	return j.shard(id).submit(ctx, &journalOp{id: id, sequence: revision, record: r})
}

// submit hands an op to the running commit, or starts one, and waits.
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
		// Guard: the op is in a batch that may still be written.
		return claim.ResponseLost{}
	}
}

// commitAll commits batches until no op waits.
func (j *journal) commitAll() {
	for j.hasPending() {
		time.Sleep(j.writeInterval - time.Since(j.lastWrite))
		j.commit(j.nextBatch())
	}
}

// goesOn tells whether ops wait; without any the next op starts a commit.
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

// commit writes one batch with one conditional update, and again on a newer
// view when another instance was faster.
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
			if answered := j.writeBatch(next, batch, results); answered {
				return
			}
		case fresh:
			respondEach(batch, results)
			return
		default:
			// No write will tell whether the view is behind: read it anew.
			j.view = nil
		}
	}
	respondAll(batch, claim.StoreUnavailable{})
}

// writeBatch writes the view that the batch led to and answers the batch. It
// does not answer after a conflict, which brings a newer view to try again on.
func (j *journal) writeBatch(next journalView, batch []*journalOp, results []claim.Event) (answered bool) {
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

// failed answers a batch whose write was not taken, or may have been.
//
// Guard: after a lost answer the view isn't known any more, and each op of the
// batch must be read back by its call.
func (j *journal) respondWriteError(batch []*journalOp, err error) {
	event := writeErrorEvent(err)
	if _, nothingDone := event.(claim.StoreUnavailable); nothingDone {
		respondAll(batch, event)
		return
	}
	j.view = nil
	respondAll(batch, claim.ResponseLost{})
}

// applyAll puts the batch's ops into the view, in order.
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

// find looks a claim up in the head and then in the sealed segments, newest
// first.
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

// write writes the next head; one that has grown too large is sealed first.
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

// seal copies the head's entries as of its revision into a segment and returns
// next without them. The segment counts only once the head names it, so a
// crash in between leaves an object that nobody reads.
//
// Guard: the head drops its entries only after the store has confirmed the
// segment, or shows that it is there already; otherwise a lost write would
// lose claims.
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
	rolled := next.clone()
	for key, e := range j.view.spec.Entries {
		if rolled.spec.Entries[key] == e {
			delete(rolled.spec.Entries, key)
		}
	}
	sealed := sealedSegment{Name: name, Newest: j.view.newestCreation()}
	rolled.spec.Sealed = append(rolled.spec.Sealed[:len(rolled.spec.Sealed):len(rolled.spec.Sealed)], sealed)
	return rolled, nil
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
