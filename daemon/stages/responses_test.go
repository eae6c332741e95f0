package stages

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
)

// Prevents results of an earlier call from being used as those of the expected one.
func TestRepeatedResponsesAreRejected(t *testing.T) {
	var a recentResponses
	result := func(handles ...string) []gather.PieceResult {
		results := []gather.PieceResult{{Failure: gather.PieceDeadlineExceeded}}
		for _, h := range handles {
			results = append(results, gather.PieceResult{Handle: h})
		}
		return results
	}
	require.True(t, a.add("x", result("1", "2")))
	require.False(t, a.add("x", result("1", "2")))
	require.True(t, a.add("y", result("1", "2")), "another process")
	require.True(t, a.add("x", result()))
	require.True(t, a.add("x", result()), "responses without results can't be distinguished")
	for i := range 2 * maxRecentResponses {
		require.True(t, a.add("z", result(fmt.Sprint(i))))
	}
	require.Len(t, a.seen, maxRecentResponses)
	require.Len(t, a.keys, maxRecentResponses)
	require.False(t, a.add("z", result(fmt.Sprint(maxRecentResponses))))
}
