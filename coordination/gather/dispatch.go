package gather

import (
	"cmp"
	"slices"
	"time"
)

// crossBytes is how many more bytes than at the best place may cross data
// centres without a wait: below it the price of a crossing is under a hundredth
// of what a request is worth.
const crossBytes = 64 << 10

// candidate is a stage with pieces to send, with what orders it.
type candidate struct {
	stage *stageWork
	// rank is the priority, lower for an answer that can't be on time any more.
	rank float64
}

// dispatch gives calls to the targets of a service that can take one, those
// first that answered last, and then the fastest.
func (p *Planner) dispatch(now time.Time, s *service) {
	if len(s.queue) == 0 || p.importing {
		return
	}
	free := make([]*target, 0, len(s.targets))
	for _, t := range s.targets {
		if t.usable(now) {
			free = append(free, t)
		}
	}
	if len(free) == 0 {
		return
	}
	slices.SortFunc(free, func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.strikes, b.strikes), cmp.Compare(a.slow, b.slow), cmp.Compare(a.heldBytes, b.heldBytes),
			cmp.Compare(a.Incarnation, b.Incarnation))
	})
	ordered := p.order(now, s)
	near := s.nearTargets(now)
	for _, t := range free {
		if chosen := p.choose(now, t, ordered, near); len(chosen) > 0 {
			p.start(now, t, chosen)
			ordered = slices.DeleteFunc(ordered, func(c candidate) bool { return len(c.stage.todo) == 0 })
		}
	}
}

// lateRank is how many priorities lower a request ranks whose answer can't be on
// time: below timely ones of the next priority, which it would make late, and above
// those of the one after, which must not starve it to its deadline.
const lateRank = 1.5

// order sorts the queue: by rank, then what has results that take room, then what
// is due earlier.
func (p *Planner) order(now time.Time, s *service) []candidate {
	ordered := make([]candidate, len(s.queue))
	for i, st := range s.queue {
		ordered[i] = candidate{stage: st, rank: st.work.rank(now)}
	}
	slices.SortStableFunc(ordered, func(a, b candidate) int {
		wa, wb := a.stage.work, b.stage.work
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.stage.height, b.stage.height),
			wa.Objective.Compare(wb.Objective),
		)
	})
	return ordered
}

// choose takes the pieces of a target's next call. Pieces of one stage of a
// request stay together, since each of them reads all results before it; only a
// stage that no call holds whole is split.
//
// near are the data centres where pieces may wait for a target.
func (p *Planner) choose(now time.Time, t *target, ordered []candidate, near []string) []pieceRef {
	s := t.service
	if p.passOver(now, t) {
		return nil
	}
	var chosen []pieceRef
	room := s.shape.ResultBytes - t.heldBytes
	for _, c := range ordered {
		left := s.shape.MaxPieces - len(chosen)
		if left <= 0 {
			break
		}
		st := c.stage
		n := len(st.todo)
		if n == 0 || (n > left && len(chosen) > 0) || !mayJoin(chosen, st.work) || p.waitsForNearer(now, t, st, near) {
			continue
		}
		n = min(n, left)
		if fits := s.fits(room, st.ResultBytes); fits < n {
			p.noteShort(now, t)
			n = fits
		}
		if n <= 0 {
			continue
		}
		room -= int64(n) * st.ResultBytes
		for _, index := range st.todo[:n] {
			chosen = append(chosen, pieceRef{st, index})
		}
	}
	return chosen
}

// passOver tells whether a slow target is left without a call: a call there
// takes longer than waiting for another target, and its pieces would come late.
// Now and then it gets one, to learn whether it is still slow.
func (p *Planner) passOver(now time.Time, t *target) bool {
	if t.slow < slowFactor || now.Sub(t.lastCall) > slowProbe {
		return false
	}
	fast := 0
	for _, other := range t.service.targets {
		if other.up(now) && other.slow < slowFactor {
			fast++
		}
	}
	if fast == 0 {
		return false
	}
	waiting := 0
	for _, st := range t.service.queue {
		waiting += len(st.todo)
	}
	calls := 1 + float64(waiting)/float64(max(t.service.shape.MaxPieces, 1)*fast)
	return t.slow > calls+1
}

// nearTargets lists the data centres that have a target of usual speed.
func (s *service) nearTargets(now time.Time) []string {
	var near []string
	for _, t := range s.targets {
		if t.up(now) && t.slow < slowFactor && !slices.Contains(near, t.DataCentre) {
			near = append(near, t.DataCentre)
		}
	}
	return near
}

// waitsForNearer tells whether pieces rather wait a little for a target beside
// their inputs or their reader, in one of the data centres that have any.
func (p *Planner) waitsForNearer(now time.Time, t *target, st *stageWork, near []string) bool {
	here := st.crossing(t.DataCentre) * int64(len(st.todo))
	if here <= crossBytes || now.Sub(st.readySince) >= p.patience(now, st) {
		return false
	}
	for _, dataCentre := range near {
		if st.crossing(dataCentre)*int64(len(st.todo))+crossBytes < here {
			return true
		}
	}
	return false
}

// patienceShare is the part of a request's spare time that one stage may wait for
// a target beside its inputs.
const patienceShare = 2

// patience is how long a stage waits for a target beside its inputs: a share of
// the time that the request has to spare, so that saving bytes makes no answer
// late.
func (p *Planner) patience(now time.Time, st *stageWork) time.Duration {
	spare := st.work.Objective.Sub(now) - p.least(st.work)
	if spare < 0 {
		return p.config.Patience
	}
	return min(p.config.Patience, spare/patienceShare)
}

// start begins a call.
func (p *Planner) start(now time.Time, t *target, chosen []pieceRef) {
	p.nextCall++
	c := &call{id: p.nextCall, target: t, pieces: chosen, started: now}
	c.readBy = now.Add(time.Duration(readShare * float64(t.service.shape.CallTime)))
	orders := make([]PieceOrder, 0, len(chosen))
	var pieceTime time.Duration
	var inputs []string
	var reader *stageWork
	for _, ref := range chosen {
		st := ref.stage
		if reader != st {
			reader, inputs = st, st.inputs()
		}
		order := PieceOrder{
			Request: st.work.ID, Stage: st.index, Index: ref.index,
			Inputs: inputs, Deadline: st.work.Deadline.Add(-st.work.Rest),
		}
		if len(inputs) == 0 {
			order.Key = st.work.Key
		}
		orders = append(orders, order)
		st.todo = slices.DeleteFunc(st.todo, func(i int) bool { return i == ref.index })
		st.inCall++
		st.work.begun = true
		st.sent = now
		st.readBy = c.readBy
		c.bytes += st.ResultBytes
		pieceTime += st.pieceTime()
		if len(st.todo) == 0 {
			p.dequeue(st)
		}
	}
	p.recountStages(now, chosen)
	c.expected = t.service.expected(pieceTime)
	t.calls++
	t.heldBytes += c.bytes
	t.lastCall = now
	t.busyUntil = now.Add(time.Duration(max(t.slow, 1) * float64(c.expected)))
	p.calls[c.id] = c
	c.overdue = now.Add(time.Duration(overdueFactor*max(t.slow, 1)*float64(c.expected)) + overdueMargin)
	timeout := time.Duration(timeoutFactor*float64(c.expected)) + timeoutMargin
	c.expires = now.Add(timeout)
	p.out = append(p.out, StartCall{ID: c.id, Target: t.Target, Service: t.service.name, Pieces: orders, Timeout: timeout})
}
