package gather

import (
	"slices"
	"time"
)

const (
	// reservationGrace is how long after the time told a reservation is kept, and how long before
	// it a return counts as early: about the scatter of arrivals by the network and by the
	// callers' timers.
	reservationGrace = 300 * time.Millisecond
	// reservationCheckInterval is the interval at which reservations are checked for their end. It
	// is shorter than reservationGrace, so that an unused one is not counted much longer.
	reservationCheckInterval = 100 * time.Millisecond
	// reservationMargin is the factor by which the work ahead of a reservation is overestimated for
	// each of its stages: the arrivals of some seconds, about a hundred requests, scatter by a tenth,
	// and the predictions for new requests add the waits at all stages.
	reservationMargin = 1.1
	// burstContinuation is how many times as long as it has lasted a burst is expected to continue.
	// With a factor of 1, reserved work displaced 49 of 5,509 requests in time in a burst of 6 s.
	burstContinuation = 2
	// keyDelayDivisor is the divisor of the delay of keys, while accounts share scarce capacity, by
	// which more new requests are expected before a place. A place goes before new requests with
	// delayed keys, and the delay falls to nothing until the capacity is no longer scarce.
	keyDelayDivisor = 2
	// minRetryDelayLoss is by how much less the longest retry delay of a caller is at its return:
	// half of what one that honours a third of its time left loses while it waits minRetryAfter.
	// Other requests with the same content are new ones.
	minRetryDelayLoss = minRetryAfter / 6
)

// callerKey identifies a caller's request over its retries.
type callerKey struct{ account, route, fingerprint string }

func (r *Request) callerKey() callerKey { return callerKey{r.Account, r.Route, r.Fingerprint} }

// retryReservation is the expected return of one refused request.
type retryReservation struct {
	// reserved is true if work is reserved. Otherwise the caller was told a time after its
	// deadline, and the entry only shows that its next request is a retry.
	reserved bool
	// position is the place in the queues that the request has when it returns.
	position queuePosition
	boosted  bool
	// toldAt is the time told; a return after expiresAt counts as a new request.
	toldAt, expiresAt time.Time
	// maxRetryDelay is the longest delay that the caller honoured at its refusal.
	maxRetryDelay time.Duration
	work          []reservedWork
}

// reservedWork is what a reservation has added to the backlog of a service.
type reservedWork struct {
	service *service
	queuedWork
}

// retryReservations holds the expected returns of refused requests.
type retryReservations struct {
	// byCaller has the returns of identical requests in the order of the times told.
	byCaller  map[callerKey][]*retryReservation
	count     int
	checkedAt time.Time
	counts    ReservationCounts
	// unreserved has the held retries without a reservation that may be displaced, by due time.
	unreserved []*heldRequest
}

// ReservationCounts counts reservations by what became of them.
type ReservationCounts struct{ Given, Used, Expired int }

// ReservationCount returns the number of reservations and of expected returns.
func (p *Planner) ReservationCount() int { return p.reservations.count }

// TakeReservationCounts returns the counts since the last call.
func (p *Planner) TakeReservationCounts() ReservationCounts {
	counts := p.reservations.counts
	p.reservations.counts = ReservationCounts{}
	return counts
}

// add enters an expected return and counts its work as ahead of later arrivals.
func (r *retryReservations) add(key callerKey, v *retryReservation) {
	if r.byCaller == nil {
		r.byCaller = map[callerKey][]*retryReservation{}
	}
	list := append(r.byCaller[key], v)
	slices.SortStableFunc(list, func(a, b *retryReservation) int { return a.toldAt.Compare(b.toldAt) })
	r.byCaller[key] = list
	r.count++
	for _, w := range v.work {
		w.service.backlog.add(v.position.rank, bucketOf(v.position.due), w.queuedWork)
		w.service.reserved.add(v.position.rank, bucketOf(v.position.due), w.queuedWork)
	}
}

// remove removes an expected return.
func (r *retryReservations) remove(key callerKey, v *retryReservation) {
	list := r.byCaller[key]
	i := slices.Index(list, v)
	if i < 0 {
		return
	}
	if list = slices.Delete(list, i, i+1); len(list) > 0 {
		r.byCaller[key] = list
	} else {
		delete(r.byCaller, key)
	}
	r.count--
	for _, w := range v.work {
		w.service.backlog.remove(v.position.rank, bucketOf(v.position.due), w.queuedWork)
		w.service.reserved.remove(v.position.rank, bucketOf(v.position.due), w.queuedWork)
	}
}

