package routing

import "slices"

// Serves reports whether the pool has a target that can serve the query: one that is
// neither leaving nor excluded and that fits the query. It lets the caller refuse
// a request whose later stage no target can serve before an earlier stage has run.
func (t *Table) Serves(q *Query) bool {
	pool := t.view.Load().pools[q.Pool]
	if pool == nil {
		return false
	}
	for _, target := range pool.targets {
		if !target.leaving && target.Fits(q) && !slices.Contains(q.Exclude, target.Incarnation) {
			return true
		}
	}
	return false
}

// OtherVersions returns the incarnations of a pool's targets that don't have a software version.
func (t *Table) OtherVersions(pool, version string) []string {
	p := t.view.Load().pools[pool]
	if p == nil {
		return nil
	}
	var others []string
	for _, target := range p.targets {
		if target.Version != version {
			others = append(others, target.Incarnation)
		}
	}
	return others
}
