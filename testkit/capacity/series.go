package capacity

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Point is the value measured at one size.
type Point struct{ Size, Value float64 }

// Series is a quantity measured at several sizes.
type Series struct {
	// Quantity names what is measured, Unit is its unit.
	Quantity, Unit string
	// SizeUnit names what is varied, DesignSize is the size to plan for.
	SizeUnit   string
	DesignSize float64
	// Budget is the limit of the quantity at the design size; 0 means no limit.
	Budget float64
	Points []Point
}

// add appends a point.
func (s *Series) add(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}

// Fit is a straight line fitted by least squares.
type Fit struct {
	Intercept, Slope float64
	// Residual is the largest distance of a point from the line, relative to the
	// largest absolute value.
	Residual float64
}

// Fit fits a line to the points. A single point gives a horizontal line.
func (s *Series) Fit() Fit {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		sumX += p.Size
		sumY += p.Value
		sumXX += p.Size * p.Size
		sumXY += p.Size * p.Value
	}
	var f Fit
	if spread := n*sumXX - sumX*sumX; spread > 0 {
		f.Slope = (n*sumXY - sumX*sumY) / spread
	}
	if n > 0 {
		f.Intercept = (sumY - f.Slope*sumX) / n
	}
	f.Residual = s.residual(f)
	return f
}

func (s *Series) residual(f Fit) float64 {
	worst, largest := 0.0, 0.0
	for _, p := range s.Points {
		worst = max(worst, math.Abs(p.Value-f.valueAt(p.Size)))
		largest = max(largest, math.Abs(p.Value))
	}
	if largest == 0 {
		return 0
	}
	return worst / largest
}

func (f Fit) valueAt(size float64) float64 { return f.Intercept + f.Slope*size }

// AtDesignSize returns the value at the design size, and whether it was measured
// there rather than extrapolated.
func (s *Series) AtDesignSize() (value float64, measured bool) {
	for _, p := range s.Points {
		if p.Size == s.DesignSize {
			return p.Value, true
		}
	}
	return s.Fit().valueAt(s.DesignSize), false
}

// WriteTable writes a line for each series: its points, its fit, its value at
// the design size and the share of the budget.
func WriteTable(w io.Writer, all []Series) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := range all {
		s := &all[i]
		fit := s.Fit()
		value, measured := s.AtDesignSize()
		how := "measured"
		if !measured {
			how = "EXTRAPOLATED"
		}
		fmt.Fprintf(table, "%s\t%s\t", s.Quantity, s.Unit)
		for _, p := range s.Points {
			fmt.Fprintf(table, "%.0f: %.4g\t", p.Size, p.Value)
		}
		fmt.Fprintf(table, "slope %.3g per %s\tresidual %.0f%%\tat %.0f: %.4g %s", fit.Slope, s.SizeUnit, 100*fit.Residual, s.DesignSize, value, how)
		if s.Budget > 0 {
			fmt.Fprintf(table, "\t%.0f%% of %.4g%s", 100*value/s.Budget, s.Budget, overBudgetMark(value, s.Budget))
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}

func overBudgetMark(value, budget float64) string {
	if value > budget {
		return " OVER"
	}
	return ""
}

// The resource budgets of an instance for its control plane.
const (
	// cpuBudget is in milliseconds of CPU time per second: 1.2% of a core.
	cpuBudget = 12
	// memoryBudget is in megabytes.
	memoryBudget = 128
	// sendBudget is in bytes sent per second.
	sendBudget = 2048
)

// Design sizes of a deployment.
const (
	designNodes    = 440
	designTargets  = 4000
	designAccounts = 32000
	// designRequestRate is the peak number of requests per second at one instance.
	designRequestRate = 42000.0 / designNodes
)

const megabyte = 1 << 20
