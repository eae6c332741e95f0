package deadline

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// If the budgets on a path exceeded the remaining time, a request would miss its deadline
// although every stage kept its budget.
func TestPlanStaysWithinDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.Int64Range(1, 2000)
		draw := func(name string) time.Duration { return time.Duration(ms.Draw(t, name)) * time.Millisecond }
		var stages []RemainingStage
		for i := range rapid.IntRange(1, 6).Draw(t, "stages") {
			p50 := draw("p50")
			r := RemainingStage{Stage: i + 1, P50: p50, P95: p50 + draw("tail"), Wait: draw("wait")}
			for j := range i + 1 {
				if rapid.Bool().Draw(t, "after") {
					r.After = append(r.After, j) // 0 has finished already
				}
			}
			stages = append(stages, r)
		}
		remaining := draw("remaining")
		budgets := Plan(epoch, epoch.Add(remaining), stages)
		used := time.Duration(0)
		for i, b := range budgets {
			require.Equal(t, stages[i].Stage, b.Stage)
			require.Positive(t, b.Budget)
			used = max(used, b.Due.Sub(epoch))
			forEachPredecessor(stages, i, func(j int) {
				require.False(t, b.Due.Add(-b.Budget).Before(budgets[j].Due), "starts when its inputs are available")
			})
		}
		require.InDelta(t, float64(remaining), float64(used), float64(len(stages)), "the critical path gets all remaining time")
	})
}

func TestPlanAdaptsToProgress(t *testing.T) {
	const ms = time.Millisecond
	chain := func(from int, p95s ...time.Duration) (out []RemainingStage) {
		for i, p95 := range p95s {
			out = append(out, RemainingStage{Stage: from + i, After: []int{from + i - 1}, P50: p95 / 2, P95: p95})
		}
		return out
	}
	due := epoch.Add(1000 * ms)
	tests := map[string]struct {
		now    time.Time
		stages []RemainingStage
		want   []time.Duration
	}{
		"in proportion":               {epoch, chain(0, 100*ms, 300*ms, 100*ms), []time.Duration{200 * ms, 600 * ms, 200 * ms}},
		"after a slow stage":          {epoch.Add(600 * ms), chain(1, 300*ms, 100*ms), []time.Duration{300 * ms, 100 * ms}},
		"after a fast stage":          {epoch.Add(100 * ms), chain(1, 300*ms, 100*ms), []time.Duration{675 * ms, 225 * ms}},
		"past the deadline":           {due.Add(ms), chain(2, 100*ms), []time.Duration{0}},
		"elapsed time counts":         {epoch, []RemainingStage{{Stage: 0, P50: 100 * ms, P95: 300 * ms, Elapsed: 200 * ms}, {Stage: 1, After: []int{0}, P50: 100 * ms, P95: 300 * ms}}, []time.Duration{250 * ms, 750 * ms}},
		"slack off the critical path": {epoch, []RemainingStage{{Stage: 0, P50: 1, P95: 100 * ms}, {Stage: 1, P50: 1, P95: 400 * ms}, {Stage: 2, After: []int{0, 1}, P50: 1, P95: 100 * ms}}, []time.Duration{500 * ms, 800 * ms, 200 * ms}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for i, b := range Plan(tt.now, due, tt.stages) {
				require.InDelta(t, float64(tt.want[i]), float64(b.Budget), 10, "stage %d", i)
			}
		})
	}
}

// Work that can't meet its deadline must not take a slot from work that can.
func TestLatestStart(t *testing.T) {
	const ms = time.Millisecond
	stages := []RemainingStage{{Stage: 0, P50: 100 * ms, P95: 200 * ms}}
	due := epoch.Add(1000 * ms)
	require.WithinDuration(t, due.Add(-200*ms), LatestStart(epoch, due, stages), ms)
	tight := due.Add(-120 * ms)
	require.Equal(t, tight, LatestStart(tight, due, stages), "no queue, some chance: now or never")
	hopeless := due.Add(-10 * ms)
	require.True(t, LatestStart(hopeless, due, stages).Before(hopeless))
	require.Less(t, Confidence(due.Sub(hopeless), stages), MinConfidence)
	stages[0].Wait = 100 * ms
	require.WithinDuration(t, due.Add(-200*ms), LatestStart(epoch, due, stages), ms, "the wait is not part of the run time")
}

// With a badly calibrated confidence, requests that would meet their deadline are refused
// or those that will miss it are started.
func TestConfidenceIsCalibrated(t *testing.T) {
	const trials = 20_000
	rng := rand.New(rand.NewPCG(1, 2))
	stages := []RemainingStage{
		{Stage: 0, P50: 10 * time.Millisecond, P95: 20 * time.Millisecond},
		{Stage: 1, After: []int{0}, P50: 40 * time.Millisecond, P95: 200 * time.Millisecond},
		{Stage: 2, After: []int{0}, P50: 20 * time.Millisecond, P95: 25 * time.Millisecond},
		{Stage: 3, After: []int{1, 2}, P50: 300 * time.Millisecond, P95: 500 * time.Millisecond, Wait: 50 * time.Millisecond},
	}
	draw := func(r RemainingStage) float64 {
		sigma := math.Log(float64(r.P95)/float64(r.P50)) / z95
		return float64(r.P50)*math.Exp(sigma*rng.NormFloat64()) + float64(r.Wait)
	}
	for _, remaining := range []time.Duration{300, 400, 450, 500, 600, 800} {
		remaining *= time.Millisecond
		met := 0
		for range trials {
			first := draw(stages[0])
			total := first + max(draw(stages[1]), draw(stages[2])) + draw(stages[3])
			if total <= float64(remaining) {
				met++
			}
		}
		measured, predicted := float64(met)/trials, Confidence(remaining, stages)
		t.Logf("%v remaining: predicted %.3f, measured %.3f", remaining, predicted, measured)
		require.InDelta(t, measured, predicted, 0.05)
	}
}

