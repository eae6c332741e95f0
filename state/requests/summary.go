package requests

import (
	"maps"
	"slices"
)

// Row is one sum of a Summary.
type Row struct {
	Key
	Counters
}

// Summary holds the sums since the drain before. Its size is bounded by the
// SummaryLimits, however many accounts and pipelines there are.
type Summary struct {
	// Rows are in the order of their keys. An empty Account sums up the
	// accounts that have no row, and OtherPipeline the groups that have none.
	Rows []Row
}

// SummaryLimits bounds a Summary to Groups * (Accounts + 1) + 1 rows.
type SummaryLimits struct {
	// Groups is the number of combinations of pipeline, stage and tier.
	Groups int
	// Accounts is the number of accounts listed apart in each.
	Accounts int
}

// Drain returns the sums since the drain before and starts new ones.
func (t *Table) Drain(limits SummaryLimits) Summary {
	groups := groups{}
	for _, d := range t.stripes {
		accounts, rest := d.swap()
		groups.addStripe(accounts, rest)
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

// Restore adds the sums of a drain back, for a summary that could not be
// written, so that the next one holds them.
func (t *Table) Restore(s Summary) {
	// One stripe takes them all: a drain adds the stripes up again.
	for _, row := range s.Rows {
		t.stripes[0].add(row.Key, row.Counters)
	}
}

func (d *aggregates) swap() (accounts, rest map[Key]*Counters) {
	d.mu.Lock()
	defer d.mu.Unlock()
	accounts, rest = d.byAccount, d.otherAccounts
	d.byAccount = make(map[Key]*Counters, len(accounts))
	d.otherAccounts = make(map[Key]*Counters, len(rest))
	return accounts, rest
}

// group is one combination of pipeline, stage and tier.
type group struct {
	total         Counters
	otherAccounts Counters
	accounts      map[Key]*Counters
}

// groups holds the sums of all stripes by key without account.
type groups map[Key]*group

// of returns the group of a key, new if need be.
func (gs groups) get(k Key) *group {
	k.Account = ""
	g, ok := gs[k]
	if !ok {
		g = &group{accounts: map[Key]*Counters{}}
		gs[k] = g
	}
	return g
}

// add takes the sums of one stripe over.
func (gs groups) addStripe(accounts, rest map[Key]*Counters) {
	for k, c := range accounts {
		g := gs.get(k)
		g.total.Add(*c)
		if sum, ok := g.accounts[k]; ok {
			sum.Add(*c)
			continue
		}
		g.accounts[k] = c
	}
	for k, c := range rest {
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

// rows lists the busiest accounts of a group and sums up the others.
func (g *group) rows(k Key, accounts int) []Row {
	keys := slices.SortedFunc(maps.Keys(g.accounts), func(a, b Key) int {
		return compareByCount(a, b, g.accounts)
	})
	listed := min(accounts, len(keys))
	rows := make([]Row, 0, listed+1)
	for _, key := range keys[:listed] {
		rows = append(rows, Row{key, *g.accounts[key]})
	}
	rest := g.otherAccounts
	for _, key := range keys[listed:] {
		rest.Add(*g.accounts[key])
	}
	if rest != (Counters{}) {
		rows = append(rows, Row{k, rest})
	}
	return rows
}
