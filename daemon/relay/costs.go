package relay

import (
	"net/http"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/cost"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
	"github.com/ivyhollow/ivyhollow/coordination/routing"
)

// costRequest describes the request for the model of costs.
func (q *request) costRequest() cost.Request {
	r := cost.Request{
		Pool: q.service, Route: q.route.Name, Account: q.account,
		MaxOutput: clampTokens(q.call.OutputTokens), Hint: clampTokens(q.call.OutputHint),
	}
	if q.route.PrefixCaching {
		for _, part := range q.call.Prefix {
			r.PromptTokens = clampTokens(r.PromptTokens + clampTokens(part.Tokens))
		}
		r.PromptTokens = max(r.PromptTokens, clampTokens(q.call.PromptTokens))
		r.Uncached = r.PromptTokens
	}
	return r
}

// predictWork predicts what the request costs; nil without placement by cost.
func (q *request) predictWork() *routing.Work {
	if q.relay.costs == nil {
		return nil
	}
	r := q.costRequest()
	estimate := q.relay.costs.Estimate
	if q.hypothetical {
		estimate = q.relay.costs.Peek
	}
	w := &routing.Work{Estimate: estimate(time.Now(), r), PromptTokens: r.PromptTokens}
	if q.route.PrefixCaching {
		for _, part := range q.call.Prefix {
			w.Prefix = append(w.Prefix, routing.PrefixPart{ID: part.ID, Tokens: clampTokens(part.Tokens)})
		}
	}
	return w
}

// observeFirstEvent learns from the first part of an attempt's stream.
func (q *request) observeFirstEvent(a *attempt) {
	if q.relay.costs == nil {
		return
	}
	a.tracked.FirstEvent(a.lastData)
	q.observe(a, cost.Observation{FirstEvent: a.firstData})
}

// observeEnd learns from a complete response. What continues a stream is only a part of one.
func (q *request) observeEnd(a *attempt, total time.Duration) {
	if a.head == nil || a.head.status != http.StatusOK || a.resumed {
		return
	}
	q.observe(a, cost.Observation{FirstEvent: a.firstData, Total: total, Output: a.events.Events()})
}

func (q *request) observe(a *attempt, o cost.Observation) {
	if q.relay.costs == nil {
		return
	}
	now, r := time.Now(), q.costRequest()
	conditions, ok := a.tracked.Conditions(now)
	if !ok {
		return
	}
	r.Uncached, o.Wait, o.Slowdown = conditions.Uncached, conditions.Wait, conditions.Slowdown
	q.relay.costs.Observe(now, r, o)
}

// reportStreamEnd reports the end of an attempt to the holder that keeps account of the engines' work.
func (q *request) reportStreamEnd(a *attempt, complete bool) {
	if a.accountedBy == "" {
		return
	}
	q.relay.options.Stages.Drop(a.accountedBy, placing.RequestEnd{
		Request: q.call.ID, Engine: a.target.Incarnation, FirstEvent: a.firstData,
		Duration: time.Since(a.started), Events: a.events.Events(), Complete: complete && !a.resumed,
	})
	a.accountedBy = ""
}