func TestTimesLearn(t *testing.T) {
	const expected, real = 100 * time.Millisecond, 30 * time.Millisecond
	key := StageKey{Stage: "encode", Size: SizeBucket(500)}
	rng := rand.New(rand.NewPCG(1, 2))
	sample := func(median time.Duration) time.Duration {
		return time.Duration(float64(median) * math.Exp(0.5*rng.NormFloat64()))
	}
	feed := func(times *Times, from time.Time, n int, every, median time.Duration) time.Time {
		for range n {
			from = from.Add(every)
			times.Observe(from, key, expected, sample(median))
		}
		return from
	}
	near := func(want, got time.Duration, tolerance float64) {
		t.Helper()
		require.InEpsilon(t, float64(want), float64(got), tolerance)
	}
	times := NewTimes(Config{})
	p50, p95 := times.Estimate(key, expected)
	near(expected, p50, 0.01)
	near(150*time.Millisecond, p95, 0.01)

	now := feed(times, epoch, 2000, 10*time.Millisecond, real)
	p50, p95 = times.Estimate(key, expected)
	near(real, p50, 0.15)
	near(time.Duration(float64(real)*math.Exp(0.5*z95)), p95, 0.2)
	near(time.Duration(float64(real)*math.Exp(0.5*2.326)), times.Quantile(key, expected, 0.99), 0.25)

	now = feed(times, now, 2000, 10*time.Millisecond, 4*real)
	p50, _ = times.Estimate(key, expected)
	near(4*real, p50, 0.2)

	// At one observation per hour there is still a distribution, of the last dozens.
	now = feed(times, now, 200, time.Hour, real)
	p50, p95 = times.Estimate(key, expected)
	near(real, p50, 0.5)
	require.Greater(t, p95, p50*5/4)

	require.NotPanics(t, func() { times.Observe(now.Add(-time.Hour), key, expected, -1) })
}

// If its weights overflowed, a histogram would return the largest time from then on.
func TestTimesNeverOverflow(t *testing.T) {
	times := NewTimes(Config{HalfLife: time.Second})
	now := epoch
	for range 5000 {
		now = now.Add(time.Second)
		times.Observe(now, StageKey{}, 0, 10*time.Millisecond)
	}
	p50, _ := times.Estimate(StageKey{}, 0)
	require.InEpsilon(t, float64(10*time.Millisecond), float64(p50), 0.15)
}

// Pipelines that are renamed every day leave their learned times behind. These must be
// evicted, or memory use would grow without bound.
func TestTimesAreBounded(t *testing.T) {
	times := NewTimes(Config{Capacity: 64})
	for i := range 10_000 {
		times.Observe(epoch, StageKey{Stage: string(rune(i))}, 0, time.Millisecond)
	}
	require.LessOrEqual(t, times.table.Len(), 64)
}

func TestSizeBucket(t *testing.T) {
	for tokens, want := range map[int]uint8{-1: 0, 0: 0, 1: 1, 2: 1, 3: 1, 4: 2, 15: 2, 16: 3, 4095: 6, 4096: 7} {
		require.Equal(t, want, SizeBucket(tokens), "%d tokens", tokens)
	}
}

func fourStages() []RemainingStage {
	var out []RemainingStage
	for i := range 4 {
		out = append(out, RemainingStage{Stage: i, P50: time.Second, P95: 2 * time.Second})
		if i > 0 {
			out[i].After = []int{i - 1}
		}
	}
	return out
}

func BenchmarkPlan(b *testing.B) {
	stages := fourStages()
	b.ReportAllocs()
	for b.Loop() {
		Plan(epoch, epoch.Add(time.Minute), stages)
	}
}

func BenchmarkConfidence(b *testing.B) {
	stages := fourStages()
	b.ReportAllocs()
	for b.Loop() {
		Confidence(time.Minute, stages)
	}
}

func BenchmarkObserve(b *testing.B) {
	times := NewTimes(Config{})
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		times.Observe(now, StageKey{Stage: "encode"}, time.Second, time.Second)
	}
}

func BenchmarkEstimate(b *testing.B) {
	times := NewTimes(Config{})
	times.Observe(epoch, StageKey{Stage: "encode"}, time.Second, time.Second)
	b.ReportAllocs()
	for b.Loop() {
		times.Estimate(StageKey{Stage: "encode"}, time.Second)
	}
}
