package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// The goal is to reduce the deadline misses of the best baseline to a third and
// to keep the cost within goalCostRatio times the fault-free cost.
const (
	goalMissRatio = 1.0 / 3
	goalCostRatio = 1.1
)

type cellKey struct {
	shape, policy string
	fault         Fault
	load          float64
}

// WriteGoal writes a table that compares one policy with the best baseline of
// each cell and shows whether the goal is met. Costs are stage-seconds per
// attained request, relative to the policy's own cost without a fault.
func WriteGoal(w io.Writer, cells []*Cell, policy string, baselines []string) error {
	index := map[cellKey]*Cell{}
	for _, c := range cells {
		index[cellKey{c.Shape, c.Policy, c.Fault, c.Load}] = c
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "shape\tfault\tload\tbest_baseline\tmisses_%\tours_%\tratio\tgold_misses_%\tgold_ours_%\tcost_ratio\tcost_of_best\tgoal")
	for _, c := range cells {
		if c.Policy != policy {
			continue
		}
		best := bestBaseline(index, c, baselines)
		faultFree := index[cellKey{c.Shape, policy, FaultNone, c.Load}]
		if best == nil || faultFree == nil {
			continue
		}
		writeGoalRow(out, c, best, faultFree)
	}
	return out.Flush()
}

func bestBaseline(index map[cellKey]*Cell, c *Cell, baselines []string) *Cell {
	var best *Cell
	for _, name := range baselines {
		other := index[cellKey{c.Shape, name, c.Fault, c.Load}]
		if other != nil && (best == nil || missShare(other) < missShare(best)) {
			best = other
		}
	}
	return best
}

func missShare(c *Cell) float64 {
	return 1 - c.Mean((*Result).Attainment)
}

func writeGoalRow(w io.Writer, c, best, faultFree *Cell) {
	share := ratio(missShare(c), missShare(best))
	cost := ratio(c.Mean((*Result).SecondsPerAttained), faultFree.Mean((*Result).SecondsPerAttained))
	fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%s\n",
		c.Shape, c.Fault, c.Load, best.Policy,
		100*missShare(best), 100*missShare(c), share,
		100-best.Mean(tierPercent(0)), 100-c.Mean(tierPercent(0)),
		cost, ratio(best.Mean((*Result).SecondsPerAttained), faultFree.Mean((*Result).SecondsPerAttained)),
		goalVerdict(missShare(best), missShare(c), cost))
}

// goalVerdict returns which part of the goal is met. Where the best baseline
// has no misses, the policy may have none.
func goalVerdict(best, ours, cost float64) string {
	const rounding = 1e-9
	missesMet := ours <= goalMissRatio*best+rounding
	costMet := cost <= goalCostRatio
	switch {
	case missesMet && costMet:
		return "met"
	case missesMet:
		return "cost not met"
	case costMet:
		return "misses not met"
	}
	return "misses and cost not met"
}
