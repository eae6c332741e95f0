// Package lease decides, without I/O, who may give orders to the targets of a
// pool. A lease lies in the platform's store and changes hands by conditional
// update only; each change raises its fencing number. The idea of fencing
// numbers is that of M. Burrows, "The Chubby lock service for loosely-coupled
// distributed systems" (OSDI 2006), section 2.4, where they are sequencers.
package lease

import "time"

// Record is a lease as it stands in the store.
type Record struct {
	// Holder is the holding incarnation; empty when the lease was given up with
	// no order under way.
	Holder string `json:"holder"`
	// Fencing grows by one with each new holder and never falls.
	Fencing uint64 `json:"fencing"`
	// TermMS is how long the lease holds after a renewal, in milliseconds.
	TermMS int64 `json:"term_ms"`
	// Attempt numbers the holder's writes. No two are alike, so a holder that
	// lost an answer knows exactly which of its writes it reads back.
	Attempt uint64 `json:"attempt"`
	// LongestOrderMS is how long the longest order of the holder may be under
	// way, in milliseconds.
	LongestOrderMS int64 `json:"longest_order_ms"`
}

func (r Record) term() time.Duration { return time.Duration(r.TermMS) * time.Millisecond }

func (r Record) longestOrder() time.Duration {
	return time.Duration(r.LongestOrderMS) * time.Millisecond
}

// Terms are the times of a lease.
type Timing struct {
	// Term is how long a lease holds after a renewal.
	Term time.Duration
	// RenewEvery is the time between renewals, at most a third of Term.
	RenewInterval time.Duration
	// Margin is taken off the holder's own term, for clocks that run at
	// different rates.
	Margin time.Duration
	// LongestOrder bounds an order from its check to its end at the target.
	LongestOrder time.Duration
}

// DefaultTerms suit orders that load weights for some seconds.
var DefaultTiming = Timing{
	Term:          10 * time.Second,
	RenewInterval: 3 * time.Second,
	Margin:        time.Second,
	LongestOrder:  30 * time.Second,
}

// Action is what the driver does next.
type Action interface{ action() }

// The actions.
type (
	// Read asks the store for the lease.
	Read struct{}
	// Write writes the record if the lease is at the revision; revision 0
	// creates it.
	Write struct {
		Record   Record
		Revision uint64
	}
	// Wait does nothing until a time.
	Wait struct{ Until time.Time }
)

func (Read) action()  {}
func (Write) action() {}
func (Wait) action()  {}

// Lease is one instance's view of one lease. The times given to it come from
// one clock that runs while the process is paused. It isn't safe for
// concurrent use.
type Lease struct {
	self   string
	timing Timing
	// seen is the record last read, at revision, unchanged since seenSince.
	observed      Record
	revision      uint64
	observedSince time.Time
	upToDate      bool
	// asked is when the write under way was sent.
	writeSentAt time.Time
	lastWrite   Record
	attempt     uint64
	// floor is the highest fencing number that a target has seen.
	maxSeenFencing uint64
	held           bool
	expiresAt      time.Time
	// clearAt is when no order of an earlier holder can be under way any more.
	safeWithoutFencingAt time.Time
	nextActionAt         time.Time
}

// New returns a lease that isn't held. self names the incarnation.
func New(self string, terms Timing) *Lease { return &Lease{self: self, timing: terms} }

// Next returns what to do at a time.
func (l *Lease) Next(now time.Time) Action {
	l.expireIfDue(now)
	if now.Before(l.nextActionAt) {
		return Wait{Until: l.nextActionAt}
	}
	if !l.upToDate {
		return Read{}
	}
	if !l.held && !l.available(now) {
		return Read{}
	}
	if l.observed.Holder == l.self && l.observed.Fencing >= l.maxSeenFencing {
		return l.write(now, l.renewal())
	}
	return l.write(now, l.acquisition())
}

// Absent tells that the store has no lease.
func (l *Lease) ObservedAbsent(now time.Time) {
	l.held = false
	l.upToDate, l.observed, l.revision, l.observedSince = true, Record{}, 0, now
	l.nextActionAt = now
}

// Seen tells which record the store holds, after a read or a conflict.
//
// Guard: the answer of a write can be lost after it has taken effect. When
// exactly that write is read back, the lease counts from when it was sent, the
// earliest time at which it can have taken effect. An earlier write of this
// holder that took effect late doesn't count: observers may have seen it long
// before the last one was sent.
func (l *Lease) Observed(now time.Time, r Record, revision uint64) {
	if !l.upToDate || revision != l.revision {
		l.observedSince = now
	}
	mine := !l.writeSentAt.IsZero() && r == l.lastWrite
	l.upToDate, l.observed, l.revision = true, r, revision
	l.nextActionAt = now.Add(l.timing.RenewInterval)
	if mine {
		l.startTerm()
		return
	}
	l.writeSentAt = time.Time{}
	if r.Holder != l.self {
		l.held = false
	}
	if l.held || l.available(now) {
		l.nextActionAt = now
	}
}

