package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Instances of two versions run side by side during a rollout. If their scores differed,
// they would choose different owners, and a duty would be held by two instances or by none. If
// the candidate and the key weren't separated, distinct pairs would get the same score.
func TestScoreNeverChanges(t *testing.T) {
	require.Equal(t, uint64(8667156902975964436), Score("one", "orders/engines"))
	require.NotEqual(t, Score("ab", "c"), Score("a", "bc"))
	wins := map[string]int{}
	for key := range 3000 {
		best := ""
		for _, name := range []string{"one", "two", "three"} {
			if k := fmt.Sprint(key); best == "" || Score(name, k) > Score(best, k) {
				best = name
			}
		}
		wins[best]++
	}
	for name, n := range wins {
		require.InDelta(t, 1000, n, 150, name)
	}
}
