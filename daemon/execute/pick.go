package execute

import "github.com/ivyhollow/ivyhollow/coordination/routing"

// pick chooses the target of a first attempt or of a retry. If there is no untried target, it
// chooses among the tried ones: a target that failed once is better than none.
func (s *stageRun) pick() (routing.Choice, *Failure) {
	choice, failure := s.pickUntried()
	if failure == nil || len(s.tried) == 0 {
		return choice, failure
	}
	tried := s.tried
	s.tried = nil
	choice, failure = s.pickUntried()
	s.tried = tried
	return choice, failure
}

// pickUntried chooses a target to which the stage has not been sent yet.
func (s *stageRun) pickUntried() (routing.Choice, *Failure) {
	query := routing.Query{
		Pool:    s.stage.Pool,
		Model:   s.stage.Model,
		Adapter: s.stage.Adapter,
		Exclude: s.tried,
		Rank:    s.job.Tier.Rank,
	}
	for _, part := range s.prefix() {
		query.Prefix = append(query.Prefix, routing.PrefixPart{ID: part.ID, Tokens: part.Tokens})
	}
	choice, err := s.opts.Router.Pick(s.opts.Now(), s.rng, query)
	if err != nil {
		return choice, s.newFailure(ReasonNoTarget, "", err)
	}
	return choice, nil
}

// prefix returns the shared prefix of the caller's prompt, which only stages that generate
// tokens read.
func (s *stageRun) prefix() []Part {
	if s.maxTokens(s.index) == 0 {
		return nil
	}
	return s.job.Prefix
}
