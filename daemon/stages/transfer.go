package stages

import (
	"maps"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

const (
	// claimTimeout is how long a request that was taken over is kept until its requester asks
	// here: some round trips between data centres, and the time until a lost connection is
	// detected. After that nobody waits for it.
	claimTimeout = 2 * time.Second
	// callEndMargin is added to the timeout of a call if another instance reports its end.
	// Without a report by then, the call counts as unanswered.
	callEndMargin = 500 * time.Millisecond
)

// instanceID identifies one run of an instance.
type instanceID struct {
	name        string
	incarnation uint64
}

// remoteCall identifies a call of another instance.
type remoteCall struct {
	instanceID
	id uint64
}

// callEnd is the end of a call, deferred until the end of a handover.
type callEnd struct {
	id      uint64
	outcome gather.CallOutcome
	results []gather.PieceResult
}

// movedEnd is the end of a call that was handed over to another instance.
type movedEnd struct {
	callEnd
	to string
}

// handoverState is the state of the handovers in which a queue took part.
type handoverState struct {
	// frozen means that a handover to another instance is in progress: nothing changes here
	// until it is known whether that instance has accepted the queue. exported and exportedSchedule
	// are the frozen state.
	frozen           bool
	exported         gather.State
	exportedSchedule gather.ScheduleState
	// unfrozen is closed when the queue is no longer frozen.
	unfrozen chan struct{}
	// deferredSteps, deferredEnds and deferredDrops arrived while the queue was frozen.
	// deferredTargets applies the targets that arrived in that time.
	deferredSteps   []func(*gather.Planner) []gather.Action
	deferredEnds    []callEnd
	deferredDrops   []placing.RequestEnd
	deferredTargets func() []gather.Action
	// movedTo is the address of the instance that has the queue. yielded means that this
	// instance keeps running and may get the queue back.
	movedTo string
	yielded bool
	// movedCalls holds, by the ID of a call here, the address of the instance to which the
	// call was handed over while it was in progress.
	movedCalls map[uint64]string
	// tookOverAt is when a queue was last taken over.
	tookOverAt time.Time
	// renumbered holds, by old ID, the new IDs of the calls whose IDs changed when the queue
	// was imported again.
	renumbered map[uint64]uint64
	// remoteCalls holds this instance's IDs of the calls that other instances carry out.
	remoteCalls map[remoteCall]uint64
	// unclaimed holds the requests whose requesters have yet to ask here, because the
	// requests were taken over or the connections were lost, with the time until which each
	// is kept. earlyOutcomes holds the outcomes of such requests that have ended.
	unclaimed     map[string]time.Time
	earlyOutcomes map[string]outcome
}

func newHandoverState() handoverState {
	return handoverState{
		movedCalls:    map[uint64]string{},
		renumbered:    map[uint64]uint64{},
		remoteCalls:   map[remoteCall]uint64{},
		unclaimed:     map[string]time.Time{},
		earlyOutcomes: map[string]outcome{},
	}
}

// freeze exports the queue from the planner, unless the queue is frozen already. The queue stays
// frozen until completeHandover or unfreeze.
func (q *queue) freeze() gather.State {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.freezeLocked()
	return q.exported
}

// freezeLocked is freeze with mu held. The next holder expects results that are being freed to be
// gone soon, so that none is kept back.
func (q *queue) freezeLocked() {
	if !q.frozen {
		q.frozen, q.unfrozen = true, make(chan struct{})
		q.freeCollected()
		q.exportedSchedule = q.planner.ExportSchedule(time.Now())
		q.exported = q.planner.Export(time.Now())
	}
}

// unfreeze continues with a queue that no other instance accepted.
func (q *queue) unfreeze(state gather.State) {
	q.mu.Lock()
	actions := q.applyDeferredTargets()
	q.planner.ImportSchedule(time.Now(), q.exportedSchedule)
	imported, ids := q.planner.Import(time.Now(), state)
	actions = append(actions, imported...)
	q.renumber(ids)
	for id := range q.unclaimed {
		q.unclaimed[id] = time.Now().Add(claimTimeout)
	}
	ends, steps := q.deferredEnds, q.deferredSteps
	q.deferredEnds, q.deferredSteps, q.deferredDrops = nil, nil, nil
	q.recordActions(actions)
	// All that was deferred precedes the requests that wait for the end of the handover: the end of
	// a request mustn't end the same request as it is sent again.
	var moved []movedEnd
	for _, e := range ends {
		ended, to := q.endCall(&e)
		q.recordActions(ended)
		actions = append(actions, ended...)
		if to != "" {
			moved = append(moved, movedEnd{e, to})
		}
	}
	for _, step := range steps {
		applied := step(q.planner)
		q.recordActions(applied)
		actions = append(actions, applied...)
	}
	q.frozen, q.exported, q.exportedSchedule = false, gather.State{}, gather.ScheduleState{}
	close(q.unfrozen)
	q.mu.Unlock()
	q.performActions(actions)
	for _, e := range moved {
		q.reportCallEnd(e.to, e.id, e.outcome, e.results)
	}
}

// renumber records new IDs of calls in progress. mu must be held.
func (q *queue) renumber(ids map[uint64]uint64) {
	applied := map[uint64]bool{}
	for from, to := range q.renumbered {
		if id, ok := ids[to]; ok {
			q.renumbered[from] = id
			applied[to] = true
		}
	}
	for from, to := range ids {
		if !applied[from] {
			q.renumbered[from] = to
		}
	}
}

// completeHandover releases a queue that another instance has now. Requesters that wait here
// are redirected to it.
func (q *queue) completeHandover(to string) {
	q.mu.Lock()
	for len(q.deferredDrops) > 0 {
		// They precede the redirects of requests that are sent again.
		drops := q.deferredDrops
		q.deferredDrops = nil
		q.mu.Unlock()
		q.forwardDrops(to, drops...)
		q.mu.Lock()
	}
	ends := q.deferredEnds
	q.deferredEnds, q.deferredSteps = nil, nil
	q.applyDeferredTargets() // returns no actions, since nothing is held
	for _, c := range q.exported.Calls {
		q.movedCalls[c.ID] = to
	}
	q.frozen, q.exported, q.exportedSchedule, q.movedTo = false, gather.State{}, gather.ScheduleState{}, to
	close(q.unfrozen)
	for id := range q.waiters {
		q.finish(id, outcome{movedTo: to})
	}
	clear(q.unclaimed)
	clear(q.earlyOutcomes)
	clear(q.prompts)
	q.mu.Unlock()
	for _, e := range ends {
		// Each report may wait for an instance that has failed; a call's end doesn't wait for
		// others.
		go q.callEnded(e.id, e.outcome, e.results)
	}
}

// takeOver continues with the queue that another instance hands over. It returns false if this
// instance is handing its own queue over, or has handed it over and isn't to get it back.
func (q *queue) takeOver(from instanceID, state gather.State) bool {
	q.mu.Lock()
	if q.frozen || (q.movedTo != "" && !q.yielded) {
		q.mu.Unlock()
		return false
	}
	now := time.Now()
	q.tookOverAt, q.movedTo, q.yielded = now, "", false
	for _, w := range state.Requests {
		if !w.Completed && q.waiters[w.ID] == nil {
			q.unclaimed[w.ID] = now.Add(claimTimeout)
		}
	}
	actions, ids := q.planner.Import(now, state)
	for there, here := range ids {
		q.remoteCalls[remoteCall{from, there}] = here
	}
	timeouts := q.planner.CallTimeouts(ids)
	q.recordActions(actions)
	q.mu.Unlock()
	q.performActions(actions)
	for id, at := range timeouts {
		time.AfterFunc(at.Sub(now)+callEndMargin, func() { q.timeOutRemoteCall(id) })
	}
	return true
}

// timeOutRemoteCall counts a call as unanswered if its end was not reported. It only forgets
// a call that was handed over with the queue, because the new holder has a timeout of its own.
//
// It prevents records from staying forever if the instance that carries out the call has failed
// and never reports the call's end.
func (q *queue) timeOutRemoteCall(id uint64) {
	q.mu.Lock()
	maps.DeleteFunc(q.remoteCalls, func(_ remoteCall, here uint64) bool { return here == id })
	moved := q.forgetMovedCall(id) || q.movedTo != ""
	q.mu.Unlock()
	if !moved {
		q.callEnded(id, gather.CallUnanswered, nil)
	}
}

// forgetMovedCall forgets a call in progress if the queue was handed over since the call was
// imported, and reports whether it was. mu must be held.
func (q *queue) forgetMovedCall(id uint64) bool {
	current, renumbered := q.renumbered[id]
	if !renumbered {
		current = id
	}
	_, moved := q.movedCalls[current]
	if moved || q.movedTo != "" {
		delete(q.renumbered, id)
		delete(q.movedCalls, current)
	}
	return moved
}

// remoteCallEnded processes the end of a call that another instance carried out.
func (q *queue) remoteCallEnded(from instanceID, id uint64, callOutcome gather.CallOutcome, results []gather.PieceResult) {
	key := remoteCall{from, id}
	q.mu.Lock()
	here, ok := q.remoteCalls[key]
	delete(q.remoteCalls, key)
	q.mu.Unlock()
	if ok {
		q.callEnded(here, callOutcome, results)
	}
}

// callEnded processes the end of a call, or reports it to the instance that now has the
// queue.
func (q *queue) callEnded(id uint64, callOutcome gather.CallOutcome, results []gather.PieceResult) {
	q.lockAndCheckStall()
	if q.frozen {
		q.deferredEnds = append(q.deferredEnds, callEnd{id, callOutcome, results})
		q.mu.Unlock()
		return
	}
	e := callEnd{id, callOutcome, results}
	actions, to := q.endCall(&e)
	q.recordActions(actions)
	q.mu.Unlock()
	q.performActions(actions)
	if to != "" {
		q.reportCallEnd(to, e.id, callOutcome, results)
	}
}

// endCall applies the end of a call to the planner. If the call was handed over, it returns the address
// of the instance to report to. It sets the present ID of a renumbered call. mu must be held.
func (q *queue) endCall(e *callEnd) (_ []gather.Action, movedTo string) {
	if id, ok := q.renumbered[e.id]; ok {
		delete(q.renumbered, e.id)
		e.id = id
	}
	if to, ok := q.movedCalls[e.id]; ok {
		delete(q.movedCalls, e.id)
		return nil, to
	}
	return q.planner.CallDone(time.Now(), e.id, e.outcome, e.results), ""
}

// dropUnclaimed drops the unclaimed requests whose requesters haven't asked here in time.
func (q *queue) dropUnclaimed(now time.Time) {
	var expired []placing.RequestEnd
	q.mu.Lock()
	if q.frozen {
		// Their requesters may be waiting here for the end of the handover.
		q.mu.Unlock()
		return
	}
	for id, until := range q.unclaimed {
		if now.After(until) {
			expired = append(expired, placing.RequestEnd{Request: id})
		}
	}
	q.mu.Unlock()
	if len(expired) > 0 {
		q.drop(expired...)
	}
}
