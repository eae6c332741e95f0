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

// fakeStore is a store with one lease and writes that take effect late.
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

// exchange does the lease's next action. fault 1 loses the answer, 2 delays
// the effect, 3 does nothing.
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

// Story: several instances want to give orders; the store loses answers and
// applies writes late, and instances pause for as long as it takes. Two holders
// at one moment would load two versions on one target. The cause would be a
// lease counted from a later time than observers count it.
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

// Story: the holder is paused across its lapse. Its own check must fail when it
// wakes, and the successor must wait out the orders that may be under way.
func TestPauseAcrossLapse(t *testing.T) {
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
	taken := now.Add(testTiming.Term)
	require.IsType(t, Read{}, second.Next(taken.Add(-time.Second)))
	store.step(second, taken, 0)
	number, held = second.Held(taken)
	require.True(t, held)
	require.Equal(t, uint64(2), number)
	_, held = first.Held(taken)
	require.False(t, held)

	require.False(t, second.SafeWithoutFencing(taken))
	clear := now.Add(testTiming.Term + testTiming.LongestOrder)
	require.Equal(t, clear, second.SafeWithoutFencingAt())
	for at := taken; at.Before(clear); at = at.Add(testTiming.RenewInterval) {
		store.step(second, at, 0)
		require.False(t, second.SafeWithoutFencing(at))
	}
	store.step(second, clear, 0)
	require.True(t, second.SafeWithoutFencing(clear))

	release, ok := second.Release(clear)
	require.True(t, ok)
	require.True(t, store.apply(release))
	third := New("c", testTiming)
	store.step(third, clear, 0)
	store.step(third, clear, 0)
	number, _ = third.Held(clear)
	require.Equal(t, uint64(3), number)
	require.True(t, third.SafeWithoutFencing(clear), "a lease given up needs no wait")
}

// Story: an operator overwrites the lease by hand. The holder sees a foreign
// holder and stops at once, without waiting for its own lapse.
func TestForeignHolderEndsTheLease(t *testing.T) {
	now := time.Unix(1000, 0)
	store, l := &fakeStore{}, New("a", testTiming)
	store.step(l, now, 0)
	store.step(l, now, 0)
	l.Observed(now, Record{Holder: "x", Fencing: 9, TermMS: 10_000}, 9)
	_, held := l.Held(now)
	require.False(t, held)
}
