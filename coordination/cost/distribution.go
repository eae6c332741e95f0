package cost

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling sets the resolution of distributions: 19 % from bucket to bucket, far
	// less than the scatter of durations.
	bucketsPerDoubling = 4
	// minValue and doublings set the range of values. In units of secondsUnit it is 0.5 ms to
	// nine minutes, longer than any request may take.
	minValue  = 0.5
	doublings = 20
	buckets   = doublings * bucketsPerDoubling
	// secondsUnit is the unit of durations in distributions.
	secondsUnit = 1e-3
	// halfLife is the time after which an observation counts half: kinds of requests change over
	// minutes, and rare kinds must not be forgotten within one.
	halfLife = 2 * time.Minute
)

// histogram counts values in buckets of logarithmic width, with weights that decay.
type histogram struct {
	weights [buckets]float32
	sums    [buckets]float32 // of the values, so that means are exact
	total   float64
	at      time.Time
}

func bucketOf(value float64) int {
	return int(min(max(math.Log2(value/minValue)*bucketsPerDoubling, 0), buckets-1))
}

func (h *histogram) add(now time.Time, value float64) {
	if age := now.Sub(h.at); age > 0 {
		keep := math.Exp2(-age.Seconds() / halfLife.Seconds())
		for i := range h.weights {
			h.weights[i] *= float32(keep)
			h.sums[i] *= float32(keep)
		}
		h.total *= keep
		h.at = now
	}
	i := bucketOf(value)
	h.weights[i]++
	h.sums[i] += float32(value)
	h.total++
}

// weight returns the number of observations, with decay.
func (h *histogram) weight(now time.Time) float64 {
	return h.total * math.Exp2(-max(now.Sub(h.at), 0).Seconds()/halfLife.Seconds())
}

// quantile returns the value that the share q doesn't exceed; 0 without observations.
func (h *histogram) quantile(q float64) float64 {
	sum := 0.0
	for _, w := range h.weights {
		sum += float64(w)
	}
	reached := 0.0
	for i, w := range h.weights {
		if reached += float64(w); w > 0 && reached >= q*sum*(1-1e-6) {
			return float64(h.sums[i] / w)
		}
	}
	return 0
}

// distribution is the immutable summary of a histogram of durations in secondsUnit.
type distribution struct {
	// first is the lowest bucket that isn't empty; the slices begin there. weight and sum are
	// the totals of the buckets from each one up.
	first       int
	weight, sum []float64
}

func (h *histogram) distribution() *distribution {
	first, last := -1, -1
	for i, w := range h.weights {
		if w > 0 {
			last = i
			if first < 0 {
				first = i
			}
		}
	}
	if first < 0 {
		return nil
	}
	d := &distribution{first: first, weight: make([]float64, last-first+2), sum: make([]float64, last-first+2)}
	for i := last; i >= first; i-- {
		d.weight[i-first] = d.weight[i-first+1] + float64(h.weights[i])
		d.sum[i-first] = d.sum[i-first+1] + float64(h.sums[i])
	}
	return d
}

// remaining returns the expected remainder in seconds of a duration that has lasted age seconds.
// Beyond all that was observed it is the age itself: what has lasted that long is expected to
// last as long again.
func (d *distribution) remaining(age float64) float64 {
	value := age / secondsUnit
	i := 0
	if value > minValue {
		// The bucket of the age counts as over: its durations end about now.
		i = bucketOf(value) + 1 - d.first
	}
	i = max(i, 0)
	// A share below this is rounding left over from decay.
	if i >= len(d.weight) || d.weight[i] < 1e-3*d.weight[0] {
		return age
	}
	return max(d.sum[i]/d.weight[i]-value, 0) * secondsUnit
}
