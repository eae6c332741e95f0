package claim

import "time"

// Limits bound what one call spends on its claim.
type Limits struct {
	// MaxWrites bounds the Create and TakeOver actions of one call.
	MaxWrites int
	// AskEvery is the time before the second question to a claimant that
	// runs; it doubles with each question, to MaxAskEvery.
	AskEvery    time.Duration
	MaxAskEvery time.Duration
	// MaxAskFailures is how many questions may go without an answer before
	// the claimant counts as gone.
	MaxAskFailures int
}

// DefaultLimits suit a store and peers that answer in milliseconds.
var DefaultLimits = Limits{
	MaxWrites:      4,
	AskEvery:       20 * time.Millisecond,
	MaxAskEvery:    time.Second,
	MaxAskFailures: 2,
}

type phase int

const (
	// writing: a Create or TakeOver is under way.
	writing phase = iota
	// readingBack: a write's answer was lost, the store is being read.
	readingBack
	// asking: the claimant is being asked.
	asking
	// waiting: the claimant runs, the next question is due later.
	waiting
	// lastRead: the claimant can't tell; its outcome may be in the store.
	lastRead
	// decided: the call has ended.
	decided
)

// Call is the claim of one call. It is a value of one goroutine.
type Call struct {
	mine     Record
	deadline time.Time
	limits   Limits
	phase    phase
	writes   int
	// found is the foreign claim last seen, at revision.
	found    Record
	revision uint64
	heard    bool
	// mayBeStored is set once a write of this token may have taken effect.
	mayBeStored bool
	now         time.Time
	askAgain    time.Duration
	askFailures int
}

// NewCall prepares the claim of a call that must be decided by deadline. The
// token is used by no other call.
func NewCall(token Token, body BodyDigest, now, deadline time.Time, limits Limits) *Call {
	mine := Record{Token: token, Body: body, Made: now}
	return &Call{mine: mine, deadline: deadline, limits: limits, now: now, askAgain: limits.AskEvery}
}

// Record returns the claim as this call writes it.
func (c *Call) Record() Record { return c.mine }

// MayBeStored tells whether a write of this call's token may have taken
// effect, or may do so later.
func (c *Call) MayBeStored() bool { return c.mayBeStored }

// Start returns the first action.
func (c *Call) Start() Action { return c.create() }

// Step takes the answer to the last action and returns the next one.
func (c *Call) Step(now time.Time, e Event) Action {
	c.now = now
	switch c.phase {
	case writing:
		return c.afterWrite(e)
	case readingBack:
		return c.afterReadBack(e)
	case asking:
		return c.afterAsk(e)
	case waiting:
		return c.ask()
	case lastRead:
		return c.afterLastRead(e)
	default:
		panic("claim: step of a decided call")
	}
}

func (c *Call) create() Action {
	c.phase = writing
	c.writes++
	return Create{Record: c.mine}
}

func (c *Call) takeOver() Action {
	if c.writes >= c.limits.MaxWrites {
		return c.notRun("too many writes for one claim")
	}
	c.phase = writing
	c.writes++
	return TakeOver{Revision: c.revision, Record: c.mine}
}

// ask asks the claimant. Each claimant met is asked until the deadline at most,
// so the call ends however often the claim changes hands.
func (c *Call) ask() Action {
	if !c.now.Before(c.deadline) {
		return c.unknown("claimant still runs at the deadline")
	}
	c.phase = asking
	return Ask{Token: c.found.Token}
}

func (c *Call) afterWrite(e Event) Action {
	switch e := e.(type) {
	case Written:
		c.mayBeStored = true
		return c.run(e.Revision)
	case Exists:
		return c.examine(e)
	case StoreAway:
		return c.refuse("store unavailable", e.RetryAfter)
	case Absent:
		// The claim to take over has gone with the end of its retention.
		c.heard = true
		return c.notRun("claim removed while it was taken over")
	default:
		// The write may have taken effect, or may do so later. Only the
		// token in the store can tell, so read it back.
		c.mayBeStored = true
		c.phase = readingBack
		return Read{}
	}
}

