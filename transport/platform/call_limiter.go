package platform

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Class is a group of calls that share a rate limit of the platform.
type Class int

// The classes of calls. A watch counts as one read, however long it waits.
const (
	ClassRead Class = iota
	ClassWrite
	classCount
)

// outcome is what the end of a call reveals about the state of the platform.
type outcome int

const (
	outcomeOK outcome = iota
	// outcomeRateLimited is a response with status 429.
	outcomeRateLimited
	// outcomeFailed is no response, or one with a 5xx status.
	outcomeFailed
	// outcomeNeutral reveals nothing, for example because the caller gave up.
	outcomeNeutral
)

// callResult is the result of a call, as reported to the limiter.
type callResult struct {
	outcome    outcome
	retryAfter time.Duration
}

// notAdmittedError is the error of a call that was refused before it was sent.
type notAdmittedError struct {
	cause      error
	retryAfter time.Duration
}

func (e *notAdmittedError) Error() string { return e.cause.Error() }

// admission allows a call to be sent after wait.
type admission struct {
	wait time.Duration
	// probe is true if the call probes the platform after an outage.
	probe bool
}

// callLimiter decides when calls may be sent. It combines a circuit breaker with a
// rate limit per class. The current time and the random source are passed in, and
// the caller must serialize its methods.
//
// It prevents overload at the end of an outage: every instance has calls waiting, and
// if all sent them at once, the platform would fail again or return 429 for a long
// time. Instead, each instance sends a single probe at a jittered time. Once it
// succeeds, the rate starts low and doubles each second. A 429 halves it at most.
type callLimiter struct {
	breaker breaker
	pacers  [classCount]pacer
	maxWait time.Duration
	rand    *rand.Rand
}

func newCallLimiter(o BudgetOptions, now time.Time) *callLimiter {
	l := &callLimiter{maxWait: o.MaxWait, rand: o.Rand, breaker: breaker{maxBackoff: o.MaxProbeInterval}}
	l.pacers[ClassRead] = newPacer(o.ReadsPerSecond, o.Burst, now)
	l.pacers[ClassWrite] = newPacer(o.WritesPerSecond, o.Burst, now)
	for i := range l.pacers {
		restart := cmp.Or(o.RestartPerSecond, DefaultRestartPerSecond)
		l.pacers[i].maxRestartRate, l.pacers[i].restartRate = restart, restart
	}
	return l
}

// admit admits a call now or after a wait of at most maxWait, or refuses it.
func (l *callLimiter) admit(now time.Time, class Class) (admission, error) {
	return l.admitWithin(now, class, l.maxWait)
}

// admitWithin is admit with a different limit on the wait.
func (l *callLimiter) admitWithin(now time.Time, class Class, maxWait time.Duration) (admission, error) {
	probe, held := l.breaker.allow(now)
	if held > 0 {
		return admission{}, &notAdmittedError{cause: ErrOutage, retryAfter: held}
	}
	if probe {
		return admission{probe: true}, nil
	}
	wait, ok := l.pacers[class].reserve(now, maxWait)
	if !ok {
		return admission{}, &notAdmittedError{cause: ErrBudget, retryAfter: wait}
	}
	return admission{wait: wait}, nil
}

// recordResult updates the breaker and the pacers with the result of an admitted call.
func (l *callLimiter) recordResult(now time.Time, class Class, probe bool, r callResult) {
	wasOpen := l.breaker.open()
	recovered := l.breaker.recordResult(now, probe, r, l.rand)
	for i := range l.pacers {
		switch {
		case recovered:
			l.pacers[i].endOutage(now)
		case !wasOpen && l.breaker.open():
			l.pacers[i].beginOutage(now)
		}
	}
	switch r.outcome {
	case outcomeOK:
		l.pacers[class].recordAnswered(now)
	case outcomeRateLimited:
		l.pacers[class].decrease(now, jitter(r.retryAfter, l.rand))
	}
}

// Settings of the breaker.
const (
	// failuresToOpen is the number of consecutive failures that opens the breaker.
	// A single failure may come from one connection that has gone silent.
	failuresToOpen = 3
	baseBackoff    = 200 * time.Millisecond
)

// breaker is a circuit breaker: it holds back calls during an outage, apart from
// single probes. The outage ends with the first successful or rate-limited call.
type breaker struct {
	// maxBackoff bounds the time between two probes; 0 means
	// DefaultMaxProbeInterval.
	maxBackoff time.Duration
	// failures is the number of consecutive failures.
	failures int
	// backoffs is the number of back-offs in this outage.
	backoffs int
	// nextProbe is the earliest time of the next probe.
	nextProbe     time.Time
	probeInFlight bool
}

func (b *breaker) open() bool { return b.failures >= failuresToOpen }

// allow returns whether the call is a probe, or for how long it is held back.
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

// recordResult returns true if the call ends an outage.
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
		// Calls that were in flight when the breaker opened fail one after the
		// other. Counting each would extend the back-off for a single cause.
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

// scheduleProbe sets the time of the next probe, by exponential back-off with jitter
// but not before retryAfter has passed.
func (b *breaker) scheduleProbe(now time.Time, retryAfter time.Duration, random *rand.Rand) {
	maxBackoff := cmp.Or(b.maxBackoff, DefaultMaxProbeInterval)
	delay := maxBackoff
	if b.backoffs < 16 {
		delay = min(maxBackoff, baseBackoff<<b.backoffs)
	}
	b.backoffs++
	half := delay / 2
	delay = half + time.Duration(random.Int64N(int64(half)+1))
	b.nextProbe = now.Add(max(delay, jitter(retryAfter, random)))
}

// jitter returns d extended by a random time of up to half of d. It never shortens a
// wait that the platform requires.
func jitter(d time.Duration, random *rand.Rand) time.Duration {
	return d + time.Duration(random.Int64N(int64(d)/2+1))
}
