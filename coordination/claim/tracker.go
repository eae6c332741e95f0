package claim

import (
	"errors"
	"time"
)

// Errors of a Tracker.
var (
	// ErrTooManyOpen means that the tracker has reached MaxOpen.
	ErrTooManyOpen = errors.New("claim: too many open claims")
	// ErrClosed means that the token was abandoned, finished or forgotten:
	// nothing may be dispatched under it.
	ErrClosed = errors.New("claim: token not held")
	// ErrDispatched means that work may have been dispatched under the token,
	// so that it can't be abandoned any more.
	ErrDispatched = errors.New("claim: already dispatched")
	// ErrWindowExpired means that more than DispatchWindow has passed since the
	// start of the attempt.
	ErrWindowExpired = errors.New("claim: dispatch window over")
)

// TrackerLimits are the bounds of a Tracker.
type TrackerLimits struct {
	// MaxOpen bounds the attempts that are neither finished nor abandoned.
	MaxOpen int
	// MaxClosed bounds the finished and abandoned attempts that are kept.
	MaxClosed int
	// MaxResultBytes bounds the total size of the bodies kept for finished attempts.
	MaxResultBytes int
	// Retention is how long a closed attempt is kept. It equals the retention of
	// claims: for that long, peers may find the attempt's claim in the store, also
	// if the response to its write was lost.
	Retention time.Duration
	// DispatchWindow is the longest time between the start of an attempt and its
	// dispatch. It is far shorter than the retention of claims.
	DispatchWindow time.Duration
}

type attemptState int

const (
	pending attemptState = iota
	dispatched
	finished
	abandoned
)

// trackedAttempt is one attempt of this incarnation to claim a key.
type trackedAttempt struct {
	id         ID
	bodyDigest BodyDigest
	state      attemptState
	startedAt  time.Time
	closedAt   time.Time
	result     *StoredResult
}

// Tracker holds the state of one incarnation's own attempts. Each attempt has one
// token, which contains its number. The Tracker supplies the status that peers
// request, and it alone decides whether work may still be dispatched under a token.
// It isn't safe for concurrent use.
type Tracker struct {
	limits   TrackerLimits
	attempts map[uint64]*trackedAttempt
	// latest maps a key to the attempt that another call with the key joins.
	latest map[ID]uint64
	// closedOrder lists the closed attempts, oldest first.
	closedOrder []uint64
	// withResult lists the attempts whose result is kept, oldest first.
	withResult []uint64
	// open is the number of attempts that are neither finished nor abandoned.
	open        int
	resultBytes int
}

// NewTracker returns an empty Tracker.
func NewTracker(limits TrackerLimits) *Tracker {
	return &Tracker{
		limits:   limits,
		attempts: make(map[uint64]*trackedAttempt),
		latest:   make(map[ID]uint64),
	}
}

// LatestAttempt describes the last attempt of a key on an instance.
type LatestAttempt struct {
	Attempt uint64
	// SameBody reports whether the attempt has the given body digest.
	SameBody bool
}

// Latest returns the last attempt of a key on this instance, unless it was
// abandoned or its result is no longer kept.
func (t *Tracker) Latest(id ID, body BodyDigest) (LatestAttempt, bool) {
	attempt, ok := t.latest[id]
	if !ok {
		return LatestAttempt{}, false
	}
	a := t.attempts[attempt]
	return LatestAttempt{Attempt: attempt, SameBody: a.bodyDigest == body}, true
}

// Open starts to track an attempt. It must be called before the attempt's first
// write to the store.
func (t *Tracker) Open(id ID, body BodyDigest, attempt uint64, now time.Time) error {
	t.expire(now)
	if t.open >= t.limits.MaxOpen {
		return ErrTooManyOpen
	}
	t.open++
	t.attempts[attempt] = &trackedAttempt{id: id, bodyDigest: body, startedAt: now}
	t.latest[id] = attempt
	return nil
}

// Dispatch records that work is about to be dispatched under the attempt.
// After it has returned nil the attempt can't be abandoned.
//
// An instance may be paused between claim and dispatch for longer than the
// retention of claims. Its claim has then been removed, and another call may have
// dispatched work for the key. DispatchWindow, measured on a clock that advances
// during the pause, prevents a dispatch after such a pause.
func (t *Tracker) Dispatch(attempt uint64, now time.Time) error {
	a, ok := t.attempts[attempt]
	if !ok || a.state == finished || a.state == abandoned {
		return ErrClosed
	}
	if now.Sub(a.startedAt) > t.limits.DispatchWindow {
		return ErrWindowExpired
	}
	a.state = dispatched
	return nil
}

