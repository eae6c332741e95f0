package claim

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	modelRetention = time.Hour
	modelWindow    = time.Minute
	// modelDelay is the longest time after which a lost write takes effect.
	modelDelay = 5 * time.Minute
)

// modelWrite is a write on its way to the store. A revision of 0 creates.
type modelWrite struct {
	record   Record
	revision uint64
	sent     time.Time
}

// modelCall is one call on one instance, with its outstanding action or the
// event that is on its way back.
type modelCall struct {
	*Call
	at         *modelInstance
	token      Token
	action     Action
	event      Event
	began      time.Time
	knownRun   bool
	decision   *Decision
	dispatched bool
	over       bool
}

type modelInstance struct {
	owner  Owner
	holder *Tracker
	dead   bool
}

// model is a store with one key, some instances, and calls of that key.
type model struct {
	t          *rapid.T
	now        time.Time
	stored     *Record
	revision   uint64
	late       []modelWrite
	instances  []*modelInstance
	calls      []*modelCall
	dispatches []time.Time
	outcomes   map[Token]int
	attempts   uint64
	swept      bool
	lossy      bool
	died       bool
	// remembered is how many closed tokens an instance remembers.
	remembered int
}

func (m *model) start(i int, body byte) *modelCall {
	at := m.instances[i]
	m.attempts++
	token := Token{Owner: at.owner, Attempt: m.attempts}
	if at.holder.Open(ID{}, BodyDigest{body}, m.attempts, m.now) != nil {
		return nil
	}
	c := &modelCall{at: at, token: token, began: m.now, knownRun: len(m.dispatches) > 0}
	c.Call = NewCall(token, BodyDigest{body}, m.now, m.now.Add(10*time.Second), DefaultLimits)
	c.action = c.Start()
	m.calls = append(m.calls, c)
	return c
}

// apply gives a write its effect in the store.
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

// write sends a write with a drawn fault.
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
		m.late = append(m.late, w)
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

func (m *model) ask(token Token) Event {
	if m.lossy && rapid.IntRange(0, 5).Draw(m.t, "ask fault") == 0 {
		return PeerUnreachable{}
	}
	for _, i := range m.instances {
		if i.owner == token.Owner && !i.dead {
			return PeerResponded{Response: i.holder.Status(token.Attempt)}
		}
	}
	return PeerUnreachable{}
}

// step moves one call by half an exchange: the action takes effect, or its
// event arrives.
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
		c.event = m.ask(a.Token)
	case Wait:
		c.event = Waited{}
		m.now = later(m.now, a.Until)
	case Decide:
		m.decide(c, a.Decision)
	}
}

func later(a, b time.Time) time.Time {
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
			m.t.Fatalf("replay of an outcome that nobody recorded")
		}
	case VerdictNotRun:
		if c.knownRun && !d.NoStoreResponse && !m.swept {
			m.t.Fatalf("false not run: the key ran before this call began (%s)", d.Reason)
		}
	}
	m.close(c)
}

// close gives a call up and checks that its token can't be dispatched.
func (m *model) close(c *modelCall) {
	c.over = true
	if err := c.at.holder.Abandon(c.token.Attempt, c.MayBeStored(), m.now); err != nil {
		m.t.Fatalf("abandon: %v", err)
	}
	if c.at.holder.Dispatch(c.token.Attempt, m.now) == nil {
		m.t.Fatalf("an abandoned token was dispatched")
	}
}

// proceed moves a call that holds the claim: dispatch, finish or abandon.
func (m *model) proceed(c *modelCall, choice int) {
	record := c.Record()
	switch {
	case !c.dispatched && choice == 0:
		m.close(c)
		record.Abandoned = true
		m.write(modelWrite{record: record, revision: c.decision.Revision})
	case !c.dispatched:
		if c.at.holder.Dispatch(c.token.Attempt, m.now) != nil {
			m.close(c)
			return
		}
		c.dispatched = true
		m.dispatch()
		if c.at.holder.Abandon(c.token.Attempt, true, m.now) == nil {
			m.t.Fatalf("a dispatched token was abandoned")
		}
	default:
		c.over = true
		kept := StoredResult{Outcome: OutcomeRan, Status: int(c.token.Attempt)}
		if err := c.at.holder.Finish(c.token.Attempt, kept, m.now); err != nil {
			m.t.Fatalf("finish: %v", err)
		}
		m.outcomes[Token{Attempt: c.token.Attempt}]++
		record.Result = &kept
		m.write(modelWrite{record: record, revision: c.decision.Revision})
	}
}

