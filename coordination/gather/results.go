package gather

import (
	"slices"
	"time"
)

// handOn has the pieces of overdue calls made elsewhere as well. The call goes on:
// whichever result comes first is used and the other is given back. It guards
// against a target that turned slow or silent in the middle of a call, whose
// requests would wait for its time-out.
func (p *Planner) handOn(now time.Time) {
	for _, c := range p.calls {
		if c.handedOn || now.Before(c.overdue) {
			continue
		}
		c.target.slow = max(c.target.slow, float64(now.Sub(c.started))/float64(c.expected))
		p.handOnCall(now, c)
	}
}

// handOnCall has those pieces of a call made elsewhere that are still wanted. They are
// sent together: a call for each would take as many targets.
func (p *Planner) handOnCall(now time.Time, c *call) {
	if c.handedOn {
		return
	}
	c.handedOn = true
	wanted := map[*work]bool{}
	for _, ref := range c.pieces {
		st := ref.stage
		if p.works[st.work.ID] != st.work || st.work.completed || st.results[ref.index] != nil || slices.Contains(st.todo, ref.index) {
			continue
		}
		st.todo = append(st.todo, ref.index)
		wanted[st.work] = true
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
	if t.ended {
		outcome = CallLost
	}
	t.calls--
	t.heldBytes -= c.bytes
	if outcome == CallCrashed {
		outcome = CallLost
		p.noteCrash(c)
	}
	p.learn(now, c, outcome)
	p.releaseRead(now)
	touched := map[*work]bool{}
	for i, ref := range c.pieces {
		r := PieceResult{Failure: PieceFailed}
		if outcome == CallAnswered && i < len(results) {
			r = results[i]
		}
		p.pieceDone(now, c, ref, outcome, r)
		touched[ref.stage.work] = true
	}
	if t.leaving && t.calls == 0 {
		delete(t.service.targets, t.Incarnation)
	}
	for w := range touched {
		if p.works[w.ID] == w {
			p.advance(now, w)
		}
	}
	p.dispatch(now, t.service)
	return p.flush()
}

// learn takes what a call tells of its target and of the pieces' times.
func (p *Planner) learn(now time.Time, c *call, outcome CallOutcome) {
	t := c.target
	t.strikes++
	switch outcome {
	case CallFull:
		t.downUntil = now.Add(fullPause)
		return
	case CallWrongTarget:
		t.leaving = true
		return
	case CallLost:
		t.callLost(now, c.bytes)
		return
	}
	t.failures, t.strikes, t.answered = 0, 0, true
	t.downUntil = time.Time{}
	taken := now.Sub(c.started)
	ratio := float64(taken) / float64(max(c.expected, time.Millisecond))
	t.slow += sampleShare * (ratio - t.slow)
	if ratio < slowFactor && t.slow < slowFactor {
		c.learnTimes(taken)
	}
	if ratio < slowFactor {
		t.slow = min(t.slow, slowFactor)
	}
}

// pieceDone takes in the end of one piece.
func (p *Planner) pieceDone(now time.Time, c *call, ref pieceRef, outcome CallOutcome, r PieceResult) {
	st := ref.stage
	st.inCall--
	st.ended = now
	w := st.work
	if p.works[w.ID] != w || w.completed || st.results[ref.index] != nil {
		if r.Handle != "" {
			c.target.heldBytes += st.ResultBytes
			p.freeHandle(c.target, r.Handle, st.ResultBytes)
		}
		return
	}
	if r.Handle != "" {
		keep := c.target.service.shape.KeepFor
		st.results[ref.index] = &result{
			handle: r.Handle, target: c.target, bytes: st.ResultBytes,
			expires: now.Add(keep - min(keepMargin, keep/2)),
		}
		c.target.heldBytes += st.ResultBytes
		st.made++
		if i := slices.Index(st.todo, ref.index); i >= 0 {
			st.todo = slices.Delete(st.todo, i, i+1)
			if len(st.todo) == 0 {
				p.dequeue(st)
			}
		}
		if st.done() {
			p.freeRead(st)
		}
		return
	}
	p.again(now, c, ref, outcome, r.Failure)
}

// freeRead gives back the results that no stage reads any more, now that st is
// done.
func (p *Planner) freeRead(st *stageWork) {
	for _, i := range st.After {
		read := st.work.stages[i]
		if p.needed(read) {
			continue
		}
		for _, r := range read.results {
			p.free(r)
		}
	}
}

// again has a piece sent once more, or gives its request up.
func (p *Planner) again(now time.Time, c *call, ref pieceRef, outcome CallOutcome, failure PieceFailure) {
	st := ref.stage
	w := st.work
	if c.handedOn && outcome != CallAnswered || slices.Contains(st.todo, ref.index) {
		return // it is on its way again already
	}
	if outcome == CallAnswered && failure == PieceLate {
		p.giveUp(w, Refused{Reason: ReasonDeadline, RetryAfter: minRetryAfter, Left: w.Deadline.Sub(now)})
		return
	}
	if ref.index == c.firstOf(st) {
		st.resends++
	}
	if st.resends > maxResends {
		p.giveUp(w, Refused{Reason: ReasonRetries, RetryAfter: time.Second})
		return
	}
	if failure == PieceInputGone {
		p.remake(st)
	}
	if failure == PieceNoRoom && outcome == CallAnswered {
		c.target.occupied(now, st.ResultBytes)
	}
	st.todo = append(st.todo, ref.index)
	slices.Sort(st.todo)
}

// firstOf is the first piece of a stage in the call, so that a stage counts a
// failed call once.
func (c *call) firstOf(st *stageWork) int {
	for _, ref := range c.pieces {
		if ref.stage == st {
			return ref.index
		}
	}
	return -1
}

// remake has the inputs of a stage made again: one of them is gone, and the
// answer doesn't tell which.
func (p *Planner) remake(st *stageWork) {
	for _, i := range st.After {
		before := st.work.stages[i]
		for n, r := range before.results {
			if r == nil {
				continue
			}
			p.free(r)
			p.unmake(before, n)
		}
	}
}
