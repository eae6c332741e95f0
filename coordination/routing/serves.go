package routing

// Serves reports whether the pool has a target that can serve the query: one that is
// not leaving and has the query's model and adapter loaded. It lets the caller refuse
// a request whose later stage no target can serve before an earlier stage has run.
func (t *Table) Serves(q *Query) bool {
	pool := t.view.Load().pools[q.Pool]
	if pool == nil {
		return false
	}
	for _, target := range pool.targets {
		if !target.leaving && target.Fits(q) {
			return true
		}
	}
	return false
}
