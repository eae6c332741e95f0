package gather

import "time"

const (
	// suspectCrashes is the number of target crashes under a request's calls after which its
	// pieces are sent in separate calls: only such calls show which request causes the
	// crashes. One crash is not enough, since separate calls take up more targets.
	suspectCrashes = 2
	// MaxCrashes is the number of target crashes under a request's calls at which the request
	// is refused, if the last of these calls had no other pieces.
	MaxCrashes = 3
)

// suspect reports whether the request may be what crashes targets.
func (req *heldRequest) suspect() bool { return req.crashes >= suspectCrashes }

// canShareCall reports whether pieces of a request may go into a call with those chosen so
// far.
func canShareCall(chosen []pieceRef, req *heldRequest) bool {
	if len(chosen) == 0 || chosen[0].stage.request == req {
		return true
	}
	return !req.suspect() && !chosen[0].stage.request.suspect()
}

// countCrash counts a call under which the target crashed, for each request with pieces in
// the call. If all pieces are of one request and it has reached MaxCrashes, it is refused.
func (p *Planner) countCrash(c *call) {
	under := map[*heldRequest]bool{}
	for _, ref := range c.pieces {
		under[ref.stage.request] = true
	}
	for req := range under {
		req.crashes++
		if len(under) == 1 && req.crashes >= MaxCrashes && p.requests[req.ID] == req {
			p.refuse(req, Refused{Reason: ReasonCrashesStageTargets, RetryAfter: time.Second})
		}
	}
}
