package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/ivyhollow/ivyhollow/coordination/admission"
	"github.com/ivyhollow/ivyhollow/coordination/deadline"
)

func stages(wait time.Duration, p50s ...time.Duration) []deadline.RemainingStage {
	var out []deadline.RemainingStage
	for i, p50 := range p50s {
		r := deadline.RemainingStage{Stage: i, P50: p50, P95: 2 * p50}
		if i == 0 {
			r.Wait = wait
		} else {
			r.After = []int{i - 1}
		}
		out = append(out, r)
	}
	return out
}

// A request that can't be answered in time must be refused at once, with the cause
// and a time to come back that fits it; one with some hope must not.
func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		left, wait time.Duration
		admit      bool
		reason     admission.Reason
		least      time.Duration
		most       time.Duration
	}{
		"room to spare":         {left: 1000 * ms, admit: true},
		"some hope":             {left: 150 * ms, admit: true},
		"queue within reach":    {left: 1000 * ms, wait: 700 * ms, admit: true},
		"queue too long":        {left: 1000 * ms, wait: 5 * time.Second, reason: admission.ReasonQueueTooLong, least: 2100 * ms, most: 6600 * ms},
		"queue endless":         {left: 1000 * ms, wait: time.Hour, reason: admission.ReasonQueueTooLong, least: 15 * time.Second, most: 45 * time.Second},
		"stages alone too slow": {left: 50 * ms, reason: admission.ReasonDeadlineTooShort, least: 500 * ms, most: 1500 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := admission.New(admission.Config{})
			rng := rand.New(rand.NewPCG(1, 2))
			slow := stages(0, time.Hour)
			require.True(t, c.Decide(epoch, epoch.Add(time.Second), slow, rng).Probe)
			d := c.Decide(epoch, epoch.Add(tt.left), stages(tt.wait, 100*ms, 100*ms), rng)
			require.Equal(t, tt.admit, d.Admit)
			require.Equal(t, tt.reason, d.Reason)
			require.GreaterOrEqual(t, d.RetryAfter, tt.least)
			require.LessOrEqual(t, d.RetryAfter, tt.most)
		})
	}
}

// After an overload every request is refused although the targets idle: the
// stage times that were learned in it say that none can make it, and as nothing
// runs, nothing better is learned.
func TestProbesEndRefusals(t *testing.T) {
	const usual, slow = 50 * time.Millisecond, 2 * time.Second
	times := deadline.NewTimes(deadline.Config{})
	key := deadline.StageKey{Stage: "s"}
	for i := range 1000 {
		times.Observe(epoch.Add(time.Duration(i-1000)*10*time.Millisecond), key, usual, slow)
	}
	c := admission.New(admission.Config{})
	rng := rand.New(rand.NewPCG(1, 2))
	now, probes := epoch, 0
	for range 10_000 {
		p50, p95 := times.Estimate(key, usual)
		d := c.Decide(now, now.Add(500*time.Millisecond), []deadline.RemainingStage{{P50: p50, P95: p95}}, rng)
		if d.Admit && !d.Probe {
			break
		}
		require.False(t, d.Probe && d.LatestStart.Before(now), "a probe may start")
		now = now.Add(time.Millisecond)
		if d.Probe {
			probes++
			times.Observe(now, key, usual, usual)
			c.ProbeEnded(true)
		}
	}
	t.Logf("admitted again %v after the overload, after %d probes", now.Sub(epoch), probes)
	require.Less(t, now.Sub(epoch), 3*time.Second)

	c.ProbeEnded(false)
	require.False(t, c.Decide(now, now, stages(0, time.Hour), rng).Admit, "a late probe ends the ramp")
}

// Decide never admits without hope, nor refuses what has a good chance.
func TestDecideFollowsConfidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.Int64Range(1, 5000)
		draw := func(name string) time.Duration { return time.Duration(ms.Draw(t, name)) * time.Millisecond }
		c := admission.New(admission.Config{ProbeInterval: time.Hour})
		rng := rand.New(rand.NewPCG(1, 2))
		c.Decide(epoch, epoch, stages(0, time.Hour), rng)
		due := epoch.Add(draw("left"))
		d := c.Decide(epoch, due, stages(draw("wait"), draw("a"), draw("b")), rng)
		require.Equal(t, d.Confidence >= deadline.MinConfidence, d.Admit)
		require.Equal(t, d.Admit, d.RetryAfter == 0)
		require.False(t, d.Admit && d.LatestStart.Before(epoch))
	})
}
