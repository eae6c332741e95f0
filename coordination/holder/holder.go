// Package holder decides which instance performs a duty for the whole fleet, such as holding
// the queue of the stage targets. Each instance decides from its own view of the membership,
// so the result is a hint: two views may differ for a while, and two holders at the same time
// must do no harm.
//
// It is made for fleets in which most instances are small and a few have several times their
// processor share and link capacity.
package holder

import (
	"cmp"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// Pick returns the live member with the highest capacity; of several with that capacity, the
// one that has run the longest. It returns the instance itself if all others are avoided.
//
// A restarted instance counts as the youngest, so a duty moves only when its holder ends. If
// the holder were chosen by a hash of names, the duty would move back to each restarted
// holder, and several instances would hold a part of it during a rolling restart.
func Pick(view *membership.View, avoided func(name string) bool) membership.Member {
	chosen, _ := view.Find(view.Self)
	found := chosen.Live() && chosen.Name != ""
	for _, m := range view.Live() {
		if m.Name != view.Self && avoided(m.Name) {
			continue
		}
		if !found || preferred(m, chosen) {
			chosen, found = m, true
		}
	}
	return chosen
}

// preferred reports whether a is preferred to b. It is a strict total order.
//
// The name breaks the tie of instances that start at the same instant. Without it each of
// them would pick itself for as long as both live, and two queues would claim each other's
// slots at the targets.
func preferred(a, b membership.Member) bool {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Name, b.Name),
	) < 0
}
