package serve

import (
	"github.com/ivyhollow/ivyhollow/protocol/callerapi"
	"github.com/ivyhollow/ivyhollow/state/requests"
)

// statusView converts a stored status into the message for callers.
func statusView(s *requests.Status) *callerapi.RequestStatus {
	view := &callerapi.RequestStatus{
		RequestID:     s.ID,
		Pipeline:      s.Pipeline,
		SchemaVersion: s.SchemaVersion,
		Account:       s.Account,
		Tier:          s.Tier,
		State:         s.State.String(),
		Outcome:       callerapi.Outcome(s.Outcome.String()),
		DeadlineMS:    s.Deadline.Milliseconds(),
		ElapsedMS:     s.Elapsed.Milliseconds(),
		Stages:        make([]callerapi.StageStatus, len(s.Stages)),
	}
	for i, name := range s.Stages {
		view.Stages[i] = callerapi.StageStatus{Stage: name, Attempts: []callerapi.AttemptStatus{}}
	}
	for i := range s.Attempts {
		stage := &view.Stages[s.Attempts[i].Stage]
		stage.Attempts = append(stage.Attempts, attemptStatusView(&s.Attempts[i]))
	}
	return view
}

func attemptStatusView(a *requests.Attempt) callerapi.AttemptStatus {
	return callerapi.AttemptStatus{
		AttemptID:     a.ID,
		Target:        a.Target,
		Result:        a.Result.String(),
		ElapsedMS:     a.Elapsed.Milliseconds(),
		WorkMS:        a.Work.Milliseconds(),
		Tokens:        a.Tokens,
		PrefillTokens: a.PrefillTokens,
		Error:         a.Error,
	}
}

func statusOutcome(o callerapi.Outcome) requests.Outcome {
	switch o {
	case callerapi.OutcomeNotRun:
		return requests.OutcomeNotRun
	case callerapi.OutcomeRan:
		return requests.OutcomeRan
	default:
		return requests.OutcomeUnknown
	}
}
