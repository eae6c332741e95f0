package deadline

import "time"

// RemainingStage describes one stage that has not finished.
type RemainingStage struct {
	// Stage is the index of the stage in its pipeline.
	Stage int
	// After lists the indexes of the stages whose outputs it needs; those that aren't
	// among the remaining stages have finished.
	After []int
	// P50 and P95 are the median and the 95th percentile of its run time, without the
	// wait.
	P50, P95 time.Duration
	// Wait is the expected time in a queue before it starts.
	Wait time.Duration
	// Elapsed is the time that it has been running.
	Elapsed time.Duration
}

// StageBudget is one stage's part of the time remaining until a deadline.
type StageBudget struct {
	Stage int
	// Budget is the time that the stage may take, including its wait.
	Budget time.Duration
	// Due is when the stage has to have finished.
	Due time.Time
	// LatestStart is the latest time at which the stage may start and still be expected
	// to meet the deadline.
	LatestStart time.Time
}

// Plan divides the time until deadline among the remaining stages, which are sorted
// topologically: each comes after those it needs. A stage's weight is its wait plus the 95th
// percentile of its remaining run time. Its budget is a fraction of the time until deadline:
// its weight divided by the weight of the longest path through it. The budgets on a path
// therefore never exceed the time until deadline together, and a stage outside the critical
// path gets a part of the slack of its own longest path. Plan is called again after each
// stage.
func Plan(now, deadline time.Time, stages []RemainingStage) []StageBudget {
	chains := longestChainsFrom(stages)
	before := longestPathsBefore(stages)
	from := make([]time.Duration, len(stages))
	remaining := max(deadline.Sub(now), 0)
	budgets := make([]StageBudget, len(stages))
	for i := len(stages) - 1; i >= 0; i-- {
		from[i] += stageWeight(&stages[i])
		forEachPredecessor(stages, i, func(j int) { from[j] = max(from[j], from[i]) })
	}
	for i := range stages {
		start := now
		forEachPredecessor(stages, i, func(j int) { start = later(start, budgets[j].Due) })
		fraction := float64(stageWeight(&stages[i])) / float64(before[i]+from[i])
		budget := time.Duration(fraction * float64(remaining))
		budgets[i] = StageBudget{
			Stage:       stages[i].Stage,
			Budget:      budget,
			Due:         start.Add(budget),
			LatestStart: latestStart(now, deadline, chains[i], start.Equal(now)),
		}
	}
	return budgets
}

// LatestStart returns the latest time at which the first of the remaining stages may start
// and still be expected to meet the deadline.
func LatestStart(now, deadline time.Time, stages []RemainingStage) time.Time {
	return latestStart(now, deadline, longest(longestChainsFrom(stages)), true)
}

// latestStart returns the latest time from which a chain meets the deadline with a
// probability of 95%. If a lower probability were enough, a queue under overload would
// mostly run work that just misses its deadline.
//
// For work that is ready now and has a confidence of MinConfidence or more, the result is
// never before now: if such work isn't queued, no other work needs the slot. Work with less
// confidence gets a time in the past, so it never starts.
func latestStart(now, deadline time.Time, chain chainTime, ready bool) time.Time {
	chain.wait = 0
	safe := deadline.Add(-chain.p95())
	if ready && chain.probabilityWithin(deadline.Sub(now)) >= MinConfidence {
		return later(safe, now)
	}
	return safe
}

// MinConfidence is the confidence below which work is refused. It is low, so that work is
// refused only if it is almost certain to miss its deadline: refusing a request that would
// have met it costs as much as missing it.
const MinConfidence = 0.05

// Confidence returns the probability, 0 to 1, that the remaining stages end within
// remaining. Waits are treated as constants.
func Confidence(remaining time.Duration, stages []RemainingStage) float64 {
	if len(stages) == 0 {
		return 1
	}
	return longest(longestChainsFrom(stages)).probabilityWithin(remaining)
}

// MeanTime returns the mean time of the remaining stages, including waits.
func MeanTime(stages []RemainingStage) time.Duration {
	return time.Duration(longest(longestChainsFrom(stages)).total())
}

// longestPathsBefore returns, for each stage, the weight of the longest path to it, without
// the stage itself.
func longestPathsBefore(stages []RemainingStage) []time.Duration {
	out := make([]time.Duration, len(stages))
	for i := range stages {
		forEachPredecessor(stages, i, func(j int) {
			out[i] = max(out[i], out[j]+stageWeight(&stages[j]))
		})
	}
	return out
}

// stageWeight returns a stage's weight in the division of the remaining time: the 95th
// percentile of its remaining time, and its wait.
func stageWeight(r *RemainingStage) time.Duration {
	least := time.Duration(minRemainingFraction * float64(r.P50))
	return r.Wait + max(max(r.P95, r.P50)-r.Elapsed, least, 1)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
