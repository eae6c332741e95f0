package gather

import (
	"cmp"
	"slices"
	"time"
)

// crossingTolerance is how many bytes between data centres a closer target must save for a
// stage to wait for it. Transferring fewer costs less than a hundredth of what a request is
// worth.
const crossingTolerance = 64 << 10

// candidate is a stage with pending pieces and its rank.
type candidate struct {
	stage *heldStage
	// rank is the priority, lowered for a request that can't meet its objective any more.
	rank float64
}

// dispatch starts calls at the targets of a service that can take one: first those with the
// fewest unsuccessful calls in a row, then the fastest.
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
	fast := s.fastDataCentres(now)
	for _, t := range free {
		if chosen := p.choosePieces(now, t, ordered, fast); len(chosen) > 0 && !p.waitsToFill(now, t, chosen) {
			p.startCall(now, t, chosen)
			ordered = slices.DeleteFunc(ordered, func(c candidate) bool { return len(c.stage.pending) == 0 })
		}
	}
}

// missedObjectivePenalty is by how many priorities a request that can't meet its objective
// ranks lower. It then ranks behind requests of the next priority that can meet theirs, since
// it would make them miss these. It ranks ahead of requests of the priority after that, so
// that they don't starve it until its deadline.
const missedObjectivePenalty = 1.5

// sortedQueue returns the queue sorted by rank, then by ascending height, since stages near
// the end read results that already occupy capacity, then by order key. While accounts share the
// service's capacity, the key precedes the height: otherwise an account whose requests use the
// service near their end would take the shares of others.
func (p *Planner) sortedQueue(now time.Time, s *service) []candidate {
	ordered := make([]candidate, len(s.queue))
	for i, st := range s.queue {
		ordered[i] = candidate{stage: st, rank: st.request.rank(now)}
	}
	keysFirst := s.sharesBind()
	slices.SortStableFunc(ordered, func(a, b candidate) int {
		byRank, byHeight, byKey := cmp.Compare(a.rank, b.rank), cmp.Compare(a.stage.height, b.stage.height), a.stage.key().Compare(b.stage.key())
		if keysFirst {
			return cmp.Or(byRank, byKey, byHeight)
		}
		return cmp.Or(byRank, byHeight, byKey)
	})
	return ordered
}

// choosePieces returns the pieces of a target's next call. The pieces of one stage of a
// request stay together, since each of them reads all inputs of the stage. A stage's pending
// pieces are split only if they exceed MaxPieces or the target's free capacity.
//
// fastDataCentres lists the data centres where a stage may wait for a target.
func (p *Planner) choosePieces(now time.Time, t *target, ordered []candidate, fastDataCentres []string) []pieceRef {
	s := t.service
	if p.skipsSlow(now, t) {
		return nil
	}
	var chosen []pieceRef
	free := s.config.ResultCapacity - t.usedBytes
	for _, c := range ordered {
		left := s.config.MaxPieces - len(chosen)
		if left <= 0 {
			break
		}
		st := c.stage
		n := len(st.pending)
		if n == 0 || (n > left && len(chosen) > 0 && !p.maySplit(now, s)) || p.heldBack(now, st) || !canShareCall(chosen, st.request) || p.waitsForCloserTarget(now, t, st, fastDataCentres) {
			continue
		}
		n = min(n, left)
		if most := s.maxResults(free, st.ResultBytes, p.largeResultReserve(s)); most < n {
			p.noteCapacityShortage(now, t)
			n = most
		}
		if n <= 0 {
			continue
		}
		free -= int64(n) * st.ResultBytes
		for _, index := range st.pending[:n] {
			chosen = append(chosen, pieceRef{st, index})
		}
	}
	return chosen
}

// skipsSlow reports whether a slow target gets no call because a call there takes longer
// than waiting for another target. After slowProbeInterval without a call it gets one, which
// shows whether it is still slow.
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

// fastDataCentres lists the data centres that have a target of usual speed.
func (s *service) fastDataCentres(now time.Time) []string {
	var dataCentres []string
	for _, t := range s.targets {
		if t.available(now) && t.slowness < slowThreshold && !slices.Contains(dataCentres, t.DataCentre) {
			dataCentres = append(dataCentres, t.DataCentre)
		}
	}
	return dataCentres
}

// waitsForCloserTarget reports whether a stage should wait briefly for a target in one of
// fastDataCentres, because its inputs or the reader of its results are closer to it than to t.
func (p *Planner) waitsForCloserTarget(now time.Time, t *target, st *heldStage, fastDataCentres []string) bool {
	here := st.crossingBytes(t.DataCentre) * int64(len(st.pending))
	if here <= crossingTolerance || now.Sub(st.readySince) >= p.localityWait(now, st) {
		return false
	}
	for _, dataCentre := range fastDataCentres {
		if st.crossingBytes(dataCentre)*int64(len(st.pending))+crossingTolerance < here {
			return true
		}
	}
	return false
}

// localityWaitDivisor is the divisor of a request's spare time that gives the longest wait of
// one stage for a target near its inputs.
const localityWaitDivisor = 2

// localityWait returns how long a stage waits for a target near its inputs: at most a part
// of the request's spare time, so that saving bytes makes no request miss its objective.
func (p *Planner) localityWait(now time.Time, st *heldStage) time.Duration {
	spare := st.request.Objective.Sub(now) - p.minRemaining(st.request)
	if spare < 0 {
		return p.config.LocalityWait
	}
	return min(p.config.LocalityWait, spare/localityWaitDivisor)
}

// startCall starts a call.
func (p *Planner) startCall(now time.Time, t *target, chosen []pieceRef) {
	p.nextCall++
	c := &call{id: p.nextCall, target: t, pieces: chosen, startedAt: now}
	c.inputsReadAt = now.Add(time.Duration(inputReadShare * float64(t.service.config.CallTime)))
	pieces := make([]Piece, 0, len(chosen))
	var pieceTime time.Duration
	var inputs []string
	var reader *heldStage
	for _, ref := range chosen {
		st := ref.stage
		if reader != st {
			reader, inputs = st, st.inputs()
		}
		piece := Piece{
			Request: st.request.ID, Stage: st.index, Index: ref.index,
			Inputs: inputs, Deadline: st.request.Deadline.Add(-st.request.Remaining),
		}
		if len(inputs) == 0 {
			piece.Key = st.request.Key
		}
		pieces = append(pieces, piece)
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
	t.service.grants.Grant(now, t.Name, t.service.config.Pace, t.limit)
	t.usedBytes += c.bytes
	t.lastCallAt = now
	t.busyUntil = now.Add(time.Duration(max(t.slowness, 1) * float64(c.expectedDuration)))
	p.calls[c.id] = c
	c.overdueAt = now.Add(time.Duration(overdueFactor*max(t.slowness, 1)*float64(c.expectedDuration)) + overdueMargin)
	timeout := time.Duration(timeoutFactor*float64(c.expectedDuration)) + timeoutMargin
	c.timeoutAt = now.Add(timeout)
	p.actions = append(p.actions, StartCall{ID: c.id, Target: t.Target, Service: t.service.name, Pieces: pieces, Timeout: timeout})
}
