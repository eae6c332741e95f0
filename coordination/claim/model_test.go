package claim

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelRetention = time.Hour
	modelWindow    = time.Minute
	// modelMaxDelay is the longest time after which a write whose response was lost
	// takes effect.
	modelMaxDelay = 5 * time.Minute
)

// modelWrite is a write to the store. Revision 0 means create.
type modelWrite struct {
	record   Record
	revision uint64
	sent     time.Time
}

// modelCall is one call on one instance, with its outstanding action, or the event
// that has not been delivered yet.
type modelCall struct {
	*Call
	instance   *modelInstance
	token      Token
	action     Action
	event      Event
	startedAt  time.Time
	ranBefore  bool
	decision   *Decision
	dispatched bool
	ended      bool
}

type modelInstance struct {
	owner   Owner
	tracker *Tracker
	failed  bool
}

// model is a store with one key, several instances, and calls with that key.
type model struct {
	t              *rapid.T
	now            time.Time
	stored         *Record
	revision       uint64
	delayed        []modelWrite
	instances      []*modelInstance
	calls          []*modelCall
	dispatches     []time.Time
	outcomes       map[Token]int
	attempts       uint64
	removed        bool
	lossy          bool
	instanceFailed bool
	// maxClosed is the number of closed tokens that an instance keeps.
	maxClosed int
}

func (m *model) start(i int, body byte) *modelCall {
	instance := m.instances[i]
	m.attempts++
	token := Token{Owner: instance.owner, Attempt: m.attempts}
	if instance.tracker.Open(ID{}, BodyDigest{body}, m.attempts, m.now) != nil {
		return nil
	}
	c := &modelCall{instance: instance, token: token, startedAt: m.now, ranBefore: len(m.dispatches) > 0}
	c.Call = NewCall(token, BodyDigest{body}, m.now, m.now.Add(10*time.Second), DefaultLimits)
	c.action = c.Start()
	m.calls = append(m.calls, c)
	return c
}

// apply applies a write to the store.
func (m *model) apply(w modelWrite) Event {
	if m.stored == nil && w.revision != 0 {
		return Absent{}
	}
	if m.stored != nil && w.revision != m.revision {
		return Exists{Record: *m.stored, Revision: m.revision}
	}
	m.revision++
	record := w.record
	m.stored = &record
	return Written{Revision: m.revision}
}

// write sends a write with a random fault.
func (m *model) write(w modelWrite) Event {
	w.sent = m.now
	fault := 0
	if m.lossy {
		fault = rapid.IntRange(0, 5).Draw(m.t, "write fault")
	}
	switch fault {
	case 1:
		m.apply(w)
		return ResponseLost{}
	case 2, 3:
		m.delayed = append(m.delayed, w)
		return ResponseLost{}
	case 4:
		return StoreUnavailable{}
	default:
		return m.apply(w)
	}
}

func (m *model) read() Event {
	if m.lossy && rapid.IntRange(0, 3).Draw(m.t, "read fault") == 0 {
		return ReadFailed{}
	}
	if m.stored == nil {
		return Absent{}
	}
	return Exists{Record: *m.stored, Revision: m.revision}
}

func (m *model) requestStatus(token Token) Event {
	if m.lossy && rapid.IntRange(0, 5).Draw(m.t, "status request fault") == 0 {
		return PeerUnreachable{}
	}
	for _, i := range m.instances {
		if i.owner == token.Owner && !i.failed {
			return PeerResponded{Response: i.tracker.Status(token.Attempt)}
		}
	}
	return PeerUnreachable{}
}

