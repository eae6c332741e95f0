package routing

// Serves tells whether the pool has a target that may take the query at all: one
// that is not leaving and has what the query asks for loaded. A request whose
// later stage nothing serves is refused by it before it costs a stage.
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
