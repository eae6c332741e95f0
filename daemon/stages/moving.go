package stages

import (
	"maps"
	"time"

	"github.com/ivyhollow/ivyhollow/coordination/gather"
	"github.com/ivyhollow/ivyhollow/coordination/placing"
)

const (
	// claimWithin is how long a request that was taken over is kept until its asker
	// asks here: some round trips between data centres, and the time until a lost
	// connection shows. Then nobody waits for it.
	claimTimeout = 2 * time.Second
	// endedMargin is how much later than by its own time-out a call counts as lost
	// whose end another instance is to tell.
	callEndMargin = 500 * time.Millisecond
)

// sender is a run of an instance.
type instanceID struct {
	name        string
	incarnation uint64
}

// adoptedCall names a call of another instance.
type remoteCall struct {
	instanceID
	id uint64
}

// callEnd is the end of a call that waits for the end of a hand-over.
type callEnd struct {
	id      uint64
	outcome gather.CallOutcome
	results []gather.PieceResult
}

// handing is what an owner knows of the hand-overs it took part in.
type handoverState struct {
	// frozen tells that the queue is on its way to another instance: until that has
	// it, or hasn't, nothing changes here. exported is what it holds.
	frozen   bool
	exported gather.State
	// decided is closed when the queue isn't frozen any more.
	unfrozen chan struct{}
	// steps, ends and drops came while it was frozen; listed tells the targets that did.
	deferredSteps   []func(*gather.Planner) []gather.Action
	deferredEnds    []callEnd
	deferredDrops   []placing.RequestEnd
	deferredTargets func() []gather.Action
	// movedTo is the address of the instance that has the queue. yielded tells that
	// this one goes on beside it and may have the queue again.
	movedTo string
	yielded bool
	// movedCalls are the instances that have calls which were in progress as the queue
	// was given away, by their numbers here.
	movedCalls map[uint64]string
	// tookOver is when a queue was last taken over.
	tookOverAt time.Time
	// renamed are the numbers of calls that changed when the queue came back.
	renumbered map[uint64]uint64
	// adopted are the numbers of calls that other instances carry out.
	remoteCalls map[remoteCall]uint64
	// unclaimed are the requests taken over whose askers haven't asked here, with
	// the time until which they are kept; early are those of them that have ended.
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

// freeze takes the queue out of the planner, unless that is done already. moved or
// thaw ends it.
func (o *queue) freeze() gather.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.freezeLocked()
	return o.exported
}

// export takes the queue out of the planner; mu is held.
func (o *queue) freezeLocked() {
	if !o.frozen {
		o.frozen, o.unfrozen = true, make(chan struct{})
		o.exported = o.planner.Export(time.Now())
	}
}

// thaw goes on with a queue that no other instance took.
func (o *queue) unfreeze(state gather.State) {
	o.mu.Lock()
	actions := o.applyDeferredTargets()
	imported, ids := o.planner.Import(time.Now(), state)
	actions = append(actions, imported...)
	o.renumber(ids)
	for id := range o.unclaimed {
		o.unclaimed[id] = time.Now().Add(claimTimeout)
	}
	ends, steps := o.deferredEnds, o.deferredSteps
	o.deferredEnds, o.deferredSteps, o.deferredDrops = nil, nil, nil
	o.frozen, o.exported = false, gather.State{}
	close(o.unfrozen)
	o.recordActions(actions)
	o.mu.Unlock()
	o.performActions(actions)
	for _, e := range ends {
		o.callEnded(e.id, e.outcome, e.results)
	}
	for _, step := range steps {
		o.apply(step)
	}
}

// rename notes new numbers of calls in progress; mu is held.
func (o *queue) renumber(ids map[uint64]uint64) {
	known := map[uint64]bool{}
	for from, to := range o.renumbered {
		if id, ok := ids[to]; ok {
			o.renumbered[from] = id
			known[to] = true
		}
	}
	for from, to := range ids {
		if !known[from] {
			o.renumbered[from] = to
		}
	}
}

