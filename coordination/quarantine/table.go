package quarantine

import (
	"fmt"
	"slices"
	"time"
)

// Config holds the bounds.
type Config struct {
	// Crashes is how many crashes block a request.
	BlockThreshold int
	// Restart is the least time between the ends of one target that starts again.
	MinRestart time.Duration
	// Trust is how long a request that ended well isn't blamed for crashes, at least: it is
	// in progress at many targets, and one event may end them all.
	TrustPeriod time.Duration
	// MaxTrusted bounds the requests that are remembered for that, twice.
	MaxTrusted int
	// Hold is how long a request is blocked, HoldGrowth how many times longer after each
	// further crash, up to MaxHold; then one run at a time is tried.
	BlockPeriod, MaxBlockPeriod time.Duration
	BlockGrowth                 int
	// Keep is how long after the latest crash the records of a request are kept. It is
	// longer than MaxHold.
	Retention time.Duration
	// MaxRequests bounds the requests that there are records of, MaxCrashes the records of
	// each.
	MaxRequests, MaxCrashes int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		BlockThreshold: 3,
		MinRestart:     200 * time.Millisecond,
		TrustPeriod:    5 * time.Second,
		MaxTrusted:     4096,
		BlockPeriod:    30 * time.Second,
		MaxBlockPeriod: 10 * time.Minute,
		BlockGrowth:    4,
		Retention:      20 * time.Minute,
		MaxRequests:    4096,
		MaxCrashes:     8,
	}
}

// Crash records that a target ended while it ran a request.
type Crash struct {
	Digest Digest
	// Target is the incarnation of the target.
	Target string
	// Age is the time since the crash, added up hop by hop: no clocks are compared.
	Age time.Duration
	// Cleared tells that a run of the request has ended well since.
	Cleared bool
}

// maxTarget bounds a target's name in a record that another instance sent, in bytes.
const maxTargetBytes = 128

// State tells what to do with a request.
type State uint8

// The states of a request.
const (
	// Allowed requests are sent to targets.
	Allowed State = iota
	// Blocked requests are refused.
	Blocked
	// OnTrial requests were blocked long enough: one run at a time may show whether they
	// still crash their targets.
	OnTrial
)

// String returns the state's name as it appears in logs.
func (s State) String() string {
	return [...]string{"allowed", "blocked", "on_trial"}[s]
}

// Verdict is what is known of a request.
type Verdict struct {
	State State
	// Crashes is how many crashes count against it.
	Crashes int
	// Left is how long a Blocked request stays so.
	Remaining time.Duration
	// Since is the time since its latest crash.
	SinceLastCrash time.Duration
}

// Table holds the records of crashes that an instance knows.
type Table struct {
	config   Config
	requests map[Digest]*requestState
	// trusted are the requests that ended well here lately.
	trusted recentSet
	// toSend are the records that are being passed on.
	gossipQueue []*record
	// next is where the next sample begins.
	sampleStart Digest
}

// request is what is known of one request.
type requestState struct {
	crashes []*record
	// latest is when the latest of all crashes was, those included that don't count.
	lastCrash time.Time
	// trialUntil is when the run that was allowed last has ended at the latest.
	trialUntil time.Time
}

// record is one crash and how often it was passed on.
type record struct {
	digest    Digest
	target    string
	at        time.Time
	cleared   bool
	timesSent int
	// seen tells that this instance saw the crash itself.
	local bool
}

// New returns a table without records.
func New(c Config) *Table {
	return &Table{config: c, requests: map[Digest]*requestState{}, trusted: newRecentSet(c.TrustPeriod, c.MaxTrusted)}
}

// Len returns the number of requests that there are records of.
func (t *Table) Len() int { return len(t.requests) }

// Crashed records a crash that this instance saw, unless the request ended well here
// lately. It tells whether it is news.
func (t *Table) RecordCrash(now time.Time, digest Digest, target string) bool {
	if t.trusted.has(now, digest) {
		return false
	}
	target = t.uniqueTarget(now, digest, target)
	news := t.insert(now, Crash{Digest: digest, Target: target})
	if known := t.findCrash(digest, target); known != nil {
		known.local = true
	}
	return news
}

// unseen returns the name of a crash that this instance hasn't recorded a while ago. A target
// that it saw end then has started again, and it hasn't heard of the new start.
func (t *Table) uniqueTarget(now time.Time, digest Digest, target string) string {
	name := target
	for n := 2; ; n++ {
		known := t.findCrash(digest, name)
		if known == nil || !known.local || now.Sub(known.at) < t.config.MinRestart {
			return name
		}
		name = fmt.Sprintf("%s, %d", target, n)
	}
}

// find returns the record of a crash, or nil.
func (t *Table) findCrash(digest Digest, target string) *record {
	r := t.requests[digest]
	if r == nil {
		return nil
	}
	for _, known := range r.crashes {
		if known.target == target {
			return known
		}
	}
	return nil
}

