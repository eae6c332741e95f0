package platform

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A burst of orders of a low tier claims more than the platform may be sent.
// Callers of the highest tier, who come after them, were refused as not run as
// often as those of the low one: the line for the budget was full.
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
		require.Equal(t, 6, fill(low), "one at once, five within half of the wait")
		require.Equal(t, 5, fill(highest), "the other half")
		require.Zero(t, fill(low))
	})
}
