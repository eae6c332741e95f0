package claims

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/claim"
)

// claimKey runs the state machine of one attempt until it decides.
func (s *Service) claimKey(ctx context.Context, id claim.ID, body claim.BodyDigest, attempt uint64) BeginResult {
	token := claim.Token{Owner: s.opts.Owner, Attempt: attempt}
	now := s.opts.Now()
	deadline := now.Add(s.opts.MaxWait)
	if end, ok := ctx.Deadline(); ok {
		deadline = now.Add(time.Until(end))
	}
	call := claim.NewCall(token, body, now, deadline, s.opts.Limits)
	action := call.Start()
	for {
		decided, ok := action.(claim.Decide)
		if ok {
			return s.conclude(id, attempt, call, decided.Decision)
		}
		action = call.Step(s.opts.Now(), s.perform(ctx, id, action))
	}
}

// conclude converts a decision into a result and closes the attempt, unless the attempt
// holds the claim.
func (s *Service) conclude(id claim.ID, attempt uint64, call *claim.Call, d claim.Decision) BeginResult {
	if d.Verdict == Run {
		t := &Ticket{service: s, id: id, attempt: attempt, record: call.Record(), revision: d.Revision}
		return BeginResult{Verdict: Run, Ticket: t, Reason: d.Reason}
	}
	s.tracker.abandon(id, attempt, call.MayBeStored(), s.opts.Now())
	if call.MayBeStored() {
		s.release(id, call.Record(), 0)
	}
	if d.Verdict == NotRun {
		return s.notRun(d)
	}
	return BeginResult{Verdict: d.Verdict, Result: d.Result, Reason: d.Reason}
}

// perform executes one action and returns the event that it led to.
func (s *Service) perform(ctx context.Context, id claim.ID, action claim.Action) claim.Event {
	switch a := action.(type) {
	case claim.Create:
		ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
		defer cancel()
		return s.opts.Storage.Create(ctx, id, a.Record)
	case claim.Read:
		ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
		defer cancel()
		return s.opts.Storage.Get(ctx, id)
	case claim.TakeOver:
		ctx, cancel := context.WithTimeout(ctx, s.opts.StoreTimeout)
		defer cancel()
		return s.opts.Storage.Replace(ctx, id, a.Revision, a.Record)
	case claim.RequestStatus:
		return s.requestStatus(ctx, claim.StatusRequest{ID: id, Token: a.Token})
	case claim.Wait:
		return s.wait(ctx, a.Until)
	default:
		panic("claims: unknown action")
	}
}

func (s *Service) requestStatus(ctx context.Context, q claim.StatusRequest) claim.Event {
	if q.Token.Owner == s.opts.Owner {
		return claim.PeerResponded{Response: s.HandleStatusRequest(ctx, q)}
	}
	ctx, cancel := context.WithTimeout(ctx, s.opts.StatusTimeout)
	defer cancel()
	response, err := s.opts.StatusClient.ClaimStatus(ctx, q.Token.Owner, q)
	if err != nil {
		return claim.PeerUnreachable{}
	}
	return claim.PeerResponded{Response: response}
}

func (s *Service) wait(ctx context.Context, until time.Time) claim.Event {
	timer := time.NewTimer(until.Sub(s.opts.Now()))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return claim.Waited{}
}
