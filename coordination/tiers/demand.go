package tiers

import (
	"math"
	"time"
)

// meter follows the number of requests of one rank, dispatched and queued, by
// an exponential mean.
type demandAverage struct {
	mean      float64
	current   int
	updatedAt time.Time
}

func (m *demandAverage) advance(now time.Time, window time.Duration) {
	if m.updatedAt.IsZero() {
		m.updatedAt = now
		m.mean = float64(m.current)
		return
	}
	elapsed := now.Sub(m.updatedAt)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-float64(elapsed) / float64(window))
	m.mean = m.mean*keep + float64(m.current)*(1-keep)
	m.updatedAt = now
}

func (m *demandAverage) add(now time.Time, window time.Duration, n int) {
	m.advance(now, window)
	m.current += n
}

// holding follows the mean time, in seconds, that a request holds a slot.
type slotHoldTime struct {
	mean float64
}

// holdingWeight is the weight of one request in the mean.
const holdTimeWeight = 0.05

func (h *slotHoldTime) add(d time.Duration) {
	if h.mean == 0 {
		h.mean = d.Seconds()
		return
	}
	h.mean += holdTimeWeight * (d.Seconds() - h.mean)
}

// drainRate is how many of the given requests finish a second, by Little's law.
// Counting them as they finish would need a window longer than the requests
// run, and would take an idle gate for one at a standstill.
func (h *slotHoldTime) completionRate(inFlight float64) float64 {
	if h.mean == 0 {
		return math.Inf(1)
	}
	return inFlight / h.mean
}

// limits are how many requests of the ranks up to and including r this
// instance may have in flight, for each r.
type rankLimits [MaxRanks]float64

// demand is what the instances want, by rank.
type demand struct {
	instances  float64
	own, total [MaxRanks]float64
}

// divide splits a capacity among the ranks, the highest first, and within a
// rank among the instances in proportion to what they want. Every instance does
// the same sum on nearly the same figures, so that the parts add up to the
// capacity without a word between them, however late the digests are.
//
// ordered tells that the targets run the most urgent first. Then every rank may
// exceed its part by a burst, which keeps the slots busy and delays nobody
// above. Otherwise only the highest rank that is wanted may. An instance that is
// alone knows all there is to know and has no need to exceed anything.
func divideCapacity(capacity float64, d demand, ordered bool) rankLimits {
	var out rankLimits
	left := capacity
	mine, above := 0.0, 0.0
	for r := range out {
		own, want := d.own[r], d.total[r]
		if want > left {
			own = left * own / want
			out[r] = mine + own
			if d.instances > 1 && (ordered || above == 0) {
				out[r] += min(burst(own), left)
			}
			left = 0
		} else {
			out[r] = mine + own + headroom(left-want, own, d.instances)
			left -= want
		}
		above += want
		mine += own
	}
	return out
}

// headroom is what an instance may dispatch beyond what its peers know it to
// want, out of the spare capacity: its even part, or one burst. More would let
// all instances fill the same spare slots at the start of a flood, before they
// hear of one another.
func headroom(spare, own, instances float64) float64 {
	return max(spare/instances, min(spare, burst(own)))
}

// burst is how far arrivals exceed their mean by chance, after Poisson.
func burst(mean float64) float64 {
	return 1 + burstDeviations*math.Sqrt(mean)
}

// burstDeviations is how many standard deviations a burst is taken to be.
const burstDeviations = 2
