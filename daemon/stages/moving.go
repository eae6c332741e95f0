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
	claimWithin = 2 * time.Second
	// endedMargin is how much later than by its own time-out a call counts as lost
	// whose end another instance is to tell.
	endedMargin = 500 * time.Millisecond
)

// sender is a run of an instance.
type sender struct {
	name        string
	incarnation uint64
}

// adoptedCall names a call of another instance.
type adoptedCall struct {
	sender
	id uint64
}

// callEnd is the end of a call that waits for the end of a hand-over.
type callEnd struct {
	id      uint64
	how     gather.CallOutcome
	results []gather.PieceResult
}

// handing is what an owner knows of the hand-overs it took part in.
type handing struct {
	// frozen tells that the queue is on its way to another instance: until that has
	// it, or hasn't, nothing changes here. exported is what it holds.
	frozen   bool
	exported gather.State
	// decided is closed when the queue isn't frozen any more.
	decided chan struct{}
	// steps, ends and drops came while it was frozen; listed tells the targets that did.
	steps  []func(*gather.Planner) []gather.Action
	ends   []callEnd
	drops  []placing.RequestEnd
	listed func() []gather.Action
	// movedTo is the address of the instance that has the queue. yielded tells that
	// this one goes on beside it and may have the queue again.
	movedTo string
	yielded bool
	// movedCalls are the instances that have calls which were in progress as the queue
	// was given away, by their numbers here.
	movedCalls map[uint64]string
	// tookOver is when a queue was last taken over.
	tookOver time.Time
	// renamed are the numbers of calls that changed when the queue came back.
	renamed map[uint64]uint64
	// adopted are the numbers of calls that other instances carry out.
	adopted map[adoptedCall]uint64
	// unclaimed are the requests taken over whose askers haven't asked here, with
	// the time until which they are kept; early are those of them that have ended.
	unclaimed map[string]time.Time
	early     map[string]outcome
}

func newHanding() handing {
	return handing{
		movedCalls: map[uint64]string{},
		renamed:    map[uint64]uint64{},
		adopted:    map[adoptedCall]uint64{},
		unclaimed:  map[string]time.Time{},
		early:      map[string]outcome{},
	}
}

// freeze takes the queue out of the planner, unless that is done already. moved or
// thaw ends it.
func (o *Owner) freeze() gather.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.export()
	return o.exported
}

// export takes the queue out of the planner; mu is held.
func (o *Owner) export() {
	if !o.frozen {
		o.frozen, o.decided = true, make(chan struct{})
		o.exported = o.planner.Export(time.Now())
	}
}

// thaw goes on with a queue that no other instance took.
func (o *Owner) thaw(state gather.State) {
	o.mu.Lock()
	actions := o.takeListed()
	imported, ids := o.planner.Import(time.Now(), state)
	actions = append(actions, imported...)
	o.rename(ids)
	for id := range o.unclaimed {
		o.unclaimed[id] = time.Now().Add(claimWithin)
	}
	ends, steps := o.ends, o.steps
	o.ends, o.steps, o.drops = nil, nil, nil
	o.frozen, o.exported = false, gather.State{}
	close(o.decided)
	o.settle(actions)
	o.mu.Unlock()
	o.carryOut(actions)
	for _, e := range ends {
		o.callEnded(e.id, e.how, e.results)
	}
	for _, step := range steps {
		o.do(step)
	}
}

// rename notes new numbers of calls in progress; mu is held.
func (o *Owner) rename(ids map[uint64]uint64) {
	known := map[uint64]bool{}
	for from, to := range o.renamed {
		if id, ok := ids[to]; ok {
			o.renamed[from] = id
			known[to] = true
		}
	}
	for from, to := range ids {
		if !known[from] {
			o.renamed[from] = to
		}
	}
}

