package platform

import (
	"maps"
	"slices"

	"github.com/ivyhollow/ivyhollow/protocol/platformapi"
)

// CallKind is the kind of a call for counts, limits and faults.
type CallKind string

// Kinds of calls.
const (
	CallRead   CallKind = "read"
	CallWrite  CallKind = "write"
	CallWatch  CallKind = "watch"
	CallWeight CallKind = "weight"
)

// KindCalls counts the calls for one kind of objects.
type KindCalls struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

// Calls counts the calls since the start, including refused ones.
type Calls struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Watches uint64 `json:"watches"`
	Weights uint64 `json:"weights"`
	// Limited is the number of calls refused with 429.
	Limited uint64 `json:"limited"`
	// Waiting is the number of watches that are waiting now.
	Waiting int `json:"waiting"`
	// Kinds holds the reads and writes by kind of objects.
	Kinds map[string]KindCalls `json:"kinds"`
}

// otherKind is the key in Calls.Kinds under which the calls for all unknown kinds of
// objects are counted together, which bounds the size of the map.
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

// countWaiting counts a waiting watch until the returned function is called.
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
