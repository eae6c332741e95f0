package discovery

import (
	"slices"

	"github.com/ivyhollow/ivyhollow/state/catalog"
)

// weights holds the models and adapters that an engine has loaded.
type weights struct{ models, adapters []string }

// noWeights is the list of models or adapters of an engine that has loaded none. The
// router interprets an empty list as any, so this one has an empty name, which no weights
// have.
var noWeights = []string{""}

// effectiveWeights returns the weights that the router may assume an engine to serve. The
// caller holds the lock.
//
// An engine whose pool desires models is listed before it has loaded any, or before this
// instance knows what it has loaded. If it were treated as serving every model, it would
// get requests that it refuses, and each refusal would cost an attempt and a retry.
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

// hasNoModel reports whether the engine can't serve any request yet, so that its slots don't
// count as capacity.
func (w weights) hasNoModel() bool { return slices.Equal(w.models, noWeights) }