// Abandon closes the attempt for good. It fails once work may have been
// dispatched. An attempt that was never written to the store is forgotten at once.
func (t *Tracker) Abandon(attempt uint64, mayBeStored bool, now time.Time) error {
	a, ok := t.attempts[attempt]
	if !ok || a.state == abandoned {
		return nil
	}
	if a.state != pending {
		return ErrDispatched
	}
	if !mayBeStored {
		t.open--
		t.forget(attempt, a)
		return nil
	}
	t.close(attempt, a, abandoned, now)
	return nil
}

// Finish records the result of a dispatched attempt. Outcome not_run means that
// every dispatched stage is known not to have started; the attempt then counts as
// abandoned.
func (t *Tracker) Finish(attempt uint64, result StoredResult, now time.Time) error {
	a, ok := t.attempts[attempt]
	if !ok || a.state == finished || a.state == abandoned {
		return ErrClosed
	}
	if result.Outcome == OutcomeNotRun {
		t.close(attempt, a, abandoned, now)
		return nil
	}
	a.result = &result
	t.resultBytes += len(result.Body)
	t.withResult = append(t.withResult, attempt)
	t.close(attempt, a, finished, now)
	t.evictResults()
	return nil
}

// Status returns the status of an attempt, in response to a peer's request.
func (t *Tracker) Status(attempt uint64) StatusResponse {
	a, ok := t.attempts[attempt]
	if !ok {
		return StatusResponse{State: TokenForgotten}
	}
	return a.status()
}

func (a *trackedAttempt) status() StatusResponse {
	switch a.state {
	case finished:
		return StatusResponse{State: TokenFinished, Result: a.result}
	case abandoned:
		return StatusResponse{State: TokenAbandoned}
	default:
		return StatusResponse{State: TokenRunning}
	}
}

func (t *Tracker) close(attempt uint64, a *trackedAttempt, state attemptState, now time.Time) {
	a.state = state
	a.closedAt = now
	t.open--
	t.closedOrder = append(t.closedOrder, attempt)
	if state == abandoned {
		t.unlink(attempt, a)
	}
	t.expire(now)
}

// expire forgets the closed attempts that are too old or too many. Forgetting is
// always safe: a call that requests the status of a forgotten attempt decides by the
// claim in the store, and ends as unknown if no outcome is recorded there.
func (t *Tracker) expire(now time.Time) {
	for len(t.closedOrder) > 0 {
		attempt := t.closedOrder[0]
		a := t.attempts[attempt]
		if len(t.closedOrder) <= t.limits.MaxClosed && now.Sub(a.closedAt) < t.limits.Retention {
			return
		}
		t.closedOrder = t.closedOrder[1:]
		// Both lists are in the order of closing, so if the oldest closed attempt
		// has a result, it is the first of withResult. If it stayed there, the list
		// would grow without bound in an instance that never reaches MaxResultBytes.
		if len(t.withResult) > 0 && t.withResult[0] == attempt {
			t.withResult = t.withResult[1:]
		}
		t.forget(attempt, a)
	}
}

func (t *Tracker) forget(attempt uint64, a *trackedAttempt) {
	t.dropResult(a)
	delete(t.attempts, attempt)
	t.unlink(attempt, a)
}

// evictResults drops the oldest results until the bodies of the others fit into
// MaxResultBytes. Later calls read a dropped result from the store.
func (t *Tracker) evictResults() {
	for t.resultBytes > t.limits.MaxResultBytes && len(t.withResult) > 0 {
		attempt := t.withResult[0]
		t.withResult = t.withResult[1:]
		a := t.attempts[attempt]
		t.dropResult(a)
		t.unlink(attempt, a)
	}
}

func (t *Tracker) dropResult(a *trackedAttempt) {
	if a.result == nil {
		return
	}
	t.resultBytes -= len(a.result.Body)
	a.result = nil
}

// unlink makes later calls with the key read the store instead of joining the
// attempt.
func (t *Tracker) unlink(attempt uint64, a *trackedAttempt) {
	if t.latest[a.id] == attempt {
		delete(t.latest, a.id)
	}
}
