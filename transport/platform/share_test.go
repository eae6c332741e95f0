package platform

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A burst of requests of a low tier makes more claims than the budget admits. Without
// wait shares, the later claims of the highest tier would be refused as often as those
// of the low tier, because the queue for the budget would be full.
func TestLowTierLeavesWaitingTimeToHigherTiers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(BudgetOptions{WritesPerSecond: 10, Burst: 1, MaxWait: time.Second, Rand: testRand(1)})
		low, highest := waitShare(WithWaitShare(t.Context(), 0.5)), waitShare(t.Context())
		fill := func(share float64) (admitted int) {
			for ; ; admitted++ {
				if _, err := budget.admit(ClassWrite, share); err != nil {
					require.ErrorIs(t, err.(*notAdmittedError).cause, ErrBudget)
					return admitted
				}
			}
		}
		require.Equal(t, 6, fill(low), "one immediately, five within half of MaxWait")
		require.Equal(t, 5, fill(highest), "the other half")
		require.Zero(t, fill(low))
	})
}
