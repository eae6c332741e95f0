// Package holder decides which instance does what one does for all, such as holding
// the queue of the stage targets. All instances work it out from their views, so it
// is a hint: two views may differ for a while, and two holders at once must do no
// harm.
//
// The load it answers: the queue of a fleet of which most instances are small and a few
// have several times the processor share and the link.
package holder

import (
	"cmp"

	"github.com/ivyhollow/ivyhollow/coordination/membership"
)

// Pick returns the live member with the most capacity, and of several the one that
// has run longest; the instance itself if all others are avoided.
//
// An instance that starts again is the youngest, so a duty moves only when its holder
// ends. Chosen by a hash of names, it would come back to each holder that was
// restarted, and while instances are restarted in turn several would hold a part of
// it.
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

// before tells whether a is chosen rather than b. No two members are alike in it.
//
// It guards against instances that start in the same instant: without the name each of
// them picks itself for as long as both live, and two queues take each other's places
// and room at the targets.
func preferred(a, b membership.Member) bool {
	return cmp.Or(
		cmp.Compare(b.Capacity, a.Capacity),
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Name, b.Name),
	) < 0
}