// find returns the first expected return that a request may be, nil if there is none.
func (r *retryReservations) find(now time.Time, req *heldRequest) *retryReservation {
	for _, v := range r.byCaller[req.callerKey()] {
		if now.Before(v.expiresAt) && (req.MaxRetryDelay <= 0 || req.MaxRetryDelay <= v.maxRetryDelay-minRetryDelayLoss) {
			return v
		}
	}
	return nil
}

// expireReservations removes the reservations of callers that didn't return in time.
func (p *Planner) expireReservations(now time.Time) {
	r := &p.reservations
	if r.count+len(r.unreserved) == 0 || now.Before(r.checkedAt.Add(reservationCheckInterval)) {
		return
	}
	r.checkedAt = now
	r.unreserved = slices.DeleteFunc(r.unreserved, func(req *heldRequest) bool { return !p.mayYieldPlace(req) })
	for key, list := range r.byCaller {
		for _, v := range slices.Clone(list) {
			if now.Before(v.expiresAt) {
				continue
			}
			r.remove(key, v)
			if v.reserved {
				r.counts.Expired++
			}
		}
	}
}

// recognizeRetry finds out whether a submitted request is a retry that is expected. Other
// requests count as arrivals.
func (p *Planner) recognizeRetry(now time.Time, req *heldRequest) {
	if !p.config.RetryReservations {
		return
	}
	if req.predictions == nil {
		p.expireReservations(now)
	}
	if req.Fingerprint != "" {
		if req.retryOf = p.reservations.find(now, req); req.retryOf != nil {
			return
		}
	}
	for _, s := range req.stages {
		s.service.usual.count(now, req.baseRank(), s.Pieces)
	}
}

// admitRetry admits a caller's retry at the position that was reserved for it.
func (p *Planner) admitRetry(now time.Time, req *heldRequest) *Refused {
	v := req.retryOf
	if !v.reserved {
		return p.admitUnreserved(now, req)
	}
	p.reservations.remove(req.callerKey(), req.retryOf)
	boosted := req.boosted
	req.boosted = v.boosted
	predicted, ok := p.predict(now, req, v.position)
	if ok && !now.Add(predicted).After(req.Deadline) {
		p.reservations.counts.Used++
		req.takePosition(v.position, predicted)
		return nil
	}
	req.boosted = boosted
	refusal := refusedRetry(now, req, predicted, ok)
	if wait := v.toldAt.Sub(now); wait > reservationGrace {
		p.reservations.add(req.callerKey(), v)
		refusal.RetryAfter, refusal.Reserved = wait, true
		return refusal
	}
	p.reservations.counts.Used++
	return refusal
}

// admitUnreserved admits a retry that has no reservation. Its caller doesn't come back again, so
// it gets a place where the caller of a new request would get a reservation, and no other: room
// that new requests still find is taken by those whose work is reserved. New requests that can be in
// time displace it.
func (p *Planner) admitUnreserved(now time.Time, req *heldRequest) *Refused {
	p.reservations.remove(req.callerKey(), req.retryOf)
	at, predicted, ok := p.placeBeforeDeadline(now, req, false)
	if ok && !now.Add(predicted).After(at.due) {
		req.takePosition(at, predicted)
		r := &p.reservations
		i, _ := slices.BinarySearchFunc(r.unreserved, req.Objective, func(other *heldRequest, due time.Time) int { return other.Objective.Compare(due) })
		r.unreserved = slices.Insert(r.unreserved, i, req)
		return nil
	}
	return refusedRetry(now, req, predicted, ok)
}

// mayYieldPlace reports whether a retry without a reservation can be displaced. One that has started
// can't: its results would occupy capacity until their readers have their turn.
func (p *Planner) mayYieldPlace(req *heldRequest) bool {
	return p.requests[req.ID] == req && !req.started && !req.completed && !req.yieldsPlace
}

// precedes reports whether one of the request's stages goes before one of the other's by its key.
func (req *heldRequest) precedes(other *heldRequest) bool {
	for _, s := range req.stages {
		for _, o := range other.stages {
			if s.service == o.service && !s.key().After(o.key()) {
				return true
			}
		}
	}
	return false
}

