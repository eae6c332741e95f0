package deadline

import "time"

// Remaining is what is known of one stage that has not finished.
type RemainingStage struct {
	// Stage is the index of the stage in its pipeline.
	Stage int
	// After lists the stages whose outputs it needs; those not among the
	// remaining ones count as finished.
	After []int
	// P50 and P95 are quantiles of its time without waiting.
	P50, P95 time.Duration
	// Wait is how long it is expected to queue before it starts.
	Wait time.Duration
	// Elapsed is how long it has been running already.
	Elapsed time.Duration
}

// Share is one stage's part of what is left of a deadline.
type StageBudget struct {
	Stage int
	// Budget is the time the stage may take, waiting included.
	Budget time.Duration
	// Due is when the stage should have finished.
	Due time.Time
	// LatestStart is the last moment at which starting the stage is of use.
	LatestStart time.Time
}

// Plan splits what is left until deadline over the remaining stages, which are
// in an order where each stands behind those it needs. A stage gets what is
// left in proportion to its weight on the longest path through it, so no path's
// shares exceed what is left, and a stage beside the critical path gets the
// slack of its own path. It is called again after each stage.
func Plan(now, deadline time.Time, stages []RemainingStage) []StageBudget {
	chains := longestChainsFrom(stages)
	before := longestPathsBefore(stages)
	from := make([]time.Duration, len(stages))
	left := max(deadline.Sub(now), 0)
	shares := make([]StageBudget, len(stages))
	for i := len(stages) - 1; i >= 0; i-- {
		from[i] += stageWeight(&stages[i])
		forEachPredecessor(stages, i, func(j int) { from[j] = max(from[j], from[i]) })
	}
	for i := range stages {
		start := now
		forEachPredecessor(stages, i, func(j int) { start = later(start, shares[j].Due) })
		part := float64(stageWeight(&stages[i])) / float64(before[i]+from[i])
		budget := time.Duration(part * float64(left))
		shares[i] = StageBudget{
			Stage:       stages[i].Stage,
			Budget:      budget,
			Due:         start.Add(budget),
			LatestStart: latestStart(now, deadline, chains[i], start.Equal(now)),
		}
	}
	return shares
}

// LatestStart returns the last moment at which starting the first of the
// remaining stages is of use.
func LatestStart(now, deadline time.Time, stages []RemainingStage) time.Time {
	return latestStart(now, deadline, longest(longestChainsFrom(stages)), true)
}

// latestStart is the moment from which a chain still ends in time 95 times in
// 100. Later starts are left to work that has more time: a queue that runs each
// item at the last moment of some hope spends an overload on answers that are
// just too late. Work that may start now is not held to that, since when it is
// not in a queue nothing else wants the slot; hopeless work never starts.
func latestStart(now, deadline time.Time, chain chainTime, ready bool) time.Time {
	chain.wait = 0
	safe := deadline.Add(-chain.p95())
	if ready && chain.probabilityWithin(deadline.Sub(now)) >= MinConfidence {
		return later(safe, now)
	}
	return safe
}

// MinConfidence is the least confidence that still counts as "can make it":
// work is refused only when it is almost sure to be late, since a refusal of
// what would have made it costs as much as a late answer.
const MinConfidence = 0.05

// Confidence is the probability, 0 to 1, that the remaining stages end within
// left. Waits count as constants.
func Confidence(left time.Duration, stages []RemainingStage) float64 {
	if len(stages) == 0 {
		return 1
	}
	return longest(longestChainsFrom(stages)).probabilityWithin(left)
}

// Typical is the mean time of the remaining stages, waits included.
func MeanTime(stages []RemainingStage) time.Duration {
	return time.Duration(longest(longestChainsFrom(stages)).total())
}

// heads returns, for each stage, the longest path up to it, without it.
func longestPathsBefore(stages []RemainingStage) []time.Duration {
	out := make([]time.Duration, len(stages))
	for i := range stages {
		forEachPredecessor(stages, i, func(j int) {
			out[i] = max(out[i], out[j]+stageWeight(&stages[j]))
		})
	}
	return out
}

// weight is a stage's claim on what is left: the 95th percentile of what it
// still takes, and its wait.
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
