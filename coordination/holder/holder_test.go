package holder

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

func member(name string, capacity uint32, incarnation uint64, state membership.State) membership.Member {
	return membership.Member{Name: name, Capacity: capacity, Incarnation: incarnation, State: state}
}

// A fleet of many small instances and a few large ones is restarted one by one. If the oldest
// held the queue, it would be on an instance that is too small for it and is the next to be
// restarted.
func TestPick(t *testing.T) {
	const alive, suspect, dead, left = membership.Alive, membership.Suspect, membership.Dead, membership.Left
	cases := map[string]struct {
		members []membership.Member
		avoided string
		want    string
	}{
		"the largest, though the youngest": {[]membership.Member{member("a", 192, 1, alive), member("b", 800, 9, alive)}, "", "b"},
		"of the largest the oldest":        {[]membership.Member{member("a", 800, 5, alive), member("b", 800, 3, alive), member("c", 192, 1, alive)}, "", "b"},
		"a suspect still counts":           {[]membership.Member{member("a", 192, 1, alive), member("b", 800, 9, suspect)}, "", "b"},
		"neither dead nor left":            {[]membership.Member{member("a", 192, 1, alive), member("b", 800, 9, dead), member("c", 800, 2, left)}, "", "a"},
		"not one that is avoided":          {[]membership.Member{member("a", 192, 1, alive), member("b", 800, 9, alive)}, "b", "a"},
		"itself, avoided or not":           {[]membership.Member{member("a", 192, 1, alive)}, "a", "a"},
		"unknown capacity is the least":    {[]membership.Member{member("a", 0, 1, alive), member("b", 192, 9, alive)}, "", "b"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			view := membership.NewView(1, "a", c.members)
			got := Pick(view, func(name string) bool { return name == c.avoided })
			require.Equal(t, c.want, got.Name)
		})
	}
}

// Two instances start at the same instant, as after a power failure of a data centre. Without
// a tie-break each took itself for the holder for as long as both lived: two queues filled the
// stage targets' few slots and released each other's. On a calm day a fifth of the responses
// that would have met their deadlines were lost.
func TestEqualMembersPickTheSameHolder(t *testing.T) {
	members := []membership.Member{
		member("a", 800, 5, membership.Alive), member("b", 800, 5, membership.Alive), member("c", 800, 5, membership.Alive),
	}
	for _, self := range []string{"a", "b", "c"} {
		got := Pick(membership.NewView(1, self, members), func(string) bool { return false })
		require.Equal(t, "a", got.Name, "in the view of %s", self)
	}
}

// A stopping instance hands its duties over to the instance that all others pick next, although
// it is still live in its own view.
func TestNext(t *testing.T) {
	view := membership.NewView(1, "a", []membership.Member{
		member("a", 800, 1, membership.Alive), member("b", 192, 2, membership.Alive),
		member("c", 800, 9, membership.Alive), member("d", 800, 3, membership.Left),
	})
	got, ok := Next(view, func(string) bool { return false })
	require.True(t, ok)
	require.Equal(t, "c", got.Name)
	got, ok = Next(view, func(name string) bool { return name == "c" })
	require.True(t, ok)
	require.Equal(t, "b", got.Name)
	_, ok = Next(view, func(string) bool { return true })
	require.False(t, ok)
}
