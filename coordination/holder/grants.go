package holder

import (
	"github.com/ivyhollow/ivyhollow/coordination/membership"
	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// Grants returns which targets, by name, an instance with this view may grant sends to as the
// holder of the queue; nil means all.
//
// An instance that reaches at most half of the others may be one of many that each consider
// themselves the holder. Such groups of instances are disjoint, so each may grant sends only to the
// targets that a hash assigns to one of its members: no two groups have a target in common.
func Grants(view *membership.View) func(target string) bool {
	var known []membership.Member
	for _, m := range view.Members {
		if m.State != membership.Left {
			known = append(known, m)
		}
	}
	if 2*len(view.Live()) > len(known) {
		return nil
	}
	return func(target string) bool {
		var owner membership.Member
		var best uint64
		for i, m := range known {
			if score := rendezvous.Score(m.Name, target); i == 0 || score > best {
				owner, best = m, score
			}
		}
		return owner.Live()
	}
}
