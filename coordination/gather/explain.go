package gather

import (
	"maps"
	"slices"
	"time"
)

// Explanation is what the planner would decide about a request that is submitted now.
type Explanation struct {
	Stages []StagePrediction
	// Refused is the refusal of the request; nil if it would be admitted.
	Refused *Refused
}

// StagePrediction is the prediction for a stage that has pieces.
type StagePrediction struct {
	Service string
	Pieces  int
	// Wait is the wait for the work ahead of the stage, Time that for a free target and for its own
	// call.
	Wait, Time time.Duration
}

// queryFingerprint stands for the content of a request that is only asked about. Fingerprints of
// requests are hexadecimal, so that none is the same.
const queryFingerprint = "query"

// Explain returns what Submit would decide about a request that isn't a retry, and changes nothing: it
// judges the request as Submit does, and restores the state that this touches.
func (p *Planner) Explain(now time.Time, r Request) Explanation {
	if r.Fingerprint = ""; p.config.RetryReservations {
		r.Fingerprint = queryFingerprint
	}
	if refusal := p.refuseExcess(&r); refusal != nil {
		return Explanation{Refused: refusal}
	}
	defer p.saveState(now, &r)()
	req := p.newHeldRequest(r)
	req.predictions = make([]StagePrediction, len(req.stages))
	refusal := p.judge(now, req)
	return Explanation{Stages: slices.DeleteFunc(req.predictions, func(s StagePrediction) bool { return s.Pieces == 0 }), Refused: refusal}
}

// recordPrediction records the prediction for a stage of a request that is only asked about.
func (s *heldStage) recordPrediction(at queuePosition, wait, spent time.Duration) {
	if s.request.predictions != nil && at.due.IsZero() {
		s.request.predictions[s.index] = StagePrediction{Service: s.service.name, Pieces: s.Pieces, Wait: wait, Time: spent}
	}
}

// saveState returns a function that restores the state that the judgement of a request changes.
func (p *Planner) saveState(now time.Time, r *Request) (restore func()) {
	attainments, reservations := p.attainments.clone(), p.reservations
	reservations.unreserved = slices.Clone(reservations.unreserved)
	key := callerKey{r.Account, r.Route, queryFingerprint}
	services := map[string]*service{}
	for _, st := range r.Stages {
		if s := p.services[st.Service]; s != nil && services[s.name] == nil {
			services[s.name] = s.cloneJudged()
		}
	}
	return func() {
		for _, v := range slices.Clone(p.reservations.byCaller[key]) {
			p.reservations.remove(key, v)
		}
		p.attainments, p.reservations = attainments, reservations
		for _, retry := range reservations.unreserved {
			if retry.yieldsPlace {
				retry.yieldsPlace = false
				p.updateBacklog(now, retry)
			}
		}
		for _, st := range r.Stages {
			saved := services[st.Service]
			if saved == nil {
				delete(p.services, st.Service)
				continue
			}
			s := p.services[st.Service]
			s.times.pieceFactors, s.arrivalRates, s.usual, s.shares = saved.times.pieceFactors, saved.arrivalRates, saved.usual, saved.shares
		}
	}
}

// cloneJudged returns a copy of what the judgement of a request changes.
func (s *service) cloneJudged() *service {
	c := &service{times: s.times, arrivalRates: make(map[float64]*rate, len(s.arrivalRates)), usual: s.usual, shares: s.shares.clone()}
	c.times.pieceFactors = maps.Clone(s.times.pieceFactors)
	for rank, r := range s.arrivalRates {
		copied := *r
		c.arrivalRates[rank] = &copied
	}
	c.usual.counts = maps.Clone(s.usual.counts)
	for rank, counts := range c.usual.counts {
		copied := *counts
		c.usual.counts[rank] = &copied
	}
	return c
}

// clone returns a copy with the same queued work, which a judgement doesn't change.
func (h *shares) clone() *shares {
	if h == nil {
		return nil
	}
	c := *h
	c.ranks = make(map[float64]*rankShares, len(h.ranks))
	for rank, r := range h.ranks {
		copied := *r
		copied.demands = r.demands.Clone()
		c.ranks[rank] = &copied
	}
	return &c
}

func (a *attainments) clone() attainments {
	c := attainments{overall: a.overall.clone(), byRoute: make(map[string]*attainment, len(a.byRoute)), byPriority: make(map[int]*attainment, len(a.byPriority))}
	for route, k := range a.byRoute {
		c.byRoute[route] = k.clone()
	}
	for priority, k := range a.byPriority {
		c.byPriority[priority] = k.clone()
	}
	return c
}

func (a *attainment) clone() *attainment {
	c := *a
	return &c
}
