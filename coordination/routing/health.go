package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// Parameters of the health of a target.
const (
	// averageWeight is the weight of a new sample in the moving averages.
	averageWeight = 0.2
	// averageHalfLife is the time in which an average without samples returns half
	// of the way to healthy, so that a target without traffic is tried again.
	averageHalfLife = 10 * time.Second
	// ejectAfterFailures is the number of consecutive failures that ejects a target.
	ejectAfterFailures = 2
	// ejectFailureRate is the failure rate above which a target is ejected even without
	// consecutive failures.
	ejectFailureRate = 0.5
	// ejectMinSamples is the number of samples from which on ejectFailureRate applies.
	ejectMinSamples = 8
	// slownessThreshold is the slowness below which a target is treated as healthy.
	// Below it, request sizes and queues explain the difference, and acting on it
	// would cost cache hits.
	slownessThreshold = 1.4
	// maxSlowness bounds the slowness of a single sample.
	maxSlowness = 20.0
	// slowStartMinShare is the share of its full traffic that a target gets when its
	// slow start begins.
	slowStartMinShare = 0.1
)

// health is the state of a target as observed by this instance's attempts.
type health struct {
	slowness             decayingAverage // ratio of latency to expected latency, less 1
	failureRate          decayingAverage // share of failed attempts
	samples              atomic.Int64
	consecutiveFailures  atomic.Int64
	ejectedUntil         atomic.Int64 // 0 if not ejected
	consecutiveEjections atomic.Int64 // restarts at 1 after a long time without ejection
	lastEjection         atomic.Int64
	probeSentAt          atomic.Int64 // when the probe in flight was sent; 0 if there is none
	// peerSuspicions is the number of peers that have ejected the target.
	peerSuspicions atomic.Int64
	// recoveredAt is when a probe last succeeded; a slow start begins then.
	recoveredAt atomic.Int64
	// ejectedForSilence is true while the target is ejected since it was silent.
	ejectedForSilence atomic.Bool
}

// decayingAverage is an exponential moving average that decays to 0 while there are no
// samples. Concurrent writers may lose an update, which is harmless.
type decayingAverage struct {
	bits      atomic.Uint64 // bits of the float64 value
	updatedAt atomic.Int64
}

func (a *decayingAverage) read(now int64) float64 {
	value := math.Float64frombits(a.bits.Load())
	if value == 0 {
		return 0
	}
	age := float64(max(now-a.updatedAt.Load(), 0)) / float64(averageHalfLife)
	return value * math.Exp2(-age)
}

func (a *decayingAverage) sample(now int64, value float64) {
	old := a.read(now)
	a.bits.Store(math.Float64bits(old + averageWeight*(value-old)))
	a.updatedAt.Store(now)
}

func (a *decayingAverage) reset() {
	a.bits.Store(0)
}

// slowdown returns the ratio of the target's latency to the expected latency, or 1 while
// the ratio is below slownessThreshold and may be chance.
func (h *health) slowdown(now int64) float64 {
	slowness := 1 + h.slowness.read(now)
	if slowness < slownessThreshold {
		return 1
	}
	return slowness
}

// observe records one result and reports whether the target should be ejected.
func (h *health) observe(now int64, r Result) (eject bool) {
	switch r.Outcome {
	case OutcomeCancelled, OutcomeNotRun:
		h.observeLatencyBound(now, r)
		h.probeSentAt.Store(0)
		return false
	case OutcomeOK:
		h.observeLatency(now, r)
		h.recordSuccess(now)
		return false
	case OutcomeDeadlineMissed:
		h.observeLatencyBound(now, r)
		h.probeSentAt.Store(0)
		return false
	default:
		return h.recordFailure(now)
	}
}

func (h *health) observeLatency(now int64, r Result) {
	if r.Expected <= 0 {
		return
	}
	ratio := math.Min(float64(r.Latency)/float64(r.Expected), maxSlowness)
	h.slowness.sample(now, ratio-1)
}

// observeLatencyBound records the latency of an attempt that was cancelled or missed its
// deadline. Its latency is only a lower bound, so it is used only if it exceeds the
// current estimate.
func (h *health) observeLatencyBound(now int64, r Result) {
	if r.Expected <= 0 || r.Outcome == OutcomeNotRun {
		return
	}
	if float64(r.Latency) > h.slowdown(now)*float64(r.Expected) {
		h.observeLatency(now, r)
	}
}

