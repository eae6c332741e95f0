package platform

import (
	"math"
	"time"
)

// Settings of the pacer.
const (
	// minRate keeps calls flowing that find out when more is possible, per second.
	minRate = 0.5
	// fleetRestartRate is what all instances together begin with at most.
	fleetRestartRate = 100
	// usedOver is the time over which the rate of answered calls is averaged.
	answeredAveragingTime = 10 * time.Second
	// keepShare of the answered rate is left after 429, but at least cutShare
	// of the rate so far.
	keptAnsweredShare = 0.9
	decreaseFactor    = 0.5
	// cutEvery bounds how often 429 lowers the rate. The calls that were under
	// way together are one sign, not several.
	minDecreaseInterval = time.Second
	// raiseStep and raiseShare are the rise a second beyond the threshold: calls
	// a second, or a share of the rate if that is more.
	increasePerSecond = 0.1
	increaseShare     = 0.03
	// fleetRaiseStep is the most that raiseStep amounts to for all instances.
	fleetIncreasePerSecond = 8
)

// pacer is a token bucket whose rate adapts to the platform. It starts at the
// full rate and goes down at 429. After an outage it doubles each second up to a
// threshold (slow start) and rises slowly beyond. The scheme is that of
// congestion control in TCP, V. Jacobson, "Congestion Avoidance and Control",
// SIGCOMM 1988: the instances share the platform's limit without knowing how
// many they are.
type pacer struct {
	maxRate   float64
	burst     float64
	rate      float64
	threshold float64
	// restartMost is restartAt in a small fleet.
	maxRestartRate float64
	// restartAt is where the return from an outage begins.
	restartRate float64
	// raise is the rise beyond the threshold, in calls a second each second.
	increase float64
	// used is the rate of answered calls, averaged over usedOver.
	answeredRate float64
	// tokens below zero are calls already admitted that still wait.
	tokens       float64
	advancedTo   time.Time
	blockedUntil time.Time
	lastDecrease time.Time
}

func newPacer(full, burst float64, now time.Time) pacer {
	return pacer{
		maxRate:        full,
		burst:          burst,
		rate:           full,
		threshold:      full,
		maxRestartRate: DefaultRestartPerSecond,
		restartRate:    DefaultRestartPerSecond,
		increase:       increasePerSecond,
		tokens:         burst,
		advancedTo:     now,
	}
}

// take reserves a call and returns how long it has to wait. Past maxWait it
// reserves nothing; the queue is thereby bounded.
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

// advance fills tokens and raises the rate for the time gone by. The time in
// which calls were blocked fills nothing, or they would leave in a burst.
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

// answered counts a call that the platform carried out.
func (p *pacer) recordAnswered(now time.Time) {
	p.advance(now)
	p.answeredRate += 1 / answeredAveragingTime.Seconds()
}

// cut lowers the rate after an answer of 429.
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

// pause is called when an outage begins. It keeps the rate that was in use as
// the threshold for the return: the full rate may be far over this instance's
// share, and only what the platform carried is known to be safe.
func (p *pacer) beginOutage(now time.Time) {
	p.advance(now)
	p.threshold = min(p.rate, max(p.answeredRate, p.restartRate))
}

// restart begins anew after an outage, with no burst saved up.
func (p *pacer) endOutage(now time.Time) {
	p.advance(now)
	p.tokens = min(p.tokens, 0)
	p.rate = min(p.maxRate, p.restartRate)
}

// share sets where the return begins for one of a number of instances.
//
// Guard: hundreds of instances that each begin with some calls a second, and
// may each take as many as the threshold, are a rush together, however slowly
// each of them comes back. The platform answers most of it with 429.
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
