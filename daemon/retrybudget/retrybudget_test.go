package retrybudget

import (
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/ivyhollow/ivyhollow/coordination/retry"
)

var epoch = time.Unix(1_000_000, 0)

// takeAll takes tokens until there are none, and returns their number.
func takeAll(take func(time.Time, string) bool, pool string) int {
	n := 0
	for take(epoch, pool) {
		n++
	}
	return n
}

// All requests of one pool fail and take every available token. Retries at another pool, and
// hedges at the same pool, must not be paid from the same budget.
func TestPoolsHaveSeparateBudgets(t *testing.T) {
	tests := map[string]struct {
		succeeded, empty           string
		retriesA, retriesB, hedges int // the tokens left in "a", "b" and "a"
	}{
		"new":                       {retriesA: 2, retriesB: 2, hedges: 2},
		"another pool was emptied":  {empty: "b", retriesA: 2, retriesB: 0, hedges: 2},
		"its retries were spent":    {empty: "a", retriesA: 0, retriesB: 2, hedges: 2},
		"successes add tokens":      {succeeded: "a", retriesA: 12, retriesB: 2, hedges: 7},
		"successes of another pool": {succeeded: "b", retriesA: 2, retriesB: 12, hedges: 2},
		"spent, then succeeded":     {succeeded: "a", empty: "a", retriesA: 10, retriesB: 2, hedges: 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(retry.Config{})
			if tt.empty != "" {
				require.Equal(t, 2, takeAll(b.TakeRetry, tt.empty))
			}
			for range 105 { // ten tokens and a half: no sum of tenths is exact
				if tt.succeeded != "" {
					b.Succeeded(epoch, tt.succeeded)
				}
			}
			require.Equal(t, tt.retriesA, takeAll(b.TakeRetry, "a"))
			require.Equal(t, tt.retriesB, takeAll(b.TakeRetry, "b"))
			require.Equal(t, tt.hedges, takeAll(b.TakeHedge, "a"))
		})
	}
}

// Requests that fail together take the same tokens at once, the first ones of a pool that is
// not known yet. Each token is spent once.
func TestConcurrentRequestsSpendEachTokenOnce(t *testing.T) {
	const reserve, pools, requests = 20, 256, 64
	b := New(retry.Config{Reserve: reserve})
	var retries, hedges [pools]atomic.Int64
	var start, done sync.WaitGroup
	start.Add(1)
	for range requests {
		done.Go(func() {
			start.Wait()
			for p := range pools {
				name := strconv.Itoa(p)
				if b.TakeRetry(epoch, name) {
					retries[p].Add(1)
				}
				if b.TakeHedge(epoch, name) {
					hedges[p].Add(1)
				}
			}
		})
	}
	start.Done()
	done.Wait()
	for p := range pools {
		require.EqualValues(t, reserve, retries[p].Load())
		require.EqualValues(t, reserve, hedges[p].Load())
	}
}

// Pools are added and removed by the configuration for as long as the process lives.
func TestNumberOfPoolsIsBounded(t *testing.T) {
	b := New(retry.Config{})
	for i := range 3*maxPools + 1 {
		b.Succeeded(epoch, strconv.Itoa(i))
		require.LessOrEqual(t, len(b.pools), maxPools)
	}
	require.True(t, b.TakeRetry(epoch, "in use"))
}
