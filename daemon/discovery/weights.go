package discovery

import (
	"slices"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// weights are what an engine has loaded.
type weights struct{ models, adapters []string }

// nothing is the list of an engine that has loaded nothing. To the router an
// empty list means any; the empty name in this one is that of no weights.
var noWeights = []string{""}

// serves returns what the router may count on. It needs the lock.
//
// Guard: an engine whose pool desires models is listed before it has loaded
// any, or before this instance has heard what it has. Taken for one that serves
// every model it would get requests that it refuses, each of them an attempt
// lost and a retry less.
func (d *Discovery) effectiveWeights(pool *catalog.Pool, incarnation string) weights {
	w := d.loaded[incarnation]
	if pool.Desired == nil {
		return w
	}
	if len(pool.Desired.Models) > 0 && len(w.models) == 0 {
		w.models = noWeights
	}
	if len(pool.Desired.Adapters) > 0 && len(w.adapters) == 0 {
		w.adapters = noWeights
	}
	return w
}

// noModel tells whether the engine can serve nothing yet: its slots are none
// that a request could wait for.
func (w weights) hasNoModel() bool { return slices.Equal(w.models, noWeights) }
