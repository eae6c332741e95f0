package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// Tuning of the health of a target.
const (
	// sampleShare is the share of a new sample in the moving averages.
	averageWeight = 0.2
	// forgetHalf is how fast an average without samples returns to healthy, so
	// that a target that got no traffic is tried again.
	averageHalfLife = 10 * time.Second
	// ejectFailures in a row eject a target.
	ejectAfterFailures = 2
	// ejectShare is the failing share that ejects without a row of failures.
	ejectFailureRate = 0.5
	// ejectSamples is the least number of samples before ejectShare counts.
	ejectMinSamples = 8
	// slowThreshold is the slowness from which on it counts. Below it, sizes
	// and queues explain the difference, and acting on it costs cache hits.
	slownessThreshold = 1.4
	// maxSlowness bounds what one sample can say.
	maxSlowness = 20.0
	// leastShare is the share of its traffic that a target gets at the start
	// of its slow start.
	slowStartMinShare = 0.1
)

// health is what the own attempts taught about a target.
type health struct {
	slowness             decayingAverage // latency over expected latency; 1 is usual
	failureRate          decayingAverage // share of failed attempts
	samples              atomic.Int64
	consecutiveFailures  atomic.Int64 // in a row
	ejectedUntil         atomic.Int64 // end of the ejection; 0 when not ejected
	consecutiveEjections atomic.Int64 // ejections in a row
	lastEjection         atomic.Int64 // the latest ejection
	probeSentAt          atomic.Int64 // when the probe in flight was sent; 0 without one
	// suspicions counts the peers that ejected the target.
	peerSuspicions atomic.Int64
	recoveredAt    atomic.Int64 // when a probe succeeded: start of the slow return
}

// average is an exponential moving average that decays towards its resting
// value while no samples come. Lost updates between racing writers are harmless.
type decayingAverage struct {
	bits      atomic.Uint64 // float64 of value - resting value
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

// slow returns how many times its usual time the target takes; 1 while that
// could still be chance.
func (h *health) slowdown(now int64) float64 {
	slowness := 1 + h.slowness.read(now)
	if slowness < slownessThreshold {
		return 1
	}
	return slowness
}

// observe takes in one result and tells whether the target should be ejected.
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

// observeLatencyBound uses an attempt that was cut off: its latency is only a
// lower bound, so it counts only when it is longer than what is believed.
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
	// Only a probe ends an ejection: an answer from before it proves nothing.
	if h.probeSentAt.Swap(0) != 0 && h.ejectedUntil.Swap(0) != 0 {
		h.recoveredAt.Store(now)
		h.failureRate.reset()
		h.samples.Store(0)
	}
}

func (h *health) recordFailure(now int64) bool {
	samples := h.samples.Add(1)
	row := h.consecutiveFailures.Add(1)
	h.failureRate.sample(now, 1)
	if h.probeSentAt.Swap(0) != 0 {
		return true
	}
	if h.ejectedUntil.Load() != 0 {
		return false
	}
	if row >= ejectAfterFailures-h.corroboration() {
		return true
	}
	return samples >= ejectMinSamples && h.failureRate.read(now) > ejectFailureRate
}

// corroboration is how many own failures peers' ejections stand in for. One own
// failure is always needed: a peer whose own path is cut suspects everything.
func (h *health) corroboration() int64 {
	return min(h.peerSuspicions.Load(), ejectAfterFailures-1)
}

// eject takes the target out of routing for a time that doubles with each
// strike. A long time without one starts the count again.
func (h *health) eject(now int64, c *Config) {
	if now-h.lastEjection.Swap(now) > 2*int64(c.MaxEjectionTime) {
		h.consecutiveEjections.Store(0)
	}
	strikes := min(h.consecutiveEjections.Add(1), 16)
	length := min(int64(c.BaseEjectionTime)<<(strikes-1), int64(c.MaxEjectionTime))
	h.ejectedUntil.Store(now + length)
}

// ejection is the state of a target towards new requests.
type ejectionState uint8

const (
	notEjected ejectionState = iota
	ejectionActive
	probeDue
)

// probeTimeout ends the wait for a probe whose end was never told.
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

// claimProbe lets one of several racing picks send the probe.
func (h *health) claimProbe(now int64) bool {
	sent := h.probeSentAt.Load()
	if sent != 0 && now-sent < probeTimeout {
		return false
	}
	return h.probeSentAt.CompareAndSwap(sent, now)
}

// share returns the part of its usual traffic, 0 to 1, that the target may
// have now: less during a slow start or return, and less while it fails. The
// thinning guards against the target that fails fast: its requests end at once,
// it looks idle, and the idlest target attracts everything.
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
