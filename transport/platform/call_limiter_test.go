package platform

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0)) }

// TestBreaker reports a sequence of outcomes and checks after each whether the next call
// is allowed ("go"), held back ("held") or a probe ("probe"). Before a result that begins
// with "+", 10 s pass, which is longer than any back-off.
func TestBreaker(t *testing.T) {
	ok, failed, neutral := callResult{outcome: outcomeOK}, callResult{outcome: outcomeFailed}, callResult{outcome: outcomeNeutral}
	type step struct {
		r    callResult
		want string
	}
	for name, steps := range map[string][]step{
		"one silent connection is no outage": {{failed, "go"}, {failed, "go"}, {ok, "go"}, {failed, "go"}},
		"three failures in a row are one":    {{failed, "go"}, {failed, "go"}, {failed, "held"}, {failed, "held"}},
		"one probe at a time":                {{failed, "go"}, {failed, "go"}, {failed, "+probe"}, {failed, "held"}},
		"a late success ends it":             {{failed, "go"}, {failed, "go"}, {failed, "held"}, {ok, "go"}},
		"being limited isn't being down":     {{failed, "go"}, {failed, "go"}, {callResult{outcome: outcomeRateLimited}, "go"}, {failed, "go"}},
		"callers that give up don't count":   {{neutral, "go"}, {neutral, "go"}, {neutral, "go"}, {neutral, "go"}},
	} {
		t.Run(name, func(t *testing.T) {
			var b breaker
			now := epoch
			for i, s := range steps {
				b.recordResult(now, false, s.r, testRand(1))
				if s.want[0] == '+' {
					now = now.Add(10 * time.Second)
					s.want = s.want[1:]
				}
				probe, held := b.allow(now)
				require.Equal(t, s.want, map[bool]string{true: "probe", false: map[bool]string{true: "held", false: "go"}[held > 0]}[probe], "step %d", i)
			}
		})
	}
}

// TestAbandonedProbe lets the caller of the probe give up. The next call must be a probe
// instead, or the process would never recover from the outage.
func TestAbandonedProbe(t *testing.T) {
	var b breaker
	for range failuresToOpen {
		b.recordResult(epoch, false, callResult{outcome: outcomeFailed}, testRand(1))
	}
	now := epoch.Add(time.Minute)
	probe, _ := b.allow(now)
	require.True(t, probe)
	b.recordResult(now, true, callResult{outcome: outcomeNeutral}, testRand(1))
	probe, _ = b.allow(now)
	require.True(t, probe)
}

// TestFailuresOfConcurrentCallsBackOffOnce lets many calls that were in flight when the
// platform failed fail one after the other. They have one cause: if each one extended
// the back-off, a short failure under load would hold back calls for seconds.
func TestFailuresOfConcurrentCallsBackOffOnce(t *testing.T) {
	var b breaker
	for range 50 {
		b.recordResult(epoch, false, callResult{outcome: outcomeFailed}, testRand(1))
	}
	probe, _ := b.allow(epoch.Add(baseBackoff))
	require.True(t, probe)
}

// TestBurstIsAdmittedWithinMaxWait gives an instance that has just started, or was idle,
// a second's worth of claims at once. All must be admitted, or their requests would be
// refused although the platform is healthy.
func TestBurstIsAdmittedWithinMaxWait(t *testing.T) {
	p := newPacer(DefaultWritesPerSecond, DefaultBurst, epoch)
	for _, now := range []time.Time{epoch, epoch.Add(time.Hour)} {
		for range DefaultWritesPerSecond {
			_, ok := p.reserve(now, DefaultMaxWait)
			require.True(t, ok)
		}
	}
}

// TestPacerBound checks that under any load and any responses, no more calls are sent in
// a second than the maximum rate and one burst, and no admitted call waits longer than
// MaxWait.
func TestPacerBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const full, burst, maxWait = 50, 10, time.Second
		p := newPacer(full, burst, epoch)
		now := epoch
		perSecond := map[int64]int{}
		for range rapid.IntRange(1, 400).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
			wait, ok := p.reserve(now, maxWait)
			if ok {
				require.LessOrEqual(t, wait, maxWait)
				perSecond[now.Add(wait).Unix()]++
			}
			if rapid.IntRange(0, 20).Draw(t, "limited") == 0 {
				p.decrease(now, 0)
			}
		}
		for _, n := range perSecond {
			require.LessOrEqual(t, n, full+burst+1)
		}
	})
}

// fleet simulates instances that call a platform with a rate limit. Each has a backlog
// of calls that it tries to send at every tick.
type fleet struct {
	limiters      []*callLimiter // nil: each instance sends its whole backlog every 100 ms
	backlog       []float64
	due           [horizon][]int  // calls due, by tick (a ring) and instance
	probes        [horizon][]bool // whether the first of these calls is a probe
	platformLimit *rate.Limiter
}

