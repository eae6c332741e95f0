package routing

import (
	"cmp"
	"slices"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// localShare is the share of a subset that comes from the local data centre if it has
// enough targets. The rest of the subset comes from other data centres, for overflow and
// for a failure of the local one.
const localShare = 0.75

// minPerModel is the number of targets of each model that a subset keeps if there are
// as many, so that a rare model is not routed to a single target.
const minPerModel = 4

type ranked struct {
	target Target
	rank   uint64
}

// subset returns the targets that this instance keeps. Rendezvous hashing gives
// every instance a different subset; a target that is added or removed changes a
// subset by about one target.
func (c *Config) subset(targets []Target) []Target {
	if len(targets) <= c.SubsetSize {
		return slices.Clone(targets)
	}
	all := c.rankTargets(targets)
	local := int(localShare * float64(c.SubsetSize))
	kept := make([]Target, 0, c.SubsetSize)
	selected := make(map[string]bool, c.SubsetSize)
	models := map[string]int{}
	selectUpTo := func(limit int, matches func(Target) bool) {
		for _, r := range all {
			if len(kept) >= limit {
				return
			}
			if selected[r.target.Incarnation] || !matches(r.target) {
				continue
			}
			selected[r.target.Incarnation] = true
			kept = append(kept, r.target)
			countModels(models, r.target)
		}
	}
	rare := func(t Target) bool {
		return slices.ContainsFunc(t.Models, func(m string) bool { return models[m] < minPerModel })
	}
	selectUpTo(c.SubsetSize, rare)
	selectUpTo(max(local, len(kept)), func(t Target) bool { return t.DataCentre == c.LocalDataCentre })
	selectUpTo(c.SubsetSize, func(t Target) bool { return t.DataCentre != c.LocalDataCentre })
	selectUpTo(c.SubsetSize, func(Target) bool { return true })
	return kept
}

func countModels(counts map[string]int, t Target) {
	for _, m := range t.Models {
		counts[m]++
	}
}

func (c *Config) rankTargets(targets []Target) []ranked {
	all := make([]ranked, len(targets))
	for i, t := range targets {
		all[i] = ranked{target: t, rank: rendezvous.Score(c.Instance, t.Incarnation)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.target.Incarnation, b.target.Incarnation))
	})
	return all
}
