package claim

import "time"

// Limits bound what one call spends on its claim.
type Limits struct {
	// MaxWrites bounds the Create and TakeOver actions of one call.
	MaxWrites int
	// AskEvery is the time before the second question to a claimant that
	// runs; it doubles with each question, to MaxAskEvery.
	RequestInterval    time.Duration
	MaxRequestInterval time.Duration
	// MaxAskFailures is how many questions may go without an answer before
	// the claimant counts as gone.
	MaxRequestFailures int
}

// DefaultLimits suit a store and peers that answer in milliseconds.
var DefaultLimits = Limits{
	MaxWrites:          4,
	RequestInterval:    20 * time.Millisecond,
	MaxRequestInterval: time.Second,
	MaxRequestFailures: 2,
}

type phase int

const (
	// writing: a Create or TakeOver is under way.
	writing phase = iota
	// readingBack: a write's answer was lost, the store is being read.
	readingBack
	// asking: the claimant is being asked.
	requesting
	// waiting: the claimant runs, the next question is due later.
	waiting
	// lastRead: the claimant can't tell; its outcome may be in the store.
	finalRead
	// decided: the call has ended.
	decided
)

// Call is the claim of one call. It is a value of one goroutine.
type Call struct {
	own      Record
	deadline time.Time
	limits   Limits
	phase    phase
	writes   int
	// found is the foreign claim last seen, at revision.
	found          Record
	foundRevision  uint64
	storeResponded bool
	// mayBeStored is set once a write of this token may have taken effect.
	mayBeStored     bool
	now             time.Time
	requestInterval time.Duration
	requestFailures int
}

// NewCall prepares the claim of a call that must be decided by deadline. The
// token is used by no other call.
func NewCall(token Token, body BodyDigest, now, deadline time.Time, limits Limits) *Call {
	mine := Record{Token: token, BodyDigest: body, CreatedAt: now}
	return &Call{own: mine, deadline: deadline, limits: limits, now: now, requestInterval: limits.RequestInterval}
}

// Record returns the claim as this call writes it.
func (c *Call) Record() Record { return c.own }

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
	case requesting:
		return c.afterRequest(e)
	case waiting:
		return c.requestStatus()
	case finalRead:
		return c.afterFinalRead(e)
	default:
		panic("claim: step of a decided call")
	}
}

func (c *Call) create() Action {
	c.phase = writing
	c.writes++
	return Create{Record: c.own}
}

func (c *Call) takeOver() Action {
	if c.writes >= c.limits.MaxWrites {
		return c.notRun("too many writes for one claim")
	}
	c.phase = writing
	c.writes++
	return TakeOver{Revision: c.foundRevision, Record: c.own}
}

// ask asks the claimant. Each claimant met is asked until the deadline at most,
// so the call ends however often the claim changes hands.
func (c *Call) requestStatus() Action {
	if !c.now.Before(c.deadline) {
		return c.unknown("claimant still runs at the deadline")
	}
	c.phase = requesting
	return RequestStatus{Token: c.found.Token}
}

func (c *Call) afterWrite(e Event) Action {
	switch e := e.(type) {
	case Written:
		c.mayBeStored = true
		return c.run(e.Revision)
	case Exists:
		return c.examine(e)
	case StoreUnavailable:
		return c.refuse("store unavailable", e.RetryAfter)
	case Absent:
		// The claim to take over has gone with the end of its retention.
		c.storeResponded = true
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
	c.storeResponded = true
	if c.writes >= c.limits.MaxWrites {
		return c.notRun("too many writes for one claim")
	}
	return c.create()
}

// examine acts on the claim that the store holds.
func (c *Call) examine(e Exists) Action {
	c.storeResponded = true
	if e.Record.Token == c.own.Token {
		return c.run(e.Revision)
	}
	c.found, c.foundRevision = e.Record, e.Revision
	if e.Record.BodyDigest != c.own.BodyDigest {
		return c.decide(Decision{Verdict: VerdictConflict, Reason: "key used with another body"})
	}
	if e.Record.Released() {
		return c.takeOver()
	}
	if e.Record.Result != nil {
		return c.replay(e.Record.Result)
	}
	return c.requestStatus()
}

func (c *Call) afterRequest(e Event) Action {
	said, ok := e.(PeerResponded)
	if !ok {
		return c.afterNoResponse()
	}
	switch said.Response.State {
	case TokenAbandoned:
		return c.takeOver()
	case TokenRunning:
		return c.wait()
	case TokenFinished:
		if said.Response.Result != nil {
			return c.replay(said.Response.Result)
		}
		return c.readFinal()
	default:
		return c.readFinal()
	}
}

// afterSilence asks a claimant that gave no answer again, a few times.
func (c *Call) afterNoResponse() Action {
	c.requestFailures++
	if c.requestFailures < c.limits.MaxRequestFailures {
		return c.requestStatus()
	}
	return c.readFinal()
}

// readLast reads the claim once more. Guard: the claimant recorded the outcome
// after this call had read the claim, and died before it could be asked.
func (c *Call) readFinal() Action {
	c.phase = finalRead
	return Read{}
}

func (c *Call) wait() Action {
	c.phase = waiting
	until := c.now.Add(c.requestInterval)
	c.requestInterval = min(2*c.requestInterval, c.limits.MaxRequestInterval)
	if until.After(c.deadline) {
		until = c.deadline
	}
	return Wait{Until: until}
}

func (c *Call) afterFinalRead(e Event) Action {
	exists, ok := e.(Exists)
	if !ok {
		return c.unknown("claimant and store can't tell the outcome")
	}
	same := exists.Record.Token == c.found.Token
	if !same || exists.Record.Result != nil || exists.Record.Abandoned {
		return c.examine(exists)
	}
	// Guard: the claimant is gone and left no outcome. It may have dispatched
	// just before it died, so the key never runs again.
	return c.unknown("claimant gone without an outcome")
}

func (c *Call) run(revision uint64) Action {
	return c.decide(Decision{Verdict: VerdictRun, Revision: revision, Reason: "claimed"})
}

func (c *Call) replay(kept *StoredResult) Action {
	return c.decide(Decision{Verdict: VerdictReplay, Result: kept, Reason: "key has run"})
}

func (c *Call) unknown(reason string) Action {
	return c.decide(Decision{Verdict: VerdictUnknown, Reason: reason})
}

func (c *Call) notRun(reason string) Action { return c.refuse(reason, 0) }

func (c *Call) refuse(reason string, retryAfter time.Duration) Action {
	return c.decide(Decision{
		Verdict:         VerdictNotRun,
		RetryAfter:      retryAfter,
		Reason:          reason,
		NoStoreResponse: !c.storeResponded,
	})
}

func (c *Call) decide(d Decision) Action {
	c.phase = decided
	return Decide{Decision: d}
}
