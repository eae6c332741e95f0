// Package watching decides how an instance keeps what it knows of the platform's store
// fresh: how long its watches wait, which one is to be sent again, whose word it takes
// for the store's, and when it has to watch itself.
//
// A watch that waits looks the same whether there is no news or nobody listens. One that
// was sent while the store was silent is never answered, also not once the store is back;
// so the silence of a watch proves nothing for longer than its term, and a short term
// costs calls. Therefore the first watcher of a fleet alone watches with short terms. The
// others ask one another how old their knowledge is, hear of news as records are spread,
// and take its place where it is silent.
//
// Tracker is a pure state machine: time is an argument. It is not safe for concurrent use.
package watching

import "time"

// Part is what one watch follows.
type Part string

// The parts of what is known of a store.
const (
	Configuration Part = "configuration"
	Targets       Part = "targets"
)

// Times of watches, and bounds of the word of others.
const (
	// longTerm is how long a watch waits whose silence somebody else would notice.
	longTimeout = 8 * time.Second
	// shortTerm is how long the watches of the first watcher wait. With the slack that
	// its client grants and the pause after a failure it bounds the time after which a
	// deaf watch is sent again: within the three seconds after a disruption of the store
	// in which no bound holds.
	shortTimeout = 800 * time.Millisecond
	// wordAge is how old a watcher's knowledge may be for its word to count: a short
	// term, an answer of a slow store, and the time between two questions.
	maxReportAge = 2500 * time.Millisecond
	// silentRounds without a word that counts have an instance watch for itself.
	maxMissedReports = 2
	// deafRounds have one do so that doesn't watch else, where the watchers answer and
	// know nothing new: the store is likely away for all, and many instances that call it
	// add nothing.
	maxStaleReports = 4
	// maxPlace is the last place of a watcher that waits for those before it to take
	// over. It bounds the time until anyone does.
	maxWaitingRank = 3
	// standInFor is how long an instance watches for itself if it hears nothing else.
	takeoverPeriod = 6 * time.Second
	// gatherFor is how long a watcher that isn't the first waits after news, so that one
	// call tells of what follows: it hears the same by the first one's word.
	batchDelay = 250 * time.Millisecond
)

// NoWatcher is the place of an instance that leaves the watching to others.
const NoRank = -1

// Word is what an instance tells another of its knowledge.
type Report struct {
	// Known tells whether the instance knows everything as of Age ago.
	Known bool
	Age   time.Duration
	// Recovered is how long ago the store answered again after a failure; 0 if that
	// isn't known.
	Recovered time.Duration
}

// Counts tells whether an instance needs no watch of its own beside such a word.
func (w Report) IsFresh() bool { return w.Known && w.Age <= maxReportAge }

// Tracker is what an instance knows of its watches.
type Tracker struct {
	parts map[Part]*watch
	// place is this instance's among the watchers, 0 for the first.
	rank int
	// proof is the latest begin of a call that was answered.
	lastAnswered time.Time
	// recovered is when the store is last known to have answered again after a failure.
	recovered time.Time
	// told is as of when another instance knows everything.
	peerKnownAt   time.Time
	missedReports int
	takeoverUntil time.Time
}

// watch is the state of a part's watch.
type watch struct {
	// known is as of when the store has told everything.
	knownAt time.Time
	// sent is the begin of the call in progress; zero if there is none.
	sentAt   time.Time
	timeout  time.Duration
	failures int
}

// New returns a tracker of an instance that is the first watcher.
func New() *Tracker {
	return &Tracker{parts: map[Part]*watch{Configuration: {}, Targets: {}}}
}

// SetPlace takes this instance's place among the watchers: 0 for the first, NoWatcher for
// one that leaves it to others.
func (t *Tracker) SetRank(place int) { t.rank = place }

// Watches tells whether the instance is to call the store.
func (t *Tracker) ShouldWatch(now time.Time) bool {
	return t.rank != NoRank || now.Before(t.takeoverUntil)
}

// isFirst tells whether the instance's watches are those that notice a silent store.
func (t *Tracker) isFirst(now time.Time) bool {
	return t.rank == 0 || (t.rank > 0 && now.Before(t.takeoverUntil))
}

// Begin notes that a call about a part begins, and returns how long its watch is to wait.
//
// After a failure it doesn't wait: a store that is back is noticed with its first answer,
// and not with its first news or at the end of a term.
func (t *Tracker) BeginCall(now time.Time, part Part) time.Duration {
	p := t.parts[part]
	p.sentAt = now
	switch {
	case p.failures > 0:
		p.timeout = 0
	case t.isFirst(now):
		p.timeout = shortTimeout
	default:
		p.timeout = longTimeout
	}
	return p.timeout
}

