package platform

import (
	"maps"
	"slices"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// CallKind tells calls apart in counts, limits and faults.
type CallKind string

// Kinds of calls.
const (
	CallRead   CallKind = "read"
	CallWrite  CallKind = "write"
	CallWatch  CallKind = "watch"
	CallWeight CallKind = "weight"
)

// KindCalls are the calls about one kind of objects.
type KindCalls struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Calls are the calls since the start, refused ones included.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Weights uint64 `json:"weights"`
	// Limited are those answered 429.
	Limited uint64 `json:"limited"`
	// Waiting are the watches waiting now.
	Waiting int `json:"waiting"`
	// Kinds are the reads and writes by kind of objects.
	Kinds map[string]KindCalls `json:"kinds"`
}

// otherKinds counts kinds that the system doesn't have; it bounds Calls.Kinds.
const otherKind = "other"

var knownKinds = append([]string{
	platformapi.KindTargets,
	platformapi.KindInstances,
	platformapi.KindClaims,
	platformapi.KindLeases,
	platformapi.KindDigests,
	platformapi.KindOrders,
}, platformapi.RecordKinds...)

// Calls returns the counts.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	calls.Kinds = maps.Clone(s.calls.Kinds)
	return calls
}

func (s *Store) countCall(r request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := r.object
	if !slices.Contains(knownKinds, kind) {
		kind = otherKind
	}
	perKind := s.calls.Kinds[kind]
	switch r.kind {
	case CallRead:
		s.calls.Reads++
		perKind.Reads++
	case CallWrite:
		s.calls.Writes++
		perKind.Writes++
	case CallWatch:
		s.calls.Watches++
		return
	case CallWeight:
		s.calls.Weights++
		return
	}
	s.calls.Kinds[kind] = perKind
}

func (s *Store) countLimited() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Limited++
}

// waiting counts a watch until the returned function is called.
func (s *Store) countWaiting() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Waiting++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls.Waiting--
	}
}
