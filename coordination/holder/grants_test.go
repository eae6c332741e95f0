package holder

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// Instances are split into groups that each have a holder of their own. No target may get
// grants of more than one of them beside that of the majority: the limit of a cold target would be
// exceeded by as many times as there are groups.
func TestGroupsGrantDisjointTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(2, 40).Draw(t, "instances")
		groups := rapid.IntRange(2, instances).Draw(t, "groups")
		group := make([]int, instances)
		for i := range group {
			group[i] = rapid.IntRange(0, groups-1).Draw(t, "group")
		}
		views := map[int]*membership.View{}
		for self := range instances {
			var members []membership.Member
			for i := range instances {
				state := membership.Alive
				if group[i] != group[self] {
					state = membership.Dead
				}
				members = append(members, member(fmt.Sprint("i", i), 192, 1, state))
			}
			views[group[self]] = membership.NewView(1, fmt.Sprint("i", self), members)
		}
		for n := range 50 {
			target := fmt.Sprint("t", n)
			majorities, minorities := 0, 0
			for _, view := range views {
				grants := Grants(view)
				switch {
				case grants == nil:
					majorities++
				case grants(target):
					minorities++
				}
			}
			require.LessOrEqual(t, majorities, 1)
			require.LessOrEqual(t, minorities, 1)
			require.Positive(t, majorities+minorities, "nobody may send to %s", target)
		}
	})
}

// Instances that left as planned don't count: the rest is no minority.
func TestGrantsWithoutThoseThatLeft(t *testing.T) {
	members := []membership.Member{member("a", 1, 1, membership.Alive), member("b", 1, 1, membership.Left), member("c", 1, 1, membership.Left)}
	require.Nil(t, Grants(membership.NewView(1, "a", members)))
	members[1].State = membership.Dead
	require.NotNil(t, Grants(membership.NewView(1, "a", members)), "half of the others")
}
