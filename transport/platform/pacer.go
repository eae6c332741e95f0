package platform

import (
	"math"
	"time"
)

// Settings of the pacer.
const (
	// minRate is the lowest rate in calls per second. Some calls must continue, to
	// find out when the platform accepts more.
	minRate = 0.5
	// fleetRestartRate bounds the rate of all instances together at the end of an
	// outage, in calls per second.
	fleetRestartRate = 100
	// answeredAveragingTime is the time constant of the average rate of answered
	// calls.
	answeredAveragingTime = 10 * time.Second
	// After a 429 the rate is the larger of keptAnsweredShare of the rate of
	// answered calls and decreaseFactor of the previous rate.
	keptAnsweredShare = 0.9
	decreaseFactor    = 0.5
	// minDecreaseInterval bounds how often a 429 lowers the rate. Calls that were in
	// flight together are one sign of overload, not several.
	minDecreaseInterval = time.Second
	// increasePerSecond and increaseShare are the increase of the rate each second
	// above the threshold: in calls per second, or as a share of the rate if that is
	// more.
	increasePerSecond = 0.1
	increaseShare     = 0.03
	// fleetIncreasePerSecond bounds the sum of increasePerSecond over all instances.
	fleetIncreasePerSecond = 8
)

// pacer is a token bucket whose rate adapts to the platform. It starts at the maximum
// rate and decreases it after a 429. After an outage the rate doubles each second up
// to a threshold (slow start) and increases slowly above it. The algorithm is that of
// congestion control in TCP, V. Jacobson, "Congestion Avoidance and Control", SIGCOMM
// 1988: the instances share the platform's limit without knowing their number.
type pacer struct {
	maxRate   float64
	burst     float64
	rate      float64
	threshold float64
	// maxRestartRate is the restartRate of a small fleet.
	maxRestartRate float64
	// restartRate is the rate at the end of an outage.
	restartRate float64
	// increase is the increase of the rate above the threshold, in calls per second
	// each second.
	increase float64
	// answeredRate is the average rate of answered calls.
	answeredRate float64
	// tokens is the number of calls that may be sent now. A negative number is the
	// number of admitted calls that still wait.
	tokens       float64
	advancedTo   time.Time
	blockedUntil time.Time
	lastDecrease time.Time
}

func newPacer(maxRate, burst float64, now time.Time) pacer {
	return pacer{
		maxRate:        maxRate,
		burst:          burst,
		rate:           maxRate,
		threshold:      maxRate,
		maxRestartRate: DefaultRestartPerSecond,
		restartRate:    DefaultRestartPerSecond,
		increase:       increasePerSecond,
		tokens:         burst,
		advancedTo:     now,
	}
}

// reserve reserves a call and returns how long it must wait. If the wait would exceed
// maxWait, it reserves nothing and returns false, which bounds the queue.
func (p *pacer) reserve(now time.Time, maxWait time.Duration) (time.Duration, bool) {
	p.advance(now)
	wait := max(0, p.blockedUntil.Sub(now))
	if p.tokens < 1 {
		missing := (1 - p.tokens) / p.rate
		wait += time.Duration(missing * float64(time.Second))
	}
	if wait > maxWait {
		return wait, false
	}
	p.tokens--
	return wait, true
}

// advance adds tokens and increases the rate for the elapsed time. The time in which
// calls were blocked does not count, or they would be sent in a burst afterwards.
func (p *pacer) advance(now time.Time) {
	elapsed := now.Sub(latest(p.advancedTo, p.blockedUntil)).Seconds()
	if elapsed <= 0 {
		return
	}
	p.advancedTo = now
	p.answeredRate *= math.Exp(-elapsed / answeredAveragingTime.Seconds())
	p.tokens = min(p.burst, p.tokens+elapsed*p.rate)
	if p.rate < p.threshold {
		p.rate = min(p.threshold, p.rate*math.Exp2(elapsed))
		return
	}
	p.rate = min(p.maxRate, p.rate+elapsed*max(p.increase, increaseShare*p.rate))
}

// recordAnswered counts a call that the platform executed.
func (p *pacer) recordAnswered(now time.Time) {
	p.advance(now)
	p.answeredRate += 1 / answeredAveragingTime.Seconds()
}

// decrease blocks calls for retryAfter and lowers the rate, after a 429.
func (p *pacer) decrease(now time.Time, retryAfter time.Duration) {
	p.advance(now)
	p.blockedUntil = latest(p.blockedUntil, now.Add(retryAfter))
	p.tokens = min(p.tokens, 0)
	if now.Sub(p.lastDecrease) < minDecreaseInterval {
		return
	}
	p.lastDecrease = now
	kept := keptAnsweredShare * min(p.rate, p.answeredRate)
	p.rate = max(minRate, decreaseFactor*p.rate, kept)
	p.threshold = p.rate
}

// beginOutage is called at the start of an outage. It sets the threshold for the
// recovery to the rate that was in use: the maximum rate may be far above this
// instance's share, and only the rate that the platform has handled is known to be
// safe.
func (p *pacer) beginOutage(now time.Time) {
	p.advance(now)
	p.threshold = min(p.rate, max(p.answeredRate, p.restartRate))
}

// endOutage is called at the end of an outage. It sets the rate to restartRate and
// discards saved tokens, so that there is no burst.
func (p *pacer) endOutage(now time.Time) {
	p.advance(now)
	p.tokens = min(p.tokens, 0)
	p.rate = min(p.maxRate, p.restartRate)
}

// setInstances sets restartRate and increase for a fleet of the given size.
//
// Without this, hundreds of instances that each restart with a few calls per second
// and may each reach their threshold would together overload the platform, however
// slowly each one recovers, and most of their calls would get a 429.
func (p *pacer) setInstances(instances int) {
	n := float64(max(instances, 1))
	p.restartRate = min(p.maxRestartRate, fleetRestartRate/n)
	p.increase = min(increasePerSecond, fleetIncreasePerSecond/n)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
