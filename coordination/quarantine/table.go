package quarantine

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Config holds the limits and periods of a Table.
type Config struct {
	// BlockThreshold is the number of crashes that block a request or a part of prompts.
	BlockThreshold int
	// MaxExplained is the number of crashes up to which a blocked digest may be allowed at any time
	// since others explain its crashes, also if these crashes explain those of the others.
	MaxExplained int
	// ExplainedTurn is how long, above MaxExplained, each of those that explain each other's crashes
	// is allowed in turn. It is longer than the records of a crash take to reach all instances.
	ExplainedTurn time.Duration
	// MinRestart is the shortest time between two ends of a target that restarts.
	MinRestart time.Duration
	// TrustPeriod is the shortest time during which a request that ended well isn't blamed
	// for crashes: it is in progress at many targets, and one event may end them all.
	TrustPeriod time.Duration
	// MaxTrusted limits the requests that are trusted in each of two generations.
	MaxTrusted int
	// BlockPeriod is how long a request is blocked. Each further crash multiplies it by
	// BlockGrowth, up to MaxBlockPeriod. After it, one run at a time is allowed as a trial.
	BlockPeriod, MaxBlockPeriod time.Duration
	BlockGrowth                 int
	// Retention is how long the records of a request are kept after its last crash. It is
	// longer than MaxBlockPeriod.
	Retention time.Duration
	// MaxRequests limits the requests with records, MaxCrashes the records of each request.
	MaxRequests, MaxCrashes int
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		BlockThreshold: 3,
		MaxExplained:   5,
		ExplainedTurn:  2 * time.Second,
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

// Crash reports that a target ended while it ran a request.
type Crash struct {
	// Digest is that of the request, or of a part of its prompt if Part is true.
	Digest Digest
	Part   bool
	// Target is the incarnation of the target.
	Target string
	// Age is the time since the crash. Each instance adds to it; clocks of different
	// instances are never compared.
	Age time.Duration
	// Cleared is true if a run of the request has ended well since.
	Cleared bool
}

// maxTargetBytes limits the target's name in a record from another instance.
const maxTargetBytes = 128

// State determines how a request is treated.
type State uint8

// The states of a request.
const (
	// Allowed requests are sent to targets.
	Allowed State = iota
	// Blocked requests are refused.
	Blocked
	// OnTrial requests have been blocked long enough. One run at a time is allowed, to find
	// out whether they still crash their targets.
	OnTrial
)

// String returns the state's name as it appears in logs.
func (s State) String() string {
	return [...]string{"allowed", "blocked", "on_trial"}[s]
}

// Verdict is the assessment of a request, or of one of its suspects.
type Verdict struct {
	State State
	// Digest is the suspect that decides; Part is true if it is a part of the prompt. Digest is zero
	// for a request that is allowed.
	Digest Digest
	Part   bool
	// Crashes is the number of crashes that are not cleared.
	Crashes int
	// Remaining is how much longer a Blocked request stays blocked.
	Remaining time.Duration
	// SinceLastCrash is the time since the last crash of the request.
	SinceLastCrash time.Duration
}

// Table holds the crash records that an instance knows.
type Table struct {
	config   Config
	requests map[Digest]*requestState
	// blocked are those of requests that have enough crashes to be blocked or on trial.
	blocked map[Digest]*requestState
	// trusted are the requests that ended well recently at this instance.
	trusted recentSet
	// gossipQueue has the records that are being sent to other instances.
	gossipQueue []*record
	// sampleStart is the digest at which the next sample starts.
	sampleStart Digest
}

// requestState has the records of one request, or of one part of prompts.
type requestState struct {
	part    bool
	crashes []*record
	// lastCrash is the time of the last crash, also if that one is cleared or was dropped.
	lastCrash time.Time
	// trialUntil is when the last trial that was granted has ended at the latest.
	trialUntil time.Time
}

// record is a crash and its dissemination.
type record struct {
	digest    Digest
	part      bool
	target    string
	at        time.Time
	cleared   bool
	timesSent int
	// local is true if this instance saw the crash itself.
	local bool
}

// New returns a table without records.
func New(c Config) *Table {
	return &Table{
		config: c, requests: map[Digest]*requestState{}, blocked: map[Digest]*requestState{}, trusted: newRecentSet(c.TrustPeriod, c.MaxTrusted),
	}
}

// Len returns the number of requests and parts with records.
func (t *Table) Len() int { return len(t.requests) }

// RecordCrash records a crash that this instance saw under a request, unless the request ended
// well here recently. It reports whether the record is new.
func (t *Table) RecordCrash(now time.Time, digest Digest, target string) bool {
	return t.recordCrash(now, Crash{Digest: digest, Target: target})
}

func (t *Table) recordCrash(now time.Time, c Crash) bool {
	digest := c.Digest
	if t.trusted.has(now, digest) {
		return false
	}
	target := t.uniqueTarget(now, digest, c.Target)
	c.Target = target
	added := t.insert(now, c)
	if existing := t.findCrash(digest, target); existing != nil {
		existing.local = true
	}
	return added
}

// uniqueTarget returns the name under which a crash is recorded: the target, or the target
// with a number if this instance saw the target end at least MinRestart ago. The target has
// restarted since then, although its new incarnation isn't known here yet.
func (t *Table) uniqueTarget(now time.Time, digest Digest, target string) string {
	name := target
	for n := 2; ; n++ {
		existing := t.findCrash(digest, name)
		if existing == nil || !existing.local || now.Sub(existing.at) < t.config.MinRestart {
			return name
		}
		name = fmt.Sprintf("%s, %d", target, n)
	}
}

// findCrash returns the record of a crash, or nil.
func (t *Table) findCrash(digest Digest, target string) *record {
	r := t.requests[digest]
	if r == nil {
		return nil
	}
	for _, existing := range r.crashes {
		if existing.target == target {
			return existing
		}
	}
	return nil
}

// Merge adds a record from another instance. It reports whether the record is new.
func (t *Table) Merge(now time.Time, c Crash) bool {
	if c.Target == "" || len(c.Target) > maxTargetBytes || c.Age < 0 {
		return false
	}
	return t.insert(now, c)
}

// insert adds a record. Two records of one crash become one, which is cleared if either is,
// so records may arrive repeatedly and in any order.
func (t *Table) insert(now time.Time, c Crash) bool {
	if c.Age >= t.config.Retention {
		return false
	}
	at := now.Add(-c.Age)
	r := t.requests[c.Digest]
	if r == nil {
		t.evict()
		r = &requestState{part: c.Part}
		t.requests[c.Digest] = r
	}
	r.part = r.part || c.Part // an instance of an earlier version passes records on without it
	defer t.updateBlocked(c.Digest, r)
	if existing := t.findCrash(c.Digest, c.Target); existing != nil {
		if existing.cleared || !c.Cleared {
			return false
		}
		existing.cleared = true
		t.enqueueGossip(existing)
		return true
	}
	if len(r.crashes) == t.config.MaxCrashes && at.Before(r.crashes[0].at) {
		return false // it was dropped before, and would be again
	}
	if at.After(r.lastCrash) {
		r.lastCrash = at
	}
	added := &record{digest: c.Digest, part: c.Part, target: c.Target, at: at, cleared: c.Cleared}
	r.crashes = append(r.crashes, added)
	slices.SortStableFunc(r.crashes, func(a, b *record) int { return a.at.Compare(b.at) })
	if len(r.crashes) > t.config.MaxCrashes {
		r.crashes = r.crashes[1:]
	}
	t.enqueueGossip(added)
	return true
}

// evictedShare is the share of the requests that are removed at once when the table is full, so that
// most additions don't have to look for one.
const evictedShare = 1.0 / 8

// evict removes requests if the table is full: those with the fewest crashes, and of those the ones
// whose last crash is the oldest.
func (t *Table) evict() {
	if len(t.requests) < t.config.MaxRequests {
		return
	}
	digests := slices.SortedFunc(maps.Keys(t.requests), func(a, b Digest) int {
		return compareRelevance(t.requests[a], t.requests[b])
	})
	for _, digest := range digests[:max(int(evictedShare*float64(len(digests))), 1)] {
		t.remove(digest)
	}
}

// remove removes a request with its records.
func (t *Table) remove(digest Digest) {
	delete(t.requests, digest)
	delete(t.blocked, digest)
}

// updateBlocked updates the set of blocked requests after a change of a request's records.
func (t *Table) updateBlocked(digest Digest, r *requestState) {
	if r.activeCrashes() >= t.config.BlockThreshold {
		t.blocked[digest] = r
	} else {
		delete(t.blocked, digest)
	}
}

// compareRelevance orders requests by their number of crashes, then by their last crash.
func compareRelevance(a, b *requestState) int {
	return cmp.Or(cmp.Compare(a.activeCrashes(), b.activeCrashes()), a.lastCrash.Compare(b.lastCrash))
}

// RecordCompletion records that a target ran a request to completion without a crash. It
// reports whether that cleared any crashes.
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
	t.updateBlocked(digest, r)
	return cleared
}

