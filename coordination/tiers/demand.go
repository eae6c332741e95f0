package tiers

import (
	"math"
	"time"
)

// meter follows the number of requests of one rank, dispatched and queued, by
// an exponential mean, and the rate at which they finish.
type meter struct {
	mean    float64
	current int
	last    time.Time
}

func (m *meter) advance(now time.Time, window time.Duration) {
	if m.last.IsZero() {
		m.last = now
		m.mean = float64(m.current)
		return
	}
	elapsed := now.Sub(m.last)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(window))
	m.mean = m.mean*keep + float64(m.current)*(1-keep)
	m.last = now
}

func (m *meter) add(now time.Time, window time.Duration, n int) {
	m.advance(now, window)
	m.current += n
}

// drain measures how many requests finish a second.
type drain struct {
	rate float64
	last time.Time
}

func (d *drain) finished(now time.Time, window time.Duration) {
	d.decay(now, window)
	d.rate += 1 / window.Seconds()
}

func (d *drain) decay(now time.Time, window time.Duration) {
	if elapsed := now.Sub(d.last); elapsed > 0 {
		d.rate *= math.Exp(-float64(elapsed) / float64(window))
		d.last = now
	}
}

// limits are how many requests of the ranks up to and including r this
// instance may have in flight, for each r.
type limits [MaxRanks]float64

// divide splits a capacity among the ranks, the highest first, and within a
// rank among the instances in proportion to what they want. own and total are
// this instance's and all instances' demand. Every instance does the same sum
// on nearly the same figures, so that the parts add up to the capacity without
// a word between them, however late the digests are.
//
// margin widens what is kept for a rank against the ranks below by that many
// standard deviations of a Poisson variable, since a mean says nothing of the
// next burst.
func divide(capacity float64, instances int, own, total [MaxRanks]float64, margin float64) limits {
	var out limits
	left := capacity
	mine := 0.0
	for r := range out {
		want := max(total[r], own[r])
		if want > left {
			out[r] = mine + left*own[r]/want
			mine, left = out[r], 0
			continue
		}
		// What nobody wants is open to every instance alike for a burst.
		out[r] = mine + own[r] + (left-want)/float64(instances)
		mine += own[r]
		left -= want
		reserve := min(margin*math.Sqrt(want), left)
		left -= reserve
		mine += reserve / float64(instances)
	}
	return out
}
