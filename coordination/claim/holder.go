package claim

import (
	"errors"
	"time"
)

// Errors of a Holder.
var (
	// ErrFull says that the holder tracks as many open claims as it may.
	ErrTooManyOpen = errors.New("claim: too many open claims")
	// ErrNotHeld says that the token was abandoned or is over: nothing may be
	// dispatched under it.
	ErrClosed = errors.New("claim: token not held")
	// ErrDispatched says that work may have been dispatched under the token,
	// so it can't be abandoned any more.
	ErrDispatched = errors.New("claim: already dispatched")
	// ErrWindow says that too much time went by between claim and dispatch.
	ErrWindowExpired = errors.New("claim: dispatch window over")
)

// HolderLimits bound a Holder.
type TrackerLimits struct {
	// MaxOpen bounds the claims that are neither finished nor abandoned.
	MaxOpen int
	// MaxClosed bounds the finished and abandoned tokens remembered.
	MaxClosed int
	// MaxKeptBytes bounds the bodies remembered for finished tokens.
	MaxResultBytes int
	// Remember is how long a closed token is remembered: the retention of
	// claims, since a lost write may show up as long as its claim may.
	Retention time.Duration
	// DispatchWindow is the longest time between a claim's start and its
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

type trackedAttempt struct {
	id         ID
	bodyDigest BodyDigest
	state      attemptState
	startedAt  time.Time
	closedAt   time.Time
	result     *StoredResult
}

// Holder is what one incarnation remembers about its own tokens: it answers
// the questions of peers, and it is the only judge of whether a token may
// still be dispatched. It isn't safe for concurrent use.
type Tracker struct {
	limits   TrackerLimits
	attempts map[uint64]*trackedAttempt
	// latest finds the attempt that a second call of the same key joins.
	latest map[ID]uint64
	// order lists the closed attempts, oldest first.
	closedOrder []uint64
	// bodies lists the attempts whose outcome is remembered, oldest first.
	withResult []uint64
	// open counts the attempts neither finished nor abandoned.
	open        int
	resultBytes int
}

// NewHolder returns an empty Holder.
func NewTracker(limits TrackerLimits) *Tracker {
	return &Tracker{
		limits:   limits,
		attempts: make(map[uint64]*trackedAttempt),
		latest:   make(map[ID]uint64),
	}
}

// Joined is what a Holder knows about the last attempt of a key.
type LatestAttempt struct {
	Attempt uint64
	// SameBody tells whether the attempt has the asked body digest.
	SameBody bool
}

// Join finds the last attempt of a key on this instance, unless it was
// abandoned.
func (h *Tracker) Latest(id ID, body BodyDigest) (LatestAttempt, bool) {
	attempt, ok := h.latest[id]
	if !ok {
		return LatestAttempt{}, false
	}
	t := h.attempts[attempt]
	return LatestAttempt{Attempt: attempt, SameBody: t.bodyDigest == body}, true
}

// Open starts to track an attempt. It comes before the attempt's first write.
func (h *Tracker) Open(id ID, body BodyDigest, attempt uint64, now time.Time) error {
	h.expire(now)
	if h.open >= h.limits.MaxOpen {
		return ErrTooManyOpen
	}
	h.open++
	h.attempts[attempt] = &trackedAttempt{id: id, bodyDigest: body, startedAt: now}
	h.latest[id] = attempt
	return nil
}

// Dispatch records that work is about to be dispatched under the attempt.
// After it has returned nil the attempt can't be abandoned.
//
// Guard: a holder may be paused between claim and dispatch for longer than the
// retention, so that its claim is gone and another call has run the key. The
// window, on a clock that runs during the pause, refuses the late dispatch.
func (h *Tracker) Dispatch(attempt uint64, now time.Time) error {
	t, ok := h.attempts[attempt]
	if !ok || t.state == finished || t.state == abandoned {
		return ErrClosed
	}
	if now.Sub(t.startedAt) > h.limits.DispatchWindow {
		return ErrWindowExpired
	}
	t.state = dispatched
	return nil
}

// Abandon gives the attempt up for good. It fails once work may have been
// dispatched. An attempt that was never written to the store needs no memory.
func (h *Tracker) Abandon(attempt uint64, mayBeStored bool, now time.Time) error {
	t, ok := h.attempts[attempt]
	if !ok || t.state == abandoned {
		return nil
	}
	if t.state != pending {
		return ErrDispatched
	}
	if !mayBeStored {
		h.open--
		h.forget(attempt, t)
		return nil
	}
	h.close(attempt, t, abandoned, now)
	return nil
}

// Finish records the outcome of a dispatched attempt. Outcome not_run means
// that every dispatched stage is known not to have started; the token is then
// as good as abandoned.
func (h *Tracker) Finish(attempt uint64, kept StoredResult, now time.Time) error {
	t, ok := h.attempts[attempt]
	if !ok || t.state == finished || t.state == abandoned {
		return ErrClosed
	}
	if kept.Outcome == OutcomeNotRun {
		h.close(attempt, t, abandoned, now)
		return nil
	}
	t.result = &kept
	h.resultBytes += len(kept.Body)
	h.withResult = append(h.withResult, attempt)
	h.close(attempt, t, finished, now)
	h.evictResults()
	return nil
}

// Answer answers a peer's question about an attempt.
func (h *Tracker) Status(attempt uint64) StatusResponse {
	t, ok := h.attempts[attempt]
	if !ok {
		return StatusResponse{State: TokenForgotten}
	}
	return t.status()
}

func (t *trackedAttempt) status() StatusResponse {
	switch t.state {
	case finished:
		return StatusResponse{State: TokenFinished, Result: t.result}
	case abandoned:
		return StatusResponse{State: TokenAbandoned}
	default:
		return StatusResponse{State: TokenRunning}
	}
}

func (h *Tracker) close(attempt uint64, t *trackedAttempt, state attemptState, now time.Time) {
	t.state = state
	t.closedAt = now
	h.open--
	h.closedOrder = append(h.closedOrder, attempt)
	if state == abandoned {
		h.unlink(attempt, t)
	}
	h.expire(now)
}

// expire forgets the closed tokens that are too old or too many. Forgetting is
// always safe: a forgotten token is answered as unknown, never run again.
func (h *Tracker) expire(now time.Time) {
	for len(h.closedOrder) > 0 {
		attempt := h.closedOrder[0]
		t := h.attempts[attempt]
		if len(h.closedOrder) <= h.limits.MaxClosed && now.Sub(t.closedAt) < h.limits.Retention {
			return
		}
		h.closedOrder = h.closedOrder[1:]
		// Both lists are in the order of closing: the outcome of the oldest
		// token is the oldest. Left in the list it would stay there for ever
		// in an instance whose bodies never reach their bound.
		if len(h.withResult) > 0 && h.withResult[0] == attempt {
			h.withResult = h.withResult[1:]
		}
		h.forget(attempt, t)
	}
}

func (h *Tracker) forget(attempt uint64, t *trackedAttempt) {
	h.dropResult(t)
	delete(h.attempts, attempt)
	h.unlink(attempt, t)
}

// shedBodies drops the oldest bodies over the bound; the store has them.
func (h *Tracker) evictResults() {
	for h.resultBytes > h.limits.MaxResultBytes && len(h.withResult) > 0 {
		attempt := h.withResult[0]
		h.withResult = h.withResult[1:]
		t := h.attempts[attempt]
		h.dropResult(t)
		h.unlink(attempt, t)
	}
}

func (h *Tracker) dropResult(t *trackedAttempt) {
	if t.result == nil {
		return
	}
	h.resultBytes -= len(t.result.Body)
	t.result = nil
}

// unlink makes later calls of the key ask the store instead of joining the
// attempt.
func (h *Tracker) unlink(attempt uint64, t *trackedAttempt) {
	if h.latest[t.id] == attempt {
		delete(h.latest, t.id)
	}
}
