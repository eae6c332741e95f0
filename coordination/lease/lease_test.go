package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testTiming = Timing{
	Term: 10 * time.Second, RenewInterval: 3 * time.Second, Margin: time.Second, LongestOrder: 30 * time.Second,
}

// fakeStore is a store with one lease and writes that are applied with a delay.
type fakeStore struct {
	record   Record
	revision uint64
	delayed  []Write
}

func (s *fakeStore) apply(w Write) bool {
	if w.Revision != s.revision {
		return false
	}
	s.record = w.Record
	s.revision++
	return true
}

// step performs the lease's next action. Fault 1 loses the response, 2 delays the
// write, 3 loses the request.
func (s *fakeStore) step(l *Lease, now time.Time, fault int) {
	switch a := l.Next(now).(type) {
	case Write:
		s.write(l, a, now, fault)
	case Read:
		s.read(l, now, fault)
	}
}

func (s *fakeStore) write(l *Lease, w Write, now time.Time, fault int) {
	switch fault {
	case 1:
		s.apply(w)
		l.CallFailed(now)
	case 2:
		s.delayed = append(s.delayed, w)
		l.CallFailed(now)
	case 3:
		l.CallFailed(now)
	default:
		if s.apply(w) {
			l.Written(now, s.revision)
			return
		}
		l.Observed(now, s.record, s.revision)
	}
}

func (s *fakeStore) read(l *Lease, now time.Time, fault int) {
	switch {
	case fault == 3:
		l.CallFailed(now)
	case s.revision == 0:
		l.ObservedAbsent(now)
	default:
		l.Observed(now, s.record, s.revision)
	}
}

// Several instances compete for the lease while the store loses responses and
// delays writes and instances pause. Two holders at the same time would load two
// versions on one target. This happens if a holder measures its term from a later
// time than the other instances do.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		store := &fakeStore{}
		leases := []*Lease{New("a", testTiming), New("b", testTiming), New("c", testTiming)}
		fencing, holderOf := uint64(0), map[uint64]int{}
		for range rapid.IntRange(10, 150).Draw(t, "moves") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 100, 1000, 3000, 9500}).Draw(t, "ms")) * time.Millisecond)
			if len(store.delayed) > 0 && rapid.Bool().Draw(t, "late") {
				store.apply(store.delayed[0])
				store.delayed = store.delayed[1:]
			}
			i := rapid.IntRange(0, 2).Draw(t, "lease")
			store.step(leases[i], now, rapid.IntRange(0, 4).Draw(t, "fault"))
			held := 0
			for j, l := range leases {
				number, ok := l.Held(now)
				if !ok {
					continue
				}
				held++
				if before, seen := holderOf[number]; seen && before != j {
					t.Fatalf("fencing number %d has two holders", number)
				}
				holderOf[number] = j
				if number < fencing {
					t.Fatalf("fencing number fell from %d to %d", fencing, number)
				}
				fencing = number
			}
			if held > 1 {
				t.Fatalf("two holders")
			}
		}
	})
}

// The holder is paused while its lease expires. Its own check must fail when it
// resumes, and the successor must wait for orders that may still be in progress.
func TestPauseAcrossExpiry(t *testing.T) {
	now := time.Unix(1000, 0)
	store := &fakeStore{}
	first, second := New("a", testTiming), New("b", testTiming)
	store.step(first, now, 0)
	store.step(first, now, 0)
	number, held := first.Held(now)
	require.True(t, held)
	require.Equal(t, uint64(1), number)
	require.True(t, first.SafeWithoutFencing(now), "nobody held the lease before")

	store.step(second, now, 0)
	acquired := now.Add(testTiming.Term)
	require.IsType(t, Read{}, second.Next(acquired.Add(-time.Second)))
	store.step(second, acquired, 0)
	number, held = second.Held(acquired)
	require.True(t, held)
	require.Equal(t, uint64(2), number)
	_, held = first.Held(acquired)
	require.False(t, held)

	require.False(t, second.SafeWithoutFencing(acquired))
	safe := now.Add(testTiming.Term + testTiming.LongestOrder)
	require.Equal(t, safe, second.SafeWithoutFencingAt())
	for at := acquired; at.Before(safe); at = at.Add(testTiming.RenewInterval) {
		store.step(second, at, 0)
		require.False(t, second.SafeWithoutFencing(at))
	}
	store.step(second, safe, 0)
	require.True(t, second.SafeWithoutFencing(safe))

	release, ok := second.Release(safe)
	require.True(t, ok)
	require.True(t, store.apply(release))
	third := New("c", testTiming)
	store.step(third, safe, 0)
	store.step(third, safe, 0)
	number, _ = third.Held(safe)
	require.Equal(t, uint64(3), number)
	require.True(t, third.SafeWithoutFencing(safe), "no wait after a release")
}

// An operator overwrites the lease manually. The holder observes another holder and
// stops immediately, without waiting for its own lease to expire.
func TestForeignHolderEndsTheLease(t *testing.T) {
	now := time.Unix(1000, 0)
	store, l := &fakeStore{}, New("a", testTiming)
	store.step(l, now, 0)
	store.step(l, now, 0)
	l.Observed(now, Record{Holder: "x", Fencing: 9, TermMS: 10_000}, 9)
	_, held := l.Held(now)
	require.False(t, held)
}

// The holder is paused for longer than its term and nobody acquires the lease meanwhile. An
// order that it checked before the pause and sends after it must not have the number of its
// newer orders, or a target that checks numbers would execute it after them.
func TestHolderAcquiresItsExpiredLeaseUnderAHigherNumber(t *testing.T) {
	now := time.Unix(1000, 0)
	store, l := &fakeStore{}, New("a", testTiming)
	store.step(l, now, 0)
	store.step(l, now, 0)
	before, held := l.Held(now)
	require.True(t, held)

	now = now.Add(testTiming.Term)
	_, held = l.Held(now)
	require.False(t, held)
	store.step(l, now, 0)
	store.step(l, now, 0)
	after, held := l.Held(now)
	require.True(t, held, "its own lease is acquired at once")
	require.Equal(t, before+1, after)
	require.True(t, l.SafeWithoutFencing(now), "it knows its own earlier orders")
}
