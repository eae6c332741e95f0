package claims

import (
	"sync"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

const memoryShards = 64

// memory is this incarnation's Holder, in shards by claim id, with a channel
// for those who wait for an open attempt.
type memory struct {
	shards [memoryShards]memoryShard
}

type memoryShard struct {
	mu     sync.Mutex
	holder *claim.Tracker
	done   map[uint64]chan struct{}
}

// entry is an attempt that a call has opened or joined.
type entry struct {
	joined  bool
	attempt uint64
	// same tells whether the joined attempt has the same body.
	same bool
	// done is closed when the joined attempt is finished or abandoned.
	done <-chan struct{}
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

func newMemory(opts Options) *memory {
	limits := claim.TrackerLimits{
		MaxOpen:        share(opts.MaxOpen),
		MaxClosed:      share(opts.MaxClosed),
		MaxResultBytes: share(opts.MaxKeptBytes),
		Retention:      opts.Retention,
		DispatchWindow: opts.DispatchWindow,
	}
	m := &memory{}
	for i := range m.shards {
		m.shards[i].holder = claim.NewTracker(limits)
		m.shards[i].done = make(map[uint64]chan struct{})
	}
	return m
}

// share splits a bound over the shards, rounded up.
func share(total int) int { return (total + memoryShards - 1) / memoryShards }

func (m *memory) shard(id claim.ID) *memoryShard { return &m.shards[int(id[0])%memoryShards] }

// joinOrOpen joins the key's last attempt on this instance or opens a new one.
func (m *memory) joinOrOpen(id claim.ID, body claim.BodyDigest, attempt uint64, now time.Time) (entry, error) {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if j, ok := sh.holder.Latest(id, body); ok {
		e := entry{joined: true, attempt: j.Attempt, same: j.SameBody, done: closedChannel}
		if done, open := sh.done[j.Attempt]; open {
			e.done = done
		}
		return e, nil
	}
	if err := sh.holder.Open(id, body, attempt, now); err != nil {
		return entry{}, err
	}
	sh.done[attempt] = make(chan struct{})
	return entry{attempt: attempt}, nil
}

func (m *memory) dispatch(id claim.ID, attempt uint64, now time.Time) error {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.holder.Dispatch(attempt, now)
}

func (m *memory) finish(id claim.ID, attempt uint64, kept claim.StoredResult, now time.Time) error {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	err := sh.holder.Finish(attempt, kept, now)
	if err == nil {
		sh.wake(attempt)
	}
	return err
}

func (m *memory) abandon(id claim.ID, attempt uint64, mayBeStored bool, now time.Time) error {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	err := sh.holder.Abandon(attempt, mayBeStored, now)
	if err == nil {
		sh.wake(attempt)
	}
	return err
}

func (m *memory) answer(id claim.ID, attempt uint64) claim.StatusResponse {
	sh := m.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return sh.holder.Status(attempt)
}

func (sh *memoryShard) wake(attempt uint64) {
	if done, ok := sh.done[attempt]; ok {
		close(done)
		delete(sh.done, attempt)
	}
}
