package budget

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxViews bounds the views that are kept to determine how long an instance has
// been a home.
const maxViews = 8

// view is the membership as this instance sees it from a point in time on.
type view struct {
	since   time.Time
	members []string
	// listed is the number of known instances, unreachable ones included.
	listed   int
	previous *view
}

// share returns the share of every budget that the members of this view may spend.
// The remaining part belongs to instances that are listed but unreachable, which
// may be alive on the other side of a partition and spend it.
func (v *view) share() float64 {
	return float64(len(v.members)) / float64(v.listed)
}

// home returns the member that grants an account's budget, by rendezvous
// hashing (Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit
// Rates", 1998): a change of membership moves only the accounts of the member
// that joined or left.
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

// homeSince returns the time since which self has been the account's home without
// interruption, as far back as views are kept.
func (v *view) homeSince(account, self string) time.Time {
	since := v.since
	for at := v.previous; at != nil && at.home(account) == self; at = at.previous {
		since = at.since
	}
	return since
}

// trim drops the views beyond maxViews.
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

// mix mixes the bits of a hash (the finaliser of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
