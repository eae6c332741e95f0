package serve

import "sync/atomic"

// limiter is a counting semaphore that never blocks.
type limiter struct {
	limit int64
	inUse atomic.Int64
}

func newLimiter(limit int) *limiter { return &limiter{limit: int64(limit)} }

// acquire takes a slot and reports whether one was free. The caller returns it with
// release.
func (l *limiter) acquire() bool {
	if l.inUse.Add(1) > l.limit {
		l.inUse.Add(-1)
		return false
	}
	return true
}

func (l *limiter) release() { l.inUse.Add(-1) }

func (l *limiter) count() int { return int(l.inUse.Load()) }