func (h *health) recordSuccess(now int64) {
	h.samples.Add(1)
	h.consecutiveFailures.Store(0)
	h.failureRate.sample(now, 0)
	// Only a probe ends an ejection: the response to a request that was sent before
	// the ejection doesn't show that the target has recovered.
	if h.probeSentAt.Swap(0) != 0 && h.ejectedUntil.Swap(0) != 0 {
		h.recoveredAt.Store(now)
		h.failureRate.reset()
		h.samples.Store(0)
	}
}

func (h *health) recordFailure(now int64) bool {
	samples := h.samples.Add(1)
	consecutive := h.consecutiveFailures.Add(1)
	h.failureRate.sample(now, 1)
	if h.probeSentAt.Swap(0) != 0 {
		return true
	}
	if h.ejectedUntil.Load() != 0 {
		return false
	}
	if consecutive >= ejectAfterFailures-h.corroboration() {
		return true
	}
	return samples >= ejectMinSamples && h.failureRate.read(now) > ejectFailureRate
}

// corroboration returns the number of own failures that the ejections by peers replace.
// At least one own failure is always required, since a peer that has lost its own
// network connection suspects every target.
func (h *health) corroboration() int64 {
	return min(h.peerSuspicions.Load(), ejectAfterFailures-1)
}

// forgetFailures makes the target count as healthy.
func (h *health) forgetFailures() {
	h.ejectedUntil.Store(0)
	h.consecutiveEjections.Store(0)
	h.consecutiveFailures.Store(0)
	h.probeSentAt.Store(0)
	h.samples.Store(0)
	h.failureRate.reset()
}

// withdrawSilence takes back what the silence of a target seemed to show.
func (h *health) withdrawSilence(now int64) {
	h.consecutiveFailures.Store(0)
	h.failureRate.sample(now, 0)
	if h.ejectedForSilence.Swap(false) {
		h.ejectedUntil.Store(0)
		h.probeSentAt.Store(0)
	}
}

// eject removes the target from routing for a time that doubles with each consecutive
// ejection. The count restarts after more than twice Config.MaxEjectionTime without one.
func (h *health) eject(now int64, c *Config) {
	h.ejectedForSilence.Store(false)
	if now-h.lastEjection.Swap(now) > 2*int64(c.MaxEjectionTime) {
		h.consecutiveEjections.Store(0)
	}
	ejections := min(h.consecutiveEjections.Add(1), 16)
	length := min(int64(c.BaseEjectionTime)<<(ejections-1), int64(c.MaxEjectionTime))
	h.ejectedUntil.Store(now + length)
}

// ejectionState tells whether a target is ejected, and whether it may be probed.
type ejectionState uint8

const (
	notEjected ejectionState = iota
	ejectionActive
	probeDue
)

// probeTimeout is the time after which a probe without a result is considered lost.
const probeTimeout = int64(10 * time.Second)

func (h *health) ejectionState(now int64) ejectionState {
	until := h.ejectedUntil.Load()
	if until == 0 {
		return notEjected
	}
	if now < until {
		return ejectionActive
	}
	return probeDue
}

// probeFree reports whether no probe is in flight.
func (h *health) probeFree(now int64) bool { return isProbeFree(now, h.probeSentAt.Load()) }

func isProbeFree(now, sent int64) bool { return sent == 0 || now-sent >= probeTimeout }

// claimProbe reports whether the caller may send the probe. Of several concurrent picks,
// only one may.
func (h *health) claimProbe(now int64) bool {
	sent := h.probeSentAt.Load()
	return isProbeFree(now, sent) && h.probeSentAt.CompareAndSwap(sent, now)
}

// trafficShare returns the share of its normal traffic, 0 to 1, that the target may get:
// less during a slow start, also after an ejection, and less while requests fail there.
// Without the reduction for failures, a target that fails fast would attract most
// requests: they end at once, so it looks idle.
func (s *targetState) trafficShare(now int64, c *Config) float64 {
	share := 1.0
	if !c.disabled(MechanismSlowStart) {
		share = slowStartShare(now, s.added, c.SlowStartWindow) * slowStartShare(now, s.health.recoveredAt.Load(), c.SlowStartWindow)
	}
	if !c.disabled(MechanismEjection) {
		ok := 1 - s.health.failureRate.read(now)
		share *= ok * ok
	}
	return share
}

func slowStartShare(now, since int64, length time.Duration) float64 {
	if since == 0 || now-since >= int64(length) {
		return 1
	}
	return slowStartMinShare + (1-slowStartMinShare)*float64(max(now-since, 0))/float64(length)
}
