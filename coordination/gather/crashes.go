package gather

import "time"

const (
	// suspectCrashes is how many calls with pieces of a request a target must have ended
	// under for the request to have calls of its own: only these tell which request it is.
	// One crash is no reason yet, since calls of their own take more targets.
	suspectCrashes = 2
	// MaxCrashes is how many targets may end under calls of a request.
	MaxCrashes = 3
)

// suspect tells whether the request may be what ends targets.
func (w *work) suspect() bool { return w.crashes >= suspectCrashes }

// mayJoin tells whether pieces of a request may go into a call with those chosen so far.
func mayJoin(chosen []pieceRef, w *work) bool {
	if len(chosen) == 0 || chosen[0].stage.work == w {
		return true
	}
	return !w.suspect() && !chosen[0].stage.work.suspect()
}

// noteCrash counts a call under which the target ended, and gives its request up if that
// was the last of too many and a call of its own.
func (p *Planner) noteCrash(c *call) {
	under := map[*work]bool{}
	for _, ref := range c.pieces {
		under[ref.stage.work] = true
	}
	for w := range under {
		w.crashes++
		if len(under) == 1 && w.crashes >= MaxCrashes && p.works[w.ID] == w {
			p.giveUp(w, Refused{Reason: ReasonCrashes, RetryAfter: time.Second})
		}
	}
}