// step advances one call by half an exchange: its action takes effect, or its event
// is delivered.
func (m *model) step(c *modelCall) {
	if c.event != nil {
		event := c.event
		c.event = nil
		c.action = c.Step(m.now, event)
	}
	switch a := c.action.(type) {
	case Create:
		c.event = m.write(modelWrite{record: a.Record})
	case TakeOver:
		c.event = m.write(modelWrite{record: a.Record, revision: a.Revision})
	case Read:
		c.event = m.read()
	case RequestStatus:
		c.event = m.requestStatus(a.Token)
	case Wait:
		c.event = Waited{}
		m.now = latest(m.now, a.Until)
	case Decide:
		m.decide(c, a.Decision)
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (m *model) decide(c *modelCall, d Decision) {
	c.decision = &d
	switch d.Verdict {
	case VerdictRun:
		return
	case VerdictReplay:
		if _, ran := m.outcomes[Token{Attempt: uint64(d.Result.Status)}]; !ran {
			m.t.Fatalf("replay of an outcome that was never recorded")
		}
	case VerdictNotRun:
		if c.ranBefore && !d.NoStoreResponse && !m.removed {
			m.t.Fatalf("incorrect not run: the key ran before this call started (%s)", d.Reason)
		}
	}
	m.close(c)
}

// close abandons a call and checks that its token can't be dispatched.
func (m *model) close(c *modelCall) {
	c.ended = true
	if err := c.instance.tracker.Abandon(c.token.Attempt, c.MayBeStored(), m.now); err != nil {
		m.t.Fatalf("abandon: %v", err)
	}
	if c.instance.tracker.Dispatch(c.token.Attempt, m.now) == nil {
		m.t.Fatalf("an abandoned token was dispatched")
	}
}

// proceed advances a call that has claimed the key: dispatch, finish or abandon.
func (m *model) proceed(c *modelCall, choice int) {
	record := c.Record()
	switch {
	case !c.dispatched && choice == 0:
		m.close(c)
		record.Abandoned = true
		m.write(modelWrite{record: record, revision: c.decision.Revision})
	case !c.dispatched:
		if c.instance.tracker.Dispatch(c.token.Attempt, m.now) != nil {
			m.close(c)
			return
		}
		c.dispatched = true
		m.dispatch()
		if c.instance.tracker.Abandon(c.token.Attempt, true, m.now) == nil {
			m.t.Fatalf("a dispatched token was abandoned")
		}
	default:
		c.ended = true
		result := StoredResult{Outcome: OutcomeRan, Status: int(c.token.Attempt)}
		if err := c.instance.tracker.Finish(c.token.Attempt, result, m.now); err != nil {
			m.t.Fatalf("finish: %v", err)
		}
		m.outcomes[Token{Attempt: c.token.Attempt}]++
		record.Result = &result
		m.write(modelWrite{record: record, revision: c.decision.Revision})
	}
}

func (m *model) dispatch() {
	for _, before := range m.dispatches {
		if m.now.Sub(before) < modelRetention-modelWindow-modelMaxDelay {
			m.t.Fatalf("two dispatches of one key, %v apart", m.now.Sub(before))
		}
	}
	m.dispatches = append(m.dispatches, m.now)
}

// fail replaces an instance with a new incarnation and ends its calls.
func (m *model) fail(i int) {
	m.instanceFailed = true
	m.instances[i].failed = true
	for _, c := range m.calls {
		c.ended = c.ended || c.instance == m.instances[i]
	}
	m.instances[i] = newModelInstance(i, m.instances[i].owner.Incarnation+1, m.maxClosed)
}

// advance advances time: delayed writes that were sent modelMaxDelay ago or earlier take
// effect, and a claim past its retention is removed.
func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	remaining := m.delayed[:0]
	for _, w := range m.delayed {
		if m.now.Sub(w.sent) < modelMaxDelay {
			remaining = append(remaining, w)
			continue
		}
		m.apply(w)
	}
	m.delayed = remaining
	if m.stored != nil && m.now.Sub(m.stored.CreatedAt) > modelRetention {
		m.stored, m.removed = nil, true
	}
}

func newModelInstance(i int, incarnation uint64, maxClosed int) *modelInstance {
	limits := TrackerLimits{
		MaxOpen: 200, MaxClosed: maxClosed, MaxResultBytes: 1 << 20,
		Retention: modelRetention, DispatchWindow: modelWindow,
	}
	owner := Owner{Instance: string(rune('a' + i)), Incarnation: incarnation}
	return &modelInstance{owner: owner, tracker: NewTracker(limits)}
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), outcomes: map[Token]int{}, lossy: true}
	m.maxClosed = rapid.SampledFrom([]int{1, 200}).Draw(t, "max closed")
	for i := range 3 {
		m.instances = append(m.instances, newModelInstance(i, 1, m.maxClosed))
	}
	return m
}

// randomMove makes one random move.
func (m *model) randomMove() {
	instance := rapid.IntRange(0, len(m.instances)-1).Draw(m.t, "instance")
	move := rapid.IntRange(0, 19).Draw(m.t, "move")
	switch {
	case move < 3:
		m.start(instance, 1)
	case move == 3 && len(m.delayed) > 0:
		w := m.delayed[0]
		m.delayed = m.delayed[1:]
		m.apply(w)
	case move == 4 && rapid.IntRange(0, 3).Draw(m.t, "fail") == 0:
		m.fail(instance)
	case move == 5:
		m.advance(time.Duration(rapid.SampledFrom([]int{1, 50, 400, 4000}).Draw(m.t, "seconds")) * time.Second)
	default:
		m.advanceCall()
	}
}

// advanceCall advances one call that has not ended.
func (m *model) advanceCall() {
	var live []*modelCall
	for _, c := range m.calls {
		if !c.ended {
			live = append(live, c)
		}
	}
	if len(live) == 0 {
		return
	}
	c := live[rapid.IntRange(0, len(live)-1).Draw(m.t, "call")]
	if c.decision != nil {
		m.proceed(c, rapid.IntRange(0, 3).Draw(m.t, "proceed"))
		return
	}
	m.step(c)
}

// settle runs all calls to their end without further faults.
func (m *model) settle() {
	m.lossy = false
	for _, c := range m.calls {
		for steps := 0; !c.ended; steps++ {
			if steps > 1000 {
				m.t.Fatalf("a call never ends")
			}
			if c.decision != nil {
				m.proceed(c, 1)
				continue
			}
			m.step(c)
		}
	}
	m.advance(modelMaxDelay)
}

// A call is retried on other instances while the store loses responses and applies
// writes late, and instances pause, fail and restart. One key must never be
// dispatched twice, and "not run" must be correct. Once the faults end, a key that
// was never run must not stay blocked.
func TestNoInterleavingRunsAKeyTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(10, 120).Draw(t, "moves") {
			m.randomMove()
		}
		m.settle()
		c := m.start(0, 1)
		for c.decision == nil {
			m.step(c)
		}
		lostNothing := !m.instanceFailed && m.maxClosed > len(m.calls)
		if lostNothing && c.decision.Verdict != VerdictRun && c.decision.Verdict != VerdictReplay {
			t.Fatalf("a key is blocked although no instance failed or forgot it: %v %s", c.decision.Verdict, c.decision.Reason)
		}
		if other := m.start(1, 2); other != nil && !m.removed {
			for other.decision == nil {
				m.step(other)
			}
			if other.decision.Verdict != VerdictConflict {
				t.Fatalf("another body got %v", other.decision.Verdict)
			}
		}
	})
}
