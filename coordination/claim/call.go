package claim

import "time"

// Limits bound the writes and requests of one call.
type Limits struct {
	// MaxWrites bounds the Create and TakeOver actions of one call.
	MaxWrites int
	// RequestInterval is the time before the second status request to a claimant
	// whose token is running; it doubles with each request, up to
	// MaxRequestInterval.
	RequestInterval    time.Duration
	MaxRequestInterval time.Duration
	// MaxRequestFailures is the number of unanswered status requests after which
	// the claimant counts as failed.
	MaxRequestFailures int
}

// DefaultLimits suit a store and peers that respond within milliseconds.
var DefaultLimits = Limits{
	MaxWrites:          4,
	RequestInterval:    20 * time.Millisecond,
	MaxRequestInterval: time.Second,
	MaxRequestFailures: 2,
}

type phase int

const (
	// writing: a Create or TakeOver is in progress.
	writing phase = iota
	// readingBack: the response to a write was lost; the claim is being read.
	readingBack
	// requesting: a status request to the claimant is in progress.
	requesting
	// waiting: the token is running; the next status request is due later.
	waiting
	// finalRead: the claimant gave no result; it may be in the store.
	finalRead
	// decided: the call has ended.
	decided
)

// Call is the state machine of one call's attempt to claim its key. It isn't safe
// for concurrent use.
type Call struct {
	own      Record
	deadline time.Time
	limits   Limits
	phase    phase
	writes   int
	// found is the claim under another token that was read last, foundRevision its
	// revision.
	found          Record
	foundRevision  uint64
	storeResponded bool
	// mayBeStored is set once a write of this token may have taken effect.
	mayBeStored     bool
	now             time.Time
	requestInterval time.Duration
	requestFailures int
}

// NewCall returns a Call that must be decided by deadline. No other call may use
// the token.
func NewCall(token Token, body BodyDigest, now, deadline time.Time, limits Limits) *Call {
	own := Record{Token: token, BodyDigest: body, CreatedAt: now}
	return &Call{own: own, deadline: deadline, limits: limits, now: now, requestInterval: limits.RequestInterval}
}

// Record returns the claim that this call writes.
func (c *Call) Record() Record { return c.own }

// MayBeStored reports whether a write of this call's token may have taken effect,
// or may do so later.
func (c *Call) MayBeStored() bool { return c.mayBeStored }

// Start returns the first action.
func (c *Call) Start() Action { return c.create() }

// Step processes the event that the last action led to and returns the next action.
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

// requestStatus sends a status request to the claimant. No request is sent after
// the deadline, so the call ends however often the claim is taken over.
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
		// The claim was removed at the end of its retention.
		c.storeResponded = true
		return c.notRun("claim removed while it was taken over")
	default:
		// The write may have taken effect, or may do so later. Only the token in
		// the store shows which, so read it back.
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
		// The response was lost and the read-back failed. The store may hold the
		// claim under this token or under another one. Dispatching could cause a
		// second run, so the call ends and nothing is dispatched under its token.
		return c.notRun("answer of the store lost and read-back failed")
	}
}

// createAgain creates the claim, under the same token, after a read-back found none.
// The write whose response was lost may still take effect later. Under the same
// token both writes are one claim, so the delayed one is harmless. If the call ends
// instead, its instance keeps the token as abandoned.
func (c *Call) createAgain() Action {
	c.storeResponded = true
	if c.writes >= c.limits.MaxWrites {
		return c.notRun("too many writes for one claim")
	}
	return c.create()
}

// examine returns the action that follows from the claim in the store.
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
	responded, ok := e.(PeerResponded)
	if !ok {
		return c.afterNoResponse()
	}
	switch responded.Response.State {
	case TokenAbandoned:
		return c.takeOver()
	case TokenRunning:
		return c.wait()
	case TokenFinished:
		if responded.Response.Result != nil {
			return c.replay(responded.Response.Result)
		}
		return c.readFinal()
	default:
		return c.readFinal()
	}
}

// afterNoResponse repeats a status request that got no response, a few times.
func (c *Call) afterNoResponse() Action {
	c.requestFailures++
	if c.requestFailures < c.limits.MaxRequestFailures {
		return c.requestStatus()
	}
	return c.readFinal()
}

// readFinal reads the claim once more. The claimant may have recorded the outcome
// after this call read the claim, and failed before it got the status request.
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
	// The claimant has failed without recording an outcome. It may have dispatched
	// the work just before it failed, so nothing is dispatched for the key again.
	return c.unknown("claimant gone without an outcome")
}

func (c *Call) run(revision uint64) Action {
	return c.decide(Decision{Verdict: VerdictRun, Revision: revision, Reason: "claimed"})
}

func (c *Call) replay(result *StoredResult) Action {
	return c.decide(Decision{Verdict: VerdictReplay, Result: result, Reason: "key has run"})
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
