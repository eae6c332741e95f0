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

// A request that can't meet its deadline must be refused at once, with the cause and a
// matching time to retry. One that has a chance must be admitted.
func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		remaining, wait time.Duration
		admit           bool
		reason          admission.Reason
		least           time.Duration
		most            time.Duration
	}{
		"ample time":      {remaining: 1000 * ms, admit: true},
		"small chance":    {remaining: 150 * ms, admit: true},
		"short queue":     {remaining: 1000 * ms, wait: 700 * ms, admit: true},
		"queue too long":  {remaining: 1000 * ms, wait: 5 * time.Second, reason: admission.ReasonQueueTooLong, least: 2100 * ms, most: 6600 * ms},
		"endless queue":   {remaining: 1000 * ms, wait: time.Hour, reason: admission.ReasonQueueTooLong, least: 15 * time.Second, most: 45 * time.Second},
		"stages too slow": {remaining: 50 * ms, reason: admission.ReasonDeadlineTooShort, least: 500 * ms, most: 1500 * ms},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := admission.New(admission.Config{})
			rng := rand.New(rand.NewPCG(1, 2))
			slow := stages(0, time.Hour)
			require.True(t, c.Decide(epoch, epoch.Add(time.Second), slow, rng).Probe)
			d := c.Decide(epoch, epoch.Add(tt.remaining), stages(tt.wait, 100*ms, 100*ms), rng)
			require.Equal(t, tt.admit, d.Admit)
			require.Equal(t, tt.reason, d.Reason)
			require.GreaterOrEqual(t, d.RetryAfter, tt.least)
			require.LessOrEqual(t, d.RetryAfter, tt.most)
		})
	}
}

// After an overload, all requests are refused although the targets are idle: by the stage
// times learned during the overload none can meet its deadline, and as none runs, the
// times aren't corrected.
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
	require.False(t, c.Decide(now, now, stages(0, time.Hour), rng).Admit, "a probe that misses its deadline ends the ramp")
}

// Apart from probes, Decide admits a request exactly if its confidence is MinConfidence or
// more.
func TestDecideFollowsConfidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.Int64Range(1, 5000)
		draw := func(name string) time.Duration { return time.Duration(ms.Draw(t, name)) * time.Millisecond }
		c := admission.New(admission.Config{ProbeInterval: time.Hour})
		rng := rand.New(rand.NewPCG(1, 2))
		c.Decide(epoch, epoch, stages(0, time.Hour), rng)
		due := epoch.Add(draw("remaining"))
		d := c.Decide(epoch, due, stages(draw("wait"), draw("a"), draw("b")), rng)
		require.Equal(t, d.Confidence >= deadline.MinConfidence, d.Admit)
		require.Equal(t, d.Admit, d.RetryAfter == 0)
		require.False(t, d.Admit && d.LatestStart.Before(epoch))
	})
}
