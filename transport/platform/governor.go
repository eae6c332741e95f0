package platform

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Class groups calls that the platform limits together.
type Class int

// Classes of calls. A waiting watch counts as one read.
const (
	ClassRead Class = iota
	ClassWrite
	classes
)

// outcome is what a call's end tells about the platform.
type outcome int

const (
	outcomeOK outcome = iota
	// outcomeLimited is an answer of 429.
	outcomeLimited
	// outcomeFailed is no answer, or one of 5xx.
	outcomeFailed
	// outcomeNeutral tells nothing, since the caller gave up.
	outcomeNeutral
)

// result is the end of a call.
type result struct {
	outcome    outcome
	retryAfter time.Duration
}

// heldError refuses a call before it leaves the process.
type heldError struct {
	cause      error
	retryAfter time.Duration
}

func (e *heldError) Error() string { return e.cause.Error() }

// admission lets a call out after wait.
type admission struct {
	wait  time.Duration
	probe bool
}

// governor decides when calls may leave. It is pure: time and randomness are
// given, and it needs a lock of its owner's.
//
// It guards against the rush at the end of an outage: every instance has calls
// due, they all come at once, and the platform fails again or answers 429 for
// long. Here one probe per instance finds the platform back, at a jittered time,
// and the rate then starts low and doubles each second. 429 halves it.
type governor struct {
	breaker breaker
	pacers  [classes]pacer
	maxWait time.Duration
	rand    *rand.Rand
}

func newGovernor(o BudgetOptions, now time.Time) *governor {
	g := &governor{maxWait: o.MaxWait, rand: o.Rand, breaker: breaker{backoffMax: o.ProbeEvery}}
	g.pacers[ClassRead] = newPacer(o.ReadsPerSecond, o.Burst, now)
	g.pacers[ClassWrite] = newPacer(o.WritesPerSecond, o.Burst, now)
	for i := range g.pacers {
		restart := cmp.Or(o.RestartPerSecond, DefaultRestartPerSecond)
		g.pacers[i].restartMost, g.pacers[i].restartAt = restart, restart
	}
	return g
}

// admit lets a call out now, or after a wait up to maxWait, or refuses it.
func (g *governor) admit(now time.Time, class Class) (admission, error) {
	return g.admitWithin(now, class, g.maxWait)
}

// admitWithin is admit with another bound of the wait.
func (g *governor) admitWithin(now time.Time, class Class, maxWait time.Duration) (admission, error) {
	probe, held := g.breaker.allow(now)
	if held > 0 {
		return admission{}, &heldError{cause: ErrOutage, retryAfter: held}
	}
	if probe {
		return admission{probe: true}, nil
	}
	wait, ok := g.pacers[class].take(now, maxWait)
	if !ok {
		return admission{}, &heldError{cause: ErrBudget, retryAfter: wait}
	}
	return admission{wait: wait}, nil
}

// report takes in how an admitted call ended.
func (g *governor) report(now time.Time, class Class, probe bool, r result) {
	wasOpen := g.breaker.open()
	recovered := g.breaker.report(now, probe, r, g.rand)
	for i := range g.pacers {
		switch {
		case recovered:
			g.pacers[i].restart(now)
		case !wasOpen && g.breaker.open():
			g.pacers[i].pause(now)
		}
	}
	switch r.outcome {
	case outcomeOK:
		g.pacers[class].answered(now)
	case outcomeLimited:
		g.pacers[class].cut(now, jitter(r.retryAfter, g.rand))
	}
}

// Settings of the breaker.
const (
	// failuresToOpen in a row hold back all calls. One alone may be a single
	// connection that went silent.
	failuresToOpen = 3
	backoffBase    = 200 * time.Millisecond
)

// breaker holds calls back during an outage and lets single probes through.
type breaker struct {
	// backoffMax bounds the time between two probes; 0 is DefaultProbeEvery.
	backoffMax time.Duration
	failures   int
	openings   int
	until      time.Time
	probing    bool
}

func (b *breaker) open() bool { return b.failures >= failuresToOpen }

// allow returns whether the call is a probe, or for how long it is held.
func (b *breaker) allow(now time.Time) (probe bool, held time.Duration) {
	if !b.open() {
		return false, 0
	}
	if now.Before(b.until) {
		return false, b.until.Sub(now)
	}
	if b.probing {
		return false, backoffBase
	}
	b.probing = true
	return true, 0
}

// report returns true when the call ends an outage.
func (b *breaker) report(now time.Time, probe bool, r result, random *rand.Rand) bool {
	wasOpen := b.open()
	if probe {
		b.probing = false
	}
	switch r.outcome {
	case outcomeOK, outcomeLimited:
		b.failures = 0
		b.openings = 0
		return wasOpen
	case outcomeFailed:
		// Calls that were under way when the breaker opened fail one after the
		// other; counting them would stretch the back-off for a single cause.
		if wasOpen && !probe {
			return false
		}
		b.failures++
		if b.open() {
			b.holdBack(now, r.retryAfter, random)
		}
	case outcomeNeutral:
	}
	return false
}

func (b *breaker) holdBack(now time.Time, retryAfter time.Duration, random *rand.Rand) {
	most := cmp.Or(b.backoffMax, DefaultProbeEvery)
	delay := most
	if b.openings < 16 {
		delay = min(most, backoffBase<<b.openings)
	}
	b.openings++
	half := delay / 2
	delay = half + time.Duration(random.Int64N(int64(half)+1))
	b.until = now.Add(max(delay, jitter(retryAfter, random)))
}

// jitter lengthens d by up to its half. It never shortens a wait that the
// platform asked for.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	return d + time.Duration(random.Int64N(int64(d)/2+1))
}
