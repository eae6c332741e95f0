package gather

import (
	"slices"
	"time"
)

// hedgeOverdueCalls queues the pieces of overdue calls for other targets as well. The
// overdue call continues; the first result is used and the other is freed.
//
// Otherwise the requests of a target that turns slow or silent during a call would wait for
// the call's timeout.
func (p *Planner) hedgeOverdueCalls(now time.Time) {
	for _, c := range p.calls {
		if c.hedged || now.Before(c.overdueAt) {
			continue
		}
		c.target.slowness = max(c.target.slowness, float64(now.Sub(c.startedAt))/float64(c.expectedDuration))
		p.hedgeCall(now, c)
	}
}

// hedgeCall queues those pieces of a call again that are still needed. Their requests advance
// only after all pieces are queued, so that the pieces can share a call: separate calls would
// take up as many targets.
func (p *Planner) hedgeCall(now time.Time, c *call) {
	if c.hedged {
		return
	}
	c.hedged = true
	wanted := map[*heldRequest]bool{}
	for _, ref := range c.pieces {
		st := ref.stage
		if p.requests[st.request.ID] != st.request || st.request.completed || st.results[ref.index] != nil || slices.Contains(st.pending, ref.index) {
			continue
		}
		st.pending = append(st.pending, ref.index)
		wanted[st.request] = true
	}
	for req := range wanted {
		p.advance(now, req)
	}
}

// CallDone handles the end of a call. Results are in the order of the pieces and are only
// read for CallAnswered.
func (p *Planner) CallDone(now time.Time, id uint64, outcome CallOutcome, results []PieceResult) []Action {
	c := p.calls[id]
	if c == nil {
		return nil
	}
	delete(p.calls, id)
	t := c.target
	if t.replaced {
		outcome = CallUnanswered
	}
	t.calls--
	t.idleSince = now
	t.usedBytes -= c.bytes
	if outcome == CallTargetCrashed {
		outcome = CallUnanswered
		p.countCrash(c)
	}
	p.learn(now, c, outcome)
	p.freeReadInputs(now)
	touched := map[*heldRequest]bool{}
	for i, ref := range c.pieces {
		r := PieceResult{Failure: PieceFailed}
		if outcome == CallAnswered && i < len(results) {
			r = results[i]
		}
		p.pieceDone(now, c, ref, outcome, r)
		touched[ref.stage.request] = true
	}
	if t.unlisted && t.calls == 0 {
		delete(t.service.targets, t.Incarnation)
	}
	for req := range touched {
		if p.requests[req.ID] == req {
			p.advance(now, req)
		}
	}
	p.dispatch(now, t.service)
	return p.flush()
}

// learn updates the state of the target and the learned times from the end of a call.
func (p *Planner) learn(now time.Time, c *call, outcome CallOutcome) {
	t := c.target
	t.unsuccessfulCalls++
	switch outcome {
	case CallTargetFull:
		t.downUntil = now.Add(fullPause)
		return
	case CallWrongTarget:
		t.unlisted = true
		return
	case CallUnanswered:
		t.callUnanswered(now, c.bytes)
		return
	}
	t.unansweredCalls, t.unsuccessfulCalls, t.answered = 0, 0, true
	t.downUntil = time.Time{}
	elapsed := now.Sub(c.startedAt)
	ratio := float64(elapsed) / float64(max(c.expectedDuration, time.Millisecond))
	t.slowness += slownessWeight * (ratio - t.slowness)
	if ratio < slowThreshold && t.slowness < slowThreshold {
		c.learnTimes(elapsed)
	}
	if ratio < slowThreshold {
		t.slowness = min(t.slowness, slowThreshold)
	}
}

// pieceDone handles the end of one piece.
func (p *Planner) pieceDone(now time.Time, c *call, ref pieceRef, outcome CallOutcome, r PieceResult) {
	st := ref.stage
	st.inCall--
	st.endedAt = now
	req := st.request
	if p.requests[req.ID] != req || req.completed || st.results[ref.index] != nil {
		if r.Handle != "" {
			c.target.usedBytes += st.ResultBytes
			p.freeHandle(c.target, r.Handle, st.ResultBytes)
		}
		return
	}
	if r.Handle != "" {
		keep := c.target.service.config.ResultTTL
		st.results[ref.index] = &result{
			handle: r.Handle, target: c.target, bytes: st.ResultBytes,
			expiresAt: now.Add(keep - min(resultExpiryMargin, keep/2)),
		}
		c.target.usedBytes += st.ResultBytes
		st.produced++
		if i := slices.Index(st.pending, ref.index); i >= 0 {
			st.pending = slices.Delete(st.pending, i, i+1)
			if len(st.pending) == 0 {
				p.dequeue(st)
			}
		}
		if st.done() {
			p.freeUnneededInputs(st)
		}
		return
	}
	p.retryPiece(now, c, ref, outcome, r.Failure)
}

// freeUnneededInputs frees the results that no stage reads any more now that st is done.
func (p *Planner) freeUnneededInputs(st *heldStage) {
	for _, i := range st.After {
		input := st.request.stages[i]
		if p.needed(input) {
			continue
		}
		for _, r := range input.results {
			p.free(r)
		}
	}
}

// retryPiece queues a failed piece again, or refuses its request.
func (p *Planner) retryPiece(now time.Time, c *call, ref pieceRef, outcome CallOutcome, failure PieceFailure) {
	st := ref.stage
	req := st.request
	if c.hedged && outcome != CallAnswered || slices.Contains(st.pending, ref.index) {
		return // it is queued or in a call again already
	}
	if outcome == CallAnswered && failure == PieceDeadlineExceeded {
		p.refuse(req, Refused{Reason: ReasonDeadlineTooNear, RetryAfter: minRetryAfter, TimeToDeadline: req.Deadline.Sub(now)})
		return
	}
	if ref.index == c.firstPieceOf(st) {
		st.resends++
	}
	if st.resends > maxResends {
		p.refuse(req, Refused{Reason: ReasonStageFailed, RetryAfter: time.Second})
		return
	}
	if failure == PieceInputMissing {
		p.rerunInputs(st)
	}
	if failure == PieceNoCapacity && outcome == CallAnswered {
		c.target.reserveForUnknown(now, st.ResultBytes)
	}
	st.pending = append(st.pending, ref.index)
	slices.Sort(st.pending)
}

// firstPieceOf returns the first piece of a stage in the call, so that a stage counts a
// failed call once.
func (c *call) firstPieceOf(st *heldStage) int {
	for _, ref := range c.pieces {
		if ref.stage == st {
			return ref.index
		}
	}
	return -1
}

// rerunInputs produces the inputs of a stage again: one of them is missing, and the answer
// doesn't say which.
func (p *Planner) rerunInputs(st *heldStage) {
	for _, i := range st.After {
		input := st.request.stages[i]
		for n, r := range input.results {
			if r == nil {
				continue
			}
			p.free(r)
			p.rerunPiece(input, n)
		}
	}
}
