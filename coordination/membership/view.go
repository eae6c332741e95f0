package membership

import (
	"cmp"
	"slices"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// View is an immutable snapshot of the cluster as one instance sees it.
type View struct {
	// Version increases with every change on this instance. Versions of
	// different instances are not comparable.
	Version uint64
	// Self is the name of the instance that the view belongs to.
	Self string
	// Members holds all known members sorted by name, including those that are
	// dead or left until their retention ends.
	Members []Member
	live    []Member
}

// newView returns a view of members. It sorts the slice and keeps it.
func newView(version uint64, self string, members []Member) *View {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	v := &View{Version: version, Self: self, Members: members}
	for _, m := range members {
		if m.Live() {
			v.live = append(v.live, m)
		}
	}
	return v
}

// NewView returns a view of the given members, for tests and tools.
func NewView(version uint64, self string, members []Member) *View {
	return newView(version, self, slices.Clone(members))
}

// Live returns the members that are alive or suspect, sorted by name. The caller
// must not modify the slice.
func (v *View) Live() []Member { return v.live }

// Find returns the member with a name.
func (v *View) Find(name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, name string) int {
		return cmp.Compare(m.Name, name)
	})
	if !ok {
		return Member{}, false
	}
	return v.Members[i], true
}

// RunEnded reports whether a run of an instance is known to have ended: its
// member is dead or has left, or a higher incarnation runs under its name. It
// returns false for an unknown name.
func (v *View) RunEnded(name string, incarnation uint64) bool {
	m, ok := v.Find(name)
	if !ok || m.Incarnation < incarnation {
		return false
	}
	return m.Incarnation > incarnation || !m.Live()
}

// Owners returns the n live members responsible for a key, its home first. It
// uses rendezvous hashing (D. Thaler and C. Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", IEEE/ACM ToN 1998): when a
// member fails or leaves, only its own keys move. For one key, a data
// centre provides a second owner only after each data centre has provided one.
// Two instances whose views differ may return different owners for a while: an
// owner is a hint, never a lock.
func Owners(v *View, key string, n int) []Member {
	if n <= 0 || len(v.live) == 0 {
		return nil
	}
	ranked := score(v.live, key)
	owners := make([]Member, 0, min(n, len(ranked)))
	perCentre := make(map[string]int)
	for limit := 1; len(owners) < cap(owners); {
		best := -1
		for i := range ranked {
			better := !ranked[i].chosen && (best < 0 || ranked[i].before(&ranked[best]))
			if better && perCentre[ranked[i].member.DataCentre] < limit {
				best = i
			}
		}
		if best < 0 {
			limit++
			continue
		}
		ranked[best].chosen = true
		perCentre[ranked[best].member.DataCentre]++
		owners = append(owners, *ranked[best].member)
	}
	return owners
}

// rankedMember is a member with its score for a key.
type rankedMember struct {
	score  uint64
	member *Member
	chosen bool
}

// before reports whether a member ranks before another one.
func (r *rankedMember) before(other *rankedMember) bool {
	if r.score != other.score {
		return r.score > other.score
	}
	return r.member.Name < other.member.Name
}

// score returns members with their scores for a key.
func score(members []Member, key string) []rankedMember {
	scored := make([]rankedMember, len(members))
	for i := range members {
		scored[i] = rankedMember{score: rendezvous.Score(members[i].Name, key), member: &members[i]}
	}
	return scored
}
