package gather

import "time"

// handleRestarts handles new targets. If one replaces an earlier process of its name, the
// results at earlier incarnations are lost and their calls get no answers any more.
//
// Otherwise the results would count as present until they expire four seconds later: each
// stage that reads one of them would spend a call whose pieces come back without results,
// and a call in progress behind a silent link would keep its pieces until its timeout.
// Requests with enough time for another attempt would then miss their deadlines.
func (p *Planner) handleRestarts(now time.Time, added []Target) {
	latest := map[string]string{}
	for _, t := range added {
		if t.Name != "" {
			latest[t.Name] = t.Incarnation
		}
	}
	if len(latest) == 0 {
		return
	}
	earlier := func(t *target) bool {
		incarnation, known := latest[t.Name]
		return known && incarnation != t.Incarnation
	}
	var incomplete []*heldRequest
	for _, req := range p.requests {
		if p.dropResults(req, func(r *result) bool { return earlier(r.target) }) {
			incomplete = append(incomplete, req)
		}
	}
	// Advance only after all lost results are dropped: a stage that is sent earlier could
	// read results that are lost too.
	for _, req := range incomplete {
		p.advance(now, req)
	}
	for _, c := range p.calls {
		if earlier(c.target) {
			c.target.replaced = true
			p.hedgeCall(now, c)
		}
	}
}

// dropResults drops results that are missing at their targets, and queues pieces again if
// their results are still needed. It reports whether it queued any; the caller then advances
// the request.
func (p *Planner) dropResults(req *heldRequest, missing func(*result) bool) bool {
	rerun := false
	for _, s := range req.stages {
		for i, r := range s.results {
			if r == nil || r.freed || !missing(r) {
				continue
			}
			r.target.usedBytes -= r.bytes
			r.freed = true
			if !req.completed && p.needed(s) {
				p.rerunPiece(s, i)
				rerun = true
			}
		}
	}
	return rerun
}
