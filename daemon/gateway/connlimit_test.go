package gateway

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against connections of callers that leave no file descriptors for those to targets.
func TestCallerConnsLeaveDescriptorsForTargets(t *testing.T) {
	for _, descriptors := range []uint64{64, 1024, 4100, 1 << 20} {
		limit := connLimit(descriptors)
		require.Positive(t, limit)
		require.Less(t, uint64(2*limit), descriptors)
	}
	require.Equal(t, math.MaxInt32, connLimit(math.MaxUint64), "no limit of descriptors")
	require.Positive(t, maxCallerConns())
}
