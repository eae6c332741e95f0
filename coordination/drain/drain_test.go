package drain

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

const grace = 7400 * time.Millisecond

// A stream arrived on a kept connection 6.7 s after the start of a stop and was cut 0.7 s later
// by the end of the process. A request that can't finish is refused, so that its caller gets a
// complete response elsewhere; one that can is served to the end.
func TestRequestsDuringStop(t *testing.T) {
	window := Window{Start: start, BalancerNoticed: start.Add(2500 * time.Millisecond), End: start.Add(grace)}
	cases := map[string]struct {
		streaming                bool
		expected, timeout, after time.Duration
		accepted                 bool
	}{
		"stream at once":        {true, DefaultDuration, 6 * time.Second, 0, true},
		"stream before notice":  {true, DefaultDuration, 20 * time.Second, 2700 * time.Millisecond, true},
		"stream after notice":   {true, DefaultDuration, 6 * time.Second, 2900 * time.Millisecond, false},
		"stream late":           {true, DefaultDuration, 6 * time.Second, 6700 * time.Millisecond, false},
		"short stream late":     {true, 100 * time.Millisecond, 6 * time.Second, 6700 * time.Millisecond, false},
		"long streams":          {true, 6 * time.Second, 20 * time.Second, 1500 * time.Millisecond, false},
		"longer than the grace": {true, 20 * time.Second, 60 * time.Second, 100 * time.Millisecond, false},
		"plain late, short":     {false, DefaultDuration, 800 * time.Millisecond, 6 * time.Second, true},
		"plain beyond the end":  {false, DefaultDuration, 800 * time.Millisecond, 7 * time.Second, false},
		"plain, long limit":     {false, time.Second, 30 * time.Second, time.Second, true},
		"the same, late":        {false, time.Second, 30 * time.Second, 2900 * time.Millisecond, false},
		"plain, often long":     {false, 7 * time.Second, 30 * time.Second, time.Second, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			arrived := start.Add(c.after)
			r := Request{Arrived: arrived, Deadline: arrived.Add(c.timeout), Streaming: c.streaming, Expected: c.expected}
			require.Equal(t, c.accepted, window.Accepts(r))
		})
	}
}

// A balancer checks rarely and goes on sending for five seconds. Its streams are accepted until
// then, since the callers of refused ones would be sent here again.
func TestRequestsAreAcceptedUntilBalancerNotices(t *testing.T) {
	window := Window{Start: start, BalancerNoticed: start.Add(5 * time.Second), End: start.Add(30 * time.Second)}
	for after, accepted := range map[time.Duration]bool{4 * time.Second: true, 5200 * time.Millisecond: true, 5400 * time.Millisecond: false} {
		arrived := start.Add(after)
		r := Request{Arrived: arrived, Deadline: arrived.Add(time.Minute), Streaming: true, Expected: time.Second}
		require.Equal(t, accepted, window.Accepts(r), after)
	}
}

// A request waits for its stages when the stop begins. It must be refused while its caller can
// still go elsewhere, and not after the last time at which its response could end within the
// grace period.
func TestWaitingRequestsAreRefusedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := Window{Start: start, End: start.Add(time.Duration(rapid.Int64Range(1, int64(20*time.Second)).Draw(t, "grace")))}
		r := Request{
			Arrived:   start.Add(-time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "age"))),
			Streaming: rapid.Bool().Draw(t, "streams"),
			Expected:  time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "expected")),
			Deadline:  start.Add(time.Duration(rapid.Int64Range(0, int64(30*time.Second)).Draw(t, "left"))),
		}
		by := window.SendDeadline(r)
		require.False(t, by.After(window.End))
		require.False(t, by.Before(window.Start))
		if r.Streaming && r.Expected <= window.End.Sub(window.Start) {
			require.Equal(t, window.End, by.Add(r.Expected))
		}
	})
}

// Estimates follow the observed durations and cover most of them: at least four in five, of
// streams of three seconds on average, of which one in five takes twice as long.
func TestEstimateCoversMostResponses(t *testing.T) {
	var e DurationEstimate
	require.Equal(t, DefaultDuration, e.Value())
	e.Observe(2250 * time.Millisecond)
	covered := 0
	for i := range 100 {
		duration := 2250 * time.Millisecond
		if i%5 == 4 {
			duration = 6 * time.Second
		}
		if duration <= e.Value() {
			covered++
		}
		e.Observe(duration)
	}
	require.GreaterOrEqual(t, covered, 80)
	for range 50 {
		e.Observe(100 * time.Millisecond)
	}
	require.Less(t, e.Value(), 200*time.Millisecond)
}