const (
	tick       = 10 * time.Millisecond
	window     = 10  // ticks
	horizon    = 256 // ticks, longer than MaxWait
	readLimit  = 2000
	fullRate   = 500  // far above each instance's share
	outageFrom = 1500 // ticks
	outageTo   = 3000
	fleetEnd   = 7000
	maxBacklog = 30
)

type recovery struct {
	peak    float64 // calls in the busiest window after the outage, as a share of the limit
	limited float64 // share of calls with a 429 after the outage
	served  float64 // successful calls per second from 10 s after the outage on
}

func newFleet(n int, limited bool) *fleet {
	f := &fleet{backlog: make([]float64, n), platformLimit: rate.NewLimiter(readLimit, readLimit/10)}
	for i := range horizon {
		f.due[i], f.probes[i] = make([]int, n), make([]bool, n)
	}
	for i := range n {
		if limited {
			o := BudgetOptions{ReadsPerSecond: fullRate, WritesPerSecond: 1, Burst: DefaultBurst, MaxWait: DefaultMaxWait, Rand: testRand(uint64(i))}
			f.limiters = append(f.limiters, newCallLimiter(o, epoch))
		}
	}
	return f
}

func (f *fleet) run(demand float64) recovery {
	var out recovery
	var sent, refused, inWindow int
	for now := range fleetEnd {
		at := epoch.Add(time.Duration(now) * tick)
		if now%window == 0 {
			inWindow = 0
		}
		for i := range f.backlog {
			f.backlog[i] = min(maxBacklog, f.backlog[i]+demand*tick.Seconds())
			f.admit(i, now, at)
			for ; f.due[now%horizon][i] > 0; f.due[now%horizon][i]-- {
				r := f.call(i, now, at)
				if r.outcome == outcomeOK && now >= outageTo+1000 {
					out.served += 1 / (float64(fleetEnd-outageTo-1000) * tick.Seconds())
				}
				if now >= outageTo {
					sent++
					inWindow++
					refused += map[outcome]int{outcomeRateLimited: 1}[r.outcome]
				}
			}
		}
		out.peak = max(out.peak, float64(inWindow)/(readLimit*window*tick.Seconds()))
	}
	out.limited = float64(refused) / float64(sent)
	return out
}

func (f *fleet) admit(i, now int, at time.Time) {
	for f.backlog[i] >= 1 {
		then := now
		if f.limiters == nil {
			if (now+i)%window != 0 {
				return
			}
		} else {
			a, err := f.limiters[i].admit(at, ClassRead)
			if err != nil {
				return
			}
			then += int((a.wait + tick - 1) / tick)
			f.probes[then%horizon][i] = a.probe
		}
		f.backlog[i]--
		f.due[then%horizon][i]++
	}
}

func (f *fleet) call(i, now int, at time.Time) callResult {
	r := callResult{outcome: outcomeOK}
	if now >= outageFrom && now < outageTo {
		r.outcome = outcomeFailed
	} else if !f.platformLimit.AllowN(at, 1) {
		r = callResult{outcome: outcomeRateLimited, retryAfter: time.Second}
	}
	if r.outcome != outcomeOK {
		f.backlog[i]++
	}
	if f.limiters != nil {
		f.limiters[i].recordResult(at, ClassRead, f.probes[now%horizon][i], r)
		f.probes[now%horizon][i] = false
	}
	return r
}

// TestRecoveryDoesNotOverloadThePlatform ends an outage of 15 s while every instance has
// a full backlog. Without a limiter they would all send it repeatedly, and most calls
// would get a 429. With the limiter, the platform must not be overloaded, and the
// waiting calls must succeed.
func TestRecoveryDoesNotOverloadThePlatform(t *testing.T) {
	for name, c := range map[string]struct {
		n      int
		demand float64 // calls a second of each instance
		limits recovery
	}{
		"8 instances":                  {8, 100, recovery{0.75, 0, 790}},
		"8 instances over the limit":   {8, 400, recovery{1.15, 0.01, 1840}},
		"440 instances":                {440, 3, recovery{1.25, 0.01, 1250}},
		"440 instances over the limit": {440, 20, recovery{1.35, 0.05, 1900}},
	} {
		t.Run(name, func(t *testing.T) {
			unlimited := newFleet(c.n, false).run(c.demand)
			limited := newFleet(c.n, true).run(c.demand)
			t.Logf(name+" unlimited %+v limited %+v", unlimited, limited)
			require.LessOrEqual(t, limited.peak, c.limits.peak)
			require.LessOrEqual(t, limited.limited, c.limits.limited)
			require.GreaterOrEqual(t, limited.served, c.limits.served)
		})
	}
}
