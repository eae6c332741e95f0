// Package lease decides, without I/O, which instance may send orders to the
// targets of a pool. A lease is stored in the platform's store and changes its
// holder only by conditional update; each new holder raises its fencing number.
// Fencing numbers follow the sequencers of M. Burrows, "The Chubby lock service
// for loosely-coupled distributed systems" (OSDI 2006), section 2.4.
package lease

import "time"

// Record is a lease as it is stored.
type Record struct {
	// Holder is the incarnation that holds the lease; empty if the lease was
	// released with no order in progress.
	Holder string `json:"holder"`
	// Fencing increases with each new holder and never decreases.
	Fencing uint64 `json:"fencing"`
	// TermMS is how long the lease is valid after a renewal, in milliseconds.
	TermMS int64 `json:"term_ms"`
	// Attempt numbers the holder's writes. It differs for each write, so that a
	// holder that missed a response can tell which of its writes it reads back.
	Attempt uint64 `json:"attempt"`
	// LongestOrderMS bounds the duration of the holder's orders, in
	// milliseconds.
	LongestOrderMS int64 `json:"longest_order_ms"`
}

func (r Record) term() time.Duration { return time.Duration(r.TermMS) * time.Millisecond }

func (r Record) longestOrder() time.Duration {
	return time.Duration(r.LongestOrderMS) * time.Millisecond
}

// Timing holds the durations of a lease.
type Timing struct {
	// Term is how long a lease is valid after a renewal.
	Term time.Duration
	// RenewInterval is the time between renewals, at most a third of Term.
	RenewInterval time.Duration
	// Margin is subtracted from the term on the holder's side, to allow for
	// clocks that run at different rates.
	Margin time.Duration
	// LongestOrder bounds the time from the lease check before an order to the
	// end of the order at the target.
	LongestOrder time.Duration
}

// DefaultTiming is suitable for orders that load weights for some seconds.
var DefaultTiming = Timing{
	Term:          10 * time.Second,
	RenewInterval: 3 * time.Second,
	Margin:        time.Second,
	LongestOrder:  30 * time.Second,
}

// Action is the next step of the driver.
type Action interface{ action() }

// The actions.
type (
	// Read requests the lease from the store.
	Read struct{}
	// Write stores the record if the stored lease has the revision; revision 0
	// creates the lease.
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

// Lease is the state machine of one instance for one lease. The times passed to it
// must come from a clock that keeps running while the process is paused. It is not
// safe for concurrent use.
type Lease struct {
	self   string
	timing Timing
	// observed is the record last read from or written to the store, and revision
	// its revision. The record is known to be unchanged since observedSince, which
	// starts anew with the first read after a failed call.
	observed      Record
	revision      uint64
	observedSince time.Time
	// upToDate is false if the lease must be read before the next write.
	upToDate bool
	// writeSentAt is when the write in progress was sent, zero if there is none.
	writeSentAt time.Time
	// lastWrite is the record of the last write that was sent.
	lastWrite Record
	attempt   uint64
	// maxSeenFencing is the highest fencing number that a target has reported.
	maxSeenFencing uint64
	held           bool
	expiresAt      time.Time
	// safeWithoutFencingAt is when no order of an earlier holder can be in
	// progress any more.
	safeWithoutFencingAt time.Time
	nextActionAt         time.Time
}

// New returns a lease that is not held. self is the incarnation of this instance.
func New(self string, timing Timing) *Lease { return &Lease{self: self, timing: timing} }

// Next returns the action to perform now.
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
	if l.held {
		return l.write(now, l.renewal())
	}
	return l.write(now, l.acquisition())
}

// ObservedAbsent records that the store has no lease.
func (l *Lease) ObservedAbsent(now time.Time) {
	l.held = false
	l.upToDate, l.observed, l.revision, l.observedSince = true, Record{}, 0, now
	l.nextActionAt = now
}

