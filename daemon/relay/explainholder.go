package relay

import (
	"context"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/daemon/stages"
	"github.com/ivyhollow/ivyhollow/protocol/explainapi"
)

// askHolder explains what the holder of the stage queue decides: the stages, and the target if the holder
// knows what targets have cached or grants the sends.
func (x *explanation) askHolder(ctx context.Context) {
	q, staged := x.q, len(x.q.route.Stages) > 0
	if !staged && !q.paced {
		return
	}
	r, prompt := q.grantRequest(), q.prompt()
	if staged {
		r = q.stagesRequest(x.dataCentre)
	}
	var e stages.Explanation
	err := errNoHolder
	if q.relay.options.ExplainStages != nil {
		e, err = q.relay.options.ExplainStages(ctx, r, prompt)
	}
	decider := explainapi.Decider{Role: explainapi.RoleHolder, Name: e.Holder}
	if staged {
		x.answer.StagesDecidedBy = &decider
	}
	if prompt.Pool != "" {
		x.answer.DecidedBy = decider
	}
	if err != nil {
		x.unknown("holder", "the holder of the stage queue, "+e.Holder+", doesn't explain its decision: "+err.Error()+
			". The candidates are what this instance would choose from, and a refusal by the holder isn't known")
		return
	}
	for _, s := range e.Stages {
		x.answer.Stages = append(x.answer.Stages, explainapi.Stage{Service: s.Service, Pieces: s.Pieces, WaitMS: milliseconds(s.Wait), TimeMS: milliseconds(s.Time)})
	}
	if refused := e.Refused; refused != nil {
		after := refused.RetryAfter
		if staged {
			after = q.retryAfter(time.Now(), r, refused)
		}
		x.refuse(string(refused.Reason), after)
	}
	if prompt.Pool != "" {
		x.explainAssigned(&e, &prompt)
	}
}

// explainAssigned explains the choice of the target by the holder.
func (x *explanation) explainAssigned(e *stages.Explanation, prompt *placing.Prompt) {
	q := x.q
	x.answer.Candidates, x.answer.CandidatesOmitted = []explainapi.Candidate{}, e.Omitted
	for i := range e.Engines {
		x.answer.Candidates = append(x.answer.Candidates, candidateOfHolder(&e.Engines[i], prompt))
	}
	if len(e.Engines) > 0 {
		x.unknown("age of the information", "the holder keeps account of the work of targets itself, and no times of reports")
	}
	query := q.targetQuery()
	if query.Preferred = e.Engine; q.paced {
		query.Preferred, query.Only = "", e.Engine
	}
	if !q.paced || e.Engine != "" {
		x.chooseHere(query)
	}
	if q.paced {
		x.explainGrant(e)
	}
	for i := range x.answer.Candidates {
		c := &x.answer.Candidates[i]
		c.Chosen = c.Target == x.answer.Chosen
	}
}

// explainGrant explains the grant of a send. After stages it is decided on once they have run.
func (x *explanation) explainGrant(e *stages.Explanation) {
	now := time.Now()
	switch {
	case len(x.q.route.Stages) > 0:
		x.unknown("grant", "the send is granted once the stages have run")
	case e.Engine == "" && e.SendAfter <= 0:
		x.refuse(reasonNoTarget, time.Second)
	case e.Engine == "", now.Add(e.SendAfter).After(x.q.eventDeadline(now)):
		x.refuse(string(gather.ReasonQueueTooLong), e.SendAfter)
	case x.answer.Chosen == "":
		x.unknown("target", "this instance doesn't send to "+e.Engine+", which the holder would grant; it would ask for another grant")
	}
}

func candidateOfHolder(e *placing.Explained, prompt *placing.Prompt) explainapi.Candidate {
	terms := &e.Terms
	return explainapi.Candidate{
		Target: e.Engine.Incarnation, DataCentre: e.Engine.DataCentre, State: string(e.State), CachedTokens: min(e.CachedTokens, prompt.Tokens),
		Cost: &explainapi.Cost{
			WaitMS: milliseconds(terms.Wait), OwnMS: milliseconds(terms.Own), ReadingMS: milliseconds(terms.Reading),
			MemoryMS: milliseconds(terms.Memory), CrossingMS: milliseconds(terms.Crossing), PenaltyMS: milliseconds(terms.Penalty),
			HomeMS: milliseconds(terms.Home), Slowdown: 1, IncludedSlowdown: e.Slowdown, SumMS: milliseconds(terms.Sum()),
		},
	}
}
