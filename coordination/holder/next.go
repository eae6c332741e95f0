package holder

import "github.com/ivyhollow/ivyhollow/coordination/membership"

// Next returns the live member that all others pick for a duty once this instance has left. It
// returns false if all others are avoided.
func Next(view *membership.View, avoided func(name string) bool) (membership.Member, bool) {
	var chosen membership.Member
	found := false
	for _, m := range view.Live() {
		if m.Name == view.Self || avoided(m.Name) {
			continue
		}
		if !found || preferred(m, chosen) {
			chosen, found = m, true
		}
	}
	return chosen, found
}