// activeCrashes returns the number of crashes that no run has cleared.
func (r *requestState) activeCrashes() int {
	n := 0
	for _, c := range r.crashes {
		if !c.cleared {
			n++
		}
	}
	return n
}

// Judge returns the assessment of one digest by its own records.
func (t *Table) Judge(now time.Time, digest Digest) Verdict {
	r := t.requests[digest]
	if r == nil {
		return Verdict{}
	}
	return t.verdict(now, digest, r)
}

func (t *Table) verdict(now time.Time, digest Digest, r *requestState) Verdict {
	v := Verdict{Digest: digest, Part: r.part, Crashes: r.activeCrashes(), SinceLastCrash: now.Sub(r.lastCrash)}
	if v.Crashes < t.config.BlockThreshold {
		return v
	}
	v.State = OnTrial
	if v.Remaining = t.blockPeriod(v.Crashes) - v.SinceLastCrash; v.Remaining > 0 {
		v.State = Blocked
	}
	return v
}

// blockPeriod returns how long this number of crashes blocks a request.
func (t *Table) blockPeriod(crashes int) time.Duration {
	period := t.config.BlockPeriod
	for range crashes - t.config.BlockThreshold {
		if period >= t.config.MaxBlockPeriod {
			break
		}
		period *= time.Duration(t.config.BlockGrowth)
	}
	return min(period, t.config.MaxBlockPeriod)
}

// GrantTrial allows one run of a request that is on trial. It refuses if an earlier trial
// that this instance granted may still run, or if this instance has no record of the request
// or considers it blocked. The run ends within maxDuration.
func (t *Table) GrantTrial(now time.Time, digest Digest, maxDuration time.Duration) bool {
	r := t.requests[digest]
	if r == nil || t.verdict(now, digest, r).State == Blocked || now.Before(r.trialUntil) {
		return false
	}
	r.trialUntil = now.Add(maxDuration)
	return true
}

// Expire removes the requests whose last crash is older than the retention.
func (t *Table) Expire(now time.Time) {
	for digest, r := range t.requests {
		if now.Sub(r.lastCrash) >= t.config.Retention {
			t.remove(digest)
		}
	}
}

// Blocked returns the assessment of all requests and parts that are blocked or on trial.
func (t *Table) Blocked(now time.Time) map[Digest]Verdict {
	verdicts := map[Digest]Verdict{}
	for digest, r := range t.blocked {
		verdicts[digest] = t.verdict(now, digest, r)
	}
	return verdicts
}
