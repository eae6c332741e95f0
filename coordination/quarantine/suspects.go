package quarantine

import (
	"slices"
	"time"
)

// Suspects are what may be the cause if a target crashes under a request.
type Suspects struct {
	// Request is the digest of the whole request.
	Request Digest
	// Parts are the digests of the parts of its prompt that other requests may have too.
	Parts []Digest
}

// Has reports whether a digest is one of the suspects.
func (s Suspects) Has(digest Digest) bool {
	return digest == s.Request || slices.Contains(s.Parts, digest)
}

// RecordRequestCrash records a crash that this instance saw for each suspect, except those that
// ended well here recently. It returns the digests of the new records.
func (t *Table) RecordRequestCrash(now time.Time, s Suspects, target string) []Digest {
	var recorded []Digest
	if t.RecordCrash(now, s.Request, target) {
		recorded = append(recorded, s.Request)
	}
	for _, part := range s.Parts {
		if t.recordCrash(now, Crash{Digest: part, Part: true, Target: target}) {
			recorded = append(recorded, part)
		}
	}
	return recorded
}

// RecordRequestCompletion records that a target ran a request to completion without a crash. It
// returns the suspects of which that cleared any crashes.
func (t *Table) RecordRequestCompletion(now time.Time, s Suspects) []Digest {
	var cleared []Digest
	for _, digest := range append(slices.Clone(s.Parts), s.Request) {
		if t.RecordCompletion(now, digest) {
			cleared = append(cleared, digest)
		}
	}
	return cleared
}

// JudgeRequest returns the assessment of a request: that of the suspect which blocks it for the
// longest time.
//
// All that is in progress at a target gets a record of its crash. A suspect is therefore allowed
// in spite of its records if something else explains its crashes: the run shows which of them it
// is.
func (t *Table) JudgeRequest(now time.Time, s Suspects) Verdict {
	verdict := t.judgeSuspect(now, s.Request, s)
	for _, part := range s.Parts {
		if v := t.judgeSuspect(now, part, s); stricter(v, verdict) {
			verdict = v
		}
	}
	if verdict.State == Allowed {
		return Verdict{}
	}
	return verdict
}

func (t *Table) judgeSuspect(now time.Time, digest Digest, s Suspects) Verdict {
	r := t.blocked[digest]
	if r == nil || t.explained(now, digest, r, s) {
		return Verdict{}
	}
	return t.verdict(now, digest, r)
}

// stricter orders verdicts by their state, the remaining time and the number of crashes.
func stricter(a, b Verdict) bool {
	switch {
	case a.State == Allowed || b.State == Allowed:
		return a.State != Allowed
	case a.State != b.State:
		return a.State == Blocked
	case a.Remaining != b.Remaining:
		return a.Remaining > b.Remaining
	default:
		return a.Crashes > b.Crashes
	}
}

// explained reports whether each crash of a suspect was also one of something that is blocked, has
// crashed at least as many targets and is not in the present request.
//
// Two that are always in progress together would explain each other for ever. Above MaxExplained
// they are therefore allowed in turns, and not at all once their records are full.
func (t *Table) explained(now time.Time, digest Digest, r *requestState, s Suspects) bool {
	count := r.activeCrashes()
	if count > t.config.MaxExplained && !t.hasTurn(now, digest, r) {
		return false
	}
	for _, c := range r.crashes {
		if !c.cleared && !t.explainedCrash(c.target, count, s) {
			return false
		}
	}
	return true
}

// hasTurn reports whether it is the turn of a suspect among those that have crashed as many targets,
// some of them the same. The turns follow each other in the order of the digests, from
// ExplainedTurn after the last crash.
//
// A part that crashes a target every 200 ms has six crashes before all instances know of three, and a
// sound part may come with it each time. If both were allowed at once, a crash under the one would
// often end a run of the other too. In its own turn, a sound one is cleared by its first run.
func (t *Table) hasTurn(now time.Time, digest Digest, r *requestState) bool {
	if len(r.crashes) >= t.config.MaxCrashes {
		return false
	}
	count, members, rank := r.activeCrashes(), 1, 0
	for other, o := range t.blocked {
		if other == digest || o.activeCrashes() != count || !r.sharesCrash(o) {
			continue
		}
		members++
		if compareDigests(other, digest) < 0 {
			rank++
		}
	}
	turn := int(now.Sub(r.lastCrash)/t.config.ExplainedTurn) - 1
	return turn >= 0 && turn%members == rank
}

func (t *Table) explainedCrash(target string, count int, s Suspects) bool {
	for digest, other := range t.blocked {
		if s.Has(digest) || other.activeCrashes() < count {
			continue
		}
		if other.crashed(target) {
			return true
		}
	}
	return false
}

// crashed reports whether a target has a crash that isn't cleared.
func (r *requestState) crashed(target string) bool {
	return slices.ContainsFunc(r.crashes, func(c *record) bool { return !c.cleared && c.target == target })
}

// sharesCrash reports whether one crash, not cleared in either, is among the records of both.
func (r *requestState) sharesCrash(other *requestState) bool {
	return slices.ContainsFunc(r.crashes, func(c *record) bool { return !c.cleared && other.crashed(c.target) })
}
