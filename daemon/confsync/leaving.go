package confsync

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
)

// kindLeaving is the kind of the marks of leaving targets between instances. A
// mark has two versions and no body: set, then deleted.
const kindLeaving = "leaving"

const (
	markSetRevision     = 1
	markDeletedRevision = 2
)

// Bounds of the marks.
const (
	// maxMarks bounds the leaving targets that are remembered; a further one is
	// not spread, so peers learn of it from the target or the list.
	maxMarks = 4096
	// markRetention is how long a mark outlives its target's entry in the
	// platform's list, which lags and may still bring the target back.
	markRetention = 10 * time.Minute
	// deletedRetention is how long a deleted mark is remembered, so that the
	// one of a peer which learns late doesn't set it again.
	deletedRetention = 10 * time.Minute
	expireInterval   = 10 * time.Second
)

// leavingMarks holds the incarnations that some instance saw leaving. It closes
// the gap of the platform's list, which lags by seconds: an instance that was
// told by the target itself tells the others.
type leavingMarks struct {
	// set holds when the target was last known to be listed, deleted when a
	// mark was deleted.
	lastListed map[string]time.Time
	deletedAt  map[string]time.Time
}

func newLeavingMarks() *leavingMarks {
	return &leavingMarks{lastListed: make(map[string]time.Time), deletedAt: make(map[string]time.Time)}
}

// add sets a mark and tells whether it is news.
func (m *leavingMarks) add(now time.Time, incarnation string) bool {
	_, known := m.lastListed[incarnation]
	_, gone := m.deletedAt[incarnation]
	if known || gone || len(m.lastListed) >= maxMarks {
		return false
	}
	m.lastListed[incarnation] = now
	return true
}

// remove deletes a mark and tells whether that is news.
func (m *leavingMarks) remove(now time.Time, incarnation string) bool {
	if _, known := m.lastListed[incarnation]; !known {
		return false
	}
	delete(m.lastListed, incarnation)
	m.deletedAt[incarnation] = now
	return true
}

// expire deletes the marks whose target has not been listed for long, and
// returns them.
func (m *leavingMarks) expire(now time.Time, listed func(string) bool) []string {
	var expired []string
	for incarnation, since := range m.lastListed {
		if listed(incarnation) {
			m.lastListed[incarnation] = now
		} else if now.Sub(since) > markRetention && m.remove(now, incarnation) {
			expired = append(expired, incarnation)
		}
	}
	for incarnation, since := range m.deletedAt {
		if now.Sub(since) > deletedRetention {
			delete(m.deletedAt, incarnation)
		}
	}
	return expired
}

// after returns the marks behind a name, in the order of names.
func (m *leavingMarks) after(name string, limit int) []spread.Record {
	var page []spread.Record
	for _, next := range slices.Sorted(maps.Keys(m.lastListed)) {
		if next > name && len(page) < limit {
			page = append(page, markRecord(next))
		}
	}
	return page
}

func markRecord(incarnation string) spread.Record {
	return spread.Record{Kind: kindLeaving, Name: incarnation, Revision: markSetRevision}
}

// MarkLeaving tells all instances that a target's incarnation is leaving, as it
// said itself to this one. It costs nothing for one that is marked already.
func (s *Sync) MarkLeaving(incarnation string) {
	s.withLock(func() {
		if s.leaving.add(time.Now(), incarnation) {
			s.outbox = append(s.outbox, markRecord(incarnation))
		}
	})
}

// takeMark takes a mark that a peer has set or deleted. It needs the lock.
func (s *Sync) applyMark(r spread.Record) {
	if r.Deleted {
		s.leaving.remove(time.Now(), r.Name)
		return
	}
	if s.leaving.add(time.Now(), r.Name) && s.opts.OnLeaving != nil {
		s.newlyLeaving = append(s.newlyLeaving, r.Name)
		s.metrics.leavingByPeers.Inc(1)
	}
}

// expireLeaving deletes old marks until the context ends. Every instance does
// so: the tombstones are the same, and there is no duty to lose.
func (s *Sync) expireMarks(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, expireInterval)
		s.withLock(func() {
			for _, incarnation := range s.leaving.expire(time.Now(), s.targets.isListed) {
				s.outbox = append(s.outbox, spread.Record{Kind: kindLeaving, Name: incarnation, Revision: markDeletedRevision, Deleted: true})
			}
		})
	}
}
