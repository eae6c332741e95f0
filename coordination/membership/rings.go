package membership

import (
	"strconv"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// Successors returns the members that this instance probes: the one that follows
// it on each ring, or all other members if there are no more than rings. Each
// ring orders all members by its own hash, so each member is also the successor
// of one other on each ring: it is probed about once a period, and the number of
// connections is bounded regardless of the cluster's size.
func Successors(v *View, rings int) []Member {
	return nearestOnRings(v, rings, func(own, other uint64) uint64 { return other - own })
}

// Neighbours returns the successors and the members whose successor this
// instance is. Two members whose views agree are neighbours of each other, and
// have a connection already because one of them probes the other.
func Neighbours(v *View, rings int) []Member {
	if len(v.live) <= rings+1 {
		return Successors(v, rings)
	}
	before := nearestOnRings(v, rings, func(own, other uint64) uint64 { return own - other })
	all := Successors(v, rings)
	seen := make(map[string]struct{}, len(all))
	for _, m := range all {
		seen[m.Name] = struct{}{}
	}
	for _, m := range before {
		if _, ok := seen[m.Name]; !ok {
			all = append(all, m)
		}
	}
	return all
}

// nearestOnRings returns the nearest live member on each ring, without
// duplicates.
func nearestOnRings(v *View, rings int, distance func(own, other uint64) uint64) []Member {
	if len(v.live) <= rings+1 {
		return v.others("")
	}
	var out []Member
	seen := make(map[string]struct{}, rings)
	for ring := range rings {
		m := v.nearestOnRing(strconv.Itoa(ring), distance)
		if _, ok := seen[m.Name]; !ok {
			seen[m.Name] = struct{}{}
			out = append(out, m)
		}
	}
	return out
}

// nearestOnRing returns the other live member at the smallest distance on a ring.
func (v *View) nearestOnRing(ring string, distance func(own, other uint64) uint64) Member {
	own := rendezvous.Score(v.Self, ring)
	best, least := -1, uint64(0)
	for i := range v.live {
		if v.live[i].Name == v.Self {
			continue
		}
		d := distance(own, rendezvous.Score(v.live[i].Name, ring))
		if best < 0 || d < least {
			best, least = i, d
		}
	}
	return v.live[best]
}

// others returns the live members except self and the one named except.
func (v *View) others(except string) []Member {
	out := make([]Member, 0, len(v.live))
	for _, m := range v.live {
		if m.Name != v.Self && m.Name != except {
			out = append(out, m)
		}
	}
	return out
}