// displaceUnreserved moves retries without a reservation behind the requests that can be in time,
// the latest first, until the request at the position can be in time too. It reports whether it can.
// If it can't, the retries stay behind: each that ran would take the time of a request in time.
func (p *Planner) displaceUnreserved(now time.Time, req *heldRequest, at queuePosition) bool {
	r := &p.reservations
	if len(r.unreserved) == 0 || req.retryOf != nil || now.Add(p.minRemaining(req)).After(req.Objective) {
		return false
	}
	for i := len(r.unreserved) - 1; i >= 0; i-- {
		retry := r.unreserved[i]
		if retry.baseRank() != at.rank || !retry.precedes(req) || !p.mayYieldPlace(retry) {
			continue
		}
		r.unreserved = slices.Delete(r.unreserved, i, i+1)
		retry.yieldsPlace = true
		p.updateBacklog(now, retry)
		predicted, ok := p.predict(now, req, at)
		if end := now.Add(predicted); ok && !end.After(req.Objective) && !end.After(req.Deadline) {
			req.predicted = predicted - req.Remaining
			return true
		}
	}
	return false
}

// refusedRetry returns the refusal of a retry. ok is false if a service has no target.
func refusedRetry(now time.Time, req *heldRequest, predicted time.Duration, ok bool) *Refused {
	if !ok {
		return &Refused{Request: req.ID, Reason: ReasonNoTarget, RetryAfter: time.Second, Account: req.Account}
	}
	return &Refused{
		Request: req.ID, Reason: ReasonQueueTooLong, RetryAfter: retryAfterDeadline(now, req, predicted), Account: req.Account,
		Needed: predicted, TimeToDeadline: req.Deadline.Sub(now),
	}
}

// takePosition queues the request by a time other than its objective.
func (req *heldRequest) takePosition(at queuePosition, predicted time.Duration) {
	req.retryOf, req.returned = nil, true
	req.predicted = predicted - req.Remaining
	req.attainBy, req.Objective = req.Objective, at.due
	if at.delayed {
		return
	}
	for _, s := range req.stages {
		s.keyDelay = 0
	}
}

// timelyBy is the time by which the request counts as done in time.
func (req *heldRequest) timelyBy() time.Time {
	if req.returned {
		return req.attainBy
	}
	return req.Objective
}

// offerRetry decides what the caller of a refused request is told: a time at which its work is
// reserved, or that there is none within its deadline.
func (p *Planner) offerRetry(now time.Time, req *heldRequest, refusal *Refused) *Refused {
	if !p.config.RetryReservations || req.deadlineShortened || len(req.Stages) == 0 {
		return refusal
	}
	refusal.Account = req.Account
	refusal.RetryAfter = retryAfterDeadline(now, req, refusal.Needed)
	if req.Fingerprint == "" || p.reservations.count >= p.config.MaxRequests {
		return refusal
	}
	longest := req.maxRetryDelay(now)
	v := &retryReservation{boosted: req.boosted, maxRetryDelay: longest}
	if at, after, ok := p.reservablePosition(now, req); ok && longest >= minRetryAfter {
		v.reserved, v.position, v.work = true, at, req.work()
		refusal.RetryAfter, refusal.Reserved = min(max(after, minRetryAfter), longest), true
		p.reservations.counts.Given++
	}
	v.toldAt = now.Add(min(refusal.RetryAfter, longest))
	v.expiresAt = v.toldAt.Add(reservationGrace)
	p.reservations.add(req.callerKey(), v)
	return refusal
}

// work returns the work of the request's stages.
func (req *heldRequest) work() []reservedWork {
	var work []reservedWork
	for _, s := range req.stages {
		if s.Pieces > 0 {
			work = append(work, reservedWork{s.service, queuedWork{s.Pieces, time.Duration(s.Pieces) * s.pieceTime()}})
		}
	}
	return work
}

// maxRetryDelay returns the longest retry delay that the caller honours now: the fraction of the
// time left that it was when the request was submitted.
func (req *heldRequest) maxRetryDelay(now time.Time) time.Duration {
	left, whole := req.Deadline.Sub(now), req.Deadline.Sub(req.admittedAt)
	if req.MaxRetryDelay <= 0 || whole <= 0 {
		return max(left, 0)
	}
	return time.Duration(float64(req.MaxRetryDelay) * float64(left) / float64(whole))
}

// retryAfterDeadline returns the retry delay of a request that can't be served by its deadline:
// when a new one would be served, and not before the deadline.
func retryAfterDeadline(now time.Time, req *heldRequest, needed time.Duration) time.Duration {
	left := req.Deadline.Sub(now)
	return max(needed-left, left, minRetryAfter)
}