// moved lets go of a queue that another instance has now. Those who wait here are told
// where it is.
func (o *Owner) moved(to string) {
	o.mu.Lock()
	ends, drops := o.ends, o.drops
	o.ends, o.steps, o.drops = nil, nil, nil
	o.takeListed() // there are no actions where nothing is held
	for _, c := range o.exported.Calls {
		o.movedCalls[c.ID] = to
	}
	o.frozen, o.exported, o.movedTo = false, gather.State{}, to
	close(o.decided)
	for id := range o.waiting {
		o.finish(id, outcome{movedTo: to})
	}
	clear(o.unclaimed)
	clear(o.early)
	clear(o.prompts)
	o.mu.Unlock()
	for _, e := range ends {
		// Each may wait for an instance that is gone by now; a call's end waits for no other.
		go o.callEnded(e.id, e.how, e.results)
	}
	o.passDrops(to, drops...)
}

// takeOver goes on with the queue of an instance that stops, unless this one gives its
// own away.
func (o *Owner) takeOver(from sender, state gather.State) bool {
	o.mu.Lock()
	if o.frozen || (o.movedTo != "" && !o.yielded) {
		o.mu.Unlock()
		return false
	}
	now := time.Now()
	o.tookOver, o.movedTo, o.yielded = now, "", false
	for _, w := range state.Works {
		if !w.Completed && o.waiting[w.ID] == nil {
			o.unclaimed[w.ID] = now.Add(claimWithin)
		}
	}
	actions, ids := o.planner.Import(now, state)
	for there, here := range ids {
		o.adopted[adoptedCall{from, there}] = here
	}
	expiries := o.planner.Expiries(ids)
	o.settle(actions)
	o.mu.Unlock()
	o.carryOut(actions)
	for id, at := range expiries {
		time.AfterFunc(at.Sub(now)+endedMargin, func() { o.adoptedLost(id) })
	}
	return true
}

// adoptedLost counts a call as lost of whose end no word has come, and forgets one that
// was given away with the queue: who has that finds out for itself.
//
// It guards against notes that stay for good, since the instance that has the call is
// gone and its end will never be told.
func (o *Owner) adoptedLost(id uint64) {
	o.mu.Lock()
	maps.DeleteFunc(o.adopted, func(_ adoptedCall, here uint64) bool { return here == id })
	gone := o.forgetGiven(id) || o.movedTo != ""
	o.mu.Unlock()
	if !gone {
		o.callEnded(id, gather.CallLost, nil)
	}
}

// forgetGiven forgets a call in progress if the queue was given away since it was taken
// in, and tells whether it did; mu is held.
func (o *Owner) forgetGiven(id uint64) bool {
	now, renamed := o.renamed[id]
	if !renamed {
		now = id
	}
	_, given := o.movedCalls[now]
	if given || o.movedTo != "" {
		delete(o.renamed, id)
		delete(o.movedCalls, now)
	}
	return given
}

// adoptedEnded takes in the end of a call that another instance carried out.
func (o *Owner) adoptedEnded(from sender, id uint64, how gather.CallOutcome, results []gather.PieceResult) {
	key := adoptedCall{from, id}
	o.mu.Lock()
	here, ok := o.adopted[key]
	delete(o.adopted, key)
	o.mu.Unlock()
	if ok {
		o.callEnded(here, how, results)
	}
}

// callEnded takes in the end of a call, or passes it on to the instance that has the
// queue by now.
func (o *Owner) callEnded(id uint64, how gather.CallOutcome, results []gather.PieceResult) {
	o.enter()
	if o.frozen {
		o.ends = append(o.ends, callEnd{id, how, results})
		o.mu.Unlock()
		return
	}
	if to, ok := o.renamed[id]; ok {
		delete(o.renamed, id)
		id = to
	}
	if to, ok := o.movedCalls[id]; ok {
		delete(o.movedCalls, id)
		o.mu.Unlock()
		o.passEnd(to, id, how, results)
		return
	}
	actions := o.planner.CallDone(time.Now(), id, how, results)
	o.settle(actions)
	o.mu.Unlock()
	o.carryOut(actions)
}

// dropUnclaimed forgets requests that were taken over and whose askers never came.
func (o *Owner) dropUnclaimed(now time.Time) {
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
