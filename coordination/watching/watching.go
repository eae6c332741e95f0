// Package watching decides how an instance keeps its knowledge of the platform's store up to
// date: how long its watches wait, which watch is sent again, which reports of other instances
// replace the store's responses, and when the instance has to watch the store itself.
//
// A watch without a response doesn't show whether there are no changes or the store is silent.
// A watch that is sent while the store is silent is orphaned: it is never answered, not even
// after the store has recovered. So a silent store is detected only at the end of a watch's
// timeout, and shorter timeouts cost more calls. Therefore only the first watcher of a fleet
// uses short timeouts. The others poll the watchers for the age of their knowledge, receive
// changes by gossip, and take over from the first watcher if it is silent.
//
// Tracker is a pure state machine: time is an argument. It is not safe for concurrent use.
package watching

import (
	"maps"
	"slices"
	"time"
)

// Part is the part of the store's content that one watch follows.
type Part string

// The parts of the store's content.
const (
	Configuration Part = "configuration"
	Targets       Part = "targets"
	// Drains are the drains of data centres. Only some platforms have them.
	Drains Part = "drains"
)

// Timeouts of watches, and limits for the reports of other instances.
const (
	// longTimeout is the long-poll timeout of a watch whose silence another instance would notice.
	longTimeout = 8 * time.Second
	// shortTimeout is the timeout of the first watcher's watches. With the slack that its
	// client grants and the pause after a failure, it limits the time until an orphaned watch
	// is sent again. That time must end within the three seconds after a disruption of the
	// store in which no bound holds.
	shortTimeout = 800 * time.Millisecond
	// maxReportAge is the maximum age of a watcher's knowledge for its report to be fresh: a
	// short timeout, a response of a slow store, and the time between two polls.
	maxReportAge = 2500 * time.Millisecond
	// maxMissedReports is the number of polls in a row without a fresh report after which an
	// instance watches the store itself.
	maxMissedReports = 2
	// maxStaleReports replaces maxMissedReports for an instance without a rank if the last
	// polled watcher responded but had no fresh knowledge: the store is probably unavailable to
	// all, and calls from many more instances wouldn't help.
	maxStaleReports = 4
	// maxWaitingRank is the highest rank that still adds to a watcher's wait. A watcher waits
	// for additional polls, one fewer than its rank, so that those of lower rank can take over
	// first. The limit bounds the time until some watcher takes over.
	maxWaitingRank = 3
	// takeoverPeriod is how long an instance that took over watches the store itself after its
	// last poll without a fresh report.
	takeoverPeriod = 6 * time.Second
	// batchDelay is how long a watcher other than the first waits after a change, so that one
	// call returns the following changes too. The first watcher's gossip delivers them anyway.
	batchDelay = 250 * time.Millisecond
)

// NoRank is the rank of an instance that leaves watching to others.
const NoRank = -1

// Report describes the knowledge of an instance to another one. Its fields are sent by name.
type Report struct {
	// Known is true if the instance knows everything as of Age ago.
	Known bool
	Age   time.Duration
	// Recovered is how long ago the store responded again after a failure; 0 if unknown.
	Recovered time.Duration
}

// IsFresh reports whether a receiver of the report needs no watch of its own.
func (r Report) IsFresh() bool { return r.Known && r.Age <= maxReportAge }

// Tracker tracks the watches of an instance and the reports of others.
type Tracker struct {
	parts map[Part]*watch
	// rank is this instance's rank among the watchers, 0 for the first.
	rank int
	// lastAnswered is the latest start of a call that the store answered.
	lastAnswered time.Time
	// recovered is when the store is last known to have responded again after a failure.
	recovered time.Time
	// peerKnownAt is the time as of which another instance knows everything.
	peerKnownAt   time.Time
	missedReports int
	takeoverUntil time.Time
}

// watch is the state of a part's watch.
type watch struct {
	// knownAt is the time as of which the store has returned everything.
	knownAt time.Time
	// sentAt is the start of the call in progress; zero if there is none.
	sentAt   time.Time
	timeout  time.Duration
	failures int
}

// New returns a tracker of the parts for an instance that is the first watcher.
func New(parts ...Part) *Tracker {
	t := &Tracker{parts: map[Part]*watch{}}
	for _, part := range parts {
		t.parts[part] = &watch{}
	}
	return t
}

// Parts returns the parts that are followed.
func (t *Tracker) Parts() []Part { return slices.Sorted(maps.Keys(t.parts)) }

// SetRank sets this instance's rank among the watchers: 0 for the first, NoRank for an
// instance that leaves watching to others.
func (t *Tracker) SetRank(rank int) { t.rank = rank }

// ShouldWatch reports whether the instance is to call the store.
func (t *Tracker) ShouldWatch(now time.Time) bool {
	return t.rank != NoRank || now.Before(t.takeoverUntil)
}

// isFirst reports whether the instance's watches are those that detect a silent store.
func (t *Tracker) isFirst(now time.Time) bool {
	return t.rank == 0 || (t.rank > 0 && now.Before(t.takeoverUntil))
}

