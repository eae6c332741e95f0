// Package fairshare divides capacity between client accounts by weighted max-min fairness: an
// account that asks for no more than its share gets all it asks for, and the others divide the
// rest by their weights.
package fairshare

import (
	"cmp"
	"math"
	"slices"
)

// Demand is what one account asks for, in units of capacity a second. Weights are positive.
type Demand struct{ Rate, Weight float64 }

// Level returns the rate per weight up to which every account is served, +Inf if all fit: the sum
// over accounts of min(Rate, Level*Weight) is the capacity.
func Level(capacity float64, demands []Demand) float64 {
	var asked, weights float64
	for _, d := range demands {
		asked += d.Rate
		weights += d.Weight
	}
	if asked <= capacity || weights <= 0 {
		return math.Inf(1)
	}
	// The accounts are satisfied in the order of their rates per weight, until the next one asks
	// for more than what is left per weight.
	byLevel := slices.Clone(demands)
	slices.SortFunc(byLevel, func(a, b Demand) int { return cmp.Compare(a.Rate*b.Weight, b.Rate*a.Weight) })
	left := max(capacity, 0)
	for _, d := range byLevel {
		if d.Rate*weights > left*d.Weight {
			break
		}
		left -= d.Rate
		weights -= d.Weight
	}
	if weights <= 0 {
		return math.Inf(1) // rounding
	}
	return max(left, 0) / weights
}
