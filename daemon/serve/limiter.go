package serve

import "sync/atomic"

// limiter bounds how many of something are open at once.
type limiter struct {
	limit int64
	inUse atomic.Int64
}

func newLimiter(limit int) *limiter { return &limiter{limit: int64(limit)} }

// enter takes a place, or reports that all are taken. Each success is ended
// by leave.
func (l *limiter) acquire() bool {
	if l.inUse.Add(1) > l.limit {
		l.inUse.Add(-1)
		return false
	}
	return true
}

func (l *limiter) release() { l.inUse.Add(-1) }

func (l *limiter) count() int { return int(l.inUse.Load()) }
