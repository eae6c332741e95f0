package execute

import (
	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// stageKey returns the key of the learned times of stage i for this job's size.
func (r *jobRun) stageKey(i int) deadline.StageKey {
	return deadline.StageKey{
		Pipeline: r.job.Pipeline.Key,
		Stage:    r.job.Pipeline.Stages[i].Name,
		Size:     deadline.SizeBucket(r.size(i)),
	}
}

// size returns the work of stage i in tokens: the prompt's tokens and those to generate.
func (r *jobRun) size(i int) int {
	total := r.maxTokens(i)
	if total == 0 {
		return 0
	}
	for _, part := range r.job.Prefix {
		total += part.Tokens
	}
	return total
}

// maxTokens returns how many tokens stage i may generate: the lower of the caller's limit and
// the stage's own.
func (r *jobRun) maxTokens(i int) int {
	limit := r.job.Pipeline.Stages[i].MaxTokens
	if limit == 0 || r.job.MaxTokens == 0 {
		return limit
	}
	return min(limit, r.job.MaxTokens)
}

// estimate returns the learned time of stage i and its expected wait at the gate.
func (r *jobRun) estimate(i int) deadline.RemainingStage {
	stage := &r.job.Pipeline.Stages[i]
	p50, p95 := r.opts.Times.Estimate(r.stageKey(i), stage.ExpectedDuration)
	wait := r.opts.Gate.Wait(stage.Pool, r.rank)
	return deadline.RemainingStage{Stage: i, After: stage.After, P50: p50, P95: p95, Wait: wait}
}

// gateRank returns the position of a tier among the tiers in force. Gates order by it instead
// of the rank in the tier's record: records may have ranks such as 10, 20 and 30, but a gate
// has only eight ranks.
func (e *Executor) gateRank(t *catalog.Tier) int {
	snapshot := e.opts.Config()
	if snapshot == nil {
		return t.Rank
	}
	ranks := make([]int, 0, len(snapshot.Tiers))
	for _, other := range snapshot.Tiers {
		ranks = append(ranks, other.Rank)
	}
	if len(ranks) == 0 {
		return t.Rank
	}
	return tiers.RankIndex(ranks, t.Rank)
}

// attainmentFirst reports whether the pool's objective puts meeting deadlines before the cost
// of the work. Only then is a hedge worth its cost.
func (r *jobRun) attainmentFirst(pool string) bool {
	snapshot := r.opts.Config()
	if snapshot == nil {
		return false
	}
	p, ok := snapshot.Pool(pool)
	return ok && p.Objective == catalog.ObjectiveAttainment
}
