package gather

import "time"

// restarted takes in targets that are new. Where one started again under its name,
// whatever its earlier incarnations held is gone, and they answer nothing any more.
//
// Without it the results would count as there until they expire, four seconds later.
// Each stage that reads one of them costs a call whose pieces come back unmade, and a
// call in progress behind a silent link holds its pieces until its time-out: requests
// would end late that have the time for another try.
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
	var short []*heldRequest
	for _, w := range p.requests {
		if p.dropResults(w, func(r *result) bool { return earlier(r.target) }) {
			short = append(short, w)
		}
	}
	// Only now: a stage sent before all of this is known would read what is gone.
	for _, w := range short {
		p.advance(now, w)
	}
	for _, c := range p.calls {
		if earlier(c.target) {
			c.target.replaced = true
			p.hedgeCall(now, c)
		}
	}
}

// dropResults drops results that are gone at their makers, and has those made again
// that are still needed. It tells whether there are any; the request is to be advanced
// then.
func (p *Planner) dropResults(w *heldRequest, gone func(*result) bool) bool {
	unmade := false
	for _, s := range w.stages {
		for i, r := range s.results {
			if r == nil || r.freed || !gone(r) {
				continue
			}
			r.target.usedBytes -= r.bytes
			r.freed = true
			if !w.completed && p.needed(s) {
				p.rerunPiece(s, i)
				unmade = true
			}
		}
	}
	return unmade
}
