package requests

import (
	"maps"
	"slices"
)

// Row is one row of a Summary.
type Row struct {
	Key
	Counters
}

// Summary holds the counters since the previous drain. Its size is bounded by
// SummaryLimits, however many accounts and pipelines there are.
type Summary struct {
	// Rows are sorted by key. In each group, the row with an empty Account sums the
	// accounts that have no row of their own. The row of OtherPipeline sums the
	// groups that have no rows.
	Rows []Row
}

// SummaryLimits bounds a Summary to Groups * (Accounts + 1) + 1 rows.
type SummaryLimits struct {
	// Groups is the number of combinations of pipeline, stage and tier.
	Groups int
	// Accounts is the number of accounts listed separately in each group.
	Accounts int
}

// Drain returns the counters since the previous drain and resets them.
func (t *Table) Drain(limits SummaryLimits) Summary {
	groups := groups{}
	for _, agg := range t.stripes {
		accounts, others := agg.swap()
		groups.addStripe(accounts, others)
	}
	sums := groups.totals()
	keys := slices.SortedFunc(maps.Keys(groups), func(a, b Key) int {
		return compareByCount(a, b, sums)
	})
	var rows []Row
	var others Counters
	for i, k := range keys {
		if i >= limits.Groups {
			others.Add(groups[k].total)
			continue
		}
		rows = append(rows, groups[k].rows(k, limits.Accounts)...)
	}
	if others != (Counters{}) {
		rows = append(rows, Row{Key{Pipeline: OtherPipeline}, others})
	}
	slices.SortFunc(rows, func(a, b Row) int { return compareKeys(a.Key, b.Key) })
	return Summary{Rows: rows}
}

// Restore adds back the counters of a summary that could not be stored, so that
// the next summary includes them.
func (t *Table) Restore(s Summary) {
	// The choice of the stripe does not matter: Drain sums over all of them.
	for _, row := range s.Rows {
		t.stripes[0].add(row.Key, row.Counters)
	}
}

// swap returns the counters and replaces them by empty ones.
func (agg *aggregates) swap() (accounts, others map[Key]*Counters) {
	agg.mu.Lock()
	defer agg.mu.Unlock()
	accounts, others = agg.byAccount, agg.otherAccounts
	agg.byAccount = make(map[Key]*Counters, len(accounts))
	agg.otherAccounts = make(map[Key]*Counters, len(others))
	return accounts, others
}

// group is one combination of pipeline, stage and tier.
type group struct {
	total         Counters
	otherAccounts Counters
	accounts      map[Key]*Counters
}

// groups holds the counters of all stripes by key without account.
type groups map[Key]*group

// get returns the group of a key and creates it if it is missing.
func (gs groups) get(k Key) *group {
	k.Account = ""
	g, ok := gs[k]
	if !ok {
		g = &group{accounts: map[Key]*Counters{}}
		gs[k] = g
	}
	return g
}

// addStripe adds the counters of one stripe. It keeps the pointers in accounts.
func (gs groups) addStripe(accounts, others map[Key]*Counters) {
	for k, c := range accounts {
		g := gs.get(k)
		g.total.Add(*c)
		if sum, ok := g.accounts[k]; ok {
			sum.Add(*c)
			continue
		}
		g.accounts[k] = c
	}
	for k, c := range others {
		g := gs.get(k)
		g.total.Add(*c)
		g.otherAccounts.Add(*c)
	}
}

func (gs groups) totals() map[Key]*Counters {
	sums := make(map[Key]*Counters, len(gs))
	for k, g := range gs {
		sums[k] = &g.total
	}
	return sums
}

// rows returns one row for each of the busiest accounts of a group and one for
// all others.
func (g *group) rows(k Key, accounts int) []Row {
	keys := slices.SortedFunc(maps.Keys(g.accounts), func(a, b Key) int {
		return compareByCount(a, b, g.accounts)
	})
	listed := min(accounts, len(keys))
	rows := make([]Row, 0, listed+1)
	for _, key := range keys[:listed] {
		rows = append(rows, Row{key, *g.accounts[key]})
	}
	others := g.otherAccounts
	for _, key := range keys[listed:] {
		others.Add(*g.accounts[key])
	}
	if others != (Counters{}) {
		rows = append(rows, Row{k, others})
	}
	return rows
}