// BeginCall records the start of a call for a part, and returns the timeout of its watch.
//
// After a failure the timeout is zero, so that the store's recovery shows in its first
// response, rather than in the first change or at the end of a timeout.
func (t *Tracker) BeginCall(now time.Time, part Part) time.Duration {
	w := t.parts[part]
	w.sentAt = now
	switch {
	case w.failures > 0:
		w.timeout = 0
	case t.isFirst(now):
		w.timeout = shortTimeout
	default:
		w.timeout = longTimeout
	}
	return w.timeout
}

// RecordResponse records a response of the store. It reports whether the store has recovered,
// that is, whether the previous call failed.
func (t *Tracker) RecordResponse(now time.Time, part Part) (recovered bool) {
	w := t.parts[part]
	recovered = w.failures > 0
	if recovered {
		t.recovered = now
	}
	t.lastAnswered = latest(t.lastAnswered, w.sentAt)
	w.failures = 0
	w.knownAt = now
	w.sentAt = time.Time{}
	return recovered
}

// Pause returns the delay of the next watch after a response with changes.
func (t *Tracker) Pause(now time.Time) time.Duration {
	if t.isFirst(now) {
		return 0
	}
	return batchDelay
}

// RecordFailure records that the store didn't respond. It reports whether that shows the store
// to be unavailable now. An orphaned watch doesn't: a later call was answered, so the store was
// unavailable before that.
func (t *Tracker) RecordFailure(part Part) (unavailable bool) {
	w := t.parts[part]
	unavailable = !t.lastAnswered.After(w.sentAt)
	w.failures++
	w.sentAt = time.Time{}
	return unavailable
}

// RecordNotSent records that this instance held back a call, which proves nothing about the
// store.
func (t *Tracker) RecordNotSent(part Part) { t.parts[part].sentAt = time.Time{} }

// Failures returns the number of failed calls for a part in a row.
func (t *Tracker) Failures(part Part) int { return t.parts[part].failures }

// ShouldResend reports whether the watch in progress is to be sent again, because it was sent
// before the store recovered or its timeout is longer than now allowed.
func (t *Tracker) ShouldResend(now time.Time, part Part) bool {
	w := t.parts[part]
	if w.sentAt.IsZero() {
		return false
	}
	return w.sentAt.Before(t.recovered) || (t.isFirst(now) && w.timeout > shortTimeout)
}

// Recovered returns when the store is last known to have responded again; zero if no failure
// is known.
func (t *Tracker) Recovered() time.Time { return t.recovered }

// Age returns the age of the knowledge of a part, by the store's responses and by the reports
// of others; 0 if the store has never answered a call for the part.
func (t *Tracker) Age(now time.Time, part Part) time.Duration {
	known := t.parts[part].knownAt
	if known.IsZero() {
		return 0
	}
	return now.Sub(latest(known, t.peerKnownAt))
}

// Report returns the report for other instances.
func (t *Tracker) Report(now time.Time) Report {
	r := Report{Known: true}
	for part, w := range t.parts {
		r.Known = r.Known && !w.knownAt.IsZero()
		r.Age = max(r.Age, t.Age(now, part))
	}
	if !t.recovered.IsZero() {
		r.Recovered = now.Sub(t.recovered)
	}
	return r
}

// NextPoll returns the index, below count, of the watcher to poll for its report, and false if
// there is none, as for the first watcher. A watcher polls those of lower rank, starting with
// the first and moving on after each missed report, so that only one watcher takes over from a
// silent one. An instance that doesn't watch polls a random watcher.
func (t *Tracker) NextPoll(count int, random func(n int) int) (index int, poll bool) {
	switch {
	case t.rank == 0 || count == 0:
		return 0, false
	case t.rank == NoRank:
		return random(count), true
	default:
		return t.missedReports % min(t.rank, count), true
	}
}

// RecordReport records the report of a watcher that was polled at a time; the zero Report if
// there was no response. It reports whether this instance starts to watch the store itself.
func (t *Tracker) RecordReport(polledAt, now time.Time, r Report) (takesOver bool) {
	if r.Recovered > 0 {
		// A later time than the actual one is safe; with an earlier one, a watch that was sent
		// between the two would stay orphaned.
		t.recovered = latest(t.recovered, now.Add(-r.Recovered))
	}
	if r.IsFresh() {
		t.peerKnownAt = latest(t.peerKnownAt, polledAt.Add(-r.Age))
		t.missedReports = 0
		t.takeoverUntil = time.Time{}
		return false
	}
	t.missedReports++
	if t.missedReports < t.maxMissed(r) {
		return false
	}
	takesOver = now.After(t.takeoverUntil)
	t.takeoverUntil = now.Add(takeoverPeriod)
	return takesOver
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxMissed returns the number of polls in a row without a fresh report after which the
// instance watches the store itself. r is the last report.
func (t *Tracker) maxMissed(r Report) int {
	switch {
	case t.rank == NoRank && r.Known:
		return maxStaleReports
	case t.rank == NoRank:
		return maxMissedReports
	}
	return maxMissedReports + min(t.rank, maxWaitingRank) - 1
}
