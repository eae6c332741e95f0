package execute

import (
	"github.com/ivyhollow/ivyhollow/coordination/deadline"
	"github.com/ivyhollow/ivyhollow/coordination/tiers"
	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// stageKey names the learned times of stage i for this job's size.
func (r *jobRun) stageKey(i int) deadline.StageKey {
	return deadline.StageKey{
		Pipeline: r.job.Pipeline.Key,
		Stage:    r.job.Pipeline.Stages[i].Name,
		Size:     deadline.SizeBucket(r.size(i)),
	}
}

// size is the work of stage i in tokens: those to read and those to generate.
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

// maxTokens bounds what stage i may generate: the caller's wish within the
// stage's own bound.
func (r *jobRun) maxTokens(i int) int {
	own := r.job.Pipeline.Stages[i].MaxTokens
	if own == 0 || r.job.MaxTokens == 0 {
		return own
	}
	return min(own, r.job.MaxTokens)
}

func (r *jobRun) estimate(i int) deadline.RemainingStage {
	stage := &r.job.Pipeline.Stages[i]
	p50, p95 := r.opts.Times.Estimate(r.stageKey(i), stage.ExpectedDuration)
	wait := r.opts.Gate.Wait(stage.Pool, r.rank)
	return deadline.RemainingStage{Stage: i, After: stage.After, P50: p50, P95: p95, Wait: wait}
}

// place returns a tier's place among the tiers in force. Gates order by it:
// records may have ranks such as 10, 20 and 30, of which a gate keeps eight.
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

// attainmentFirst tells whether the stage's pool weighs answers in time more
// than the work they cost: only then is a hedge worth its price.
func (r *jobRun) attainmentFirst(pool string) bool {
	snapshot := r.opts.Config()
	if snapshot == nil {
		return false
	}
	p, ok := snapshot.Pool(pool)
	return ok && p.Objective == catalog.ObjectiveAttainment
}
