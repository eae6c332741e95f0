package claims

import (
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

const trackerShards = 64

// shardedTracker is this incarnation's claim.Tracker, sharded by claim id. For each open
// attempt it has a channel that calls can wait on.
type shardedTracker struct {
	shards [trackerShards]trackerShard
}

type trackerShard struct {
	mu      sync.Mutex
	tracker *claim.Tracker
	done    map[uint64]chan struct{}
}

// localAttempt is an attempt of this instance that a call has opened or joined.
type localAttempt struct {
	joined  bool
	attempt uint64
	// sameBody reports whether the joined attempt has the same body.
	sameBody bool
	// done is closed when the joined attempt is finished or abandoned.
	done <-chan struct{}
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func newShardedTracker(opts Options) *shardedTracker {
	limits := claim.TrackerLimits{
		MaxOpen:        perShard(opts.MaxOpen),
		MaxClosed:      perShard(opts.MaxClosed),
		MaxResultBytes: perShard(opts.MaxResultBytes),
		Retention:      opts.Retention,
		DispatchWindow: opts.DispatchWindow,
	}
	m := &shardedTracker{}
	for i := range m.shards {
		m.shards[i].tracker = claim.NewTracker(limits)
		m.shards[i].done = make(map[uint64]chan struct{})
	}
	return m
}

// perShard divides a bound by the number of shards, rounded up.
func perShard(total int) int { return (total + trackerShards - 1) / trackerShards }

func (m *shardedTracker) shard(id claim.ID) *trackerShard { return &m.shards[int(id[0])%trackerShards] }

// joinOrOpen joins the key's latest attempt on this instance or opens a new one.
func (m *shardedTracker) joinOrOpen(id claim.ID, body claim.BodyDigest, attempt uint64, now time.Time) (localAttempt, error) {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if j, ok := sh.tracker.Latest(id, body); ok {
		e := localAttempt{joined: true, attempt: j.Attempt, sameBody: j.SameBody, done: closedChannel}
		if done, open := sh.done[j.Attempt]; open {
			e.done = done
		}
		return e, nil
	}
	if err := sh.tracker.Open(id, body, attempt, now); err != nil {
		return localAttempt{}, err
	}
	sh.done[attempt] = make(chan struct{})
	return localAttempt{attempt: attempt}, nil
}

func (m *shardedTracker) dispatch(id claim.ID, attempt uint64, now time.Time) error {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.tracker.Dispatch(attempt, now)
}

func (m *shardedTracker) finish(id claim.ID, attempt uint64, result claim.StoredResult, now time.Time) error {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	err := sh.tracker.Finish(attempt, result, now)
	if err == nil {
		sh.closeDone(attempt)
	}
	return err
}

func (m *shardedTracker) abandon(id claim.ID, attempt uint64, mayBeStored bool, now time.Time) error {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	err := sh.tracker.Abandon(attempt, mayBeStored, now)
	if err == nil {
		sh.closeDone(attempt)
	}
	return err
}

func (m *shardedTracker) status(id claim.ID, attempt uint64) claim.StatusResponse {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.tracker.Status(attempt)
}

// closeDone wakes the calls that wait for the attempt. The caller holds mu.
func (sh *trackerShard) closeDone(attempt uint64) {
	if done, ok := sh.done[attempt]; ok {
		close(done)
		delete(sh.done, attempt)
	}
}
