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
	classCount
)

// outcome is what a call's end tells about the platform.
type outcome int

const (
	outcomeOK outcome = iota
	// outcomeLimited is an answer of 429.
	outcomeRateLimited
	// outcomeFailed is no answer, or one of 5xx.
	outcomeFailed
	// outcomeNeutral tells nothing, since the caller gave up.
	outcomeNeutral
)

// result is the end of a call.
type callResult struct {
	outcome    outcome
	retryAfter time.Duration
}

// heldError refuses a call before it leaves the process.
type notAdmittedError struct {
	cause      error
	retryAfter time.Duration
}

func (e *notAdmittedError) Error() string { return e.cause.Error() }

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
type callLimiter struct {
	breaker breaker
	pacers  [classCount]pacer
	maxWait time.Duration
	rand    *rand.Rand
}

func newCallLimiter(o BudgetOptions, now time.Time) *callLimiter {
	g := &callLimiter{maxWait: o.MaxWait, rand: o.Rand, breaker: breaker{maxBackoff: o.MaxProbeInterval}}
	g.pacers[ClassRead] = newPacer(o.ReadsPerSecond, o.Burst, now)
	g.pacers[ClassWrite] = newPacer(o.WritesPerSecond, o.Burst, now)
	for i := range g.pacers {
		restart := cmp.Or(o.RestartPerSecond, DefaultRestartPerSecond)
		g.pacers[i].maxRestartRate, g.pacers[i].restartRate = restart, restart
	}
	return g
}

// admit lets a call out now, or after a wait up to maxWait, or refuses it.
func (g *callLimiter) admit(now time.Time, class Class) (admission, error) {
	return g.admitWithin(now, class, g.maxWait)
}

// admitWithin is admit with another bound of the wait.
func (g *callLimiter) admitWithin(now time.Time, class Class, maxWait time.Duration) (admission, error) {
	probe, held := g.breaker.allow(now)
	if held > 0 {
		return admission{}, &notAdmittedError{cause: ErrOutage, retryAfter: held}
	}
	if probe {
		return admission{probe: true}, nil
	}
	wait, ok := g.pacers[class].reserve(now, maxWait)
	if !ok {
		return admission{}, &notAdmittedError{cause: ErrBudget, retryAfter: wait}
	}
	return admission{wait: wait}, nil
}

// report takes in how an admitted call ended.
func (g *callLimiter) recordResult(now time.Time, class Class, probe bool, r callResult) {
	wasOpen := g.breaker.open()
	recovered := g.breaker.recordResult(now, probe, r, g.rand)
	for i := range g.pacers {
		switch {
		case recovered:
			g.pacers[i].endOutage(now)
		case !wasOpen && g.breaker.open():
			g.pacers[i].beginOutage(now)
		}
	}
	switch r.outcome {
	case outcomeOK:
		g.pacers[class].recordAnswered(now)
	case outcomeRateLimited:
		g.pacers[class].decrease(now, jitter(r.retryAfter, g.rand))
	}
}

// Settings of the breaker.
const (
	// failuresToOpen in a row hold back all calls. One alone may be a single
	// connection that went silent.
	failuresToOpen = 3
	baseBackoff    = 200 * time.Millisecond
)

// breaker holds calls back during an outage and lets single probes through.
type breaker struct {
	// backoffMax bounds the time between two probes; 0 is DefaultProbeEvery.
	maxBackoff    time.Duration
	failures      int
	backoffs      int
	nextProbe     time.Time
	probeInFlight bool
}

func (b *breaker) open() bool { return b.failures >= failuresToOpen }

// allow returns whether the call is a probe, or for how long it is held.
func (b *breaker) allow(now time.Time) (probe bool, held time.Duration) {
	if !b.open() {
		return false, 0
	}
	if now.Before(b.nextProbe) {
		return false, b.nextProbe.Sub(now)
	}
	if b.probeInFlight {
		return false, baseBackoff
	}
	b.probeInFlight = true
	return true, 0
}

// report returns true when the call ends an outage.
func (b *breaker) recordResult(now time.Time, probe bool, r callResult, random *rand.Rand) bool {
	wasOpen := b.open()
	if probe {
		b.probeInFlight = false
	}
	switch r.outcome {
	case outcomeOK, outcomeRateLimited:
		b.failures = 0
		b.backoffs = 0
		return wasOpen
	case outcomeFailed:
		// Calls that were under way when the breaker opened fail one after the
		// other; counting them would stretch the back-off for a single cause.
		if wasOpen && !probe {
			return false
		}
		b.failures++
		if b.open() {
			b.scheduleProbe(now, r.retryAfter, random)
		}
	case outcomeNeutral:
	}
	return false
}

func (b *breaker) scheduleProbe(now time.Time, retryAfter time.Duration, random *rand.Rand) {
	most := cmp.Or(b.maxBackoff, DefaultMaxProbeInterval)
	delay := most
	if b.backoffs < 16 {
		delay = min(most, baseBackoff<<b.backoffs)
	}
	b.backoffs++
	half := delay / 2
	delay = half + time.Duration(random.Int64N(int64(half)+1))
	b.nextProbe = now.Add(max(delay, jitter(retryAfter, random)))
}

// jitter lengthens d by up to its half. It never shortens a wait that the
// platform asked for.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	return d + time.Duration(random.Int64N(int64(d)/2+1))
}