// moved lets go of a queue that another instance has now. Those who wait here are told
// where it is.
func (o *queue) completeHandover(to string) {
	o.mu.Lock()
	ends, drops := o.deferredEnds, o.deferredDrops
	o.deferredEnds, o.deferredSteps, o.deferredDrops = nil, nil, nil
	o.applyDeferredTargets() // there are no actions where nothing is held
	for _, c := range o.exported.Calls {
		o.movedCalls[c.ID] = to
	}
	o.frozen, o.exported, o.movedTo = false, gather.State{}, to
	close(o.unfrozen)
	for id := range o.waiters {
		o.finish(id, outcome{movedTo: to})
	}
	clear(o.unclaimed)
	clear(o.earlyOutcomes)
	clear(o.prompts)
	o.mu.Unlock()
	for _, e := range ends {
		// Each may wait for an instance that is gone by now; a call's end waits for no other.
		go o.callEnded(e.id, e.outcome, e.results)
	}
	o.forwardDrops(to, drops...)
}

// takeOver goes on with the queue of an instance that stops, unless this one gives its
// own away.
func (o *queue) takeOver(from instanceID, state gather.State) bool {
	o.mu.Lock()
	if o.frozen || (o.movedTo != "" && !o.yielded) {
		o.mu.Unlock()
		return false
	}
	now := time.Now()
	o.tookOverAt, o.movedTo, o.yielded = now, "", false
	for _, w := range state.Requests {
		if !w.Completed && o.waiters[w.ID] == nil {
			o.unclaimed[w.ID] = now.Add(claimTimeout)
		}
	}
	actions, ids := o.planner.Import(now, state)
	for there, here := range ids {
		o.remoteCalls[remoteCall{from, there}] = here
	}
	expiries := o.planner.CallTimeouts(ids)
	o.recordActions(actions)
	o.mu.Unlock()
	o.performActions(actions)
	for id, at := range expiries {
		time.AfterFunc(at.Sub(now)+callEndMargin, func() { o.timeOutRemoteCall(id) })
	}
	return true
}

// adoptedLost counts a call as lost of whose end no word has come, and forgets one that
// was given away with the queue: who has that finds out for itself.
//
// It guards against notes that stay for good, since the instance that has the call is
// gone and its end will never be told.
func (o *queue) timeOutRemoteCall(id uint64) {
	o.mu.Lock()
	maps.DeleteFunc(o.remoteCalls, func(_ remoteCall, here uint64) bool { return here == id })
	gone := o.forgetMovedCall(id) || o.movedTo != ""
	o.mu.Unlock()
	if !gone {
		o.callEnded(id, gather.CallUnanswered, nil)
	}
}

// forgetGiven forgets a call in progress if the queue was given away since it was taken
// in, and tells whether it did; mu is held.
func (o *queue) forgetMovedCall(id uint64) bool {
	now, renamed := o.renumbered[id]
	if !renamed {
		now = id
	}
	_, given := o.movedCalls[now]
	if given || o.movedTo != "" {
		delete(o.renumbered, id)
		delete(o.movedCalls, now)
	}
	return given
}

// adoptedEnded takes in the end of a call that another instance carried out.
func (o *queue) remoteCallEnded(from instanceID, id uint64, how gather.CallOutcome, results []gather.PieceResult) {
	key := remoteCall{from, id}
	o.mu.Lock()
	here, ok := o.remoteCalls[key]
	delete(o.remoteCalls, key)
	o.mu.Unlock()
	if ok {
		o.callEnded(here, how, results)
	}
}

// callEnded takes in the end of a call, or passes it on to the instance that has the
// queue by now.
func (o *queue) callEnded(id uint64, how gather.CallOutcome, results []gather.PieceResult) {
	o.lockAndCheckStall()
	if o.frozen {
		o.deferredEnds = append(o.deferredEnds, callEnd{id, how, results})
		o.mu.Unlock()
		return
	}
	if to, ok := o.renumbered[id]; ok {
		delete(o.renumbered, id)
		id = to
	}
	if to, ok := o.movedCalls[id]; ok {
		delete(o.movedCalls, id)
		o.mu.Unlock()
		o.reportCallEnd(to, id, how, results)
		return
	}
	actions := o.planner.CallDone(time.Now(), id, how, results)
	o.recordActions(actions)
	o.mu.Unlock()
	o.performActions(actions)
}

// dropUnclaimed forgets requests that were taken over and whose askers never came.
func (o *queue) dropUnclaimed(now time.Time) {
	var gone []placing.RequestEnd
	o.mu.Lock()
	if o.frozen {
		// Their askers may be waiting to hear who has the queue.
		o.mu.Unlock()
		return
	}
	for id, until := range o.unclaimed {
		if now.After(until) {
			gone = append(gone, placing.RequestEnd{Request: id})
		}
	}
	o.mu.Unlock()
	if len(gone) > 0 {
		o.drop(gone...)
	}
}