func (m *model) dispatch() {
	for _, before := range m.dispatches {
		if m.now.Sub(before) < modelRetention-modelWindow-modelDelay {
			m.t.Fatalf("two dispatches of one key, %v apart", m.now.Sub(before))
		}
	}
	m.dispatches = append(m.dispatches, m.now)
}

// kill replaces an instance by a new incarnation; its calls are gone.
func (m *model) kill(i int) {
	m.died = true
	m.instances[i].dead = true
	for _, c := range m.calls {
		c.over = c.over || c.at == m.instances[i]
	}
	m.instances[i] = newModelInstance(i, m.instances[i].owner.Incarnation+1, m.remembered)
}

// advance lets time pass: late writes take effect by modelDelay, and the
// sweep removes a claim past its retention.
func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	kept := m.late[:0]
	for _, w := range m.late {
		if m.now.Sub(w.sent) < modelDelay {
			kept = append(kept, w)
			continue
		}
		m.apply(w)
	}
	m.late = kept
	if m.stored != nil && m.now.Sub(m.stored.CreatedAt) > modelRetention {
		m.stored, m.swept = nil, true
	}
}

func newModelInstance(i int, incarnation uint64, remembered int) *modelInstance {
	limits := TrackerLimits{
		MaxOpen: 200, MaxClosed: remembered, MaxResultBytes: 1 << 20,
		Retention: modelRetention, DispatchWindow: modelWindow,
	}
	owner := Owner{Instance: string(rune('a' + i)), Incarnation: incarnation}
	return &modelInstance{owner: owner, holder: NewTracker(limits)}
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), outcomes: map[Token]int{}, lossy: true}
	m.remembered = rapid.SampledFrom([]int{1, 200}).Draw(t, "remembered")
	for i := range 3 {
		m.instances = append(m.instances, newModelInstance(i, 1, m.remembered))
	}
	return m
}

// random makes one random move.
func (m *model) random() {
	instance := rapid.IntRange(0, len(m.instances)-1).Draw(m.t, "instance")
	move := rapid.IntRange(0, 19).Draw(m.t, "move")
	switch {
	case move < 3:
		m.start(instance, 1)
	case move == 3 && len(m.late) > 0:
		w := m.late[0]
		m.late = m.late[1:]
		m.apply(w)
	case move == 4 && rapid.IntRange(0, 3).Draw(m.t, "kill") == 0:
		m.kill(instance)
	case move == 5:
		m.advance(time.Duration(rapid.SampledFrom([]int{1, 50, 400, 4000}).Draw(m.t, "seconds")) * time.Second)
	default:
		m.move()
	}
}

// move advances one live call.
func (m *model) move() {
	var live []*modelCall
	for _, c := range m.calls {
		if !c.over {
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

// settle ends all calls without further faults.
func (m *model) settle() {
	m.lossy = false
	for _, c := range m.calls {
		for steps := 0; !c.over; steps++ {
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
	m.advance(modelDelay)
}

// Story: a ward clerk's work order is retried on other instances while the
// store loses answers, applies writes late, instances pause, die and come back.
// Two crews must never be sent for one key, and "not run" must be true. Once
// the faults end, a key that nobody ran must not stay blocked.
func TestNoInterleavingRunsAKeyTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(10, 120).Draw(t, "moves") {
			m.random()
		}
		m.settle()
		c := m.start(0, 1)
		for c.decision == nil {
			m.step(c)
		}
		lostNothing := !m.died && m.remembered > len(m.calls)
		if lostNothing && c.decision.Verdict != VerdictRun && c.decision.Verdict != VerdictReplay {
			t.Fatalf("a key that nobody lost is blocked: %v %s", c.decision.Verdict, c.decision.Reason)
		}
		if other := m.start(1, 2); other != nil && !m.swept {
			for other.decision == nil {
				m.step(other)
			}
			if other.decision.Verdict != VerdictConflict {
				t.Fatalf("another body got %v", other.decision.Verdict)
			}
		}
	})
}
