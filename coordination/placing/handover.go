package placing

import "time"

// RunningRequest is a request at an engine, as a holder of the stage queue reports it to its successor.
type RunningRequest struct {
	ID, Pool, Engine string
	Route, Account   string
	PromptTokens     int
	Uncached         int
	// Age is the time since its send.
	Age time.Duration
	// Began is true if its first event has come.
	Began bool
}

// Running returns the requests in the accounts of all engines.
func (t *Table) Running(now time.Time) []RunningRequest {
	all := make([]RunningRequest, 0, len(t.running))
	for id, e := range t.running {
		g := e.byID[id]
		all = append(all, RunningRequest{
			ID: id, Pool: e.pool.Name, Engine: e.Incarnation, Route: g.request.Route, Account: g.request.Account,
			PromptTokens: g.request.PromptTokens, Uncached: g.request.Uncached, Age: now.Sub(g.sent), Began: g.began,
		})
	}
	return all
}

// MergeRunning adds the requests that another instance reported. What this one assigned itself is newer.
func (t *Table) MergeRunning(now time.Time, list []RunningRequest) {
	for _, r := range list {
		pool := t.pools[r.Pool]
		if t.costs == nil || pool == nil || pool.engines[r.Engine] == nil || t.running[r.ID] != nil || r.Age < 0 {
			continue
		}
		e, sent := pool.engines[r.Engine], now.Add(-r.Age)
		w := t.predict(now, &Prompt{Pool: r.Pool, Route: r.Route, Account: r.Account, Tokens: r.PromptTokens})
		w.request.Uncached = r.Uncached
		if !e.start(sent, r.ID, w, 0) {
			continue
		}
		t.running[r.ID] = e
		if r.Began {
			e.begin(now, r.ID)
		}
	}
}