// Answered notes the store's answer. It tells whether the store is back: it didn't answer
// the call before.
func (t *Tracker) RecordResponse(now time.Time, part Part) (back bool) {
	p := t.parts[part]
	back = p.failures > 0
	if back {
		t.recovered = now
	}
	t.lastAnswered = latest(t.lastAnswered, p.sentAt)
	p.failures = 0
	p.knownAt = now
	p.sentAt = time.Time{}
	return back
}

// Pause returns how long the next watch is put off after an answer with news.
func (t *Tracker) Pause(now time.Time) time.Duration {
	if t.isFirst(now) {
		return 0
	}
	return batchDelay
}

// Failed notes that the store didn't answer. It tells whether that shows that the store is
// away now. The failure of a deaf watch doesn't: a later call was answered, and so the
// store was away before that.
func (t *Tracker) RecordFailure(part Part) (away bool) {
	p := t.parts[part]
	away = !t.lastAnswered.After(p.sentAt)
	p.failures++
	p.sentAt = time.Time{}
	return away
}

// Held notes that a call was held back here and never left. It tells nothing of the store.
func (t *Tracker) RecordNotSent(part Part) { t.parts[part].sentAt = time.Time{} }

// Failures returns how many calls about a part in a row had no answer.
func (t *Tracker) Failures(part Part) int { return t.parts[part].failures }

// Resend tells whether the watch in progress is to be sent again: it proves nothing, since
// it went out before the store was back, or its term is longer than it may be by now.
func (t *Tracker) ShouldResend(now time.Time, part Part) bool {
	p := t.parts[part]
	if p.sentAt.IsZero() {
		return false
	}
	return p.sentAt.Before(t.recovered) || (t.isFirst(now) && p.timeout > shortTimeout)
}

// Recovered returns when the store is last known to have answered again; zero if it isn't
// known to have failed.
func (t *Tracker) Recovered() time.Time { return t.recovered }

// Age returns how old the knowledge of a part is, by the store's own answers and by the
// word of others; 0 if there was none.
func (t *Tracker) Age(now time.Time, part Part) time.Duration {
	known := t.parts[part].knownAt
	if known.IsZero() {
		return 0
	}
	return now.Sub(latest(known, t.peerKnownAt))
}

// Word returns what other instances are told.
func (t *Tracker) Report(now time.Time) Report {
	w := Report{Known: true}
	for part, p := range t.parts {
		w.Known = w.Known && !p.knownAt.IsZero()
		w.Age = max(w.Age, t.Age(now, part))
	}
	if !t.recovered.IsZero() {
		w.Recovered = now.Sub(t.recovered)
	}
	return w
}

// Asks tells which of the watchers is to be asked for its word, by a number below count;
// false if none: this instance is the first. A watcher asks those before it in turn, from
// the first on, so that one alone takes the place of one that is silent. Who doesn't watch
// asks any of them, drawn by random.
func (t *Tracker) NextPoll(count int, random func(n int) int) (nth int, ask bool) {
	switch {
	case t.rank == 0 || count == 0:
		return 0, false
	case t.rank == NoRank:
		return random(count), true
	default:
		return t.missedReports % min(t.rank, count), true
	}
}

// Heard takes in a watcher's answer; a zero Word if there was none. asked is when it was
// asked. It tells whether this instance begins to watch for itself.
func (t *Tracker) RecordReport(asked, now time.Time, w Report) (standsIn bool) {
	if w.Recovered > 0 {
		// Rather too late than too early: a watch between the two would stay deaf.
		t.recovered = latest(t.recovered, now.Add(-w.Recovered))
	}
	if w.IsFresh() {
		t.peerKnownAt = latest(t.peerKnownAt, asked.Add(-w.Age))
		t.missedReports = 0
		t.takeoverUntil = time.Time{}
		return false
	}
	t.missedReports++
	if t.missedReports < t.maxMissed(w) {
		return false
	}
	standsIn = now.After(t.takeoverUntil)
	t.takeoverUntil = now.Add(takeoverPeriod)
	return standsIn
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// patience is how many rounds without a word that counts an instance bears, of which w is
// the latest.
func (t *Tracker) maxMissed(w Report) int {
	switch {
	case t.rank == NoRank && w.Known:
		return maxStaleReports
	case t.rank == NoRank:
		return maxMissedReports
	}
	return maxMissedReports + min(t.rank, maxWaitingRank) - 1
}
