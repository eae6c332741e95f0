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
func (w *heldRequest) suspect() bool { return w.crashes >= suspectCrashes }

// mayJoin tells whether pieces of a request may go into a call with those chosen so far.
func canShareCall(chosen []pieceRef, w *heldRequest) bool {
	if len(chosen) == 0 || chosen[0].stage.request == w {
		return true
	}
	return !w.suspect() && !chosen[0].stage.request.suspect()
}

// noteCrash counts a call under which the target ended, and gives its request up if that
// was the last of too many and a call of its own.
func (p *Planner) countCrash(c *call) {
	under := map[*heldRequest]bool{}
	for _, ref := range c.pieces {
		under[ref.stage.request] = true
	}
	for w := range under {
		w.crashes++
		if len(under) == 1 && w.crashes >= MaxCrashes && p.requests[w.ID] == w {
			p.refuse(w, Refused{Reason: ReasonCrashesStageTargets, RetryAfter: time.Second})
		}
	}
}
