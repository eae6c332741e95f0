package routing

import (
	"cmp"
	"slices"

	"github.com/ivyhollow/ivyhollow/coordination/rendezvous"
)

// localShare is the part of a subset that is taken from the local data centre
// when it has enough targets; the rest is for overflow and for its loss.
const localShare = 0.75

// leastPerModel is how many targets of each model a subset keeps, so that a
// rare model is not routed to a single target.
const minPerModel = 4

type ranked struct {
	target Target
	rank   uint64
}

// subset returns the targets that this instance keeps. Rendezvous hashing gives
// every instance another subset and changes it by one target when one comes or
// goes.
func (c *Config) subset(targets []Target) []Target {
	if len(targets) <= c.SubsetSize {
		return slices.Clone(targets)
	}
	all := c.rankTargets(targets)
	local := int(localShare * float64(c.SubsetSize))
	kept := make([]Target, 0, c.SubsetSize)
	taken := make(map[string]bool, c.SubsetSize)
	models := map[string]int{}
	take := func(limit int, fits func(Target) bool) {
		for _, r := range all {
			if len(kept) >= limit {
				return
			}
			if taken[r.target.Incarnation] || !fits(r.target) {
				continue
			}
			taken[r.target.Incarnation] = true
			kept = append(kept, r.target)
			countModels(models, r.target)
		}
	}
	rare := func(t Target) bool {
		return slices.ContainsFunc(t.Models, func(m string) bool { return models[m] < minPerModel })
	}
	take(c.SubsetSize, rare)
	take(max(local, len(kept)), func(t Target) bool { return t.DataCentre == c.LocalDataCentre })
	take(c.SubsetSize, func(t Target) bool { return t.DataCentre != c.LocalDataCentre })
	take(c.SubsetSize, func(Target) bool { return true })
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