// reservablePosition returns the place in the queues that a request can be promised, and the time
// until its turn. It returns false if there is none.
//
// The prediction for a new request adds the waits at all stages, so that a request of several stages
// may be refused although it can still be in time. It is then told to return at once, to a place by
// its objective. The waits of its stages overlap, so that the margin counts once.
func (p *Planner) reservablePosition(now time.Time, req *heldRequest) (queuePosition, time.Duration, bool) {
	if !now.Add(minRetryAfter + p.minRemaining(req)).After(req.Objective) {
		at := queuePosition{rank: req.baseRank(), due: req.Objective, timely: true, promised: true, margin: reservationMargin}
		predicted, ok := p.predict(now, req, at)
		if ok && !now.Add(predicted).After(at.due) {
			at.promised = false
			return at, minRetryAfter, true
		}
	}
	at, predicted, ok := p.placeBeforeDeadline(now, req, true)
	return at, predicted - p.minRemaining(req) - reservationGrace, ok && !now.Add(predicted).After(at.due)
}

// placeBeforeDeadline returns the place in the queues of a request that is done by its deadline, and
// the predicted time of the rest of the request there. There is none if that is after the place's
// objective. It returns false if a service has no target. A place that isn't reserved is behind the
// delayed keys of new requests, and has a margin only for stages after the first: new requests that
// it delays displace it, unless it has started.
//
// The place is that of a request whose objective is shortly before the deadline: ahead of
// requests that arrive so late that they are due after it, behind all others. Requests that
// arrive until then at their usual rate fit in before it.
func (p *Planner) placeBeforeDeadline(now time.Time, req *heldRequest, reserved bool) (queuePosition, time.Duration, bool) {
	due := req.Deadline.Add(-reservationGrace)
	at := queuePosition{rank: req.baseRank(), due: due, promised: true, delayed: !reserved, margin: 1}
	for _, s := range req.stages {
		if s.Pieces > 0 && (reserved || len(s.After) > 0) {
			at.margin *= reservationMargin
		}
	}
	at.arrivalsAhead = max(due.Sub(now)-max(req.timelyBy().Sub(req.admittedAt), 0), 0)
	predicted, ok := p.predict(now, req, at)
	at.promised = false
	return at, predicted, ok
}

// waitOfPromised returns the time until the work ahead of a promised position is done, given the
// time that the work takes that is ahead now, in the share of the usual arrivals.
func (st *heldStage) waitOfPromised(now time.Time, at queuePosition, ahead float64, capacity float64) float64 {
	s := st.service
	yielding := s.backlog.ofRank(at.rank + missedObjectivePenalty)
	yielding.add(s.backlog.ofRank(at.rank + missedObjectivePenalty - 1)) // of the next higher priority
	calls := float64(yielding.pieces) / float64(max(s.config.MaxPieces, 1))
	ahead += (calls*float64(s.callTime()) + float64(yielding.pieceTime)) / capacity
	ahead *= at.margin
	usual := s.usual.upTo(now, at.rank)
	load := at.margin * usual * s.secondsPerPiece() / capacity
	arrivals := at.arrivalsAhead
	if !at.delayed {
		arrivals += st.keyDelay / keyDelayDivisor
	}
	if lasted, rate := s.usual.burst(now, at.rank); lasted > 0 {
		// Requests that can be in time take at most the capacity that the usual load leaves.
		excess := min((rate-usual)*s.secondsPerPiece()/capacity, max(1-load, 0))
		ahead += at.margin * excess * float64(min(burstContinuation*lasted, arrivals))
	}
	whole := ahead + load*float64(arrivals)
	if load >= 1 {
		return whole
	}
	return min(whole, ahead/(1-load))
}

// reservedBehind returns the reserved work that does not delay a request that yields: that of its own
// rank and of lower ones. Until its latest start such a request precedes its own rank's retries, which
// are due later, and a reservation must not have a request of a higher rank refused.
func (s *service) reservedBehind(at queuePosition) queuedWork {
	work := s.reserved.ahead(at)
	for rank, r := range s.reserved.ranks {
		if rank < at.rank-missedObjectivePenalty {
			work.remove(r.total)
		}
	}
	return work
}

// secondsPerPiece returns the time of a target that a piece takes in full calls.
func (s *service) secondsPerPiece() float64 {
	return s.callTime().Seconds()/float64(max(s.config.MaxPieces, 1)) + s.config.PieceTime.Seconds()
}

// ofRank returns the work of one rank.
func (b *backlog) ofRank(rank float64) queuedWork {
	if r := b.ranks[rank]; r != nil {
		return r.total
	}
	return queuedWork{}
}