// Observed records the content of the store after a read or a conflict.
//
// The response to a write can be lost after the write was applied. If exactly
// that write is read back, the term starts when it was sent, the earliest time at
// which it can have been applied. An earlier write of this holder that was applied
// with a delay does not count: other instances may have observed it long before
// the last one was sent.
func (l *Lease) Observed(now time.Time, r Record, revision uint64) {
	if !l.upToDate || revision != l.revision {
		l.observedSince = now
	}
	ownWrite := !l.writeSentAt.IsZero() && r == l.lastWrite
	l.upToDate, l.observed, l.revision = true, r, revision
	l.nextActionAt = now.Add(l.timing.RenewInterval)
	if ownWrite {
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

// Written records that the write in progress was applied.
func (l *Lease) Written(now time.Time, revision uint64) {
	l.observed, l.revision, l.observedSince = l.lastWrite, revision, now
	l.nextActionAt = l.writeSentAt.Add(l.timing.RenewInterval)
	l.startTerm()
}

// CallFailed records that a call to the store got no response. The lease is read
// before the next write; a held lease stays held until it expires.
func (l *Lease) CallFailed(now time.Time) {
	l.upToDate = false
	l.nextActionAt = now.Add(l.timing.RenewInterval / 3)
}

// Held reports whether an order that ends within LongestOrder may be sent now, and
// under which fencing number. Call it immediately before each order.
//
// If the holder was paused while its lease expired, a successor may hold the
// lease. The clock kept running, so Held returns false. It cannot detect a pause
// between the check and the sending of the order: targets that check the fencing
// number refuse that order, and for the others the successor waits for the longest
// order, which bounds the order but not the pause.
func (l *Lease) Held(now time.Time) (uint64, bool) {
	l.expireIfDue(now)
	if !l.held {
		return 0, false
	}
	return l.lastWrite.Fencing, true
}

// MayHold reports whether the lease is held, or a write was sent that may have acquired it
// and whose result isn't known yet.
func (l *Lease) MayHold(now time.Time) bool {
	_, held := l.Held(now)
	return held || !l.writeSentAt.IsZero()
}

// SafeWithoutFencing reports whether orders may be sent to targets that ignore the
// fencing number: the lease is held and the orders of earlier holders have ended.
func (l *Lease) SafeWithoutFencing(now time.Time) bool {
	_, held := l.Held(now)
	return held && !now.Before(l.safeWithoutFencingAt)
}

// SafeWithoutFencingAt returns when SafeWithoutFencing becomes true if the lease
// stays held.
func (l *Lease) SafeWithoutFencingAt() time.Time { return l.safeWithoutFencingAt }

// Fenced gives up the lease immediately because a target has accepted a higher
// fencing number; number is 0 if unknown. The lease is read again to find the
// successor. If there is none, since the lease was deleted and its numbers started
// again at 1, the next acquisition uses a number above the target's.
func (l *Lease) Fenced(now time.Time, number uint64) {
	l.maxSeenFencing = max(l.maxSeenFencing, number)
	l.held, l.upToDate, l.writeSentAt, l.nextActionAt = false, false, time.Time{}, now
}

// Release returns the write that releases a held lease. It must only be called
// while no order is in progress. The lease is no longer held after the call.
func (l *Lease) Release(now time.Time) (Write, bool) {
	if _, held := l.Held(now); !held {
		return Write{}, false
	}
	r := l.observed
	r.Holder = ""
	l.held, l.upToDate, l.nextActionAt = false, false, now.Add(l.timing.Term)
	return Write{Record: r, Revision: l.revision}, true
}

// Status describes a lease as this instance last observed it.
type Status struct {
	// Record is the record last read or written; zero if the store has none.
	Record Record
	// Unchanged is how long the record has been observed unchanged.
	Unchanged time.Duration
	// AvailableIn is the time until this instance may acquire the lease if no renewal
	// is observed, zero if it holds the lease or may acquire it now.
	AvailableIn time.Duration
	// SafeWithoutFencingIn is the time until orders may be sent to targets that ignore
	// the fencing number, zero if they may be sent now.
	SafeWithoutFencingIn time.Duration
}

// Status returns what this instance knows of the lease, for logs.
func (l *Lease) Status(now time.Time) Status {
	s := Status{
		Record:               l.observed,
		Unchanged:            now.Sub(l.observedSince),
		SafeWithoutFencingIn: max(l.safeWithoutFencingAt.Sub(now), 0),
	}
	if !l.held && !l.available(now) {
		s.AvailableIn = l.observed.term() - s.Unchanged
	}
	return s
}

// expireIfDue ends a held lease whose term has ended.
func (l *Lease) expireIfDue(now time.Time) {
	if l.held && !now.Before(l.expiresAt) {
		l.held, l.upToDate, l.nextActionAt = false, false, now
	}
}

// available reports whether the lease may be acquired: it does not exist, was
// released, has this incarnation as its holder, or was observed unchanged for its
// whole term. Only this instance's clock is used, so clocks of two instances are
// never compared.
func (l *Lease) available(now time.Time) bool {
	if l.revision == 0 || l.observed.Holder == "" || l.observed.Holder == l.self {
		return true
	}
	return now.Sub(l.observedSince) >= l.observed.term()
}

// renewal returns the record that renews the held lease with the same fencing number.
func (l *Lease) renewal() Record {
	r := l.observed
	r.Attempt = l.nextAttempt()
	return r
}

// acquisition returns the record that makes this incarnation the holder, under a higher
// fencing number also if it was the holder before. A pause long enough for the term to end may
// have come between the check and the sending of an order: targets that check the number must
// refuse that order once there are newer ones.
//
// The predecessor may have checked the lease just before the term ended and then sent
// an order that runs for LongestOrder. At a target that ignores the fencing number
// that order would overlap with orders of the new holder. The new holder therefore
// waits for the predecessor's term and longest order, measured from when it observed
// the predecessor's last write. It knows its own earlier orders, and doesn't wait for them.
func (l *Lease) acquisition() Record {
	if l.observed.Holder != "" && l.observed.Holder != l.self {
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

// write returns the write of a record and remembers when it was sent.
func (l *Lease) write(now time.Time, r Record) Action {
	l.writeSentAt, l.lastWrite = now, r
	return Write{Record: r, Revision: l.revision}
}

// startTerm marks the lease as held, with its term starting when the write was sent.
func (l *Lease) startTerm() {
	l.held = true
	l.expiresAt = l.writeSentAt.Add(l.timing.Term - l.timing.Margin)
	l.writeSentAt = time.Time{}
}
