package stages

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
)

// TestAnswersComeOnce guards against results of an earlier call that are taken for those of
// the one that is due.
func TestRepeatedResponsesAreRejected(t *testing.T) {
	var a recentResponses
	made := func(handles ...string) []gather.PieceResult {
		results := []gather.PieceResult{{Failure: gather.PieceDeadlineExceeded}}
		for _, h := range handles {
			results = append(results, gather.PieceResult{Handle: h})
		}
		return results
	}
	require.True(t, a.add("x", made("1", "2")))
	require.False(t, a.add("x", made("1", "2")))
	require.True(t, a.add("y", made("1", "2")), "another process")
	require.True(t, a.add("x", made()))
	require.True(t, a.add("x", made()), "nothing tells answers without results apart")
	for i := range 2 * maxRecentResponses {
		require.True(t, a.add("z", made(fmt.Sprint(i))))
	}
	require.Len(t, a.seen, maxRecentResponses)
	require.Len(t, a.keys, maxRecentResponses)
	require.False(t, a.add("z", made(fmt.Sprint(maxRecentResponses))))
}
