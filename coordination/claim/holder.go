package claim

import (
	"errors"
	"time"
)

// Errors of a Holder.
var (
	// ErrFull says that the holder tracks as many open claims as it may.
	ErrFull = errors.New("claim: too many open claims")
	// ErrNotHeld says that the token was abandoned or is over: nothing may be
	// dispatched under it.
	ErrNotHeld = errors.New("claim: token not held")
	// ErrDispatched says that work may have been dispatched under the token,
	// so it can't be abandoned any more.
	ErrDispatched = errors.New("claim: already dispatched")
	// ErrWindow says that too much time went by between claim and dispatch.
	ErrWindow = errors.New("claim: dispatch window over")
)

// HolderLimits bound a Holder.
type HolderLimits struct {
	// MaxOpen bounds the claims that are neither finished nor abandoned.
	MaxOpen int
	// MaxClosed bounds the finished and abandoned tokens remembered.
	MaxClosed int
	// MaxKeptBytes bounds the bodies remembered for finished tokens.
	MaxKeptBytes int
	// Remember is how long a closed token is remembered: the retention of
	// claims, since a lost write may show up as long as its claim may.
	Remember time.Duration
	// DispatchWindow is the longest time between a claim's start and its
	// dispatch. It is far shorter than the retention of claims.
	DispatchWindow time.Duration
}

type tokenState int

const (
	pending tokenState = iota
	dispatched
	finished
	abandoned
)

type holding struct {
	id      ID
	body    BodyDigest
	state   tokenState
	started time.Time
	closed  time.Time
	kept    *Kept
}

// Holder is what one incarnation remembers about its own tokens: it answers
// the questions of peers, and it is the only judge of whether a token may
// still be dispatched. It isn't safe for concurrent use.
type Holder struct {
	limits HolderLimits
	tokens map[uint64]*holding
	// latest finds the attempt that a second call of the same key joins.
	latest map[ID]uint64
	// order lists the closed attempts, oldest first.
	order []uint64
	// bodies lists the attempts whose outcome is remembered, oldest first.
	bodies []uint64
	// open counts the attempts neither finished nor abandoned.
	open      int
	keptBytes int
}

// NewHolder returns an empty Holder.
func NewHolder(limits HolderLimits) *Holder {
	return &Holder{
		limits: limits,
		tokens: make(map[uint64]*holding),
		latest: make(map[ID]uint64),
	}
}

// Joined is what a Holder knows about the last attempt of a key.
type Joined struct {
	Attempt uint64
	// SameBody tells whether the attempt has the asked body digest.
	SameBody bool
}

// Join finds the last attempt of a key on this instance, unless it was
// abandoned.
func (h *Holder) Join(id ID, body BodyDigest) (Joined, bool) {
	attempt, ok := h.latest[id]
	if !ok {
		return Joined{}, false
	}
	t := h.tokens[attempt]
	return Joined{Attempt: attempt, SameBody: t.body == body}, true
}

// Open starts to track an attempt. It comes before the attempt's first write.
func (h *Holder) Open(id ID, body BodyDigest, attempt uint64, now time.Time) error {
	h.expire(now)
	if h.open >= h.limits.MaxOpen {
		return ErrFull
	}
	h.open++
	h.tokens[attempt] = &holding{id: id, body: body, started: now}
	h.latest[id] = attempt
	return nil
}

// Dispatch records that work is about to be dispatched under the attempt.
// After it has returned nil the attempt can't be abandoned.
//
// Guard: a holder may be paused between claim and dispatch for longer than the
// retention, so that its claim is gone and another call has run the key. The
// window, on a clock that runs during the pause, refuses the late dispatch.
func (h *Holder) Dispatch(attempt uint64, now time.Time) error {
	t, ok := h.tokens[attempt]
	if !ok || t.state == finished || t.state == abandoned {
		return ErrNotHeld
	}
	if now.Sub(t.started) > h.limits.DispatchWindow {
		return ErrWindow
	}
	t.state = dispatched
	return nil
}

// Abandon gives the attempt up for good. It fails once work may have been
// dispatched. An attempt that was never written to the store needs no memory.
func (h *Holder) Abandon(attempt uint64, mayBeStored bool, now time.Time) error {
	t, ok := h.tokens[attempt]
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
func (h *Holder) Finish(attempt uint64, kept Kept, now time.Time) error {
	t, ok := h.tokens[attempt]
	if !ok || t.state == finished || t.state == abandoned {
		return ErrNotHeld
	}
	if kept.Outcome == OutcomeNotRun {
		h.close(attempt, t, abandoned, now)
		return nil
	}
	t.kept = &kept
	h.keptBytes += len(kept.Body)
	h.bodies = append(h.bodies, attempt)
	h.close(attempt, t, finished, now)
	h.shedBodies()
	return nil
}

// Answer answers a peer's question about an attempt.
func (h *Holder) Answer(attempt uint64) PeerAnswer {
	t, ok := h.tokens[attempt]
	if !ok {
		return PeerAnswer{State: PeerForgotten}
	}
	return t.answer()
}

func (t *holding) answer() PeerAnswer {
	switch t.state {
	case finished:
		return PeerAnswer{State: PeerFinished, Kept: t.kept}
	case abandoned:
		return PeerAnswer{State: PeerAbandoned}
	default:
		return PeerAnswer{State: PeerRunning}
	}
}

func (h *Holder) close(attempt uint64, t *holding, state tokenState, now time.Time) {
	t.state = state
	t.closed = now
	h.open--
	h.order = append(h.order, attempt)
	if state == abandoned {
		h.unlink(attempt, t)
	}
	h.expire(now)
}

// expire forgets the closed tokens that are too old or too many. Forgetting is
// always safe: a forgotten token is answered as unknown, never run again.
func (h *Holder) expire(now time.Time) {
	for len(h.order) > 0 {
		attempt := h.order[0]
		t := h.tokens[attempt]
		if len(h.order) <= h.limits.MaxClosed && now.Sub(t.closed) < h.limits.Remember {
			return
		}
		h.order = h.order[1:]
		// Both lists are in the order of closing: the outcome of the oldest
		// token is the oldest. Left in the list it would stay there for ever
		// in an instance whose bodies never reach their bound.
		if len(h.bodies) > 0 && h.bodies[0] == attempt {
			h.bodies = h.bodies[1:]
		}
		h.forget(attempt, t)
	}
}

func (h *Holder) forget(attempt uint64, t *holding) {
	h.dropBody(t)
	delete(h.tokens, attempt)
	h.unlink(attempt, t)
}

// shedBodies drops the oldest bodies over the bound; the store has them.
func (h *Holder) shedBodies() {
	for h.keptBytes > h.limits.MaxKeptBytes && len(h.bodies) > 0 {
		attempt := h.bodies[0]
		h.bodies = h.bodies[1:]
		t := h.tokens[attempt]
		h.dropBody(t)
		h.unlink(attempt, t)
	}
}

func (h *Holder) dropBody(t *holding) {
	if t.kept == nil {
		return
	}
	h.keptBytes -= len(t.kept.Body)
	t.kept = nil
}

// unlink makes later calls of the key ask the store instead of joining the
// attempt.
func (h *Holder) unlink(attempt uint64, t *holding) {
	if h.latest[t.id] == attempt {
		delete(h.latest, t.id)
	}
}
