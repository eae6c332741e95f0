package gather

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxKeyDelay bounds the delay of a key. It is longer than callers wait for an answer.
	maxKeyDelay = time.Hour
	// keyInterval is the minimum interval at which the keys of what waits are renewed. Twice the interval
	// refuses more requests of small accounts whose objectives can hardly be met; a shorter one sorts
	// all that waits more often for little.
	keyInterval = time.Second
)

// setKeys sets where the stages of a new request are queued within their ranks.
func (p *Planner) setKeys(now time.Time, req *heldRequest) {
	if !p.config.AccountSharing {
		return
	}
	for _, s := range req.stages {
		if s.Pieces > 0 {
			s.keyDelay = s.service.keyDelay(now, req)
		}
	}
}

// setYieldingKeys sets the keys of a request that is admitted but yields.
func (p *Planner) setYieldingKeys(now time.Time, req *heldRequest) {
	if req.returned {
		return
	}
	req.yields = now.Add(req.predicted + req.Remaining).After(req.Objective)
	if req.yields {
		p.setKeys(now, req)
	}
}

// key orders the stages of one rank. It is the objective, or, while accounts ask for more than the
// service's capacity, later by the wait behind the account's own work at the account's share.
func (s *heldStage) key() time.Time { return s.request.Objective.Add(s.keyDelay) }

// keyDelay returns the wait of a request behind the queued work of its account at its share.
func (s *service) keyDelay(now time.Time, req *heldRequest) time.Duration {
	r := s.sharesOf(now, req)
	if math.IsInf(r.level, 1) {
		return 0
	}
	at := queuePosition{rank: req.baseRank()}
	if req.yields {
		at = queuePosition{rank: at.rank + missedObjectivePenalty, yields: true}
	}
	return s.delayBehind(s.shares.ownAhead(r, req, at), r, req.Account)
}

// delayBehind returns how long an account's work takes at its share.
func (s *service) delayBehind(own queuedWork, r *rankShares, account string) time.Duration {
	if math.IsInf(r.level, 1) {
		return 0
	}
	delay := s.workTime(own) / (r.level * s.shares.weight(account))
	return time.Duration(min(delay, maxKeyDelay.Seconds()) * float64(time.Second))
}

// renewKeys sets the keys of requests of which nothing has been sent, while accounts ask for more than the
// service's capacity: once of all of them, since what was admitted before that was known has no delay, and
// then each keyInterval of those that can't meet their objectives any more, which are served later than was
// predicted at their admission. Otherwise the small accounts would wait behind both and be refused.
func (p *Planner) renewKeys(now time.Time, s *service) {
	if now.Sub(s.shares.keysRenewedAt) < keyInterval || !s.sharesBind() {
		return
	}
	all := s.shares.keysRenewedAt.Before(s.shares.boundSince)
	s.shares.keysRenewedAt = now
	type queue struct {
		account string
		rank    float64
	}
	ahead := map[queue]queuedWork{}
	for _, st := range p.waitingAt(s) {
		req := st.request
		q := queue{req.Account, req.baseRank()}
		if all || req.rank(now) > req.baseRank() {
			st.keyDelay = max(st.keyDelay, st.renewedDelay(now, ahead[q]))
			p.updateBacklog(now, req)
		}
		own := ahead[q]
		own.add(queuedWork{len(st.pending), time.Duration(len(st.pending)) * st.pieceTime()})
		ahead[q] = own
	}
}

// waitingAt returns the stages at a service of requests of which nothing has been sent, in the order in which
// each account's own work is counted.
func (p *Planner) waitingAt(s *service) []*heldStage {
	var waiting []*heldStage
	for _, req := range p.requests {
		if req.completed || req.started || req.returned {
			continue
		}
		for _, st := range req.stages {
			if st.service == s && len(st.pending) > 0 {
				waiting = append(waiting, st)
			}
		}
	}
	slices.SortFunc(waiting, func(a, b *heldStage) int {
		if a.request.yields != b.request.yields {
			if a.request.yields {
				return 1
			}
			return -1
		}
		return cmp.Or(a.request.Objective.Compare(b.request.Objective), cmp.Compare(a.request.ID, b.request.ID), cmp.Compare(a.index, b.index))
	})
	return waiting
}

// renewedDelay returns the delay of a stage's key behind the account's own work that waits. The time that
// the stage has waited counts for an account that asks for more than its share.
func (s *heldStage) renewedDelay(now time.Time, own queuedWork) time.Duration {
	r, account := s.service.sharesOf(now, s.request), s.request.Account
	delay := s.service.delayBehind(own, r, account)
	if r.exceeds(now, account, s.service.shares.weight(account)) {
		delay += max(now.Sub(s.request.admittedAt), 0)
	}
	return min(delay, maxKeyDelay)
}
