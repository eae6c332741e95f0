package platform

import (
	"math"
	"time"
)

// Settings of the pacer.
const (
	// minRate keeps calls flowing that find out when more is possible, per second.
	minRate = 0.5
	// startRate is where a start or a return begins, per second. It is absolute:
	// a share of the full rate would grow with the fleet.
	startRate = 2
	// cutEvery bounds how often 429 halves the rate. The calls that were under
	// way together are one sign, not several.
	cutEvery = time.Second
	// raiseStep and raiseShare are the rise a second once the platform's limit
	// has been met: calls a second, or a share of the rate if that is more.
	raiseStep  = 0.1
	raiseShare = 0.03
)

// pacer is a token bucket whose rate adapts to the platform: it doubles each
// second up to a threshold (slow start), rises slowly beyond, and halves
// at 429. The scheme is that of congestion control in TCP, V. Jacobson,
// "Congestion Avoidance and Control", SIGCOMM 1988: the instances share the
// platform's limit without knowing how many they are.
type pacer struct {
	full      float64
	burst     float64
	rate      float64
	threshold float64
	// tokens below zero are calls already admitted that still wait.
	tokens  float64
	updated time.Time
	blocked time.Time
	lastCut time.Time
}

func newPacer(full, burst float64, now time.Time) pacer {
	return pacer{
		full:      full,
		burst:     burst,
		rate:      min(full, startRate),
		threshold: full,
		tokens:    burst,
		updated:   now,
	}
}

// take reserves a call and returns how long it has to wait. Past maxWait it
// reserves nothing; the queue is thereby bounded.
func (p *pacer) take(now time.Time, maxWait time.Duration) (time.Duration, bool) {
	p.advance(now)
	wait := max(0, p.blocked.Sub(now))
	if p.tokens < 1 {
		missing := (1 - p.tokens) / p.rate
		wait = max(wait, time.Duration(missing*float64(time.Second)))
	}
	if wait > maxWait {
		return wait, false
	}
	p.tokens--
	return wait, true
}

// advance fills tokens and raises the rate for the time gone by.
func (p *pacer) advance(now time.Time) {
	elapsed := now.Sub(p.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	p.updated = now
	p.tokens = min(p.burst, p.tokens+elapsed*p.rate)
	if now.Before(p.blocked) || p.tokens >= p.burst {
		// A rate that isn't used proves nothing about the platform, and must not
		// grow: it would be there to spend at the end of an outage.
		return
	}
	if p.rate < p.threshold {
		p.rate = min(p.threshold, p.rate*math.Exp2(elapsed))
		return
	}
	p.rate = min(p.full, p.rate+elapsed*max(raiseStep, raiseShare*p.rate))
}

// cut halves the rate after an answer of 429.
func (p *pacer) cut(now time.Time, retryAfter time.Duration) {
	p.advance(now)
	p.blocked = later(p.blocked, now.Add(retryAfter))
	p.tokens = min(p.tokens, 0)
	if now.Sub(p.lastCut) < cutEvery {
		return
	}
	p.lastCut = now
	p.rate = max(minRate, p.rate/2)
	p.threshold = p.rate
}

// restart begins anew after an outage, with no burst saved up.
func (p *pacer) restart(now time.Time) {
	p.advance(now)
	p.tokens = min(p.tokens, 0)
	p.threshold = max(p.rate, startRate)
	p.rate = min(p.full, startRate)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
