package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var terms = Terms{
	Term: 10 * time.Second, RenewEvery: 3 * time.Second, Margin: time.Second, LongestOrder: 30 * time.Second,
}

// fakeStore is a store with one lease and writes that take effect late.
type fakeStore struct {
	record   Record
	revision uint64
	late     []Write
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
func (s *fakeStore) exchange(l *Lease, now time.Time, fault int) {
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
		l.Failed(now)
	case 2:
		s.late = append(s.late, w)
		l.Failed(now)
	case 3:
		l.Failed(now)
	default:
		if s.apply(w) {
			l.Written(now, s.revision)
			return
		}
		l.Seen(now, s.record, s.revision)
	}
}

func (s *fakeStore) read(l *Lease, now time.Time, fault int) {
	switch {
	case fault == 3:
		l.Failed(now)
	case s.revision == 0:
		l.Absent(now)
	default:
		l.Seen(now, s.record, s.revision)
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
		leases := []*Lease{New("a", terms), New("b", terms), New("c", terms)}
		fencing, holderOf := uint64(0), map[uint64]int{}
		for range rapid.IntRange(10, 150).Draw(t, "moves") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 100, 1000, 3000, 9500}).Draw(t, "ms")) * time.Millisecond)
			if len(store.late) > 0 && rapid.Bool().Draw(t, "late") {
				store.apply(store.late[0])
				store.late = store.late[1:]
			}
			i := rapid.IntRange(0, 2).Draw(t, "lease")
			store.exchange(leases[i], now, rapid.IntRange(0, 4).Draw(t, "fault"))
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
	first, second := New("a", terms), New("b", terms)
	store.exchange(first, now, 0)
	store.exchange(first, now, 0)
	number, held := first.Held(now)
	require.True(t, held)
	require.Equal(t, uint64(1), number)
	require.True(t, first.Clear(now), "nobody held the lease before")

	store.exchange(second, now, 0)
	taken := now.Add(terms.Term)
	require.IsType(t, Read{}, second.Next(taken.Add(-time.Second)))
	store.exchange(second, taken, 0)
	number, held = second.Held(taken)
	require.True(t, held)
	require.Equal(t, uint64(2), number)
	_, held = first.Held(taken)
	require.False(t, held)

	require.False(t, second.Clear(taken))
	clear := now.Add(terms.Term + terms.LongestOrder)
	require.Equal(t, clear, second.ClearAt())
	for at := taken; at.Before(clear); at = at.Add(terms.RenewEvery) {
		store.exchange(second, at, 0)
		require.False(t, second.Clear(at))
	}
	store.exchange(second, clear, 0)
	require.True(t, second.Clear(clear))

	release, ok := second.Release(clear)
	require.True(t, ok)
	require.True(t, store.apply(release))
	third := New("c", terms)
	store.exchange(third, clear, 0)
	store.exchange(third, clear, 0)
	number, _ = third.Held(clear)
	require.Equal(t, uint64(3), number)
	require.True(t, third.Clear(clear), "a lease given up needs no wait")
}

// Story: an operator overwrites the lease by hand. The holder sees a foreign
// holder and stops at once, without waiting for its own lapse.
func TestForeignHolderEndsTheLease(t *testing.T) {
	now := time.Unix(1000, 0)
	store, l := &fakeStore{}, New("a", terms)
	store.exchange(l, now, 0)
	store.exchange(l, now, 0)
	l.Seen(now, Record{Holder: "x", Fencing: 9, TermMS: 10_000}, 9)
	_, held := l.Held(now)
	require.False(t, held)
}
