package membership

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// Guards against instances of two releases that choose different owners: the order is that of all scores, with
// one more owner from a data centre only after each has provided as many.
func TestOwnersAreOrderedByScore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var members []Member
		for i := range rapid.IntRange(0, 20).Draw(t, "members") {
			members = append(members, Member{Name: fmt.Sprint("m", i), DataCentre: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "data centre")})
		}
		view := NewView(1, "m0", members)
		key, n := rapid.String().Draw(t, "key"), rapid.IntRange(0, 22).Draw(t, "n")
		sorted := slices.Clone(view.Live())
		slices.SortFunc(sorted, func(a, b Member) int {
			return cmp.Or(cmp.Compare(rendezvous.Score(b.Name, key), rendezvous.Score(a.Name, key)), cmp.Compare(a.Name, b.Name))
		})
		var want []Member
		perCentre := map[string]int{}
		for limit := 1; len(want) < min(n, len(sorted)); limit++ {
			for _, m := range sorted {
				if len(want) < n && perCentre[m.DataCentre] == limit-1 && !slices.Contains(want, m) {
					perCentre[m.DataCentre]++
					want = append(want, m)
				}
			}
		}
		require.ElementsMatch(t, want, Owners(view, key, n))
		if len(want) > 0 {
			require.Equal(t, want, Owners(view, key, n))
		}
	})
}
