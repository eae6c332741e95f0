package budget

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// keptViews bounds how far back homes are remembered.
const maxViews = 8

// view is one membership, as this instance saw it from a moment on.
type view struct {
	since   time.Time
	members []string
	// listed is the number of instances that exist as far as is known, those
	// that cannot be heard included.
	listed   int
	previous *view
}

// share is the part of every budget that the members of this view may spend:
// the rest belongs to instances that are listed but not heard, which may be
// alive on the other side of a cut and spend it.
func (v *view) share() float64 {
	return float64(len(v.members)) / float64(v.listed)
}

// home returns the member that grants an account's budget, by rendezvous
// hashing (Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit
// Rates", 1998): a change of membership moves only the accounts of the member
// that came or went.
func (v *view) home(account string) string {
	base := xxhash.Sum64String(account)
	best, bestScore := "", uint64(0)
	for _, m := range v.members {
		score := mix(base ^ xxhash.Sum64String(m))
		if best == "" || score > bestScore || (score == bestScore && m < best) {
			best, bestScore = m, score
		}
	}
	return best
}

// homeSince is the moment from which self has been the account's home without a
// break, as far back as views are kept.
func (v *view) homeSince(account, self string) time.Time {
	since := v.since
	for at := v.previous; at != nil && at.home(account) == self; at = at.previous {
		since = at.since
	}
	return since
}

// trim cuts off the views that are no longer kept.
func (v *view) trim() {
	at := v
	for range maxViews - 1 {
		if at.previous == nil {
			return
		}
		at = at.previous
	}
	at.previous = nil
}

// mix spreads the bits of a hash (the finaliser of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
