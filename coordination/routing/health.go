package routing

import (
	"math"
	"sync/atomic"
	"time"
)

// Tuning of the health of a target.
const (
	// sampleShare is the share of a new sample in the moving averages.
	sampleShare = 0.2
	// forgetHalf is how fast an average without samples returns to healthy, so
	// that a target that got no traffic is tried again.
	forgetHalf = 10 * time.Second
	// ejectFailures in a row eject a target.
	ejectFailures = 2
	// ejectShare is the failing share that ejects without a row of failures.
	ejectShare = 0.5
	// ejectSamples is the least number of samples before ejectShare counts.
	ejectSamples = 8
	// slowThreshold is the slowness from which on it counts. Below it, sizes
	// and queues explain the difference, and acting on it costs cache hits.
	slowThreshold = 1.4
	// maxSlowness bounds what one sample can say.
	maxSlowness = 20.0
	// leastShare is the share of its traffic that a target gets at the start
	// of its slow start.
	leastShare = 0.1
)

// health is what the own attempts taught about a target.
type health struct {
	slowness average // latency over expected latency; 1 is usual
	failing  average // share of failed attempts
	samples  atomic.Int64
	failures atomic.Int64 // in a row
	ejected  atomic.Int64 // end of the ejection; 0 when not ejected
	strikes  atomic.Int64 // ejections in a row
	struck   atomic.Int64 // the latest ejection
	probing  atomic.Int64 // when the probe in flight was sent; 0 without one
	// suspicions counts the peers that ejected the target.
	suspicions atomic.Int64
	returned   atomic.Int64 // when a probe succeeded: start of the slow return
}

// average is an exponential moving average that decays towards its resting
// value while no samples come. Lost updates between racing writers are harmless.
type average struct {
	bits atomic.Uint64 // float64 of value - resting value
	at   atomic.Int64
}

func (a *average) read(now int64) float64 {
	value := math.Float64frombits(a.bits.Load())
	if value == 0 {
		return 0
	}
	age := float64(max(now-a.at.Load(), 0)) / float64(forgetHalf)
	return value * math.Exp2(-age)
}

func (a *average) sample(now int64, value float64) {
	old := a.read(now)
	a.bits.Store(math.Float64bits(old + sampleShare*(value-old)))
	a.at.Store(now)
}

func (a *average) reset() {
	a.bits.Store(0)
}

// slow returns how many times its usual time the target takes; 1 while that
// could still be chance.
func (h *health) slow(now int64) float64 {
	slowness := 1 + h.slowness.read(now)
	if slowness < slowThreshold {
		return 1
	}
	return slowness
}

// observe takes in one result and tells whether the target should be ejected.
func (h *health) observe(now int64, r Result) (eject bool) {
	switch r.Outcome {
	case OutcomeCancelled, OutcomeNotRun:
		h.observeLatencyBound(now, r)
		h.probing.Store(0)
		return false
	case OutcomeOK:
		h.observeLatency(now, r)
		h.succeeded(now)
		return false
	case OutcomeLate:
		h.observeLatencyBound(now, r)
		h.probing.Store(0)
		return false
	default:
		return h.failed(now)
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
	if float64(r.Latency) > h.slow(now)*float64(r.Expected) {
		h.observeLatency(now, r)
	}
}

func (h *health) succeeded(now int64) {
	h.samples.Add(1)
	h.failures.Store(0)
	h.failing.sample(now, 0)
	// Only a probe ends an ejection: an answer from before it proves nothing.
	if h.probing.Swap(0) != 0 && h.ejected.Swap(0) != 0 {
		h.returned.Store(now)
		h.failing.reset()
		h.samples.Store(0)
	}
}

func (h *health) failed(now int64) bool {
	samples := h.samples.Add(1)
	row := h.failures.Add(1)
	h.failing.sample(now, 1)
	if h.probing.Swap(0) != 0 {
		return true
	}
	if h.ejected.Load() != 0 {
		return false
	}
	if row >= ejectFailures-h.corroboration() {
		return true
	}
	return samples >= ejectSamples && h.failing.read(now) > ejectShare
}

// corroboration is how many own failures peers' ejections stand in for. One own
// failure is always needed: a peer whose own path is cut suspects everything.
func (h *health) corroboration() int64 {
	return min(h.suspicions.Load(), ejectFailures-1)
}

// eject takes the target out of routing for a time that doubles with each
// strike. A long time without one starts the count again.
func (h *health) eject(now int64, c *Config) {
	if now-h.struck.Swap(now) > 2*int64(c.EjectionMax) {
		h.strikes.Store(0)
	}
	strikes := min(h.strikes.Add(1), 16)
	length := min(int64(c.Ejection)<<(strikes-1), int64(c.EjectionMax))
	h.ejected.Store(now + length)
}

// ejection is the state of a target towards new requests.
type ejection uint8

const (
	notEjected ejection = iota
	stillEjected
	probeDue
)

// probeTimeout ends the wait for a probe whose end was never told.
const probeTimeout = int64(10 * time.Second)

func (h *health) ejection(now int64) ejection {
	until := h.ejected.Load()
	if until == 0 {
		return notEjected
	}
	if now < until {
		return stillEjected
	}
	return probeDue
}

// claimProbe lets one of several racing picks send the probe.
func (h *health) claimProbe(now int64) bool {
	sent := h.probing.Load()
	if sent != 0 && now-sent < probeTimeout {
		return false
	}
	return h.probing.CompareAndSwap(sent, now)
}

// share returns the part of its usual traffic, 0 to 1, that the target may
// have now: less during a slow start or return, and less while it fails. The
// thinning guards against the target that fails fast: its requests end at once,
// it looks idle, and the idlest target attracts everything.
func (s *targetState) share(now int64, c *Config) float64 {
	share := 1.0
	if !c.off(MechanismSlowStart) {
		share = ramp(now, s.added, c.SlowStart) * ramp(now, s.health.returned.Load(), c.SlowStart)
	}
	if !c.off(MechanismEjection) {
		ok := 1 - s.health.failing.read(now)
		share *= ok * ok
	}
	return share
}

func ramp(now, since int64, length time.Duration) float64 {
	if since == 0 || now-since >= int64(length) {
		return 1
	}
	return leastShare + (1-leastShare)*float64(max(now-since, 0))/float64(length)
}