func (c *Call) afterReadBack(e Event) Action {
	switch e := e.(type) {
	case Exists:
		return c.examine(e)
	case Absent:
		return c.createAgain()
	default:
		// Guard: answer lost and read-back failed. The claim may stand in the
		// store under this token or under another one. Dispatching would risk
		// a second run; the call ends and its token is never dispatched.
		return c.notRun("answer of the store lost and read-back failed")
	}
}

// createAgain repeats the create under the same token. Guard: a create whose
// answer was lost may take effect after a read-back found nothing. Under the
// same token both effects are one claim, so the late one does no harm; when
// the call gives up instead, the claimant remembers the token as abandoned.
func (c *Call) createAgain() Action {
	c.heard = true
	if c.writes >= c.limits.MaxWrites {
		return c.notRun("too many writes for one claim")
	}
	return c.create()
}

// examine acts on the claim that the store holds.
func (c *Call) examine(e Exists) Action {
	c.heard = true
	if e.Record.Token == c.mine.Token {
		return c.run(e.Revision)
	}
	c.found, c.revision = e.Record, e.Revision
	if e.Record.Body != c.mine.Body {
		return c.decide(Decision{Verdict: VerdictConflict, Reason: "key used with another body"})
	}
	if e.Record.Released() {
		return c.takeOver()
	}
	if e.Record.Kept != nil {
		return c.replay(e.Record.Kept)
	}
	return c.ask()
}

func (c *Call) afterAsk(e Event) Action {
	said, ok := e.(PeerSaid)
	if !ok {
		return c.afterSilence()
	}
	switch said.Answer.State {
	case PeerAbandoned:
		return c.takeOver()
	case PeerRunning:
		return c.wait()
	case PeerFinished:
		if said.Answer.Kept != nil {
			return c.replay(said.Answer.Kept)
		}
		return c.readLast()
	default:
		return c.readLast()
	}
}

// afterSilence asks a claimant that gave no answer again, a few times.
func (c *Call) afterSilence() Action {
	c.askFailures++
	if c.askFailures < c.limits.MaxAskFailures {
		return c.ask()
	}
	return c.readLast()
}

// readLast reads the claim once more. Guard: the claimant recorded the outcome
// after this call had read the claim, and died before it could be asked.
func (c *Call) readLast() Action {
	c.phase = lastRead
	return Read{}
}

func (c *Call) wait() Action {
	c.phase = waiting
	until := c.now.Add(c.askAgain)
	c.askAgain = min(2*c.askAgain, c.limits.MaxAskEvery)
	if until.After(c.deadline) {
		until = c.deadline
	}
	return Wait{Until: until}
}

func (c *Call) afterLastRead(e Event) Action {
	exists, ok := e.(Exists)
	if !ok {
		return c.unknown("claimant and store can't tell the outcome")
	}
	same := exists.Record.Token == c.found.Token
	if !same || exists.Record.Kept != nil || exists.Record.Abandoned {
		return c.examine(exists)
	}
	// Guard: the claimant is gone and left no outcome. It may have dispatched
	// just before it died, so the key never runs again.
	return c.unknown("claimant gone without an outcome")
}

func (c *Call) run(revision uint64) Action {
	return c.decide(Decision{Verdict: VerdictRun, Revision: revision, Reason: "claimed"})
}

func (c *Call) replay(kept *Kept) Action {
	return c.decide(Decision{Verdict: VerdictReplay, Kept: kept, Reason: "key has run"})
}

func (c *Call) unknown(reason string) Action {
	return c.decide(Decision{Verdict: VerdictUnknown, Reason: reason})
}

func (c *Call) notRun(reason string) Action { return c.refuse(reason, 0) }

func (c *Call) refuse(reason string, retryAfter time.Duration) Action {
	return c.decide(Decision{
		Verdict:     VerdictNotRun,
		RetryAfter:  retryAfter,
		Reason:      reason,
		StoreSilent: !c.heard,
	})
}

func (c *Call) decide(d Decision) Action {
	c.phase = decided
	return Decide{Decision: d}
}
