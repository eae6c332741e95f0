package tiers

import (
	"math"
	"time"
)

// demandAverage is the exponential moving average of the number of requests of
// one rank, dispatched and queued.
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

// slotHoldTime is the exponential moving average of the time, in seconds, that
// a request holds a slot.
type slotHoldTime struct {
	mean float64
}

// holdTimeWeight is the weight of one request in the average.
const holdTimeWeight = 0.05

func (h *slotHoldTime) add(d time.Duration) {
	if h.mean == 0 {
		h.mean = d.Seconds()
		return
	}
	h.mean += holdTimeWeight * (d.Seconds() - h.mean)
}

// completionRate returns how many of the given requests finish per second, by
// Little's law. Counting completions instead would need a window longer than
// the requests run, and could not tell an idle gate from a stalled one.
func (h *slotHoldTime) completionRate(inFlight float64) float64 {
	if h.mean == 0 {
		return math.Inf(1)
	}
	return inFlight / h.mean
}

// rankLimits holds, for each rank r, how many requests of the ranks up to and
// including r this instance may have in flight.
type rankLimits [MaxRanks]float64

// demand is the number of requests of the instances, dispatched and queued, by
// rank.
type demand struct {
	instances  float64
	own, total [MaxRanks]float64
}

// divideCapacity divides a capacity among the ranks, the highest first, and
// within a rank among the instances in proportion to their demand. Every
// instance computes this from nearly the same figures, so the shares add up to
// the capacity without coordination, however late the digests are.
//
// ordered means that the targets run the most urgent requests first. Then every
// rank may exceed its share by a burst, which keeps the slots busy and does not
// delay higher ranks. Otherwise only the highest rank with demand may. A single
// instance has exact figures and does not exceed its share.
func divideCapacity(capacity float64, d demand, ordered bool) rankLimits {
	var out rankLimits
	remaining := capacity
	ownAbove, totalAbove := 0.0, 0.0
	for r := range out {
		own, total := d.own[r], d.total[r]
		if total > remaining {
			own = remaining * own / total
			out[r] = ownAbove + own
			if d.instances > 1 && (ordered || totalAbove == 0) {
				out[r] += min(burst(own), remaining)
			}
			remaining = 0
		} else {
			out[r] = ownAbove + own + headroom(remaining-total, own, d.instances)
			remaining -= total
		}
		totalAbove += total
		ownAbove += own
	}
	return out
}

// headroom returns how much of the spare capacity an instance may use beyond
// the demand that its peers know of: an equal share or one burst, whichever is
// greater. With more, all instances would fill the same spare slots at the
// start of a load spike, before their digests reach one another.
func headroom(spare, own, instances float64) float64 {
	return max(spare/instances, min(spare, burst(own)))
}

// burst returns how far Poisson arrivals exceed their mean by chance.
func burst(mean float64) float64 {
	return 1 + burstDeviations*math.Sqrt(mean)
}

// burstDeviations is the size of a burst in standard deviations.
const burstDeviations = 2
