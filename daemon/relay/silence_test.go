package relay

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A target is silent and the retry budget is used up just when that is noticed. The attempt must
// not wait for its deadline, but be given up once others have earned a retry.
func TestSilentTargetIsGivenUpOnceTheBudgetAllowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now()
		earnedAt := begin.Add(2 * time.Second)
		var asked []time.Duration
		var givenUpAt time.Time
		timer := newSilenceTimer(time.Second, func() bool {
			asked = append(asked, time.Since(begin))
			if time.Now().Before(earnedAt) {
				return false
			}
			givenUpAt = time.Now()
			return true
		})
		time.Sleep(10 * time.Second)
		timer.Stop()
		require.Equal(t, time.Second, asked[0])
		require.False(t, givenUpAt.IsZero())
		require.LessOrEqual(t, givenUpAt.Sub(earnedAt), silenceRecheck)
		require.LessOrEqual(t, len(asked), 12, "given up once")
	})
}

// A target responds again while its attempt can't be given up. The attempt must not be given up
// for the silence before.
func TestTargetThatRespondsIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var allowed atomic.Bool
		var givenUp atomic.Int64
		timer := newSilenceTimer(time.Second, func() bool {
			if allowed.Load() {
				givenUp.Add(1)
			}
			return allowed.Load()
		})
		time.Sleep(1500 * time.Millisecond)
		timer.Reset(time.Second)
		allowed.Store(true)
		time.Sleep(900 * time.Millisecond)
		require.Zero(t, givenUp.Load())
		timer.Stop()
		timer.Reset(time.Second)
		time.Sleep(10 * time.Second)
		require.Zero(t, givenUp.Load())
	})
}

// Guards against an instance that was paused and takes a target for silent whose reply has come meanwhile.
func TestPausedInstanceLooksForTheReplyFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gaveUp atomic.Int64
		timer := newSilenceTimer(time.Second, func() bool { gaveUp.Add(1); return true })
		defer timer.Stop()
		timer.mu.Lock()
		timer.due = time.Now().Add(-2 * maxTimerDelay)
		timer.mu.Unlock()
		timer.expire()
		require.Zero(t, gaveUp.Load())
		time.Sleep(replyGrace)
		synctest.Wait()
		require.EqualValues(t, 1, gaveUp.Load())
	})
}
