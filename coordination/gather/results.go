package gather

import (
	"slices"
	"time"
)

// handOn has the pieces of overdue calls made elsewhere as well. The call goes on:
// whichever result comes first is used and the other is given back. It guards
// against a target that turned slow or silent in the middle of a call, whose
// requests would wait for its time-out.
func (p *Planner) hedgeOverdueCalls(now time.Time) {
	for _, c := range p.calls {
		if c.hedged || now.Before(c.overdueAt) {
			continue
		}
		c.target.slowness = max(c.target.slowness, float64(now.Sub(c.startedAt))/float64(c.expectedDuration))
		p.hedgeCall(now, c)
	}
}

// handOnCall has those pieces of a call made elsewhere that are still wanted. They are
// sent together: a call for each would take as many targets.
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
	for w := range wanted {
		p.advance(now, w)
	}
}

// CallDone takes in the end of a call. Results is in the order of the pieces;
// it is only read for CallAnswered.
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
	for w := range touched {
		if p.requests[w.ID] == w {
			p.advance(now, w)
		}
	}
	p.dispatch(now, t.service)
	return p.flush()
}

// learn takes what a call tells of its target and of the pieces' times.
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
	taken := now.Sub(c.startedAt)
	ratio := float64(taken) / float64(max(c.expectedDuration, time.Millisecond))
	t.slowness += slownessWeight * (ratio - t.slowness)
	if ratio < slowThreshold && t.slowness < slowThreshold {
		c.learnTimes(taken)
	}
	if ratio < slowThreshold {
		t.slowness = min(t.slowness, slowThreshold)
	}
}

// pieceDone takes in the end of one piece.
func (p *Planner) pieceDone(now time.Time, c *call, ref pieceRef, outcome CallOutcome, r PieceResult) {
	st := ref.stage
	st.inCall--
	st.endedAt = now
	w := st.request
	if p.requests[w.ID] != w || w.completed || st.results[ref.index] != nil {
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

// freeRead gives back the results that no stage reads any more, now that st is
// done.
func (p *Planner) freeUnneededInputs(st *heldStage) {
	for _, i := range st.After {
		read := st.request.stages[i]
		if p.needed(read) {
			continue
		}
		for _, r := range read.results {
			p.free(r)
		}
	}
}

// again has a piece sent once more, or gives its request up.
func (p *Planner) retryPiece(now time.Time, c *call, ref pieceRef, outcome CallOutcome, failure PieceFailure) {
	st := ref.stage
	w := st.request
	if c.hedged && outcome != CallAnswered || slices.Contains(st.pending, ref.index) {
		return // it is on its way again already
	}
	if outcome == CallAnswered && failure == PieceDeadlineExceeded {
		p.refuse(w, Refused{Reason: ReasonDeadlineTooNear, RetryAfter: minRetryAfter, TimeToDeadline: w.Deadline.Sub(now)})
		return
	}
	if ref.index == c.firstPieceOf(st) {
		st.resends++
	}
	if st.resends > maxResends {
		p.refuse(w, Refused{Reason: ReasonStageFailed, RetryAfter: time.Second})
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

// firstOf is the first piece of a stage in the call, so that a stage counts a
// failed call once.
func (c *call) firstPieceOf(st *heldStage) int {
	for _, ref := range c.pieces {
		if ref.stage == st {
			return ref.index
		}
	}
	return -1
}

// remake has the inputs of a stage made again: one of them is gone, and the
// answer doesn't tell which.
func (p *Planner) rerunInputs(st *heldStage) {
	for _, i := range st.After {
		before := st.request.stages[i]
		for n, r := range before.results {
			if r == nil {
				continue
			}
			p.free(r)
			p.rerunPiece(before, n)
		}
	}
}
