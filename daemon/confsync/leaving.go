package confsync

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/spread"
)

// kindLeaving is the kind of the gossiped records that mark a target as leaving. A mark
// has no body and two revisions: set, then deleted.
const kindLeaving = "leaving"

const (
	markSetRevision     = 1
	markDeletedRevision = 2
)

// Limits of the marks.
const (
	// maxMarks bounds the number of marks. Further targets are not marked, so peers
	// learn from the target or the platform's list that they are leaving.
	maxMarks = 4096
	// markRetention is how long a mark is kept after its target has disappeared from
	// the platform's list, which lags and may still list the target again.
	markRetention = 10 * time.Minute
	// deletedRetention is how long a deleted mark is remembered, so that an outdated
	// record from a peer doesn't set it again.
	deletedRetention = 10 * time.Minute
	expireInterval   = 10 * time.Second
)

// leavingMarks holds the incarnations that some instance has reported as leaving. The
// platform's list lags by seconds, so an instance that learns this from the target itself
// notifies the others.
type leavingMarks struct {
	// lastListed holds, for each mark that is set, when the target was last known to be
	// listed.
	lastListed map[string]time.Time
	// deletedAt holds when each deleted mark was deleted.
	deletedAt map[string]time.Time
}

func newLeavingMarks() *leavingMarks {
	return &leavingMarks{lastListed: make(map[string]time.Time), deletedAt: make(map[string]time.Time)}
}

// add sets a mark and reports whether it is new.
func (m *leavingMarks) add(now time.Time, incarnation string) bool {
	_, known := m.lastListed[incarnation]
	_, deleted := m.deletedAt[incarnation]
	if known || deleted || len(m.lastListed) >= maxMarks {
		return false
	}
	m.lastListed[incarnation] = now
	return true
}

// remove deletes a mark and reports whether it was set.
func (m *leavingMarks) remove(now time.Time, incarnation string) bool {
	if _, known := m.lastListed[incarnation]; !known {
		return false
	}
	delete(m.lastListed, incarnation)
	m.deletedAt[incarnation] = now
	return true
}

// expire deletes the marks of targets that have not been listed for markRetention, and
// returns their incarnations.
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

// after returns the marks that follow a name, sorted by name.
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

// MarkLeaving notifies all other instances that a target has reported itself as leaving
// to this one. It does nothing if the target is already marked.
func (s *Sync) MarkLeaving(incarnation string) {
	s.withLock(func() {
		if s.leaving.add(time.Now(), incarnation) {
			s.outbox = append(s.outbox, markRecord(incarnation))
		}
	})
}

// applyMark applies a mark that a peer has set or deleted. The caller holds the lock.
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

// expireMarks deletes old marks until the context ends. Every instance does so: they all
// produce the same tombstones, and the task does not depend on one of them.
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
