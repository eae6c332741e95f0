package gather

import (
	"cmp"
	"slices"
	"time"
)

// crossBytes is how many more bytes than at the best place may cross data
// centres without a wait: below it the price of a crossing is under a hundredth
// of what a request is worth.
const crossingTolerance = 64 << 10

// candidate is a stage with pieces to send, with what orders it.
type candidate struct {
	stage *heldStage
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
		return cmp.Or(cmp.Compare(a.unsuccessfulCalls, b.unsuccessfulCalls), cmp.Compare(a.slowness, b.slowness), cmp.Compare(a.usedBytes, b.usedBytes),
			cmp.Compare(a.Incarnation, b.Incarnation))
	})
	ordered := p.sortedQueue(now, s)
	near := s.fastDataCentres(now)
	for _, t := range free {
		if chosen := p.choosePieces(now, t, ordered, near); len(chosen) > 0 {
			p.startCall(now, t, chosen)
			ordered = slices.DeleteFunc(ordered, func(c candidate) bool { return len(c.stage.pending) == 0 })
		}
	}
}

// lateRank is how many priorities lower a request ranks whose answer can't be on
// time: below timely ones of the next priority, which it would make late, and above
// those of the one after, which must not starve it to its deadline.
const missedObjectivePenalty = 1.5

// order sorts the queue: by rank, then what has results that take room, then what
// is due earlier.
func (p *Planner) sortedQueue(now time.Time, s *service) []candidate {
	ordered := make([]candidate, len(s.queue))
	for i, st := range s.queue {
		ordered[i] = candidate{stage: st, rank: st.request.rank(now)}
	}
	slices.SortStableFunc(ordered, func(a, b candidate) int {
		wa, wb := a.stage.request, b.stage.request
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
func (p *Planner) choosePieces(now time.Time, t *target, ordered []candidate, near []string) []pieceRef {
	s := t.service
	if p.skipsSlow(now, t) {
		return nil
	}
	var chosen []pieceRef
	room := s.config.ResultCapacity - t.usedBytes
	for _, c := range ordered {
		left := s.config.MaxPieces - len(chosen)
		if left <= 0 {
			break
		}
		st := c.stage
		n := len(st.pending)
		if n == 0 || (n > left && len(chosen) > 0) || !canShareCall(chosen, st.request) || p.waitsForCloserTarget(now, t, st, near) {
			continue
		}
		n = min(n, left)
		if fits := s.maxResults(room, st.ResultBytes); fits < n {
			p.noteCapacityShortage(now, t)
			n = fits
		}
		if n <= 0 {
			continue
		}
		room -= int64(n) * st.ResultBytes
		for _, index := range st.pending[:n] {
			chosen = append(chosen, pieceRef{st, index})
		}
	}
	return chosen
}

// passOver tells whether a slow target is left without a call: a call there
// takes longer than waiting for another target, and its pieces would come late.
// Now and then it gets one, to learn whether it is still slow.
func (p *Planner) skipsSlow(now time.Time, t *target) bool {
	if t.slowness < slowThreshold || now.Sub(t.lastCallAt) > slowProbeInterval {
		return false
	}
	fast := 0
	for _, other := range t.service.targets {
		if other.available(now) && other.slowness < slowThreshold {
			fast++
		}
	}
	if fast == 0 {
		return false
	}
	waiting := 0
	for _, st := range t.service.queue {
		waiting += len(st.pending)
	}
	calls := 1 + float64(waiting)/float64(max(t.service.config.MaxPieces, 1)*fast)
	return t.slowness > calls+1
}

// nearTargets lists the data centres that have a target of usual speed.
func (s *service) fastDataCentres(now time.Time) []string {
	var near []string
	for _, t := range s.targets {
		if t.available(now) && t.slowness < slowThreshold && !slices.Contains(near, t.DataCentre) {
			near = append(near, t.DataCentre)
		}
	}
	return near
}

// waitsForNearer tells whether pieces rather wait a little for a target beside
// their inputs or their reader, in one of the data centres that have any.
func (p *Planner) waitsForCloserTarget(now time.Time, t *target, st *heldStage, near []string) bool {
	here := st.crossingBytes(t.DataCentre) * int64(len(st.pending))
	if here <= crossingTolerance || now.Sub(st.readySince) >= p.localityWait(now, st) {
		return false
	}
	for _, dataCentre := range near {
		if st.crossingBytes(dataCentre)*int64(len(st.pending))+crossingTolerance < here {
			return true
		}
	}
	return false
}

// patienceShare is the part of a request's spare time that one stage may wait for
// a target beside its inputs.
const localityWaitDivisor = 2

// patience is how long a stage waits for a target beside its inputs: a share of
// the time that the request has to spare, so that saving bytes makes no answer
// late.
func (p *Planner) localityWait(now time.Time, st *heldStage) time.Duration {
	spare := st.request.Objective.Sub(now) - p.minRemaining(st.request)
	if spare < 0 {
		return p.config.LocalityWait
	}
	return min(p.config.LocalityWait, spare/localityWaitDivisor)
}

// start begins a call.
func (p *Planner) startCall(now time.Time, t *target, chosen []pieceRef) {
	p.nextCall++
	c := &call{id: p.nextCall, target: t, pieces: chosen, startedAt: now}
	c.inputsReadAt = now.Add(time.Duration(inputReadShare * float64(t.service.config.CallTime)))
	orders := make([]Piece, 0, len(chosen))
	var pieceTime time.Duration
	var inputs []string
	var reader *heldStage
	for _, ref := range chosen {
		st := ref.stage
		if reader != st {
			reader, inputs = st, st.inputs()
		}
		order := Piece{
			Request: st.request.ID, Stage: st.index, Index: ref.index,
			Inputs: inputs, Deadline: st.request.Deadline.Add(-st.request.Remaining),
		}
		if len(inputs) == 0 {
			order.Key = st.request.Key
		}
		orders = append(orders, order)
		st.pending = slices.DeleteFunc(st.pending, func(i int) bool { return i == ref.index })
		st.inCall++
		st.request.started = true
		st.sentAt = now
		st.inputsReadAt = c.inputsReadAt
		c.bytes += st.ResultBytes
		pieceTime += st.pieceTime()
		if len(st.pending) == 0 {
			p.dequeue(st)
		}
	}
	p.updateBacklogs(now, chosen)
	c.expectedDuration = t.service.expected(pieceTime)
	t.calls++
	t.usedBytes += c.bytes
	t.lastCallAt = now
	t.busyUntil = now.Add(time.Duration(max(t.slowness, 1) * float64(c.expectedDuration)))
	p.calls[c.id] = c
	c.overdueAt = now.Add(time.Duration(overdueFactor*max(t.slowness, 1)*float64(c.expectedDuration)) + overdueMargin)
	timeout := time.Duration(timeoutFactor*float64(c.expectedDuration)) + timeoutMargin
	c.timeoutAt = now.Add(timeout)
	p.actions = append(p.actions, StartCall{ID: c.id, Target: t.Target, Service: t.service.name, Pieces: orders, Timeout: timeout})
}
