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
	if u.counts == nil {
		return 0
	}
	u.advance(now)
	// The present interval isn't complete, nor was the first.
	n := min(u.interval-u.first, usualIntervals) - 1
	if n <= 0 {
		return 0
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
	return usual / usualInterval.Seconds()
}
