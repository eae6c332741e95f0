package gather

import (
	"slices"
	"time"
)

const (
	// usualInterval is the length of an interval in which arrivals are counted: some ten
	// requests arrive at a service of a few targets.
	usualInterval = 500 * time.Millisecond
	// usualIntervals is the number of intervals whose median is the usual rate. Bursts last a few
	// seconds, so that less than half of the intervals have a higher rate; a load that lasts
	// longer is the usual one.
	usualIntervals = 20
	// A load that was the usual one has ended once the rate of the latest intervals is below
	// endedShare of it: ten requests a second scatter by a third.
	latestIntervals = 2
	endedShare      = 0.5
	// burstFactor is the factor by which the rate of a burst exceeds the usual one: ten requests an
	// interval scatter by a third, and hardly ever reach twice their mean.
	burstFactor = 2
)

// usualRate estimates the rate at which pieces arrive apart from bursts, by rank.
type usualRate struct {
	// interval is the number of the present interval, first that of the first one.
	interval, first int64
	counts          map[float64]*[usualIntervals]int
}

// count counts arrived pieces.
func (u *usualRate) count(now time.Time, rank float64, pieces int) {
	u.advance(now)
	if u.counts == nil {
		u.counts = map[float64]*[usualIntervals]int{}
	}
	c := u.counts[rank]
	if c == nil {
		c = new([usualIntervals]int)
		u.counts[rank] = c
	}
	c[u.interval%usualIntervals] += pieces
}

// advance starts the interval of now. Ranks without pieces in any interval are removed.
func (u *usualRate) advance(now time.Time) {
	present := now.UnixNano() / int64(usualInterval)
	if u.first == 0 {
		u.first, u.interval = present, present
	}
	for next := max(u.interval+1, present-usualIntervals+1); next <= present; next++ {
		for rank, c := range u.counts {
			c[next%usualIntervals] = 0
			if *c == ([usualIntervals]int{}) {
				delete(u.counts, rank)
			}
		}
	}
	u.interval = max(u.interval, present)
}

// upTo returns the usual rate of pieces a second of a rank and those before it.
func (u *usualRate) upTo(now time.Time, rank float64) float64 {
	return usualOf(u.sums(now, rank)) / usualInterval.Seconds()
}

// burst returns for how long the rate has exceeded the usual one by burstFactor until now, and the
// rate of pieces a second meanwhile. The duration is 0 without a burst.
func (u *usualRate) burst(now time.Time, rank float64) (time.Duration, float64) {
	sums := u.sums(now, rank)
	above := burstFactor * usualOf(slices.Clone(sums))
	intervals, pieces := 0, 0
	for intervals < len(sums) && float64(sums[intervals]) > above {
		pieces += sums[intervals]
		intervals++
	}
	lasted := time.Duration(intervals) * usualInterval
	return lasted, float64(pieces) / max(lasted, usualInterval).Seconds()
}

// sums returns the pieces of a rank and those before it in each complete interval, the latest first.
func (u *usualRate) sums(now time.Time, rank float64) []int {
	if u.counts == nil {
		return nil
	}
	u.advance(now)
	// The present interval isn't complete, nor was the first.
	n := min(u.interval-u.first, usualIntervals) - 1
	if n <= 0 {
		return nil
	}
	sums := make([]int, n)
	for r, c := range u.counts {
		if r > rank {
			continue
		}
		for i := range sums {
			sums[i] += c[(u.interval-1-int64(i))%usualIntervals]
		}
	}
	return sums
}

// usualOf returns the usual number of pieces of an interval, and sorts the sums.
func usualOf(sums []int) float64 {
	n := len(sums)
	if n == 0 {
		return 0
	}
	latest := sums[:min(n, latestIntervals)]
	recent := 0
	for _, sum := range latest {
		recent += sum
	}
	rate := float64(recent) / float64(len(latest))
	slices.Sort(sums)
	usual := float64(sums[(n-1)/2])
	if rate < usual*endedShare {
		usual = rate
	}
	return usual
}