// Merge takes in a record of another instance. It tells whether it is news.
func (t *Table) Merge(now time.Time, c Crash) bool {
	if c.Target == "" || len(c.Target) > maxTargetBytes || c.Age < 0 {
		return false
	}
	return t.insert(now, c)
}

// put keeps a record. Two records of one crash become one, which is cleared if either is,
// so that records may come twice and in any order.
func (t *Table) insert(now time.Time, c Crash) bool {
	if c.Age >= t.config.Retention {
		return false
	}
	at := now.Add(-c.Age)
	r := t.requests[c.Digest]
	if r == nil {
		t.evictRequest()
		r = &requestState{}
		t.requests[c.Digest] = r
	}
	if known := t.findCrash(c.Digest, c.Target); known != nil {
		if known.cleared || !c.Cleared {
			return false
		}
		known.cleared = true
		t.enqueueGossip(known)
		return true
	}
	if len(r.crashes) == t.config.MaxCrashes && at.Before(r.crashes[0].at) {
		return false // it was dropped before, and would be again
	}
	if at.After(r.lastCrash) {
		r.lastCrash = at
	}
	added := &record{digest: c.Digest, target: c.Target, at: at, cleared: c.Cleared}
	r.crashes = append(r.crashes, added)
	slices.SortStableFunc(r.crashes, func(a, b *record) int { return a.at.Compare(b.at) })
	if len(r.crashes) > t.config.MaxCrashes {
		r.crashes = r.crashes[1:]
	}
	t.enqueueGossip(added)
	return true
}

// makeRoom drops the request with the fewest crashes, of several the one with the oldest,
// if the table is full.
func (t *Table) evictRequest() {
	if len(t.requests) < t.config.MaxRequests {
		return
	}
	var least Digest
	var chosen *requestState
	for digest, r := range t.requests {
		if chosen == nil || lessRelevant(r, chosen) {
			least, chosen = digest, r
		}
	}
	delete(t.requests, least)
}

// worthLess orders requests by their crashes, then by the time of the latest one.
func lessRelevant(a, b *requestState) bool {
	if x, y := a.activeCrashes(), b.activeCrashes(); x != y {
		return x < y
	}
	return a.lastCrash.Before(b.lastCrash)
}

// EndedWell records that a target ran a request to an end of its own. It tells whether
// that clears crashes.
func (t *Table) RecordCompletion(now time.Time, digest Digest) bool {
	t.trusted.add(now, digest)
	r := t.requests[digest]
	if r == nil {
		return false
	}
	cleared := false
	for _, c := range r.crashes {
		if !c.cleared {
			c.cleared, cleared = true, true
			t.enqueueGossip(c)
		}
	}
	return cleared
}

// count returns how many crashes count against a request: those that no run has cleared.
func (r *requestState) activeCrashes() int {
	n := 0
	for _, c := range r.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// Judge tells what is known of a request.
func (t *Table) Judge(now time.Time, digest Digest) Verdict {
	r := t.requests[digest]
	if r == nil {
		return Verdict{}
	}
	return t.verdict(now, r)
}

func (t *Table) verdict(now time.Time, r *requestState) Verdict {
	v := Verdict{Crashes: r.activeCrashes(), SinceLastCrash: now.Sub(r.lastCrash)}
	if v.Crashes < t.config.BlockThreshold {
		return v
	}
	v.State = OnTrial
	if v.Remaining = t.blockPeriod(v.Crashes) - v.SinceLastCrash; v.Remaining > 0 {
		v.State = Blocked
	}
	return v
}

// hold is how long so many crashes block a request.
func (t *Table) blockPeriod(crashes int) time.Duration {
	hold := t.config.BlockPeriod
	for range crashes - t.config.BlockThreshold {
		if hold >= t.config.MaxBlockPeriod {
			break
		}
		hold *= time.Duration(t.config.BlockGrowth)
	}
	return min(hold, t.config.MaxBlockPeriod)
}

// GrantTrial allows one run of a request that is on trial, unless this instance has
// allowed another one that may not have ended, or knows better. The run ends within left.
func (t *Table) GrantTrial(now time.Time, digest Digest, left time.Duration) bool {
	r := t.requests[digest]
	if r == nil || t.verdict(now, r).State == Blocked || now.Before(r.trialUntil) {
		return false
	}
	r.trialUntil = now.Add(left)
	return true
}

// Expire drops the requests whose latest crash is too long ago.
func (t *Table) Expire(now time.Time) {
	for digest, r := range t.requests {
		if now.Sub(r.lastCrash) >= t.config.Retention {
			delete(t.requests, digest)
		}
	}
}

// Blocked returns what is known of the requests that are blocked or on trial.
func (t *Table) Blocked(now time.Time) map[Digest]Verdict {
	blocked := map[Digest]Verdict{}
	for digest, r := range t.requests {
		if v := t.verdict(now, r); v.State != Allowed {
			blocked[digest] = v
		}
	}
	return blocked
}