// Written tells that the write under way has taken effect.
func (l *Lease) Written(now time.Time, revision uint64) {
	l.observed, l.revision, l.observedSince = l.lastWrite, revision, now
	l.nextActionAt = l.writeSentAt.Add(l.timing.RenewInterval)
	l.startTerm()
}

// Failed tells that a call to the store got no answer. The lease is read again
// before the next write; meanwhile a held lease runs out by itself.
func (l *Lease) CallFailed(now time.Time) {
	l.upToDate = false
	l.nextActionAt = now.Add(l.timing.RenewInterval / 3)
}

// Held tells whether an order that ends by the longest order time may be
// given now, and under which fencing number. It is asked right before each
// order.
//
// Guard: the holder was paused across its lapse and a successor holds the
// lease. The clock ran meanwhile, so the check fails. What it can't prevent is
// a pause between the check and the sending of the order: targets that check
// the fencing number refuse that order, and for the others the successor
// waits out the longest order, which bounds the order but not the pause.
func (l *Lease) Held(now time.Time) (uint64, bool) {
	l.expireIfDue(now)
	if !l.held {
		return 0, false
	}
	return l.lastWrite.Fencing, true
}

// Clear tells whether orders to targets that ignore the fencing number may be
// given: the lease is held and the orders of earlier holders are over.
func (l *Lease) SafeWithoutFencing(now time.Time) bool {
	_, held := l.Held(now)
	return held && !now.Before(l.safeWithoutFencingAt)
}

// ClearAt is when Clear turns true, if the lease stays held.
func (l *Lease) SafeWithoutFencingAt() time.Time { return l.safeWithoutFencingAt }

// Outranked gives the lease up at once, because a target has seen a higher
// fencing number; number is 0 when it isn't known. The lease is read again: a
// successor shows there. When none does (the lease was removed and began again
// at 1), the next number taken is above the one that the target has seen.
func (l *Lease) Fenced(now time.Time, number uint64) {
	l.maxSeenFencing = max(l.maxSeenFencing, number)
	l.held, l.upToDate, l.writeSentAt, l.nextActionAt = false, false, time.Time{}, now
}

// Release returns the record that gives a held lease up, when no order is
// under way. The lease counts as not held from now on.
func (l *Lease) Release(now time.Time) (Write, bool) {
	if _, held := l.Held(now); !held {
		return Write{}, false
	}
	r := l.observed
	r.Holder = ""
	l.held, l.upToDate, l.nextActionAt = false, false, now.Add(l.timing.Term)
	return Write{Record: r, Revision: l.revision}, true
}

// lapse gives up a lease whose time has run out.
func (l *Lease) expireIfDue(now time.Time) {
	if l.held && !now.Before(l.expiresAt) {
		l.held, l.upToDate, l.nextActionAt = false, false, now
	}
}

// free tells whether the lease may be taken: it was given up, or it stood
// unchanged in this observer's sight for its whole term. No clocks of two
// instances are compared.
func (l *Lease) available(now time.Time) bool {
	if l.revision == 0 || l.observed.Holder == "" || l.observed.Holder == l.self {
		return true
	}
	return now.Sub(l.observedSince) >= l.observed.term()
}

// renewal prolongs this incarnation's own record under its fencing number.
func (l *Lease) renewal() Record {
	r := l.observed
	r.Attempt = l.nextAttempt()
	return r
}

// acquisition replaces another holder's record.
//
// Guard: the predecessor may have checked its lease right before it lapsed and
// sent an order that runs for the longest order time. Towards targets that
// ignore the fencing number that order would meet ours, so a successor waits
// out the predecessor's term and longest order from its last sign of life.
func (l *Lease) acquisition() Record {
	if l.observed.Holder != "" {
		l.safeWithoutFencingAt = l.observedSince.Add(l.observed.term() + l.observed.longestOrder())
	}
	return Record{
		Holder:         l.self,
		Fencing:        max(l.observed.Fencing, l.maxSeenFencing) + 1,
		TermMS:         l.timing.Term.Milliseconds(),
		Attempt:        l.nextAttempt(),
		LongestOrderMS: l.timing.LongestOrder.Milliseconds(),
	}
}

func (l *Lease) nextAttempt() uint64 {
	l.attempt++
	return l.attempt
}

func (l *Lease) write(now time.Time, r Record) Action {
	l.writeSentAt, l.lastWrite = now, r
	return Write{Record: r, Revision: l.revision}
}

// take counts the wanted record as in force since its write was sent.
func (l *Lease) startTerm() {
	l.held = true
	l.expiresAt = l.writeSentAt.Add(l.timing.Term - l.timing.Margin)
	l.writeSentAt = time.Time{}
}
