package routing

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// slowdownStep is the step by which one response changes the logarithm of a learned slowdown:
	// ten responses reveal a target that is twice as slow.
	slowdownStep = 0.07
	// maxLearnedSlowdown bounds a learned slowdown.
	maxLearnedSlowdown = 10.0
	// reportedSlowdownTTL is how long a slowdown that a target reported is used. Its weight falls
	// linearly until then: the spans in which targets are slow last about as long.
	reportedSlowdownTTL = 600 * time.Millisecond
)

// slowdownEstimate is how much longer than usual work takes at a target.
type slowdownEstimate struct {
	// learned is the logarithm of the ratio to the usual duration that half of the responses
	// exceed. The median is what a few long requests don't change.
	learned decayingAverage
	// reported is the slowdown that the target reported last, at reportTime.
	reported   atomic.Uint64
	reportTime atomic.Int64
}

// read returns the slowdown; 1 is usual. A learned slowdown below slownessThreshold may be chance.
func (s *slowdownEstimate) read(now int64) float64 {
	learned := math.Exp(s.learned.read(now))
	if learned < slownessThreshold {
		learned = 1
	}
	return learned * s.reportedNow(now)
}

// reportedNow returns the slowdown that the target reported, as far as the report is fresh.
func (s *slowdownEstimate) reportedNow(now int64) float64 {
	reported := math.Float64frombits(s.reported.Load())
	weight := 1 - float64(now-s.reportTime.Load())/float64(reportedSlowdownTTL)
	if reported <= 0 || weight <= 0 {
		return 1
	}
	return 1 + min(weight, 1)*(reported-1)
}

func (s *slowdownEstimate) report(measuredAt int64, slowdown float64) {
	if slowdown <= 0 || measuredAt < s.reportTime.Load() {
		return
	}
	s.reported.Store(math.Float64bits(slowdown))
	s.reportTime.Store(measuredAt)
}

// observe learns from the duration of a request, in seconds. The usual duration is between low and
// high: what the target has in its cache from other instances' requests isn't known. Concurrent
// calls may lose an observation, which is harmless.
func (s *slowdownEstimate) observe(now int64, seconds, low, high float64) {
	if seconds <= 0 || low <= 0 {
		return
	}
	old := s.learned.read(now)
	changed := old
	switch ratio := math.Exp(old); {
	case seconds > high*ratio:
		changed += slowdownStep
	case seconds < low*ratio:
		changed -= slowdownStep
	}
	s.learned.bits.Store(math.Float64bits(min(max(changed, 0), math.Log(maxLearnedSlowdown))))
	s.learned.updatedAt.Store(now)
}
